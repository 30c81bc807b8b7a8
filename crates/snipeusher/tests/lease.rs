//! Stateful property test of a lease with several processes that pause, lose calls and restart. It
//! guards against two holders at a time, against an engine that checks fencing tokens but accepts
//! an order of an old holder, and against a new holder that orders too early from an engine that
//! does not check them.

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

use self::support::Fate;
use self::support::Network;

const PROCESSES: usize = 3;
const KEY: &str = "fleet/orders/zone";
const TTL_S: u64 = 10;
const GUARD: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
enum Transition {
    Tick {
        process: usize,
    },
    Deliver {
        nth: usize,
        fate: Fate,
    },
    ExecuteAbandoned {
        nth: usize,
    },
    AdvanceTime {
        ms: u64,
    },
    SendOrder {
        process: usize,
    },
    ReceiveOrder {
        nth: usize,
    },
    Watch {
        process: usize,
        back: usize,
    },
    Stop {
        process: usize,
    },
    Restart {
        process: usize,
    },
    /// Changes another key, so that the store's revision advances independently of the lease.
    WriteOtherKey,
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
        let fate = prop_oneof![
            6 => Just(Fate::Reply),
            2 => Just(Fate::Effect),
            1 => Just(Fate::Lose),
            1 => Just(Fate::NotSent),
            1 => Just(Fate::Refuse),
        ];
        let ms = prop_oneof![4 => 1..500_u64, 3 => 500..4_000_u64, 1 => 4_000..40_000_u64];
        prop_oneof![
            8 => process.clone().prop_map(|process| Transition::Tick { process }),
            10 => (any::<usize>(), fate).prop_map(|(nth, fate)| Transition::Deliver { nth, fate }),
            2 => any::<usize>().prop_map(|nth| Transition::ExecuteAbandoned { nth }),
            6 => ms.prop_map(|ms| Transition::AdvanceTime { ms }),
            6 => process.clone().prop_map(|process| Transition::SendOrder { process }),
            4 => any::<usize>().prop_map(|nth| Transition::ReceiveOrder { nth }),
            3 => (process.clone(), 0..4_usize)
                .prop_map(|(process, back)| Transition::Watch { process, back }),
            1 => process.clone().prop_map(|process| Transition::Stop { process }),
            1 => process.prop_map(|process| Transition::Restart { process }),
            2 => Just(Transition::WriteOtherKey),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

/// A hold of the lease as tracked by the test.
#[derive(Debug)]
struct Hold {
    process: usize,
    incarnation: u64,
    last_act: Time,
}

#[derive(Debug)]
struct Fleet {
    network: Network,
    candidates: Vec<Candidate>,
    incarnations: Vec<u64>,
    /// When each fencing token first appeared in the store.
    created: BTreeMap<Revision, Time>,
    /// Every hold during which an order was sent, by fencing token.
    holds: BTreeMap<Revision, Hold>,
    /// Fencing tokens of the orders in flight.
    orders: Vec<Revision>,
    /// The highest token that the engine has accepted.
    accepted: Revision,
}

fn new_candidate(process: usize, incarnation: u64, now: Time) -> Candidate {
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
        self.candidates[process].handle(now, event);
        let actions: Vec<_> = self.candidates[process].drain().collect();
        for action in actions {
            match action {
                Action::Call { id, call } => self.network.send(process, id, call),
                Action::Acquired(fence) => {
                    assert_eq!(self.candidates[process].fence(now), Some(fence));
                }
                Action::Lapsed => assert_eq!(self.candidates[process].fence(now), None),
            }
        }
    }

    /// Sends an order if the process may act as the holder. It may arrive at any later time.
    fn send_order(&mut self, process: usize) {
        let now = self.network.now;
        let Some(fence) = self.candidates[process].fence(now) else {
            return;
        };
        if self.candidates[process].guarded_fence(now).is_some() {
            assert!(
                now.since(self.created[&fence]) >= GUARD,
                "an order before the guard time has passed"
            );
            for (other, hold) in &self.holds {
                let is_past_guard = *other == fence || now.since(hold.last_act) >= GUARD;
                assert!(
                    is_past_guard,
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
        if let Some(previous) = self.holds.insert(fence, hold) {
            let same_owner = (previous.process, previous.incarnation) == (process, incarnation);
            assert!(same_owner, "token {fence:?} belonged to {previous:?}");
        }
        self.orders.push(fence);
    }

    /// Delivers an order to an engine that rejects tokens below the highest one that it accepted.
    fn receive_order(&mut self, nth: usize) {
        if self.orders.is_empty() {
            return;
        }
        let fence = self.orders.remove(nth % self.orders.len());
        if fence < self.accepted {
            return;
        }
        self.accepted = fence;
        // The store's log shows independently of the order whether a holder had this token.
        let log = self.network.memory.log(Revision::new(0));
        let creations = log.iter().flat_map(|write| &write.entries);
        let is_known = creations
            .filter(|entry| entry.key == KEY)
            .any(|entry| entry.created == fence);
        assert!(is_known, "no holder ever had token {fence:?}");
    }

    fn deliver(&mut self, nth: usize, fate: Fate) {
        if let Some((process, id, result)) = self.network.resolve(nth, fate) {
            self.handle(process, Event::Reply { id, result });
        }
    }

    fn write_other_key(&mut self) {
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

    /// Delivers the watch event of an earlier change; `back` counts from the latest.
    fn watch(&mut self, process: usize, back: usize) {
        let log = self.network.memory.log(Revision::new(0));
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
            candidates: (0..PROCESSES)
                .map(|process| new_candidate(process, 1, Time(0)))
                .collect(),
            incarnations: vec![1; PROCESSES],
            created: BTreeMap::new(),
            holds: BTreeMap::new(),
            orders: Vec::new(),
            accepted: Revision::new(0),
        }
    }

    fn apply(mut state: Fleet, (): &(), transition: Transition) -> Fleet {
        match transition {
            Transition::Tick { process } => state.handle(process, Event::Tick),
            Transition::Deliver { nth, fate } => state.deliver(nth, fate),
            Transition::ExecuteAbandoned { nth } => state.network.execute_abandoned(nth),
            Transition::AdvanceTime { ms } => {
                state.network.now = state.network.now + Duration::from_millis(ms);
                let now = state.network.now;
                state.network.memory.expire(now);
            }
            Transition::SendOrder { process } => state.send_order(process),
            Transition::ReceiveOrder { nth } => state.receive_order(nth),
            Transition::Watch { process, back } => state.watch(process, back),
            Transition::Stop { process } => state.handle(process, Event::Stop),
            Transition::Restart { process } => {
                state.network.abandon(process);
                state.incarnations[process] += 1;
                let now = state.network.now;
                state.candidates[process] =
                    new_candidate(process, state.incarnations[process], now);
            }
            Transition::WriteOtherKey => state.write_other_key(),
        }
        if let Some(entry) = state.network.memory.get(KEY) {
            let created = entry.created;
            state.created.entry(created).or_insert(state.network.now);
        }
        state
    }

    fn check_invariants(state: &Fleet, (): &()) {
        let now = state.network.now;
        let fences = state
            .candidates
            .iter()
            .filter_map(|candidate| candidate.fence(now));
        let fences: Vec<_> = fences.collect();
        assert!(fences.len() <= 1, "several holders at {now}: {fences:?}");
        let created = state.network.memory.get(KEY).map(|entry| entry.created);
        for fence in fences {
            assert_eq!(
                created,
                Some(fence),
                "the store does not have the holder's key"
            );
        }
    }

    /// Checks that without further faults one of the processes becomes the holder.
    fn teardown(mut state: Fleet) {
        let now = state.network.now;
        state.network.abandon(0);
        state.candidates[0] = new_candidate(0, 1_000, now);
        for _ in 0..400 {
            while !state.network.is_quiet() {
                state.deliver(0, Fate::Reply);
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
        let has_holder = state
            .candidates
            .iter()
            .any(|candidate| candidate.guarded_fence(now).is_some());
        assert!(has_holder, "no process holds the lease: {state:#?}");
    }
}

prop_state_machine! {
    #![proptest_config(support::config(400))]

    #[test]
    fn lease_has_at_most_one_holder(sequential 1..150 => Test);
}

/// Delivers all calls until the process holds the lease.
fn acquire(network: &mut Network, candidate: &mut Candidate) -> Revision {
    for _ in 0..10 {
        let wake = candidate.next_wake();
        network.now = network
            .now
            .max(wake.min(network.now + Duration::from_secs(5)));
        candidate.handle(network.now, Event::Tick);
        deliver(network, candidate, Fate::Reply);
    }
    candidate.fence(network.now).unwrap()
}

fn deliver(network: &mut Network, candidate: &mut Candidate, fate: Fate) {
    loop {
        let actions: Vec<_> = candidate.drain().collect();
        for action in actions {
            if let Action::Call { id, call } = action {
                network.send(0, id, call);
            }
        }
        let Some((_, id, result)) = network.resolve(0, fate) else {
            return;
        };
        candidate.handle(network.now, Event::Reply { id, result });
    }
}

/// Guards against a holder that counts the time to live from a late reply rather than from when
/// the keep-alive was sent.
#[rstest]
#[case(0)]
#[case(3_000)]
fn late_reply_does_not_extend_the_lease(#[case] late_ms: u64) {
    let mut network = Network::default();
    let mut candidate = new_candidate(0, 1, Time(0));
    let fence = acquire(&mut network, &mut candidate);
    network.now = network.now.max(candidate.next_wake());
    let sent = network.now;
    candidate.handle(sent, Event::Tick);
    network.now = sent + Duration::from_millis(late_ms);
    deliver(&mut network, &mut candidate, Fate::Reply);
    let expiry = sent + Duration::from_secs(TTL_S);
    let act_until = Time(expiry.0 - GUARD.as_micros() as u64);
    assert_eq!(candidate.fence(Time(act_until.0 - 1)), Some(fence));
    assert_eq!(candidate.fence(act_until), None);
}

/// Guards against a process that acts after a pause during which its lease expired.
#[test]
fn pause_beyond_expiry_ends_the_hold() {
    let mut network = Network::default();
    let mut candidate = new_candidate(0, 1, Time(0));
    acquire(&mut network, &mut candidate);
    network.now = network.now + Duration::from_mins(1);
    assert_eq!(candidate.fence(network.now), None);
    candidate.handle(network.now, Event::Tick);
    assert!(candidate.drain().any(|action| action == Action::Lapsed));
    let read = network
        .memory
        .call(network.now, &Call::Range(Range::Key(KEY.into())));
    assert!(matches!(read, Ok(Reply::Range { entries, .. }) if entries.is_empty()));
}

/// Guards against a guard time that leaves the holder little or no time to act.
#[test]
fn too_long_guard_time_is_rejected() {
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
