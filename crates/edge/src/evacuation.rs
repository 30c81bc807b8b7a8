//! Evacuations of availability zones: decodes their keys and logs their progress.

use std::collections::BTreeMap;

use slog::info;
use slog::warn;
use snipeusher::fleet::Milestone;
use snipeusher::fleet::Stage;
use snipeusher::fleet::Update;
use snipeusher::kv;
use snipeusher::kv::Revision;
use snipeusher::name;

use crate::dialect::Platform;
use crate::shared::Shared;

/// The zones that the listed keys evacuate, each with the revision that wrote its key.
pub(crate) fn listed<P: Platform>(
    shared: &Shared<P>,
    entries: &[kv::Entry],
) -> BTreeMap<name::Zone, Revision> {
    let zones = entries.iter().filter_map(|entry| {
        let zone = zone(shared, &entry.key, entry.modified)?;
        Some((zone, entry.modified))
    });
    zones.collect()
}

/// The update for a written key; `None` if it evacuates no zone.
pub(crate) fn written<P: Platform>(shared: &Shared<P>, entry: &kv::Entry) -> Option<Update> {
    let zone = zone(shared, &entry.key, entry.modified)?;
    Some(Update::Evacuated(zone, entry.modified))
}

/// The update for a removed key; `None` if it evacuated no zone.
pub(crate) fn removed<P: Platform>(
    shared: &Shared<P>,
    key: &str,
    revision: Revision,
) -> Option<Update> {
    let zone = shared.platform.evacuated(key)?.ok()?;
    Some(Update::EvacuationEnded(zone, revision))
}

/// The zone that a key written at a revision evacuates. A key that names none is logged when it is
/// new to this router.
fn zone<P: Platform>(shared: &Shared<P>, key: &str, revision: Revision) -> Option<name::Zone> {
    match shared.platform.evacuated(key)? {
        Ok(zone) => Some(zone),
        Err(error) => {
            if revision > shared.revisions().1 {
                warn!(shared.log, "zone: evacuation ignored";
                    "revision" => revision.number, "error" => %error);
            }
            None
        }
    }
}

/// Logs the evacuations that began, ended or have no more requests in flight. Those that were
/// retained until now end, also if no request arrives.
pub(crate) fn log<P: Platform>(shared: &Shared<P>) {
    let now = shared.now();
    let mut fleet = shared.fleet.borrow_mut();
    fleet.expire(now);
    let milestones = fleet.take_milestones();
    drop(fleet);
    for milestone in milestones {
        log_milestone(shared, &milestone);
    }
}

fn log_milestone<P: Platform>(shared: &Shared<P>, milestone: &Milestone) {
    let message = match milestone.stage {
        Stage::Evacuated if milestone.upstreams == 0 => "zone: evacuated, it has no upstreams",
        Stage::Evacuated => "zone: evacuated",
        Stage::Drained => "zone: last request ended",
        Stage::Ended => "zone: evacuation ended",
    };
    info!(shared.log, "{}", message;
        "zone" => milestone.zone.as_str(), "revision" => milestone.revision.number,
        "source" => milestone.source.as_str(), "upstreams" => milestone.upstreams,
        "open" => milestone.in_flight);
}
