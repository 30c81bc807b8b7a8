//! Shares of load reported by peers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::load;
use crate::name;
use crate::time::Time;
use crate::wire;

/// How long a share is valid without a new report. With the current budget, a report from another
/// zone arrives every few seconds.
const EXPIRE_AFTER: Duration = Duration::from_secs(10);

/// The latest share of each peer.
#[derive(Debug, Default)]
pub(super) struct Shares {
    map: BTreeMap<name::Host, (Time, load::Share)>,
}

impl Shares {
    /// Records a peer's report; returns the share if it changed.
    pub(super) fn record(
        &mut self,
        now: Time,
        host: &name::Host,
        loads: Vec<wire::Load>,
        usages: Vec<wire::Usage>,
    ) -> Option<load::Share> {
        let in_flight = loads.into_iter().map(|load| (load.upstream, load.work));
        let mut share = load::Share {
            in_flight: in_flight.collect(),
            ..load::Share::default()
        };
        for usage in usages {
            share.running.insert(usage.workspace.clone(), usage.running);
            share.waiting.insert(usage.workspace, usage.waiting);
        }
        let previous = self.map.insert(host.clone(), (now, share.clone()));
        let old = previous.map(|(_, share)| share).unwrap_or_default();
        (old != share).then_some(share)
    }

    /// Removes expired shares; returns the peers whose share was not empty.
    pub(super) fn expire(&mut self, now: Time) -> Vec<name::Host> {
        let mut expired = Vec::new();
        self.map.retain(|host, (received, share)| {
            let keep = now.since(*received) < EXPIRE_AFTER;
            if !keep && *share != load::Share::default() {
                expired.push(host.clone());
            }
            keep
        });
        expired
    }
}
