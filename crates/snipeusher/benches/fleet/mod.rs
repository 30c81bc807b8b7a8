//! A state machine with engines and policies, for the benchmarks.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use snipeusher::hash;
use snipeusher::machine::Action;
use snipeusher::machine::Event;
use snipeusher::machine::Machine;
use snipeusher::machine::Outcome;
use snipeusher::machine::Settings;
use snipeusher::name;
use snipeusher::placement;
use snipeusher::policy::Class;
use snipeusher::policy::Limits;
use snipeusher::policy::Policy;
use snipeusher::request::Attempt;
use snipeusher::request::Chat;
use snipeusher::request::Id;
use snipeusher::request::Request;
use snipeusher::request::Target;
use snipeusher::request::Variant;
use snipeusher::time::Time;
use snipeusher::upstream::Kind;
use snipeusher::upstream::Phase;
use snipeusher::upstream::State;

/// Number of workspaces unless a benchmark varies it.
pub const WORKSPACES: u64 = 10;
/// Time between two requests.
const GAP: Duration = Duration::from_micros(100);

/// The state machine of one router, with engines and workspaces registered.
#[derive(Debug)]
pub struct Fleet {
    machine: Machine,
    now: Time,
    next: u64,
    workspaces: u64,
    rng: Pcg64Mcg,
}

impl Fleet {
    /// Creates a machine in which all engines are live.
    pub fn new(engines: u64, workspaces: u64) -> Self {
        let mut fleet = Self {
            machine: Machine::with(Settings::default()),
            now: Time::from_millis(1),
            next: 0,
            workspaces: workspaces.max(1),
            rng: Pcg64Mcg::seed_from_u64(1),
        };
        for engine in 0..engines {
            fleet
                .machine
                .handle(fleet.now, Event::Upstream(state(engine)));
        }
        for workspace in 0..workspaces {
            fleet
                .machine
                .handle(fleet.now, Event::Policy(policy(workspace)));
        }
        fleet
    }

    /// Chooses an engine without changing the state.
    pub fn choose(&mut self) -> Option<placement::Choice> {
        let request = self.next_request();
        let board = self.machine.board();
        let pool = board.loads.pool(&request.target)?;
        let constraints = placement::Constraints {
            load_limit: 1.25,
            capped: true,
            over_share: false,
            reserve: 0,
            avoid: None,
        };
        let rng = &mut self.rng;
        placement::choose(
            &board.loads,
            &board.prefixes,
            pool,
            &request,
            &constraints,
            rng,
        )
    }

    /// Processes one request from arrival to completion.
    pub fn request(&mut self) -> Option<Attempt> {
        let attempt = self.arrive()?;
        let outcome = Outcome::Complete;
        let end = Event::End { attempt, outcome };
        self.machine.handle(self.now, end);
        self.machine.drain().count();
        Some(attempt)
    }

    /// Dispatches one request and leaves it in flight.
    pub fn arrive(&mut self) -> Option<Attempt> {
        self.now = self.now + GAP;
        let request = self.next_request();
        self.machine.handle(self.now, Event::Arrive(request));
        let attempts = self.machine.drain().filter_map(|action| match action {
            Action::Dispatch { attempt, .. } => Some(attempt),
            _ => None,
        });
        attempts.last()
    }

    fn next_request(&mut self) -> Request {
        self.next += 1;
        Request {
            id: Id(self.next),
            workspace: workspace(self.next % self.workspaces),
            class: name::Class::from("chat"),
            target: target(),
            chat: Some(Chat(hash::mix(self.next, 7))),
            prompt_tokens: 1_000,
            output_tokens: 200,
            bytes: 4_000,
            deadline: self.now + Duration::from_mins(1),
            idempotent: true,
        }
    }
}

fn workspace(number: u64) -> name::Workspace {
    name::Workspace::from(format!("workspace-{number}"))
}

fn variant() -> Variant {
    Variant {
        model: name::Model::from("quill"),
        adapter: None,
        version: name::Version::from("v1"),
    }
}

fn target() -> Target {
    Target::Model(variant())
}

fn state(number: u64) -> State {
    State {
        name: name::Upstream::from(format!("engine-{number}")),
        address: format!("127.0.0.1:{}", 1_024 + number),
        zone: name::Zone::from("et-central-a"),
        incarnation: name::Incarnation(1),
        phase: Phase::Live,
        kind: Kind::Engine([variant()].into()),
    }
}

fn policy(number: u64) -> Policy {
    let class = name::Class::from("chat");
    Policy {
        workspace: workspace(number),
        keys: Vec::new(),
        models: BTreeMap::new(),
        classes: [(class.clone(), Class::default())].into(),
        default_class: class,
        services: BTreeMap::new(),
        limits: Limits::default(),
    }
}
