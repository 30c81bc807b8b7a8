//! What routers tell each other.
//!
//! Each router exchanges a digest with one peer after the other: how many requests it has at each
//! upstream, and which revisions of the store's documents it knows. Whoever is behind gets the
//! documents, so that a router which the store turns away still learns them. See
//! `docs/platform.md#peers`.

mod book;
mod client;
mod server;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use snipeusher::fleet::Snapshot;
use snipeusher::kv::Revision;
use snipeusher::name;

pub use self::book::Book;
pub use self::client::run;
pub use self::server::Control;

use crate::dialect::Platform;
use crate::shared::Shared;

/// Path of the exchange.
const PATH: &str = "/fleet/v2/exchange";
/// Most bytes of a digest or an answer.
const BYTES_MAX: usize = 4 << 20;

/// A router as others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its host.
    pub host: name::Host,
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
    /// Where it takes exchanges.
    pub address: SocketAddr,
    /// The revision of the configuration that it has in force.
    pub configuration: Option<Revision>,
    /// The revision of the store up to which it knows the upstreams.
    pub upstreams: Revision,
    /// Its requests in flight at each upstream.
    pub requests: BTreeMap<name::Upstream, u32>,
    /// The routers that it knows.
    pub members: Vec<Member>,
}

/// A configuration as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Its revision.
    pub revision: Revision,
    /// Its bytes.
    pub value: Vec<u8>,
}

/// The answer to a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// What the answering router says of itself.
    pub digest: Digest,
    /// The configuration, for a router that is behind.
    pub configuration: Option<Configuration>,
    /// The upstreams, for a router that is behind.
    pub upstreams: Option<Snapshot>,
}

/// What this router says of itself.
fn digest<P: Platform>(shared: &Shared<P>, book: &Book) -> Digest {
    let fleet = shared.fleet.borrow();
    Digest {
        host: shared.settings.host.clone(),
        address: shared.settings.control,
        configuration: shared.document().map(|document| document.revision),
        upstreams: fleet.roster().revision(),
        requests: fleet.own(),
        members: book.members(shared.now()),
    }
}

/// Takes what a peer says of itself.
fn take<P: Platform>(shared: &Shared<P>, book: &mut Book, digest: Digest) {
    if digest.host == shared.settings.host {
        return;
    }
    let now = shared.now();
    book.heard(now, &digest);
    let mut fleet = shared.fleet.borrow_mut();
    fleet.set_routers(book.len(now) + 1);
    fleet.told(now, digest.host, digest.requests);
}
