//! The next step, if any is safe.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Engine;
use super::Known;
use super::Planner;
use super::STALE;
use crate::name;
use crate::request::Variant;
use crate::time::Time;
use crate::upstream::Phase;

impl Planner {
    /// The engine to change and what it should hold in the end. `since` is when the lease began:
    /// only what was read after that is planned from.
    pub(super) fn plan(
        &self,
        now: Time,
        since: Time,
        settled: bool,
    ) -> Option<(name::Upstream, BTreeSet<Variant>)> {
        let live = self.live(now, since);
        let free: Vec<_> = live
            .iter()
            .copied()
            .filter(|engine| !self.pending.contains_key(&engine.name))
            .filter(|engine| engine.checks_fence || settled)
            .filter(|engine| self.given_up.get(&engine.name) != Some(&engine.incarnation))
            .collect();
        let needed = self.needed();
        let copies = self.count(&live);
        let mut missing: Vec<_> = needed
            .iter()
            .map(|variant| (copies.get(variant).copied().unwrap_or(0), variant))
            .filter(|(count, variant)| *count < self.copies.of(variant).min(live.len()))
            .collect();
        // Those with the fewest copies come first.
        missing.sort_unstable();
        let mut steps = missing
            .into_iter()
            .filter_map(|(_, variant)| self.add(variant, &live, &free, &needed));
        steps.next()
    }

    /// Whether an order, planned earlier, still leaves enough copies of what it takes away. Engines
    /// may have died since.
    pub(super) fn is_safe(
        &self,
        now: Time,
        since: Time,
        upstream: &name::Upstream,
        variants: &BTreeSet<Variant>,
    ) -> bool {
        let live = self.live(now, since);
        let Some(engine) = live.iter().find(|engine| engine.name == *upstream) else {
            return false;
        };
        let needed = self.needed();
        let mut removed = engine.ready.difference(variants);
        removed.all(|variant| self.can_spare(engine, variant, &live, &needed))
    }

    /// Engines that work and whose state was read lately.
    fn live(&self, now: Time, since: Time) -> Vec<&Engine> {
        let fresh =
            |known: &&Known| !known.silent && known.read >= since && now.since(known.read) < STALE;
        let known = self.engines.values().filter(fresh);
        let engines = known.map(|known| &known.engine);
        engines
            .filter(|engine| engine.phase == Phase::Live)
            .collect()
    }

    /// All variants that a workspace may ask for.
    fn needed(&self) -> BTreeSet<Variant> {
        let mut needed = BTreeSet::new();
        for policy in &self.policies {
            for (name, model) in &policy.models {
                let adapters = model.adapters.iter().cloned().map(Some);
                for adapter in adapters.chain([None]) {
                    needed.extend(model.versions.iter().map(|version| Variant {
                        model: name.clone(),
                        adapter: adapter.clone(),
                        version: version.clone(),
                    }));
                }
            }
        }
        needed
    }

    /// Copies that are ready or ordered. What a pending order takes away does not count.
    fn count(&self, live: &[&Engine]) -> BTreeMap<Variant, usize> {
        let mut copies = BTreeMap::new();
        for engine in live {
            let pending = self.pending.get(&engine.name);
            let held = pending.map_or(&engine.ready, |pending| &pending.variants);
            for variant in held {
                *copies.entry(variant.clone()).or_default() += 1;
            }
        }
        copies
    }

    /// Loads a variant where a slot is free, or in place of one that can be spared there.
    fn add(
        &self,
        variant: &Variant,
        live: &[&Engine],
        free: &[&Engine],
        needed: &BTreeSet<Variant>,
    ) -> Option<(name::Upstream, BTreeSet<Variant>)> {
        let mut able: Vec<_> = free
            .iter()
            .filter(|engine| !engine.ready.contains(variant))
            .collect();
        able.sort_unstable_by_key(|engine| engine.ready.len());
        for engine in &able {
            if engine.ready.len() < self.settings.slots {
                let mut variants = engine.ready.clone();
                variants.insert(variant.clone());
                return Some((engine.name.clone(), variants));
            }
        }
        able.iter().find_map(|engine| {
            let mut held = engine.ready.iter();
            let spare = held.find(|spare| self.can_spare(engine, spare, live, needed))?;
            let mut variants = engine.ready.clone();
            variants.remove(spare);
            variants.insert(variant.clone());
            Some((engine.name.clone(), variants))
        })
    }

    /// Whether a variant may go from an engine: nobody needs it, or as many copies as wanted are
    /// ready on engines that are not being changed.
    fn can_spare(
        &self,
        engine: &Engine,
        variant: &Variant,
        live: &[&Engine],
        needed: &BTreeSet<Variant>,
    ) -> bool {
        if !needed.contains(variant) {
            return true;
        }
        let others = live.iter().filter(|other| {
            other.name != engine.name
                && other.ready.contains(variant)
                && !self.pending.contains_key(&other.name)
        });
        others.count() >= self.copies.of(variant)
    }
}
