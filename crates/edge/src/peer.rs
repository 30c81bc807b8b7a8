//! What routers tell each other.
//!
//! Each router exchanges a digest with one peer after the other: the loads of upstreams that it
//! observed or heard of, and which revisions of the store's documents it knows. Whoever is behind
//! gets the changes of the upstreams, and fetches a configuration from the store or, where the
//! store does not answer, from the peer. So few routers have to read the store, and a router
//! which the store turns away still learns all. News is passed on at once. See
//! `docs/platform.md#peers`.

mod client;
mod fetch;
mod peers;
mod server;

use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use snipeusher::fleet::Delta;
use snipeusher::fleet::Observation;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::reader::Reader;

pub use self::client::interval;
pub use self::client::run;
pub use self::fetch::Announcement;
pub use self::fetch::Source;
pub use self::fetch::fetch;
pub use self::peers::Peers;
pub use self::server::Control;

use crate::dialect::Platform;
use crate::shared::Shared;

/// Path of the exchange. Its number changes with the form of the digest.
const EXCHANGE_PATH: &str = "/fleet/v3/exchange";
/// Path of the configuration, which is asked for apart: it may be far larger than a digest, and
/// nothing else must wait for it.
const CONFIGURATION_PATH: &str = "/fleet/v3/configuration";
/// Most bytes of a digest or an answer.
const BYTES_MAX: usize = 4 << 20;

/// A router as others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its host.
    pub host: name::Host,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Where it takes exchanges.
    pub address: SocketAddr,
    /// How long ago it was heard of, in milliseconds.
    pub heard_ms: u64,
}

/// What a router says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// Its host.
    pub host: name::Host,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Where it takes exchanges.
    pub address: SocketAddr,
    /// The revision of the configuration that it has in force.
    pub configuration: Option<Revision>,
    /// The revision of the store up to which it knows the upstreams.
    pub upstreams: Revision,
    /// Loads of upstreams that it observed or heard of.
    pub loads: Vec<Observation>,
    /// Routers that read the store.
    pub readers: Vec<Reader>,
    /// Some of the routers that it knows.
    pub members: Vec<Member>,
}

/// A configuration as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Its revision.
    pub revision: Revision,
    /// Its bytes.
    pub value: Bytes,
}

/// The answer to a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Response {
    /// What the answering router says of itself.
    pub digest: Digest,
    /// Changes of the upstreams, for a router that is behind.
    pub upstreams: Option<Delta>,
}

/// What this router says of itself.
fn digest<P: Platform>(shared: &Shared<P>, peers: &mut Peers) -> Digest {
    let now = shared.now();
    let fleet = shared.fleet.borrow();
    Digest {
        host: shared.settings.host.clone(),
        zone: shared.settings.fleet.zone.clone(),
        address: shared.settings.control,
        configuration: shared.document().map(|document| document.revision),
        upstreams: fleet.roster().revision(),
        loads: fleet.observations(now),
        readers: shared.readers.borrow().list(now),
        members: peers.members(now),
    }
}

/// Takes what a peer says of itself.
fn take<P: Platform>(shared: &Shared<P>, peers: &mut Peers, digest: &Digest) {
    if digest.host == shared.settings.host {
        return;
    }
    let now = shared.now();
    peers.record(now, digest);
    shared.readers.borrow_mut().heard(now, &digest.readers);
    if digest.configuration > shared.revisions().0 {
        let is_local = peers.is_local(&digest.zone);
        let told = Source {
            address: digest.address,
            is_local,
        };
        shared.announcement.record(digest.configuration, told);
    }
    let mut fleet = shared.fleet.borrow_mut();
    fleet.set_routers(peers.len(now) + 1);
    fleet.observe(now, &digest.loads);
}
