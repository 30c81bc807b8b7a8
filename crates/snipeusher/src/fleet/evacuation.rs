//! Evacuations of availability zones, as the store lists them.
//!
//! Operators evacuate a zone by writing a key, and end the evacuation by removing it. The last
//! statement about a zone by (era, revision) counts, in whatever order statements arrive. See
//! `docs/design/evacuation.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::roster::OUTAGE_RETENTION;
use crate::kv::Revision;
use crate::name;
use crate::time::Time;

/// Ends of evacuations kept for deltas. A peer that has missed more of them gets the complete list.
const ENDED_MAX: usize = 64;

/// A statement about the evacuation of a zone, sent from router to router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// The zone.
    pub zone: name::Zone,
    /// Revision of the store that began or ended it.
    pub revision: Revision,
    /// Milliseconds for which it stays in force although the store no longer lists it, zero if it
    /// has ended; `None` while the store lists it.
    pub keep_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The store lists it.
    Listed,
    /// A restored store lacks it, but it may be written again until this time.
    Retained(Time),
    /// It was removed. The revision protects against earlier writes that arrive late.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    revision: Revision,
    state: State,
}

impl Row {
    fn is_in_force(&self, now: Time) -> bool {
        match self.state {
            State::Listed => true,
            State::Retained(until) => now < until,
            State::Ended => false,
        }
    }
}

/// Evacuations in force, and ends of earlier ones.
#[derive(Clone, Debug, Default)]
pub(super) struct Evacuations {
    rows: BTreeMap<name::Zone, Row>,
    /// Highest revision of an end that is no longer kept.
    forgotten: Revision,
}

impl Evacuations {
    /// Whether a zone is evacuated.
    pub(super) fn has(&self, now: Time, zone: &name::Zone) -> bool {
        self.rows.get(zone).is_some_and(|row| row.is_in_force(now))
    }

    /// Evacuated zones, each with the revision that evacuated it.
    pub(super) fn in_force(&self, now: Time) -> impl Iterator<Item = (&name::Zone, Revision)> {
        let rows = self.rows.iter();
        let rows = rows.filter(move |(_, row)| row.is_in_force(now));
        rows.map(|(zone, row)| (zone, row.revision))
    }

    /// Highest revision of an end that is no longer kept.
    pub(super) const fn forgotten(&self) -> Revision {
        self.forgotten
    }

    /// Records that the key of a zone was written.
    pub(super) fn begin(&mut self, zone: name::Zone, revision: Revision) {
        self.record(zone, revision, State::Listed);
    }

    /// Records that the key of a zone was removed.
    pub(super) fn end(&mut self, zone: name::Zone, revision: Revision) {
        self.record(zone, revision, State::Ended);
    }

    /// Applies a complete list at a revision. What it lacks has ended, or is retained.
    pub(super) fn replace(
        &mut self,
        revision: Revision,
        listed: &BTreeMap<name::Zone, Revision>,
        retained_until: Option<Time>,
    ) {
        let zones = listed.keys().collect();
        self.drop_unlisted(revision, &zones, retained_until);
        for (zone, revision) in listed {
            self.begin(zone.clone(), *revision);
        }
    }

    /// Applies the statements of a peer's delta, whose complete list is at `complete` if it is one.
    pub(super) fn merge(
        &mut self,
        now: Time,
        complete: Option<Revision>,
        statements: Vec<Evacuation>,
        retained_until: Option<Time>,
    ) {
        if let Some(revision) = complete {
            let zones = statements.iter().map(|statement| &statement.zone).collect();
            self.drop_unlisted(revision, &zones, retained_until);
        }
        for statement in statements {
            let state = match statement.keep_ms {
                None => State::Listed,
                Some(0) => State::Ended,
                Some(ms) => {
                    let keep = Duration::from_millis(ms).min(OUTAGE_RETENTION);
                    State::Retained(now + keep)
                }
            };
            self.record(statement.zone, statement.revision, state);
        }
    }

    /// Statements after a revision, or those in force, for a complete list.
    pub(super) fn changes_since(&self, now: Time, revision: Option<Revision>) -> Vec<Evacuation> {
        let rows = self.rows.iter().filter(|(_, row)| match revision {
            Some(revision) => row.revision > revision,
            None => row.is_in_force(now),
        });
        let statements = rows.map(|(zone, row)| Evacuation {
            zone: zone.clone(),
            revision: row.revision,
            keep_ms: match row.state {
                State::Listed => None,
                State::Retained(until) => Some(until.since(now).as_millis() as u64),
                State::Ended => Some(0),
            },
        });
        statements.collect()
    }

    /// When the next retained evacuation ends.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        let states = self.rows.values().map(|row| row.state);
        let ends = states.filter_map(|state| match state {
            State::Retained(until) => Some(until),
            State::Listed | State::Ended => None,
        });
        ends.min()
    }

    /// Ends retained evacuations that were not written again in time.
    pub(super) fn expire(&mut self, now: Time) {
        let rows = self.rows.values_mut();
        for row in rows.filter(|row| row.state != State::Ended && !row.is_in_force(now)) {
            row.state = State::Ended;
        }
        self.forget();
    }

    fn record(&mut self, zone: name::Zone, revision: Revision, state: State) {
        let known = self.rows.get(&zone);
        if known.is_some_and(|known| known.revision >= revision) {
            return;
        }
        let state = match (known.map(|known| known.state), state) {
            // Routers that repeat each other's statements must not retain it for longer.
            (Some(State::Retained(known)), State::Retained(until)) => {
                State::Retained(until.min(known))
            }
            _ => state,
        };
        self.rows.insert(zone, Row { revision, state });
        self.forget();
    }

    /// Ends or retains the evacuations that a complete list at a revision lacks. One that is retained
    /// already takes the revision, since it may have been written and removed again before it.
    fn drop_unlisted(
        &mut self,
        revision: Revision,
        listed: &BTreeSet<&name::Zone>,
        retained_until: Option<Time>,
    ) {
        let rows = self.rows.iter_mut().filter(|(zone, row)| {
            row.state != State::Ended && row.revision <= revision && !listed.contains(zone)
        });
        for (_, row) in rows {
            row.revision = revision;
            if row.state == State::Listed {
                row.state = retained_until.map_or(State::Ended, State::Retained);
            }
        }
        self.forget();
    }

    /// Drops the oldest ends beyond the number that is kept.
    fn forget(&mut self) {
        let ended = self.rows.iter();
        let ended = ended.filter(|(_, row)| row.state == State::Ended);
        let mut ended: Vec<(Revision, name::Zone)> = ended
            .map(|(zone, row)| (row.revision, zone.clone()))
            .collect();
        if ended.len() <= ENDED_MAX {
            return;
        }
        ended.sort_unstable();
        for (revision, zone) in ended.drain(..ended.len() - ENDED_MAX) {
            self.rows.remove(&zone);
            self.forgotten = self.forgotten.max(revision);
        }
    }
}
