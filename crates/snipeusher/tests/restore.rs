//! Rosters of three routers while the store is restored from older copies and messages between the
//! routers are late, repeated and out of order.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use proptest::prelude::*;
use snipeusher::fleet::Delta;
use snipeusher::fleet::Entry;
use snipeusher::fleet::Roster;
use snipeusher::kv::Era;
use snipeusher::kv::Revision;
use snipeusher::name;
use snipeusher::time::Time;

const ROUTERS: usize = 3;
const UPSTREAMS: usize = 4;
/// Longer than entries are retained after a restore.
const SETTLED_MS: u64 = 10_000;

/// What happens next.
#[derive(Clone, Debug)]
enum Step {
    /// An upstream writes its entry.
    Write { upstream: usize, draining: bool },
    /// The store removes an entry.
    Remove { upstream: usize },
    /// The store comes back from a copy this many writes old.
    Restore { lost: usize },
    /// A router lists the store.
    List { router: usize },
    /// A router answers another one; the message waits.
    Answer { from: usize, to: usize },
    /// A waiting message arrives; it may arrive again.
    Deliver { message: usize, again: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let upstream = 0..UPSTREAMS;
    let router = 0..ROUTERS;
    prop_oneof![
        4 => (upstream.clone(), any::<bool>())
            .prop_map(|(upstream, draining)| Step::Write { upstream, draining }),
        1 => upstream.prop_map(|upstream| Step::Remove { upstream }),
        1 => (0..6_usize).prop_map(|lost| Step::Restore { lost }),
        3 => router.clone().prop_map(|router| Step::List { router }),
        4 => (router.clone(), router).prop_map(|(from, to)| Step::Answer { from, to }),
        4 => (0..8_usize, any::<bool>())
            .prop_map(|(message, again)| Step::Deliver { message, again }),
    ]
}

/// A store that can be restored from an earlier copy of itself.
#[derive(Default)]
struct Store {
    era: u64,
    /// Each write: the upstream and its entry, or `None` for a removal.
    writes: Vec<(usize, Option<Entry>)>,
    incarnations: u64,
}

impl Store {
    fn revision(&self, number: usize) -> Revision {
        Revision {
            era: Era(self.era),
            number: number as u64,
        }
    }

    fn write(&mut self, upstream: usize, draining: bool) {
        // A draining upstream keeps its incarnation; a ready one has just started.
        self.incarnations += u64::from(!draining);
        let entry = Entry {
            id: name::Upstream::from(format!("u{upstream}")),
            service: name::Service::from("letters"),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
            zone: name::Zone::from("here"),
            build: name::Build::from("v1"),
            slots: None,
            draining,
            incarnation: name::Incarnation(self.incarnations),
            revision: Revision::default(),
            cold_ms: 0,
        };
        self.writes.push((upstream, Some(entry)));
    }

    fn list(&self) -> Vec<Entry> {
        let mut entries = BTreeMap::new();
        for (number, (upstream, entry)) in (1..).zip(&self.writes) {
            match entry {
                Some(entry) => {
                    let revision = self.revision(number);
                    entries.insert(
                        upstream,
                        Entry {
                            revision,
                            ..entry.clone()
                        },
                    );
                }
                None => {
                    entries.remove(upstream);
                }
            }
        }
        entries.into_values().collect()
    }

    fn list_to(&self, roster: &mut Roster, now: Time) {
        roster.replace_all(now, self.revision(self.writes.len()), self.list());
    }
}

fn ready(roster: &Roster, now: Time) -> Vec<(name::Upstream, name::Incarnation)> {
    let ready = roster.ready(now);
    ready
        .map(|entry| (entry.id.clone(), entry.incarnation))
        .collect()
}

proptest! {
    /// Guards against a router that goes back from a newer to an older state of the store, and
    /// against routers that never agree after a restore.
    #[test]
    fn routers_never_go_back_and_agree_in_the_end(
        steps in proptest::collection::vec(step(), 1..80),
    ) {
        let mut store = Store::default();
        let mut rosters: Vec<Roster> = vec![Roster::default(); ROUTERS];
        let mut messages: Vec<(usize, Delta)> = Vec::new();
        for (index, step) in (0..).zip(steps) {
            let now = Time::from_millis(index * 100);
            let before: Vec<Revision> = rosters.iter().map(Roster::revision).collect();
            match step {
                Step::Write { upstream, draining } => store.write(upstream, draining),
                Step::Remove { upstream } => store.writes.push((upstream, None)),
                Step::Restore { lost } => {
                    store.era += 1;
                    let kept = store.writes.len().saturating_sub(lost);
                    store.writes.truncate(kept);
                }
                Step::List { router } => store.list_to(&mut rosters[router], now),
                Step::Answer { from, to } => {
                    let delta = rosters[from].changes_since(now, rosters[to].revision());
                    messages.push((to, delta));
                }
                Step::Deliver { message, again } if message < messages.len() => {
                    let (to, delta) = messages[message].clone();
                    if !again {
                        messages.remove(message);
                    }
                    rosters[to].merge(now, delta);
                }
                Step::Deliver { .. } => {}
            }
            for (roster, before) in rosters.iter().zip(before) {
                prop_assert!(roster.revision() >= before, "{:?} < {before:?}", roster.revision());
            }
        }
        // Every upstream starts anew, one router hears it from the store, the others from it.
        for upstream in 0..UPSTREAMS {
            store.write(upstream, false);
        }
        let now = Time::from_millis(SETTLED_MS + 8_000);
        store.list_to(&mut rosters[0], now);
        for router in 1..ROUTERS {
            let delta = rosters[0].changes_since(now, rosters[router].revision());
            rosters[router].merge(now, delta);
        }
        let later = Time::from_millis(2 * SETTLED_MS + 8_000);
        let expected: Vec<_> = store
            .list()
            .into_iter()
            .map(|entry| (entry.id, entry.incarnation))
            .collect();
        for roster in &mut rosters {
            roster.expire(later);
            prop_assert_eq!(ready(roster, later), expected.clone());
        }
    }
}
