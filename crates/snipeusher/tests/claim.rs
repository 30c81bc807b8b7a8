//! Stateful property test of claims: several routers and few keys on a network that loses, delays,
//! duplicates and reorders calls. It guards against a key that runs twice, a wrong rejection, the
//! response of another request, and a request that never gets a verdict.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use snipeusher::claim::Action;
use snipeusher::claim::Answer;
use snipeusher::claim::Claims;
use snipeusher::claim::Event;
use snipeusher::claim::Fingerprint;
use snipeusher::claim::Outcome;
use snipeusher::claim::Verdict;
use snipeusher::name::Host;
use snipeusher::name::Incarnation;
use snipeusher::request::Id;
use snipeusher::time::Time;

use self::support::Fate;
use self::support::Network;

const ROUTERS: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Key {
    /// Chosen by the caller.
    Caller(usize),
    /// Issued by a router.
    Issued(usize),
}

#[derive(Clone, Copy, Debug)]
enum End {
    NotRun,
    Unknown,
    Answered,
}

#[derive(Clone, Copy, Debug)]
enum Transition {
    Arrive {
        router: usize,
        key: Key,
        body: u8,
        timeout_ms: u64,
    },
    Finish {
        nth: usize,
        end: End,
    },
    Disconnect {
        nth: usize,
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
    Tick {
        router: usize,
    },
    Crash {
        router: usize,
    },
    UpdatePeer {
        router: usize,
        other: usize,
        alive: bool,
    },
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
        let key = prop_oneof![
            4 => (0..2_usize).prop_map(Key::Caller),
            1 => (0..ROUTERS).prop_map(Key::Issued),
        ];
        let fate = prop_oneof![
            4 => Just(Fate::Reply),
            2 => Just(Fate::Effect),
            2 => Just(Fate::Lose),
            1 => Just(Fate::NotSent),
            1 => Just(Fate::Refuse),
        ];
        let end = prop_oneof![Just(End::NotRun), Just(End::Unknown), Just(End::Answered)];
        let ms = prop_oneof![4 => 1..20_u64, 2 => 100..3_000_u64, 1 => Just(2_000_000)];
        let body = prop_oneof![6 => Just(0_u8), 1 => Just(1)];
        let timeout = prop_oneof![1 => Just(2_u64), 4 => Just(5_000)];
        prop_oneof![
            6 => (0..ROUTERS, key, body, timeout).prop_map(|(router, key, body, timeout_ms)| {
                Transition::Arrive { router, key, body, timeout_ms }
            }),
            4 => (any::<usize>(), end).prop_map(|(nth, end)| Transition::Finish { nth, end }),
            1 => any::<usize>().prop_map(|nth| Transition::Disconnect { nth }),
            10 => (any::<usize>(), fate).prop_map(|(nth, fate)| Transition::Deliver { nth, fate }),
            3 => any::<usize>().prop_map(|nth| Transition::ExecuteAbandoned { nth }),
            5 => ms.prop_map(|ms| Transition::AdvanceTime { ms }),
            8 => (0..ROUTERS).prop_map(|router| Transition::Tick { router }),
            1 => (0..ROUTERS).prop_map(|router| Transition::Crash { router }),
            1 => (0..ROUTERS, 0..ROUTERS, any::<bool>())
                .prop_map(|(router, other, alive)| Transition::UpdatePeer { router, other, alive }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

/// A request as tracked by the test.
#[derive(Debug)]
struct Request {
    router: usize,
    key: String,
    body: u8,
    verdict: Option<Verdict>,
    /// Whether the request ended, its caller disconnected or its router crashed.
    ended: bool,
}

#[derive(Debug)]
struct Fleet {
    network: Network,
    claims: Vec<Claims>,
    incarnations: Vec<u64>,
    issued: Vec<String>,
    requests: Vec<Request>,
    /// Requests that may have run, by key.
    ran: BTreeMap<String, Vec<usize>>,
    answers: BTreeMap<String, Answer>,
}

fn host(router: usize) -> Host {
    format!("router-{router}").into()
}

fn new_claims(router: usize, incarnation: u64) -> Claims {
    let seed = incarnation * 100 + router as u64;
    let mut claims = Claims::new(host(router), Incarnation(incarnation), seed);
    for other in 0..ROUTERS {
        let event = Event::PeerSeen(host(other), Incarnation(1));
        claims.handle(Time(0), event);
    }
    claims
}

impl Fleet {
    fn new() -> Self {
        let mut claims: Vec<_> = (0..ROUTERS).map(|router| new_claims(router, 1)).collect();
        let network = Network::default();
        let issued = claims
            .iter_mut()
            .map(|claims| claims.issue(network.now))
            .collect();
        Self {
            network,
            claims,
            incarnations: vec![1; ROUTERS],
            issued,
            requests: Vec::new(),
            ran: BTreeMap::new(),
            answers: BTreeMap::new(),
        }
    }

    fn handle(&mut self, router: usize, event: Event) {
        let now = self.network.now;
        self.claims[router].handle(now, event);
        let actions: Vec<_> = self.claims[router].drain().collect();
        for action in actions {
            match action {
                Action::Call { id, call } => self.network.send(router, id, call),
                Action::Verdict { request, verdict } => {
                    self.handle_verdict(request.0 as usize, verdict);
                }
            }
        }
    }

    fn arrive(&mut self, router: usize, key: String, body: u8, timeout_ms: u64) {
        let id = Id(self.requests.len() as u64);
        self.requests.push(Request {
            router,
            key: key.clone(),
            body,
            verdict: None,
            ended: false,
        });
        let event = Event::Arrive {
            request: id,
            workspace: "w".into(),
            key,
            fingerprint: Fingerprint::of("POST", "/pair", &[body]),
            deadline: self.network.now + Duration::from_millis(timeout_ms),
        };
        self.handle(router, event);
    }

    fn handle_verdict(&mut self, nth: usize, verdict: Verdict) {
        let request = &mut self.requests[nth];
        assert!(
            !request.ended,
            "request {nth} got {verdict:?} after its end"
        );
        assert_eq!(
            request.verdict, None,
            "request {nth} got a second verdict {verdict:?}"
        );
        request.verdict = Some(verdict.clone());
        let key = request.key.clone();
        let body = request.body;
        match verdict {
            Verdict::Run => {
                let ran = self.ran.entry(key.clone()).or_default();
                ran.push(nth);
                assert_eq!(ran.len(), 1, "key {key:?} runs for requests {ran:?}");
            }
            Verdict::Answer(answer) => {
                request.ended = true;
                assert_eq!(
                    self.answers.get(&key),
                    Some(&answer),
                    "wrong response for {key:?}"
                );
                let first = self.ran[&key][0];
                assert_eq!(
                    self.requests[first].body, body,
                    "the response to another request"
                );
            }
            Verdict::Mismatch => {
                request.ended = true;
                let other = |other: &Request| other.key == key && other.body != body;
                assert!(
                    self.requests.iter().any(other),
                    "no different request used {key:?}"
                );
            }
            Verdict::Forward(host) => {
                request.ended = true;
                let to: usize = host.as_str()["router-".len()..].parse().unwrap();
                self.arrive(to, key, body, 5_000);
            }
            Verdict::Refused { .. } | Verdict::Unknown | Verdict::Running | Verdict::Invalid(_) => {
                request.ended = true;
            }
        }
    }

    fn finish(&mut self, nth: usize, end: End) {
        let key = self.requests[nth].key.clone();
        self.requests[nth].ended = true;
        let outcome = match end {
            End::NotRun => {
                self.ran.remove(&key);
                Outcome::NotRun
            }
            End::Unknown => Outcome::Unknown,
            End::Answered => {
                let answer = Answer {
                    status: 200,
                    content_type: None,
                    body: Some(format!("answer {nth}").into_bytes().into()),
                };
                self.answers.insert(key, answer.clone());
                Outcome::Answered(answer)
            }
        };
        let event = Event::End {
            request: Id(nth as u64),
            outcome,
        };
        self.handle(self.requests[nth].router, event);
    }

    /// Chooses a request that has not ended: a running one, or one without a verdict.
    fn choose(&self, nth: usize, running: bool) -> Option<usize> {
        let candidates: Vec<_> = self
            .requests
            .iter()
            .enumerate()
            .filter(|(_, request)| !request.ended && request.verdict.is_some() == running)
            .map(|(nth, _)| nth)
            .collect();
        (!candidates.is_empty()).then(|| candidates[nth % candidates.len()])
    }

    fn crash(&mut self, router: usize) {
        self.network.abandon(router);
        for request in &mut self.requests {
            request.ended |= request.router == router;
        }
        self.incarnations[router] += 1;
        self.claims[router] = new_claims(router, self.incarnations[router]);
    }

    fn deliver(&mut self, nth: usize, fate: Fate) {
        if let Some((router, id, result)) = self.network.resolve(nth, fate) {
            self.handle(router, Event::Reply { id, result });
        }
    }
}

struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = Fleet;
    type Reference = Reference;

    fn init_test((): &()) -> Fleet {
        Fleet::new()
    }

    fn apply(mut state: Fleet, (): &(), transition: Transition) -> Fleet {
        match transition {
            Transition::Arrive {
                router,
                key,
                body,
                timeout_ms,
            } => {
                let key = match key {
                    Key::Caller(nth) => format!("key-{nth}"),
                    Key::Issued(by) => state.issued[by].clone(),
                };
                state.arrive(router, key, body, timeout_ms);
            }
            Transition::Finish { nth, end } => {
                if let Some(nth) = state.choose(nth, true) {
                    state.finish(nth, end);
                }
            }
            Transition::Disconnect { nth } => {
                if let Some(nth) = state.choose(nth, false) {
                    state.requests[nth].ended = true;
                    let outcome = Outcome::NotRun;
                    let event = Event::End {
                        request: Id(nth as u64),
                        outcome,
                    };
                    state.handle(state.requests[nth].router, event);
                }
            }
            Transition::Deliver { nth, fate } => state.deliver(nth, fate),
            Transition::ExecuteAbandoned { nth } => state.network.execute_abandoned(nth),
            Transition::AdvanceTime { ms } => {
                state.network.now = state.network.now + Duration::from_millis(ms);
            }
            Transition::Tick { router } => state.handle(router, Event::Tick),
            Transition::Crash { router } => state.crash(router),
            Transition::UpdatePeer {
                router,
                other,
                alive,
            } => {
                let event = if alive {
                    Event::PeerSeen(host(other), Incarnation(state.incarnations[other]))
                } else {
                    Event::PeerRemoved(host(other))
                };
                state.handle(router, event);
            }
        }
        state
    }

    /// Checks that without further faults every request gets a verdict and every outcome is stored.
    fn teardown(mut state: Fleet) {
        for _ in 0..200 {
            while !state.network.is_quiet() {
                state.deliver(0, Fate::Reply);
            }
            state.network.now = state.network.now + Duration::from_millis(100);
            for router in 0..ROUTERS {
                state.handle(router, Event::Tick);
            }
        }
        assert_eq!(
            state.choose(0, false),
            None,
            "a request has no verdict: {state:#?}"
        );
        for (key, answer) in state.answers.clone() {
            if key.starts_with("key-") {
                let retry = state.requests.len();
                let body = state.requests[state.ran[&key][0]].body;
                state.arrive(0, key, body, 5_000);
                state.network.now = state.network.now + Duration::from_millis(5);
                state.handle(0, Event::Tick);
                while !state.network.is_quiet() {
                    state.deliver(0, Fate::Reply);
                }
                let verdict = state.requests[retry].verdict.clone();
                // A router may crash after a request ends and before its response is stored.
                let crashed = state
                    .incarnations
                    .iter()
                    .any(|incarnation| *incarnation > 1);
                let is_stored = verdict == Some(Verdict::Answer(answer));
                assert!(is_stored || crashed, "{verdict:?}");
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(support::config(600))]

    #[test]
    fn a_key_runs_at_most_once(sequential 1..120 => Test);
}

/// Guards against a transaction and a lease per claim.
#[test]
fn claims_within_milliseconds_share_a_transaction() {
    let mut fleet = Fleet::new();
    let deliver_all = |fleet: &mut Fleet| {
        let mut calls = 0;
        while !fleet.network.is_quiet() {
            fleet.deliver(0, Fate::Reply);
            calls += 1;
        }
        calls
    };
    for nth in 0..100 {
        fleet.arrive(0, format!("shared-{nth}"), 0, 5_000);
    }
    assert_eq!(
        deliver_all(&mut fleet),
        0,
        "a claim was sent before others could join"
    );
    fleet.network.now = fleet.network.now + Duration::from_millis(3);
    fleet.handle(0, Event::Tick);
    assert_eq!(
        deliver_all(&mut fleet),
        3,
        "a lease and transactions of 60 and 40 keys"
    );
    while let Some(nth) = fleet.choose(0, true) {
        fleet.finish(nth, End::Answered);
    }
    assert_eq!(deliver_all(&mut fleet), 0);
    fleet.arrive(0, "later".to_owned(), 0, 5_000);
    fleet.network.now = fleet.network.now + Duration::from_millis(3);
    fleet.handle(0, Event::Tick);
    assert_eq!(
        deliver_all(&mut fleet),
        2,
        "the outcomes share the transaction of a claim"
    );
    assert_eq!(fleet.choose(0, false), None);
}

/// Guards against a claim that expires within a day, and against a lease per claim.
#[test]
fn claims_within_an_hour_share_a_lease_and_last_a_day() {
    let mut fleet = Fleet::new();
    let mut leases = Vec::new();
    for (nth, second) in [0, 3_599, 3_601].into_iter().enumerate() {
        fleet.network.now = Time(second * 1_000_000);
        fleet.arrive(0, format!("hourly-{nth}"), 0, 5_000);
        fleet.network.now = fleet.network.now + Duration::from_millis(3);
        fleet.handle(0, Event::Tick);
        while !fleet.network.is_quiet() {
            fleet.deliver(0, Fate::Reply);
        }
        let claims = fleet.network.memory.entries();
        leases.push(claims.filter_map(|entry| entry.lease).max().unwrap());
    }
    assert_eq!(leases[0], leases[1]);
    assert_ne!(leases[1], leases[2]);
    fleet
        .network
        .memory
        .expire(Time((3_599 + 24 * 3_600) * 1_000_000));
    assert_eq!(fleet.network.memory.entries().count(), 3);
    fleet
        .network
        .memory
        .expire(Time(26 * 3_600 * 1_000_000 + 2_000_000));
    assert_eq!(fleet.network.memory.entries().count(), 0);
}
