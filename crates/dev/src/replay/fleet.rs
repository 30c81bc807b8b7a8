//! Builds the fleet that a trace header describes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use snipeusher::load::OUTPUT_TOKEN_WORK;
use snipeusher::name;
use snipeusher::policy;
use snipeusher::policy::Policy;
use snipeusher::request::Target;
use snipeusher::request::Variant;
use snipeusher::upstream::Kind;
use snipeusher::upstream::State;

use super::engine::Engine;
use super::engine::Job;
use crate::trace::Header;
use crate::trace::Request;
use crate::trace::Trace;
use crate::trace::Workspace;

/// Slots of an instance of the plain service.
const PLAIN_SLOTS: usize = 64;

/// Creates the upstreams, engines first.
pub fn engines(header: &Header) -> Vec<Engine> {
    let zones = header.zones.len().max(1);
    let capacity = (
        header.engine_work_per_s,
        header.engine_slots,
        header.cache_tokens,
    );
    let plain_capacity = (header.engine_work_per_s, PLAIN_SLOTS, 0);
    let engine = |number| {
        let name = format!("engine-{number:03}").into();
        Engine::new(name, number % zones, false, capacity)
    };
    let plain = |number| {
        let name = format!("plain-{number:03}").into();
        Engine::new(name, number % zones, true, plain_capacity)
    };
    let engines = (0..header.engines).map(engine);
    engines.chain((0..header.plain).map(plain)).collect()
}

/// Returns the target of a request.
pub fn target(plain: bool) -> Target {
    if plain {
        Target::Plain("match-desk".into())
    } else {
        Target::Model(variant())
    }
}

/// Returns the state of an upstream that routers receive.
pub fn state(header: &Header, engine: &Engine) -> State {
    let kind = if engine.plain {
        Kind::Plain("match-desk".into())
    } else {
        Kind::Engine(BTreeSet::from([variant()]))
    };
    State {
        name: engine.name.clone(),
        address: String::new(),
        zone: header
            .zones
            .get(engine.zone)
            .cloned()
            .unwrap_or_else(|| "a".into()),
        incarnation: name::Incarnation(engine.incarnation),
        phase: engine.phase,
        kind,
    }
}

/// Returns the policy of a workspace.
pub fn policy(header: &Header, workspace: &Workspace) -> Policy {
    let versions = vec![name::Version::from("1")];
    let model = policy::Model {
        versions,
        adapters: Vec::new(),
    };
    let class = name::Class::from("chat");
    let mut classes = workspace.classes.clone();
    classes.entry(class.clone()).or_default();
    Policy {
        workspace: workspace.name.clone(),
        keys: Vec::new(),
        models: BTreeMap::from([("quill-llm".into(), model)]),
        classes,
        default_class: class,
        services: BTreeMap::new(),
        limits: policy::Limits {
            load_limit: workspace.load_limit.unwrap_or(header.load_limit),
            ..policy::Limits::default()
        },
    }
}

/// Returns the time limit of a request from its arrival to the end of its response.
pub fn deadline(trace: &Trace, request: &Request) -> Duration {
    let class = trace
        .workspaces
        .iter()
        .find(|workspace| workspace.name == request.workspace)
        .and_then(|workspace| workspace.classes.get(&request.class));
    let deadline_ms = class.map_or_else(|| policy::Class::default().deadline_ms, |c| c.deadline_ms);
    Duration::from_millis(deadline_ms)
}

/// Returns the work of an attempt at an engine, less what its cache saves.
pub fn work(engine: &Engine, job: &Job) -> u64 {
    let cached = job.chat.map_or(0, |chat| engine.cache.peek(chat));
    job.prompt.saturating_sub(cached) + job.output * OUTPUT_TOKEN_WORK
}

fn variant() -> Variant {
    Variant {
        model: "quill-llm".into(),
        adapter: None,
        version: "1".into(),
    }
}
