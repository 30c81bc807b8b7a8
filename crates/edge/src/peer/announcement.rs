//! Announcements of streams that begin at another version than peers presume.
//!
//! For some seconds after a second software version appeared, routers presume that a stream without
//! a record began at the version before. A stream of another version is therefore announced to all
//! its holders before its caller receives an event: whichever of them is asked then presumes
//! nothing. Its origin follows once the event is passed on. See `docs/design/stream-holders.md`.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use serde::Deserialize;
use serde::Serialize;
use slog::debug;
use snafu::ResultExt as _;
use snipeusher::name;
use snipeusher::stream::Id;
use snipeusher::stream::Origin;
use snipeusher::time::Time;

use super::ANNOUNCEMENT_PATH;
use super::Peers;
use super::client::DecodeSnafu;
use super::client::Error;
use super::holders::Holder;
use super::holders::Holders;
use super::link::Call;
use super::peers::HOLDER_FOR;
use super::streams::Streams;
use crate::dialect::Platform;
use crate::shared::Shared;

/// Time limit of announcing a stream, while its caller waits for the first event. Holders
/// acknowledge it within some milliseconds; longer pauses would show in the stream.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(80);
/// Time for which no stream is announced after a holder computed other holders than this router.
/// Routers agree again once digests have told them of the same peers.
const DISAGREEMENT_PAUSE: Duration = Duration::from_secs(5);

/// An announcement of a stream to one of its holders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Message {
    /// The stream.
    stream: Id,
    /// What it begins at.
    origin: Origin,
    /// Fingerprint of its holders as the sender computes them.
    holders: u64,
}

/// A holder's answer to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Acknowledgement {
    /// Whether the holder computes the same holders.
    agrees: bool,
}

/// Which announcements can be expected to be acknowledged.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    /// When a holder last failed to acknowledge one.
    failed_at: RefCell<BTreeMap<name::Host, Time>>,
    /// When a holder last computed other holders.
    disagreed_at: Cell<Option<Time>>,
}

impl Reachability {
    /// Whether all holders may acknowledge an announcement. One that failed to do so may again once
    /// a later digest of it was received anywhere.
    fn admits(&self, now: Time, holders: &Holders, peers: &Peers) -> bool {
        let disagreed_at = self.disagreed_at.get();
        let failed_at = self.failed_at.borrow();
        let is_silent = |holder: &Holder| {
            let failed_at = failed_at.get(&holder.host);
            failed_at.is_some_and(|at| {
                let seen = peers.last_seen(&holder.host);
                seen.is_none_or(|seen| seen <= *at)
            })
        };
        disagreed_at.is_none_or(|at| now.since(at) >= DISAGREEMENT_PAUSE)
            && !holders.peers.iter().any(is_silent)
    }

    fn record_failure(&self, now: Time, host: &name::Host) {
        let mut failed_at = self.failed_at.borrow_mut();
        failed_at.retain(|_, at| now.since(*at) < HOLDER_FOR);
        failed_at.insert(host.clone(), now);
    }

    fn record_success(&self, host: &name::Host) {
        self.failed_at.borrow_mut().remove(host);
    }
}

impl Streams {
    /// Whether an announcement of a stream can be expected to be acknowledged by all its holders.
    pub(crate) fn can_announce<P: Platform>(&self, shared: &Shared<P>, id: Id) -> bool {
        let peers = self.peers.borrow();
        let holders = peers.holders(id);
        let is_held = peers.is_alone() || !holders.peers.is_empty();
        is_held && self.reachability.admits(shared.now(), &holders, &peers)
    }

    /// Announces a stream to its holders. Returns whether all of them acknowledged it and compute
    /// the same holders, so that none of those that a peer asks presumes another version. A router
    /// that knows no peer has nobody to announce it to, unless it is the only one.
    pub(crate) async fn announce<P: Platform>(
        &self,
        shared: &Shared<P>,
        id: Id,
        origin: &Origin,
    ) -> bool {
        let holders = self.peers.borrow().holders(id);
        if holders.peers.is_empty() {
            return self.peers.borrow().is_alone();
        }
        let announcement = Message {
            stream: id,
            origin: origin.clone(),
            holders: holders.fingerprint,
        };
        let sends = holders.peers.iter();
        let began = shared.now();
        let sends = sends.map(|holder| self.announce_to(shared, began, holder, &announcement));
        let acknowledged = join_all(sends).await;
        acknowledged
            .into_iter()
            .all(|is_acknowledged| is_acknowledged)
    }

    /// Announces a stream to one holder. Returns whether it acknowledged this.
    async fn announce_to<P: Platform>(
        &self,
        shared: &Shared<P>,
        began: Time,
        holder: &Holder,
        announcement: &Message,
    ) -> bool {
        match self.send_announcement(shared, holder, announcement).await {
            Ok(Acknowledgement { agrees: true }) => {
                self.reachability.record_success(&holder.host);
                true
            }
            Ok(Acknowledgement { agrees: false }) => {
                self.reachability.disagreed_at.set(Some(shared.now()));
                debug!(shared.log, "peer: holders of a stream computed differently";
                    "id" => announcement.stream.0, "peer" => %holder.address);
                false
            }
            Err(error) => {
                self.reachability.record_failure(began, &holder.host);
                debug!(shared.log, "peer: stream not announced";
                    "id" => announcement.stream.0, "peer" => %holder.address, "error" => %error);
                false
            }
        }
    }

    async fn send_announcement<P: Platform>(
        &self,
        shared: &Shared<P>,
        holder: &Holder,
        announcement: &Message,
    ) -> Result<Acknowledgement, Error> {
        let call = Call::post(ANNOUNCEMENT_PATH, announcement)?;
        let answer = self
            .links
            .call(holder.address, &shared.http, call, ANNOUNCE_TIMEOUT)
            .await?;
        rmp_serde::from_slice(&answer).context(DecodeSnafu)
    }

    /// Sends the origin of an announced stream to its holders, without waiting for them.
    pub(crate) fn confirm<P: Platform>(
        self: &Rc<Self>,
        shared: &Rc<Shared<P>>,
        id: Id,
        origin: Origin,
    ) {
        let holders = self.peers.borrow().holders(id);
        let (streams, shared) = (Rc::clone(self), Rc::clone(shared));
        actix_rt::spawn(async move {
            let batch = [(id, origin)];
            let sends = holders.peers.iter();
            let sends = sends.map(|holder| streams.send(&shared, holder.address, &batch));
            for sent in join_all(sends).await {
                if let Err(error) = sent {
                    debug!(shared.log, "peer: origins of streams not sent";
                        "streams" => 1, "error" => %error);
                }
            }
        });
    }
}

/// Records an announcement of a peer's stream.
pub(super) fn accept<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    announcement: Message,
) -> Acknowledgement {
    let holders = peers.holders(announcement.stream);
    let mut origins = shared.origins.borrow_mut();
    origins.announce(shared.now(), announcement.stream, announcement.origin);
    Acknowledgement {
        agrees: holders.fingerprint == announcement.holders,
    }
}
