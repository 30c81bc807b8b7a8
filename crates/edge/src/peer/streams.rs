//! Copies of the origins of streams at peers.
//!
//! A caller may take its stream up at any router of its availability zone, also after the router
//! that began it was killed. While several software versions run, each router therefore sends the
//! origins of its streams to two peers, chosen by rendezvous hashing of the stream, where the others
//! find them without a search. See `docs/platform.md#streams`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::future::join;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use serde::Deserialize;
use serde::Serialize;
use slog::debug;
use snafu::ResultExt as _;
use snipeusher::name;
use snipeusher::stream::Group;
use snipeusher::stream::Id;
use snipeusher::stream::Origin;
use snipeusher::stream::group;
use tokio::time::sleep;
use tokio::time::timeout;

use super::ORIGIN_PATH;
use super::ORIGINS_PATH;
use super::Peers;
use super::announcement::Reachability;
use super::client::DecodeSnafu;
use super::client::Error;
use super::holders::Holders;
use super::link::Call;
use super::link::Links;
use super::tally::Tally;
use crate::dialect::Platform;
use crate::shared::Shared;

/// Peers to which the origin of a stream is copied.
const COPIES: usize = 2;
/// Peers that are queried for the origin of a stream. One more than there are copies, since the
/// router that began the stream and the one that queries them rank different peers.
const QUERIED: usize = COPIES + 1;
/// Peers of other zones that are queried besides. One is enough to confirm the only version; others
/// take its place if it is lost.
const QUERIED_ELSEWHERE: usize = 2;
/// Time for which new origins are collected. Streams that began since the last copy cannot be
/// resumed if their router is killed.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// How often is checked whether a second version has appeared, while no streams begin.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit of sending origins to a peer.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit of a question for an origin, while a caller waits.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// A question for the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Question {
    /// The stream.
    pub stream: Id,
    /// Service that the stream's caller requests.
    pub service: name::Service,
    /// Longest time since the stream may have begun, in milliseconds.
    pub age_ms: u64,
    /// Fingerprint of the stream's holders as this router computes them.
    pub holders: u64,
}

/// A peer's answer to a question for the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Reply {
    /// What the peer knows of the stream; `None` if it knows of several versions or of an
    /// announcement, so that it cannot tell.
    pub(super) known: Option<Known>,
    /// Whether the peer computes the same holders.
    pub(super) agrees: bool,
}

/// What a peer knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Known {
    /// The peer has a record of the stream.
    Recorded(Origin),
    /// The peer knows one version of the service only, perhaps because it has not heard of a second
    /// one yet.
    Sole(Origin),
    /// The peer knows of a second version since a short time ago, and would have a record of the
    /// stream if it had begun there.
    Presumed(Origin),
}

/// What peers answered to a question for the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// A peer has a record of it.
    Recorded(Origin),
    /// No peer that answered has one, and all of them know the same version of the service only. At
    /// least one of them is in another zone, if the fleet has several, and a holder of the stream is
    /// among them or is this router.
    Sole(Origin),
    /// No peer that answered has one, and all of them know of a second version since a short time
    /// ago, before which the same version ran alone. A holder of the stream is among them or is this
    /// router, and all holders that answered compute the same ones.
    Presumed(Origin),
    /// No peer answered, or one that did has no record and cannot tell the version, or only those of
    /// the own zone did, or no holder.
    Unknown,
    /// This router is the only one.
    Alone,
}

/// Sends origins of streams to peers and asks them for others.
#[derive(Debug)]
pub struct Streams {
    pub(super) peers: Rc<RefCell<Peers>>,
    pub(super) links: Links,
    pub(super) reachability: Reachability,
}

impl Streams {
    /// Uses the peers that other tasks keep up to date.
    pub fn new(peers: Rc<RefCell<Peers>>) -> Self {
        Self {
            peers,
            links: Links::default(),
            reachability: Reachability::default(),
        }
    }

    /// Copies the origins of the streams that this router begins. Never returns.
    pub async fn copy<P: Platform>(self: Rc<Self>, shared: Rc<Shared<P>>) {
        loop {
            // After the interval the check is due whether streams have begun or not.
            let _elapsed = timeout(CHECK_INTERVAL, shared.new_origins.notified()).await;
            sleep(COLLECT_TIME).await;
            let unsent = take_unsent(&shared);
            shared.archive.defer(unsent.clone());
            let unrecorded = shared.archive.take_deferred();
            if unrecorded.is_empty() {
                continue;
            }
            let (streams, shared) = (Rc::clone(&self), Rc::clone(&shared));
            // A peer that does not answer must not delay the origins that follow.
            actix_rt::spawn(async move {
                let copies = streams.send_copies(&shared, unsent);
                let records = streams.send_to_writer(&shared, unrecorded);
                join(copies, records).await
            });
        }
    }

    /// Sends streams to the router of the zone that records them in the store. They wait while none
    /// is known.
    async fn send_to_writer<P: Platform>(&self, shared: &Shared<P>, streams: Vec<(Id, Origin)>) {
        let now = shared.now();
        let writer = shared.readers.borrow().first_of_zone(now).cloned();
        let is_own = writer.as_ref() == Some(&shared.settings.host);
        let address = writer.and_then(|writer| self.peers.borrow().address(&writer));
        if is_own {
            shared.archive.write(streams);
            return;
        }
        let is_sent = match address {
            Some(address) => self.send(shared, address, &streams).await.is_ok(),
            None => false,
        };
        if !is_sent {
            shared.archive.defer(streams);
        }
    }

    /// Sends each stream to the peers that rank first, and to the next one in place of a peer that
    /// does not receive it.
    async fn send_copies<P: Platform>(&self, shared: &Shared<P>, unsent: Vec<(Id, Origin)>) {
        let failed = self.send_to_ranked(shared, unsent, 0..COPIES).await;
        self.send_to_ranked(shared, failed, COPIES..QUERIED).await;
    }

    /// Sends each stream to the peers of these ranks; returns those that a peer did not receive.
    async fn send_to_ranked<P: Platform>(
        &self,
        shared: &Shared<P>,
        streams: Vec<(Id, Origin)>,
        ranks: Range<usize>,
    ) -> Vec<(Id, Origin)> {
        let mut batches: BTreeMap<SocketAddr, Vec<(Id, Origin)>> = BTreeMap::new();
        for (id, origin) in streams {
            let ranked = self.peers.borrow().ranked(id.0, ranks.end);
            for address in ranked.into_iter().skip(ranks.start) {
                let batch = batches.entry(address).or_default();
                batch.push((id, origin.clone()));
            }
        }
        let sends = batches.into_iter().map(|(address, batch)| async move {
            match self.send(shared, address, &batch).await {
                Ok(()) => Vec::new(),
                Err(error) => {
                    debug!(shared.log, "peer: origins of streams not sent";
                        "peer" => %address, "streams" => batch.len(), "error" => %error);
                    batch
                }
            }
        });
        join_all(sends).await.concat()
    }

    pub(super) async fn send<P: Platform>(
        &self,
        shared: &Shared<P>,
        address: SocketAddr,
        batch: &[(Id, Origin)],
    ) -> Result<(), Error> {
        let groups = group(batch.iter().cloned());
        let call = Call::post(ORIGINS_PATH, &groups)?;
        self.links
            .call(address, &shared.http, call, SEND_TIMEOUT)
            .await?;
        Ok(())
    }

    /// Queries the peers that should have a copy for the origin of a stream, its holders, and some of
    /// other zones.
    ///
    /// All routers of a zone that is cut off, from the store too, know the same old list of upstreams,
    /// so that their agreement on one version says nothing about upstreams that have joined since.
    /// A stream of a version that others do not presume is announced to all its holders, so that one
    /// holder without an announcement suffices; peers that are no holders say nothing about it.
    pub(crate) async fn query<P: Platform>(
        &self,
        shared: &Shared<P>,
        stream: Id,
        service: name::Service,
        age: Duration,
    ) -> Answer {
        if self.peers.borrow().is_alone() {
            return Answer::Alone;
        }
        let elsewhere = self
            .peers
            .borrow()
            .ranked_elsewhere(stream.0, QUERIED_ELSEWHERE);
        let holders = self.peers.borrow().holders(stream);
        let question = &Question {
            stream,
            service,
            age_ms: age.as_millis() as u64,
            holders: holders.fingerprint,
        };
        let has_other_zones = self.peers.borrow().has_other_zones();
        let is_announced = shared.origins.borrow().is_announced(stream);
        let mut tally = Tally::new(&holders, &elsewhere, has_other_zones, is_announced);
        let addresses = self.addresses_to_query(stream, &elsewhere, &holders);
        let questions = addresses.into_iter().map(|address| async move {
            let reply = self.query_peer(shared, address, question).await;
            (address, reply)
        });
        let mut questions: FuturesUnordered<_> = questions.collect();
        while let Some((address, reply)) = questions.next().await {
            match reply {
                Ok(Reply {
                    known: Some(Known::Recorded(origin)),
                    ..
                }) => return Answer::Recorded(origin),
                Ok(reply) => tally.add(address, reply),
                Err(error) => {
                    debug!(shared.log, "peer: origin of a stream not received"; "error" => %error);
                }
            }
        }
        tally.answer()
    }

    fn addresses_to_query(
        &self,
        stream: Id,
        elsewhere: &[SocketAddr],
        holders: &Holders,
    ) -> BTreeSet<SocketAddr> {
        let ranked = self.peers.borrow().ranked(stream.0, QUERIED).into_iter();
        let holders = holders.peers.iter().map(|holder| holder.address);
        ranked
            .chain(elsewhere.iter().copied())
            .chain(holders)
            .collect()
    }

    async fn query_peer<P: Platform>(
        &self,
        shared: &Shared<P>,
        address: SocketAddr,
        question: &Question,
    ) -> Result<Reply, Error> {
        let call = Call::post(ORIGIN_PATH, question)?;
        let answer = self
            .links
            .call(address, &shared.http, call, QUERY_TIMEOUT)
            .await?;
        rmp_serde::from_slice(&answer).context(DecodeSnafu)
    }
}

/// The streams whose origins peers need now.
fn take_unsent<P: Platform>(shared: &Shared<P>) -> Vec<(Id, Origin)> {
    let now = shared.now();
    let fleet = shared.fleet.borrow();
    if !fleet.has_any_several_builds(now) {
        return Vec::new();
    }
    let mut origins = shared.origins.borrow_mut();
    origins.take_unsent(now, |service| fleet.has_several_builds(now, service))
}

/// The answer to a peer's question for the origin of a stream.
pub(super) fn answer<P: Platform>(shared: &Shared<P>, peers: &Peers, question: &Question) -> Reply {
    let holders = peers.holders(question.stream);
    Reply {
        known: known(shared, question),
        agrees: holders.fingerprint == question.holders,
    }
}

/// The origin of a stream as far as this router knows it.
fn known<P: Platform>(shared: &Shared<P>, question: &Question) -> Option<Known> {
    let origins = shared.origins.borrow();
    if let Some(origin) = origins.confirmed(question.stream) {
        return Some(Known::Recorded(origin.clone()));
    }
    if origins.is_announced(question.stream) {
        return None;
    }
    let age = Duration::from_millis(question.age_ms);
    if let Some(origin) = shared.sole_origin(&question.service, age) {
        return Some(Known::Sole(origin));
    }
    let presumed = shared.presumed_origin(&question.service, age);
    presumed.map(Known::Presumed)
}

/// Records the origins that a peer sent, also in the store if this router does so for its zone.
pub(super) fn merge<P: Platform>(shared: &Shared<P>, groups: Vec<Group>) {
    let now = shared.now();
    let added = shared.origins.borrow_mut().merge(now, groups);
    let readers = shared.readers.borrow();
    if readers.first_of_zone(now) == Some(&shared.settings.host) {
        shared.archive.write(added);
    }
}
