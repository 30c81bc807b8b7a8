//! Which engine should hold which model, adapter and version, one small step at a time.
//!
//! A [`Planner`] belongs to the holder of the lease of a zone. It compares what templates need
//! and what is asked for with what engines report, and orders one change after the other; see
//! `docs/design.md#ownership-and-orders`.

mod demand;
mod plan;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use self::demand::Copies;
use crate::kv::Revision;
use crate::load::Work;
use crate::name;
use crate::policy::Model;
use crate::policy::Policy;
use crate::request::Variant;
use crate::time::Time;
use crate::upstream::Phase;

/// Time after which an order that the engine's state does not show yet is sent again; it doubles
/// with each repeat, so that an engine that does not follow leaves the weight store to others.
const REPEAT: Duration = Duration::from_secs(10);
/// Repeats after which the time does not double any more.
const REPEATS_DOUBLED: u32 = 4;
/// Time after which an order that has no effect is given up, so that one broken engine does not
/// hold up all others.
const GIVE_UP: Duration = Duration::from_mins(10);
/// Age above which an engine's reported state is too old to plan from.
const STALE: Duration = Duration::from_secs(10);

/// Bounds of the planner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Shortest time between two loads, which gives the rate at the weight store.
    pub load_interval: Duration,
    /// Variants that one engine can hold.
    pub slots: usize,
    /// Work in flight that one copy of a variant takes well; zero counts as one.
    pub copy_work: Work,
    /// How long demand must be low before a copy is taken away.
    pub hold: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            load_interval: Duration::from_secs(30),
            slots: 4,
            copy_work: Work(100_000),
            hold: Duration::from_mins(5),
        }
    }
}

/// What an engine reports, with whether it rejects old fencing tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub name: name::Upstream,
    /// Which run it is.
    pub incarnation: name::Incarnation,
    /// Where it stands.
    pub phase: Phase,
    /// Variants that it has loaded.
    pub ready: BTreeSet<Variant>,
    /// Counts its reports within the run; an earlier one that arrives late is ignored.
    pub sequence: u64,
    /// Whether it rejects an order with an old fencing token, as the settings state.
    pub checks_fence: bool,
}

/// What the planner reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// The policies in force, once the configuration is complete: a copy that no known policy
    /// needs may be replaced.
    Policies(Vec<Policy>),
    /// An engine's state was read from the engine itself.
    Engine(Engine),
    /// An engine did not answer when asked for its state.
    Silent(name::Upstream),
    /// Work in flight for each variant, over the fleet.
    Demand(BTreeMap<Variant, Work>),
    /// An engine rejected an order for its fencing token.
    Rejected(name::Upstream),
    /// The state of the lease at this moment; orders are emitted only in answer to this.
    Lease {
        /// The fencing token, if this process is the holder now.
        fence: Option<Revision>,
        /// Whether the guard time since the start of the lease has passed.
        settled: bool,
    },
}

/// The state that an engine should come to. It may be sent any number of times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub upstream: name::Upstream,
    /// The fencing token.
    pub fence: Revision,
    /// All variants that it should hold in the end.
    pub variants: BTreeSet<Variant>,
}

#[derive(Clone, Debug)]
struct Known {
    engine: Engine,
    read: Time,
    silent: bool,
}

#[derive(Clone, Debug)]
struct Pending {
    incarnation: name::Incarnation,
    variants: BTreeSet<Variant>,
    first: Time,
    last: Time,
    repeats: u32,
}

/// Plans and repeats orders.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    policies: Vec<Policy>,
    engines: BTreeMap<name::Upstream, Known>,
    copies: Copies,
    pending: BTreeMap<name::Upstream, Pending>,
    given_up: BTreeMap<name::Upstream, name::Incarnation>,
    fence: Option<(Revision, Time)>,
    last_load: Time,
    actions: VecDeque<Order>,
}

impl Planner {
    /// Starts with nothing known.
    pub fn new(settings: Settings) -> Self {
        Self {
            copies: Copies::new(settings.copy_work, settings.hold),
            settings,
            policies: Vec::new(),
            engines: BTreeMap::new(),
            pending: BTreeMap::new(),
            given_up: BTreeMap::new(),
            fence: None,
            last_load: Time::default(),
            actions: VecDeque::new(),
        }
    }

    /// Takes one event at `now`; orders wait in [`Self::drain`].
    pub fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Policies(policies) => self.policies = policies,
            Event::Engine(engine) => self.read_back(now, engine),
            Event::Silent(upstream) => {
                if let Some(known) = self.engines.get_mut(&upstream) {
                    known.silent = true;
                }
            }
            Event::Demand(demand) => self.copies.update(now, &demand),
            Event::Rejected(upstream) => {
                self.pending.remove(&upstream);
            }
            Event::Lease { fence, settled } => self.act(now, fence, settled),
        }
    }

    /// Takes the orders that are due. They must be sent at once or not at all.
    pub fn drain(&mut self) -> impl Iterator<Item = Order> + '_ {
        self.actions.drain(..)
    }

    /// Engines with an order that has not taken effect yet.
    pub fn pending(&self) -> impl Iterator<Item = &name::Upstream> {
        self.pending.keys()
    }

    fn read_back(&mut self, now: Time, engine: Engine) {
        let name = engine.name.clone();
        let order = (engine.incarnation, engine.sequence);
        let known = self.engines.get(&name).map(|known| &known.engine);
        if known.is_some_and(|known| (known.incarnation, known.sequence) > order) {
            return;
        }
        let over = self.pending.get(&name).is_some_and(|pending| {
            // A new run starts with what it is configured to hold and needs a new plan.
            pending.incarnation != engine.incarnation
                || pending.variants == engine.ready
                || engine.phase > Phase::Live
        });
        if over {
            self.pending.remove(&name);
        }
        if engine.phase == Phase::Gone {
            self.engines.remove(&name);
            return;
        }
        let known = Known {
            engine,
            read: now,
            silent: false,
        };
        self.engines.insert(name, known);
    }

    fn act(&mut self, now: Time, fence: Option<Revision>, settled: bool) {
        // Orders that were not taken out belong to an earlier moment.
        self.actions.clear();
        let Some(fence) = fence else {
            self.fence = None;
            self.pending.clear();
            return;
        };
        if self.fence.is_none_or(|(held, _)| held != fence) {
            self.fence = Some((fence, now));
            self.pending.clear();
            // The holder before may have begun a load a moment ago.
            self.last_load = now;
        }
        let since = self.fence.map_or(now, |(_, since)| since);
        let engines = &self.engines;
        self.pending.retain(|name, _| engines.contains_key(name));
        self.repeat(now, fence, since);
        self.step(now, fence, since, settled);
    }

    fn repeat(&mut self, now: Time, fence: Revision, since: Time) {
        let given_up = &mut self.given_up;
        self.pending.retain(|name, pending| {
            let keep = now.since(pending.first) < GIVE_UP;
            if !keep {
                given_up.insert(name.clone(), pending.incarnation);
            }
            keep
        });
        if now.since(self.last_load) < self.settings.load_interval {
            return;
        }
        let due = self.pending.iter().find(|(upstream, pending)| {
            let wait = REPEAT * (1 << pending.repeats.min(REPEATS_DOUBLED));
            now.since(pending.last) >= wait && self.is_safe(now, since, upstream, &pending.variants)
        });
        let Some(upstream) = due.map(|(upstream, _)| upstream.clone()) else {
            return;
        };
        if let Some(pending) = self.pending.get_mut(&upstream) {
            // The order before may be lost, so that this one begins the load.
            self.last_load = now;
            pending.last = now;
            pending.repeats += 1;
            self.actions.push_back(Order {
                upstream,
                fence,
                variants: pending.variants.clone(),
            });
        }
    }

    fn step(&mut self, now: Time, fence: Revision, since: Time, settled: bool) {
        if now.since(self.last_load) < self.settings.load_interval {
            return;
        }
        let most = self
            .policies
            .iter()
            .map(|policy| policy.limits.max_unavailable);
        if self.pending.len() >= most.min().unwrap_or(0) as usize {
            return;
        }
        let Some((upstream, variants)) = self.plan(now, since, settled) else {
            return;
        };
        let Some(known) = self.engines.get(&upstream) else {
            return;
        };
        if !variants.is_subset(&known.engine.ready) {
            self.last_load = now;
        }
        let pending = Pending {
            incarnation: known.engine.incarnation,
            variants: variants.clone(),
            first: now,
            last: now,
            repeats: 0,
        };
        self.pending.insert(upstream.clone(), pending);
        self.actions.push_back(Order {
            upstream,
            fence,
            variants,
        });
    }
}

/// The version that chats get: the first one of the policy that an engine reports loaded, so that
/// a new version reaches no chat before that. Without any, the first is what is waited for.
pub fn serving_version(
    model: &Model,
    is_ready: impl Fn(&name::Version) -> bool,
) -> Option<&name::Version> {
    let mut versions = model.versions.iter();
    versions
        .find(|version| is_ready(version))
        .or_else(|| model.versions.first())
}
