//! Gossip between routers.
//!
//! Each router exchanges digests with its peers in turn. A digest holds the loads of upstreams,
//! observed or received from others, and the revisions of the configuration and of the upstreams
//! that the router has. A router with older upstreams receives the changes in the response. A
//! complete list of upstreams and a configuration may be far larger than a digest; a router that
//! lacks them copies them from one of the peers that announced them. So only few routers have to
//! read the store, and a router that cannot reach the store still receives all changes. Changes are
//! passed on at once. See `docs/platform.md#peers`.

mod announcement;
mod client;
mod fetch;
mod gzip;
mod holders;
mod link;
mod outage;
mod overdraft;
mod peers;
mod relay;
mod server;
mod spending;
mod streams;
mod tally;

use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use snipeusher::fetch::Source;
use snipeusher::fleet::DeclineLimit;
use snipeusher::fleet::Delta;
use snipeusher::fleet::Observation;
use snipeusher::fleet::Outage;
use snipeusher::fleet::RateLimit;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::poison;
use snipeusher::reader::Reader;
use snipeusher::route::Position;

pub use self::client::interval;
pub use self::client::run;
pub use self::fetch::Announcement;
pub use self::fetch::fetch_configurations;
pub use self::fetch::fetch_rosters;
pub use self::holders::Holder;
pub use self::holders::Holders;
pub use self::outage::report_outages;
pub use self::overdraft::hand_over_overdrafts;
pub use self::peers::Peers;
pub(crate) use self::relay::relay_uri;
pub use self::server::Control;
pub use self::spending::learn_spending;
pub use self::spending::state_spending;
pub(crate) use self::streams::Answer;
pub use self::streams::Question;
pub use self::streams::Streams;

use crate::crash;
use crate::dialect::Platform;
use crate::shared::Shared;

/// Path of digest exchanges. The version changes with the format of the digest.
const EXCHANGE_PATH: &str = "/fleet/v6/exchange";
/// Path of the configuration. It is fetched by a request of its own, since it may be far larger
/// than a digest and must not delay the other data.
const CONFIGURATION_PATH: &str = "/fleet/v6/configuration";
/// Path of the complete list of upstreams, which is as large.
const UPSTREAMS_PATH: &str = "/fleet/v6/upstreams";
/// Path of reports of unreachable upstreams. They must not wait for the next exchange.
const OUTAGE_PATH: &str = "/fleet/v6/outage";
/// Path to which the origins of streams are copied.
const ORIGINS_PATH: &str = "/fleet/v6/origins";
/// Path of announcements of streams.
const ANNOUNCEMENT_PATH: &str = "/fleet/v8/announcement";
/// Path of questions for the origin of one stream.
const ORIGIN_PATH: &str = "/fleet/v8/origin";
/// Path to which routers state what they spend of the retry budgets.
const SPENDING_PATH: &str = "/fleet/v6/spending";
/// Path of questions for what an earlier process spent.
const SPENT_PATH: &str = "/fleet/v6/spent";
/// Path to which routers hand over what they spent beyond their part of the retry budgets.
const OVERDRAFT_PATH: &str = "/fleet/v6/overdraft";
/// Largest body of a request or response between routers.
const BYTES_MAX: usize = 4 << 20;

/// A router as listed in the digests of others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Host of the router.
    pub host: name::Host,
    /// Availability zone of the router.
    pub zone: name::Zone,
    /// Address for exchanges.
    pub address: SocketAddr,
    /// Age of the last digest that it sent, in milliseconds.
    pub heard_ms: u64,
}

/// State that a router sends to its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// Host of the router.
    pub host: name::Host,
    /// Availability zone of the router.
    pub zone: name::Zone,
    /// Address for exchanges.
    pub address: SocketAddr,
    /// Position of the configuration in force.
    pub configuration: Option<Position>,
    /// Revision of the store up to which the upstreams are known.
    pub upstreams: Revision,
    /// Loads of upstreams, observed or received from other routers.
    pub loads: Vec<Observation>,
    /// Routers that read the store.
    pub readers: Vec<Reader>,
    /// Some of the known routers; the next digest lists the next ones.
    pub members: Vec<Member>,
    /// Crashes of upstreams, and prompt parts that are blocked for them.
    pub poison: poison::Report,
    /// Rate limits that upstreams stated to this router or others.
    pub rate_limits: Vec<RateLimit>,
    /// Services of which the router can reach no upstream.
    pub unreachable: Vec<name::Service>,
    /// How many requests upstreams can decline, by service.
    pub decline_limits: Vec<DeclineLimit>,
}

/// A report of what a router cannot reach, to peers of its availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutageReport {
    /// Host of the router.
    pub host: name::Host,
    /// Availability zone of the router; what is unreachable there may be reachable elsewhere.
    pub zone: name::Zone,
    /// What it cannot reach.
    pub outage: Outage,
}

/// A configuration as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Revision of the store that set it.
    pub revision: Revision,
    /// The stored bytes.
    pub value: Bytes,
}

/// The response to a digest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Response {
    /// State of the responding router.
    pub digest: Digest,
    /// Changes of the upstreams, if the requesting router has an older revision but does not need
    /// the complete list.
    pub upstreams: Option<Delta>,
}

/// Builds the digest of this router.
fn digest<P: Platform>(shared: &Shared<P>, peers: &mut Peers) -> Digest {
    let now = shared.now();
    let fleet = shared.fleet.borrow();
    Digest {
        host: shared.settings.host.clone(),
        zone: shared.settings.fleet.zone.clone(),
        address: shared.settings.control,
        configuration: shared.document().map(|document| document.position),
        upstreams: fleet.roster().revision(),
        loads: fleet.observations(now),
        readers: shared.readers.borrow().list(now),
        members: peers.members(now),
        poison: shared.poison.borrow().report(now),
        rate_limits: fleet.rate_limits(now),
        unreachable: fleet.unreachable_services(),
        decline_limits: fleet.decline_limits(now),
    }
}

/// Merges a digest received from a peer.
fn merge<P: Platform>(shared: &Shared<P>, peers: &mut Peers, digest: &Digest) {
    if digest.host == shared.settings.host {
        return;
    }
    let now = shared.now();
    peers.record(now, digest);
    let mut readers = shared.readers.borrow_mut();
    readers.merge(now, &digest.readers);
    let mut stated = digest.readers.iter();
    if !stated.any(|reader| reader.host == digest.host) {
        // The store no longer answers it, or it was one before a restart.
        if readers.record_unavailable(now, &digest.host) {
            shared.reader_lost.notify_one();
        }
    }
    drop(readers);
    if let Some(position) = digest.configuration
        && digest.configuration > shared.revisions().0
    {
        let source = source(peers, digest);
        shared.configurations.record(shared, position, source);
    }
    let blocked = shared.poison.borrow_mut().merge(now, &digest.poison);
    crash::log_blocked(shared, &blocked, "peer");
    let mut fleet = shared.fleet.borrow_mut();
    fleet.set_routers(peers.len(now) + 1);
    fleet.set_hosts(now, &shared.settings.host, peers.hosts(now));
    fleet.merge_observations(now, &digest.loads);
    fleet.merge_rate_limits(now, &digest.rate_limits);
    fleet.merge_decline_limits(now, &digest.decline_limits);
}

/// The sender of a digest as a source of the data that it announces.
fn source(peers: &Peers, digest: &Digest) -> Source<SocketAddr> {
    Source {
        address: digest.address,
        is_local: peers.is_local(&digest.zone),
    }
}
