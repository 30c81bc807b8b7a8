//! Stateful test of a lease with several processes that pause, lose calls and restart. It guards
//! against two holders at a time, against an order of an old holder that a checking engine
//! accepts, and against a new holder that orders too early from an engine that checks nothing.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use rstest::rstest;
use snipeusher::kv::Call;
use snipeusher::kv::Op;
use snipeusher::kv::Range;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::kv::Txn;
use snipeusher::lease::Action;
use snipeusher::lease::Candidate;
use snipeusher::lease::Event;
use snipeusher::lease::Owner;
use snipeusher::lease::Settings;
use snipeusher::name::Incarnation;
use snipeusher::time::Time;

use self::support::Network;
use self::support::Way;

const PROCESSES: usize = 3;
const KEY: &str = "fleet/orders/zone";
const TTL_S: u64 = 10;
const GUARD: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
enum Transition {
    Tick { process: usize },
    Carry { nth: usize, way: Way },
    Stray { nth: usize },
    Pass { ms: u64 },
    Order { process: usize },
    Arrive { nth: usize },
    Watch { process: usize, back: usize },
    Stop { process: usize },
    Restart { process: usize },
    Elsewhere,
}

#[derive(Debug)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        let process = 0..PROCESSES;
        let way = prop_oneof![
            6 => Just(Way::Reply),
            2 => Just(Way::Effect),
            1 => Just(Way::Lose),
            1 => Just(Way::NotSent),
            1 => Just(Way::Refuse),
        ];
        let ms = prop_oneof![4 => 1..500_u64, 3 => 500..4_000_u64, 1 => 4_000..40_000_u64];
        prop_oneof![
            8 => process.clone().prop_map(|process| Transition::Tick { process }),
            10 => (any::<usize>(), way).prop_map(|(nth, way)| Transition::Carry { nth, way }),
            2 => any::<usize>().prop_map(|nth| Transition::Stray { nth }),
            6 => ms.prop_map(|ms| Transition::Pass { ms }),
            6 => process.clone().prop_map(|process| Transition::Order { process }),
            4 => any::<usize>().prop_map(|nth| Transition::Arrive { nth }),
            3 => (process.clone(), 0..4_usize)
                .prop_map(|(process, back)| Transition::Watch { process, back }),
            1 => process.clone().prop_map(|process| Transition::Stop { process }),
            1 => process.prop_map(|process| Transition::Restart { process }),
            2 => Just(Transition::Elsewhere),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

/// What the oracle knows of a hold.
#[derive(Debug)]
struct Hold {
    process: usize,
    incarnation: u64,
    last_act: Time,
}

#[derive(Debug)]
struct Fleet {
    network: Network,
    holders: Vec<Candidate>,
    incarnations: Vec<u64>,
    /// When the store gave out each token.
    created: BTreeMap<Revision, Time>,
    /// Every hold that acted, by its fencing token.
    holds: BTreeMap<Revision, Hold>,
    orders: Vec<Revision>,
    /// The highest token that the engine has accepted.
    accepted: Revision,
}

fn open(process: usize, incarnation: u64, now: Time) -> Candidate {
    let settings = Settings {
        key: KEY.to_owned(),
        owner: Owner {
            host: format!("router-{process}").into(),
            incarnation: Incarnation(incarnation),
        },
        ttl_s: TTL_S,
        guard: GUARD,
    };
    Candidate::new(settings, now, incarnation * 10 + process as u64).unwrap()
}

impl Fleet {
    fn handle(&mut self, process: usize, event: Event) {
        let now = self.network.now;
        self.holders[process].handle(now, event);
        let actions: Vec<_> = self.holders[process].drain().collect();
        for action in actions {
            match action {
                Action::Call { id, call } => self.network.send(process, id, call),
                Action::Acquired(fence) => {
                    assert_eq!(self.holders[process].fence(now), Some(fence));
                }
                Action::Lapsed => assert_eq!(self.holders[process].fence(now), None),
            }
        }
    }

    /// The holder checks its right and sends an order, which may arrive at any later time.
    fn order(&mut self, process: usize) {
        let now = self.network.now;
        let Some(fence) = self.holders[process].fence(now) else {
            return;
        };
        if self.holders[process].guarded_fence(now).is_some() {
            assert!(
                now.since(self.created[&fence]) >= GUARD,
                "an order right after the claim"
            );
            for (other, hold) in &self.holds {
                let quiet = *other == fence || now.since(hold.last_act) >= GUARD;
                assert!(
                    quiet,
                    "{fence:?} orders {:?} after {hold:?}",
                    now.since(hold.last_act)
                );
            }
        }
        let incarnation = self.incarnations[process];
        let hold = Hold {
            process,
            incarnation,
            last_act: now,
        };
        if let Some(before) = self.holds.insert(fence, hold) {
            let same = (before.process, before.incarnation) == (process, incarnation);
            assert!(same, "token {fence:?} was that of {before:?}");
        }
        self.orders.push(fence);
    }

    /// An engine that checks refuses tokens below the highest one that it has seen.
    fn arrive(&mut self, nth: usize) {
        if self.orders.is_empty() {
            return;
        }
        let fence = self.orders.remove(nth % self.orders.len());
        if fence < self.accepted {
            return;
        }
        self.accepted = fence;
        // The store's log tells which holder came last, whatever the tokens say.
        let log = self.network.memory.log(Revision(0));
        let creations = log.iter().flat_map(|write| &write.entries);
        let held = creations
            .filter(|entry| entry.key == KEY)
            .any(|entry| entry.created == fence);
        assert!(held, "no holder ever had token {fence:?}");
    }

    fn carry(&mut self, nth: usize, way: Way) {
        if let Some((process, id, result)) = self.network.carry(nth, way) {
            self.handle(process, Event::Reply { id, result });
        }
    }

    fn write_elsewhere(&mut self) {
        let put = Op::Put {
            key: "elsewhere".to_owned(),
            value: Vec::new(),
            lease: None,
        };
        let txn = Txn {
            success: vec![put],
            ..Txn::default()
        };
        let now = self.network.now;
        self.network.memory.call(now, &Call::Txn(txn)).unwrap();
    }

    /// A watch shows the key as it was some changes ago.
    fn watch(&mut self, process: usize, back: usize) {
        let log = self.network.memory.log(Revision(0));
        let Some(write) = log.iter().rev().nth(back) else {
            return;
        };
        let entry = write.entries.iter().find(|entry| entry.key == KEY).cloned();
        let revision = write.revision;
        self.handle(process, Event::Observed { entry, revision });
    }
}

struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = Fleet;
    type Reference = Reference;

    fn init_test((): &()) -> Fleet {
        Fleet {
            network: Network::default(),
            holders: (0..PROCESSES)
                .map(|process| open(process, 1, Time(0)))
                .collect(),
            incarnations: vec![1; PROCESSES],
            created: BTreeMap::new(),
            holds: BTreeMap::new(),
            orders: Vec::new(),
            accepted: Revision(0),
        }
    }

    fn apply(mut state: Fleet, (): &(), transition: Transition) -> Fleet {
        match transition {
            Transition::Tick { process } => state.handle(process, Event::Tick),
            Transition::Carry { nth, way } => state.carry(nth, way),
            Transition::Stray { nth } => state.network.execute_abandoned(nth),
            Transition::Pass { ms } => {
                state.network.now = state.network.now + Duration::from_millis(ms);
                let now = state.network.now;
                state.network.memory.expire(now);
            }
            Transition::Order { process } => state.order(process),
            Transition::Arrive { nth } => state.arrive(nth),
            Transition::Watch { process, back } => state.watch(process, back),
            Transition::Stop { process } => state.handle(process, Event::Stop),
            Transition::Restart { process } => {
                state.network.forget(process);
                state.incarnations[process] += 1;
                let now = state.network.now;
                state.holders[process] = open(process, state.incarnations[process], now);
            }
            // Other keys change too, so that revisions differ from those of the lease.
            Transition::Elsewhere => state.write_elsewhere(),
        }
        if let Some(entry) = state.network.memory.get(KEY) {
            let created = entry.created;
            state.created.entry(created).or_insert(state.network.now);
        }
        state
    }

    fn check_invariants(state: &Fleet, (): &()) {
        let now = state.network.now;
        let holders = state.holders.iter().filter_map(|holder| holder.fence(now));
        let fences: Vec<_> = holders.collect();
        assert!(fences.len() <= 1, "several holders at {now}: {fences:?}");
        let held = state.network.memory.get(KEY).map(|entry| entry.created);
        for fence in fences {
            assert_eq!(held, Some(fence), "the holder's key is not there");
        }
    }

    /// Without further faults one of the processes becomes the holder.
    fn teardown(mut state: Fleet) {
        let now = state.network.now;
        state.network.forget(0);
        state.holders[0] = open(0, 1_000, now);
        for _ in 0..400 {
            while !state.network.is_quiet() {
                state.carry(0, Way::Reply);
            }
            state.network.now = state.network.now + Duration::from_millis(500);
            let now = state.network.now;
            state.network.memory.expire(now);
            for process in 0..PROCESSES {
                state.handle(process, Event::Tick);
            }
            Self::check_invariants(&state, &());
        }
        let now = state.network.now;
        let settled = state
            .holders
            .iter()
            .any(|holder| holder.guarded_fence(now).is_some());
        assert!(settled, "nobody holds the lease: {state:#?}");
    }
}

prop_state_machine! {
    #![proptest_config(support::config(400))]

    #[test]
    fn there_is_one_holder_at_a_time(sequential 1..150 => Test);
}

/// Carries all calls until the process holds the lease.
fn acquire(network: &mut Network, holder: &mut Candidate) -> Revision {
    for _ in 0..10 {
        let wake = holder.next_wake();
        network.now = network
            .now
            .max(wake.min(network.now + Duration::from_secs(5)));
        holder.handle(network.now, Event::Tick);
        deliver(network, holder, Way::Reply);
    }
    holder.fence(network.now).unwrap()
}

fn deliver(network: &mut Network, holder: &mut Candidate, way: Way) {
    loop {
        let actions: Vec<_> = holder.drain().collect();
        for action in actions {
            if let Action::Call { id, call } = action {
                network.send(0, id, call);
            }
        }
        let Some((_, id, result)) = network.carry(0, way) else {
            return;
        };
        holder.handle(network.now, Event::Reply { id, result });
    }
}

/// Guards against a holder that trusts a late reply: the guard time counts from before the
/// keep-alive was sent.
#[rstest]
#[case(0)]
#[case(3_000)]
fn a_late_reply_does_not_lengthen_the_lease(#[case] late_ms: u64) {
    let mut network = Network::default();
    let mut holder = open(0, 1, Time(0));
    let fence = acquire(&mut network, &mut holder);
    network.now = network.now.max(holder.next_wake());
    let sent = network.now;
    holder.handle(sent, Event::Tick);
    network.now = sent + Duration::from_millis(late_ms);
    deliver(&mut network, &mut holder, Way::Reply);
    let last = sent + Duration::from_secs(TTL_S);
    let last = Time(last.0 - GUARD.as_micros() as u64);
    assert_eq!(holder.fence(Time(last.0 - 1)), Some(fence));
    assert_eq!(holder.fence(last), None);
}

/// Guards against a paused process that acts before it notices that its lease is gone.
#[test]
fn a_pause_past_the_lease_ends_the_hold() {
    let mut network = Network::default();
    let mut holder = open(0, 1, Time(0));
    acquire(&mut network, &mut holder);
    network.now = network.now + Duration::from_mins(1);
    assert_eq!(holder.fence(network.now), None);
    holder.handle(network.now, Event::Tick);
    assert!(holder.drain().any(|action| action == Action::Lapsed));
    let read = network
        .memory
        .call(network.now, &Call::Range(Range::Key(KEY.into())));
    assert!(matches!(read, Ok(Reply::Range { entries, .. }) if entries.is_empty()));
}

/// Guards against settings under which a holder could never act.
#[test]
fn a_guard_time_that_leaves_no_time_is_refused() {
    let settings = Settings {
        key: KEY.to_owned(),
        owner: Owner {
            host: "router".into(),
            incarnation: Incarnation(1),
        },
        ttl_s: 6,
        guard: GUARD,
    };
    let error = Candidate::new(settings, Time(0), 1).unwrap_err();
    let expected = "lease \"fleet/orders/zone\": guard time 2s must be below a third of 6 s";
    assert_eq!(error.to_string(), expected);
}
