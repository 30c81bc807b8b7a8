//! What peers have in flight, for as long as it means something.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::load;
use crate::name;
use crate::time::Time;
use crate::wire;

/// How long a share counts without being repeated. Peers of other zones are heard every few
/// seconds with today's budget.
const EXPIRE_AFTER: Duration = Duration::from_secs(10);

/// The last share of each peer.
#[derive(Debug, Default)]
pub(super) struct Shares {
    map: BTreeMap<name::Host, (Time, load::Share)>,
}

impl Shares {
    /// Takes a peer's loads; gives the share if it changed.
    pub(super) fn take(
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
        let known = self.map.insert(host.clone(), (now, share.clone()));
        let old = known.map(|(_, share)| share).unwrap_or_default();
        (old != share).then_some(share)
    }

    /// Drops shares that are too old; gives the peers whose share was not empty.
    pub(super) fn expire(&mut self, now: Time) -> Vec<name::Host> {
        let mut expired = Vec::new();
        self.map.retain(|host, (heard, share)| {
            let keep = now.since(*heard) < EXPIRE_AFTER;
            if !keep && *share != load::Share::default() {
                expired.push(host.clone());
            }
            keep
        });
        expired
    }
}
