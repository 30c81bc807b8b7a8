//! Stateful property test of the configuration: concurrent operators and several routers on a
//! network that loses, delays, duplicates and reorders calls, watch events and messages between
//! peers. It guards against documents that revert, edits that report a wrong outcome or are applied
//! twice, bindings that no longer compile, and routers that do not converge after faults end.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use snipeusher::config::Action;
use snipeusher::config::Author;
use snipeusher::config::Change;
use snipeusher::config::Digest;
use snipeusher::config::Document;
use snipeusher::config::Edit;
use snipeusher::config::EditId;
use snipeusher::config::Event;
use snipeusher::config::Exchange;
use snipeusher::config::Name;
use snipeusher::config::Outcome;
use snipeusher::config::Record;
use snipeusher::config::Replica;
use snipeusher::config::Snapshot;
use snipeusher::config::Step;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::name::Host;
use snipeusher::name::Workspace;
use snipeusher::policy::Policy;
use snipeusher::time::Time;

use self::support::Delivery;
use self::support::Fate;
use self::support::Network;

const ROUTERS: usize = 3;
const EDIT_TIMEOUT: Duration = Duration::from_secs(10);

/// An operator's edit; documents have numbers as names.
#[derive(Clone, Copy, Debug)]
enum Operation {
    PutTemplate {
        name: usize,
        parameter: usize,
        weight: u32,
    },
    DeleteTemplate {
        name: usize,
    },
    PutBinding {
        name: usize,
        template: usize,
        parameter: usize,
    },
    DeleteBinding {
        name: usize,
    },
    Set {
        name: usize,
        value: i64,
    },
    Rollback {
        name: usize,
        /// Position in the list of earlier edits.
        back: usize,
    },
}

#[derive(Clone, Copy, Debug)]
enum Transition {
    Edit(Operation),
    TickEdit {
        nth: usize,
    },
    TickRouter {
        router: usize,
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
    /// Delivers the next watch event, or replays one from the store's log.
    Watch {
        router: usize,
        replay: Option<usize>,
    },
    LoseWatch {
        router: usize,
    },
    SendDigest {
        from: usize,
        to: usize,
    },
    /// Delivers a message of a peer; with `keep` it stays queued and may arrive again.
    DeliverMessage {
        nth: usize,
        keep: bool,
    },
    DropMessage {
        nth: usize,
    },
    Restart {
        router: usize,
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
        let two = 0..2_usize;
        let operation = prop_oneof![
            4 => (two.clone(), two.clone(), 1..9_u32).prop_map(|(name, parameter, weight)| {
                Operation::PutTemplate { name, parameter, weight }
            }),
            1 => two.clone().prop_map(|name| Operation::DeleteTemplate { name }),
            4 => (two.clone(), two.clone(), two.clone()).prop_map(|(name, template, parameter)| {
                Operation::PutBinding { name, template, parameter }
            }),
            1 => two.clone().prop_map(|name| Operation::DeleteBinding { name }),
            2 => (two.clone(), -1..20_i64).prop_map(|(name, value)| Operation::Set { name, value }),
            1 => (two, 0..3_usize).prop_map(|(name, back)| Operation::Rollback { name, back }),
        ];
        let fate = prop_oneof![
            7 => Just(Fate::Reply),
            2 => Just(Fate::Effect),
            2 => Just(Fate::Lose),
            1 => Just(Fate::NotSent),
            1 => Just(Fate::Refuse),
        ];
        let ms = prop_oneof![4 => 1..400_u64, 1 => 400..4_000_u64];
        let router = 0..ROUTERS;
        prop_oneof![
            4 => operation.prop_map(Transition::Edit),
            6 => any::<usize>().prop_map(|nth| Transition::TickEdit { nth }),
            4 => router.clone().prop_map(|router| Transition::TickRouter { router }),
            12 => (any::<usize>(), fate).prop_map(|(nth, fate)| Transition::Deliver { nth, fate }),
            2 => any::<usize>().prop_map(|nth| Transition::ExecuteAbandoned { nth }),
            4 => ms.prop_map(|ms| Transition::AdvanceTime { ms }),
            6 => (router.clone(), proptest::option::weighted(0.2, any::<usize>()))
                .prop_map(|(router, replay)| Transition::Watch { router, replay }),
            1 => router.clone().prop_map(|router| Transition::LoseWatch { router }),
            4 => (router.clone(), router.clone())
                .prop_map(|(from, to)| Transition::SendDigest { from, to }),
            6 => (any::<usize>(), any::<bool>())
                .prop_map(|(nth, keep)| Transition::DeliverMessage { nth, keep }),
            1 => any::<usize>().prop_map(|nth| Transition::DropMessage { nth }),
            1 => router.prop_map(|router| Transition::Restart { router }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

#[derive(Debug)]
struct Operator {
    edit: Edit,
    id: EditId,
    outcome: Option<Outcome>,
}

#[derive(Debug)]
struct Router {
    replica: Replica,
    /// The next revision that its watch delivers.
    watch: Option<Revision>,
    /// The highest revision seen of each document, which must never fall.
    documents: BTreeMap<Arc<str>, Revision>,
    policies: BTreeMap<Workspace, (Policy, Revision)>,
}

#[derive(Debug)]
struct Fleet {
    network: Network,
    operators: Vec<Operator>,
    routers: Vec<Router>,
    /// Messages in flight between peers, each with its receiver.
    messages: Vec<(usize, Event)>,
}

fn host(router: usize) -> Host {
    router.to_string().into()
}

fn template(name: usize) -> Name {
    Name::Template(format!("t{name}").into())
}

fn workspace(name: usize) -> Name {
    Name::Workspace(format!("w{name}").into())
}

/// The change of an operation; `None` if there is no version to roll back to.
fn change(operation: Operation, snapshot: &Snapshot) -> Option<Change> {
    Some(match operation {
        Operation::PutTemplate {
            name,
            parameter,
            weight,
        } => Change::Put {
            name: template(name),
            text: format!(
                "name = \"t{name}\"\n[parameters]\np{parameter} = {{ default = {weight}, min = 1 }}\n\
                 [body]\ndefault_class = \"c\"\n[body.classes.c]\nweight = \"$p{parameter}\"\n"
            ),
        },
        Operation::DeleteTemplate { name } => Change::Delete(template(name)),
        Operation::PutBinding {
            name,
            template,
            parameter,
        } => Change::Put {
            name: workspace(name),
            text: format!(
                "workspace = \"w{name}\"\ntemplate = \"t{template}\"\nkeys = [\"{}\"]\n\
                 [parameters]\np{parameter} = 3\n",
                name.to_string().repeat(64)
            ),
        },
        Operation::DeleteBinding { name } => Change::Delete(workspace(name)),
        Operation::Set { name, value } => Change::Set {
            name: workspace(name),
            parameter: "p0".to_owned(),
            value: value.into(),
        },
        Operation::Rollback { name, back } => {
            let name = template(name);
            let (_, stored) = snapshot.documents.get(&name)?;
            let to = stored.recent.get(back)?.revision;
            Change::Rollback { name, to }
        }
    })
}

impl Fleet {
    fn snapshot(&self) -> Snapshot {
        let entries: Vec<_> = self.network.memory.entries().cloned().collect();
        Snapshot::from_entries(self.network.memory.revision(), &entries)
    }

    fn open_router(&self, seed: usize) -> Router {
        Router {
            replica: Replica::new(self.network.now, seed as u64),
            watch: None,
            documents: BTreeMap::new(),
            policies: BTreeMap::new(),
        }
    }

    fn start_edit(&mut self, operation: Operation) {
        let Some(change) = change(operation, &self.snapshot()) else {
            return;
        };
        let id = EditId(self.operators.len() as u128 + 1);
        let author = Author {
            name: id.to_string(),
            at_ms: 0,
        };
        let now = self.network.now;
        let edit = Edit::new(change, author, id, None, now, now + EDIT_TIMEOUT);
        self.operators.push(Operator {
            edit,
            id,
            outcome: None,
        });
        self.step_edit(self.operators.len() - 1, None);
    }

    fn step_edit(&mut self, nth: usize, delivery: Option<Delivery>) {
        let now = self.network.now;
        let reply = delivery.map(|(_, id, result)| (id, result));
        let operator = &mut self.operators[nth];
        operator.edit.handle(now, reply);
        let steps: Vec<_> = operator.edit.drain().collect();
        for step in steps {
            match step {
                Step::Call { id, call } => self.network.send(ROUTERS + nth, id, call),
                Step::Done(outcome) => {
                    let previous = self.operators[nth].outcome.replace(outcome);
                    assert_eq!(previous, None, "an edit ended twice");
                }
            }
        }
    }

    fn handle(&mut self, router: usize, event: Event) {
        let now = self.network.now;
        self.routers[router].replica.handle(now, event);
        let actions: Vec<_> = self.routers[router].replica.drain().collect();
        for action in actions {
            match action {
                Action::Call { id, call } => self.network.send(router, id, call),
                Action::Watch { from } => self.routers[router].watch = Some(from),
                Action::Exchange(peer, exchange) => {
                    let to: usize = peer.as_str().parse().unwrap();
                    self.messages
                        .push((to, Event::Exchange(host(router), exchange)));
                }
                Action::Apply { policy, revision } => {
                    let workspace = policy.workspace.clone();
                    let policies = &mut self.routers[router].policies;
                    let previous = policies.insert(workspace, (*policy, revision));
                    assert!(
                        previous.is_none_or(|(_, previous)| previous <= revision),
                        "policy reverted"
                    );
                }
                Action::Remove(workspace) => {
                    self.routers[router].policies.remove(&workspace);
                }
                Action::Problem { .. } | Action::Ready => {}
            }
        }
        self.check_router(router);
    }

    /// Checks that no document of a router went back to a lower revision, and that the store once
    /// had each of them.
    fn check_router(&mut self, router: usize) {
        let memory = &self.network.memory;
        let router = &mut self.routers[router];
        for document in router.replica.documents() {
            let highest = router
                .documents
                .entry(Arc::clone(&document.path))
                .or_default();
            assert!(
                document.revision >= *highest,
                "{} went back from {highest:?}",
                document.path
            );
            *highest = document.revision;
            let written = memory.log(document.revision).first();
            let entries =
                written.map(|write| write.entries.iter().filter_map(Document::from_entry));
            let known = entries.is_some_and(|mut entries| entries.any(|entry| entry == *document));
            assert!(known, "the store never had {document:?}");
        }
    }

    fn deliver(&mut self, nth: usize, fate: Fate) {
        let Some(delivery) = self.network.resolve(nth, fate) else {
            return;
        };
        match delivery.0 {
            router if router < ROUTERS => {
                let (_, id, result) = delivery;
                self.handle(router, Event::Reply { id, result });
            }
            operator => self.step_edit(operator - ROUTERS, Some(delivery)),
        }
    }

    fn watch(&mut self, router: usize, replay: Option<usize>) {
        let Some(next) = self.routers[router].watch else {
            return;
        };
        let log = self.network.memory.log(Revision::new(0));
        let write = match replay {
            Some(nth) if !log.is_empty() => log[nth % log.len()].clone(),
            Some(_) => return,
            None => {
                let Some(write) = self.network.memory.log(next).first().cloned() else {
                    return;
                };
                self.routers[router].watch = Some(Revision::new(write.revision.number + 1));
                write
            }
        };
        let event = Event::Changed {
            revision: write.revision,
            entries: write.entries,
            deleted: write.deleted,
        };
        self.handle(router, event);
    }

    fn lose_watch(&mut self, router: usize) {
        if self.routers[router].watch.take().is_some() {
            self.handle(router, Event::WatchLost);
        }
    }

    fn send_digest(&mut self, from: usize, to: usize) {
        if from != to {
            let digest = self.routers[from].replica.digest();
            self.messages.push((to, Event::Digest(host(from), digest)));
        }
    }

    fn deliver_message(&mut self, nth: usize, keep: bool) {
        if self.messages.is_empty() {
            return;
        }
        let nth = nth % self.messages.len();
        let (to, event) = if keep {
            self.messages[nth].clone()
        } else {
            self.messages.remove(nth)
        };
        self.handle(to, event);
    }

    /// Lets routers exchange documents without the store until no message is in flight.
    fn gossip_to_end(&mut self) {
        for _ in 0..40 {
            self.network.now = self.network.now + Duration::from_millis(500);
            for from in 0..ROUTERS {
                for to in 0..ROUTERS {
                    self.send_digest(from, to);
                }
            }
            while !self.messages.is_empty() {
                self.deliver_message(0, false);
            }
        }
    }

    /// Checks each edit's outcome against the writes in the store's log.
    fn check_reports(&self) {
        let mut written: BTreeMap<EditId, Vec<Revision>> = BTreeMap::new();
        for write in self.network.memory.log(Revision::new(0)) {
            for document in write.entries.iter().filter_map(Document::from_entry) {
                let stored = Record::decode(&document.value).unwrap();
                written.entry(stored.edit).or_default().push(write.revision);
            }
        }
        for operator in &self.operators {
            let found = written.get(&operator.id).map_or(&[][..], Vec::as_slice);
            match operator.outcome.as_ref().unwrap() {
                Outcome::Applied(revision) => assert_eq!(found, [*revision], "{operator:?}"),
                Outcome::Unresolved(id) => {
                    assert_eq!(*id, operator.id);
                    assert!(found.len() <= 1, "{operator:?} was applied at {found:?}");
                }
                other => assert!(found.is_empty(), "{other:?}, but applied at {found:?}"),
            }
        }
    }
}

struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = Fleet;
    type Reference = Reference;

    fn init_test((): &()) -> Fleet {
        let mut fleet = Fleet {
            network: Network::default(),
            operators: Vec::new(),
            routers: Vec::new(),
            messages: Vec::new(),
        };
        fleet.routers = (0..ROUTERS)
            .map(|router| fleet.open_router(router))
            .collect();
        fleet
    }

    fn apply(mut state: Fleet, (): &(), transition: Transition) -> Fleet {
        match transition {
            Transition::Edit(operation) => state.start_edit(operation),
            Transition::TickEdit { nth } => {
                if !state.operators.is_empty() {
                    state.step_edit(nth % state.operators.len(), None);
                }
            }
            Transition::TickRouter { router } => state.handle(router, Event::Tick),
            Transition::Deliver { nth, fate } => state.deliver(nth, fate),
            Transition::ExecuteAbandoned { nth } => state.network.execute_abandoned(nth),
            Transition::AdvanceTime { ms } => {
                state.network.now = state.network.now + Duration::from_millis(ms);
            }
            Transition::Watch { router, replay } => state.watch(router, replay),
            Transition::LoseWatch { router } => state.lose_watch(router),
            Transition::SendDigest { from, to } => state.send_digest(from, to),
            Transition::DeliverMessage { nth, keep } => state.deliver_message(nth, keep),
            Transition::DropMessage { nth } => {
                if !state.messages.is_empty() {
                    state.messages.remove(nth % state.messages.len());
                }
            }
            Transition::Restart { router } => {
                state.network.abandon(router);
                state.routers[router] = state.open_router(router);
            }
        }
        state
    }

    fn check_invariants(state: &Fleet, (): &()) {
        let snapshot = state.snapshot();
        for binding in snapshot.bindings() {
            let template = snapshot.template(&binding.template);
            let policy = template.map(|template| template.compile(&binding));
            assert!(
                matches!(policy, Some(Ok(_))),
                "the binding of {:?} does not compile: {policy:?}",
                binding.workspace
            );
        }
    }

    fn teardown(mut state: Fleet) {
        // Without the store, routers converge to the same documents.
        state.gossip_to_end();
        let digests: Vec<_> = state
            .routers
            .iter()
            .map(|router| router.replica.digest())
            .collect();
        let differs = |digest: &Digest| {
            (digest.highest, digest.hash) != (digests[0].highest, digests[0].hash)
        };
        assert!(
            !digests.iter().any(differs),
            "routers did not converge: {digests:?}"
        );

        // Every edit ends with a correct outcome, even if its write took effect late.
        for _ in 0..100 {
            state.network.execute_abandoned(0);
            state.network.now = state.network.now + Duration::from_millis(200);
            for nth in 0..state.operators.len() {
                state.step_edit(nth, None);
            }
            while !state.network.is_quiet() {
                state.deliver(0, Fate::Reply);
            }
        }
        state.check_reports();

        // With the store, every router has the store's documents.
        for router in 0..ROUTERS {
            state.lose_watch(router);
        }
        for _ in 0..20 {
            state.network.now = state.network.now + Duration::from_millis(500);
            for router in 0..ROUTERS {
                state.handle(router, Event::Tick);
            }
            while !state.network.is_quiet() {
                state.deliver(0, Fate::Reply);
            }
        }
        let entries = state.network.memory.entries();
        let documents: Vec<_> = entries.filter_map(Document::from_entry).collect();
        let snapshot = state.snapshot();
        let expected: BTreeMap<_, _> = snapshot
            .bindings()
            .map(|binding| {
                let template = snapshot.template(&binding.template).unwrap();
                (
                    binding.workspace.clone(),
                    template.compile(&binding).unwrap(),
                )
            })
            .collect();
        for router in &state.routers {
            assert!(router.replica.is_ready());
            let replicated: Vec<_> = router.replica.documents().cloned().collect();
            assert_eq!(replicated, documents);
            let policies = router.policies.iter();
            let policies: BTreeMap<_, _> = policies
                .map(|(name, (policy, _))| (name.clone(), policy.clone()))
                .collect();
            assert_eq!(policies, expected);
        }
    }
}

prop_state_machine! {
    #![proptest_config(support::config(1_500))]

    #[test]
    fn configuration_never_reverts(sequential 1..120 => Test);
}

/// Guards against messages between peers that are too large for gossip, and against large sets of
/// documents that are never transferred completely.
#[test]
fn many_documents_are_exchanged_in_small_messages() {
    let document = |number: u64| Document {
        path: format!("template/t{number}").into(),
        revision: Revision::new(number),
        value: "x".repeat(if number == 7 { 300_000 } else { 5_000 }).into(),
    };
    let mut replicas = [Replica::new(Time(0), 1), Replica::new(Time(0), 2)];
    let all = Exchange::Documents((1..=100).map(document).collect());
    replicas[0].handle(Time(0), Event::Exchange(host(1), all));
    for round in 1..30 {
        let now = Time::from_millis(round * 500);
        let digest = replicas[0].digest();
        let mut messages = vec![(1, Event::Digest(host(0), digest))];
        while let Some((to, event)) = messages.pop() {
            replicas[to].handle(now, event);
            for action in replicas[to].drain() {
                let Action::Exchange(_, exchange) = action else {
                    continue;
                };
                if let Exchange::Documents(documents) = &exchange {
                    let bytes: usize = documents.iter().map(|document| document.value.len()).sum();
                    assert!(bytes <= 40_000 || documents.len() == 1, "{bytes} bytes");
                }
                messages.push((1 - to, Event::Exchange(host(to), exchange)));
            }
        }
    }
    assert_eq!(replicas[0].digest(), replicas[1].digest());
}

/// Guards against a router that reports ready after comparing with a peer that is not ready, and
/// against one that stays unready although it has all documents of a ready peer.
#[test]
fn replica_without_store_becomes_ready_from_ready_peer() {
    let mut isolated = Replica::new(Time(0), 1);
    let mut peer = Replica::new(Time(0), 2);
    isolated.handle(Time(0), Event::Digest(host(1), peer.digest()));
    assert!(!isolated.is_ready());
    peer.handle(Time(0), Event::Tick);
    let id = peer.drain().find_map(|action| match action {
        Action::Call { id, .. } => Some(id),
        _ => None,
    });
    let empty = Reply::Range {
        revision: Revision::new(5),
        entries: Vec::new(),
    };
    peer.handle(
        Time(0),
        Event::Reply {
            id: id.unwrap(),
            result: Ok(empty),
        },
    );
    assert!(peer.is_ready());
    isolated.handle(Time(0), Event::Digest(host(1), peer.digest()));
    assert!(isolated.is_ready());
}
