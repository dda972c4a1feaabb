//! Which router a request reaches, and which engines it tries there.

use std::sync::Arc;

use ebonyspur::{
    membership::Engine,
    placement::{self, Hint},
    EngineName,
};
use rand::RngExt;

use super::{
    super::{
        engines::Sim,
        policy::{Choice, Memory, Source, Spill},
        trace::SECOND,
    },
    chat_id, World, ROUTERS,
};

/// How long a failure counts against an engine.
const FAILURE_MEMORY: u64 = 180 * SECOND;

/// Share of requests that come by an address that is out of date.
const STALE: f64 = 0.1;

impl World<'_> {
    /// Returns the router that the request reaches, and the engines it tries.
    pub(super) fn order(&mut self, chat: u32) -> (usize, Vec<usize>) {
        let asked = self.rng.random_range(0..ROUTERS);
        let ordered = self.ordered_by(asked, chat, Spill::NextRank);
        if ordered.is_empty() || self.rng.random_bool(STALE) {
            return (asked, self.ordered_by(asked, chat, self.policy.spill));
        }
        let router = match self.policy.memory {
            Memory::Directory => self.home(chat),
            _ => self.steward_of(ordered[0]),
        };
        (router, self.ordered_by(router, chat, self.policy.spill))
    }

    pub(super) fn steward_of(&self, at: usize) -> usize {
        let name = self.sims[at].engine.name.as_str();
        let first = placement::rendezvous_first(name, self.names.iter()).expect("a router");
        self.names
            .iter()
            .position(|other| other == first)
            .expect("a router")
    }

    pub(super) fn ordered_by(&self, router: usize, chat: u32, spill: Spill) -> Vec<usize> {
        let seen = |at: &usize| self.sims[*at].is_seen(router, self.now);
        let seen: Vec<usize> = (0..self.sims.len()).filter(seen).collect();
        match self.policy.choice {
            Choice::LeastLoaded => self.by_key(seen, |at| self.heard_load(router, at)),
            Choice::Oracle => {
                let live = self.live();
                self.by_key(live, |at| {
                    (!self.sims[at].caches(chat), self.sims[at].in_flight)
                })
            }
            Choice::Bounded | Choice::First => self.preferred(router, chat, &seen, spill),
        }
    }

    pub(super) fn by_key<K: Ord>(
        &self,
        mut engines: Vec<usize>,
        key: impl Fn(usize) -> K,
    ) -> Vec<usize> {
        engines.sort_by_key(|at| key(*at));
        engines
    }

    pub(super) fn preferred(
        &self,
        router: usize,
        chat: u32,
        seen: &[usize],
        spill: Spill,
    ) -> Vec<usize> {
        let known = &self.known[router];
        let heard = |engine: &Engine| match self.policy.source {
            Source::Replies => known.get(engine, self.now),
            Source::Sums => Some(self.sum_of_steward(router, self.find(engine), seen)),
            Source::Gossip => Some(self.heard_load(router, self.find(engine))),
            Source::Exact => Some(self.sims[self.find(engine)].in_flight),
        };
        let load = |engine: &Engine| {
            let penalty = self.policy.penalty * self.failed_lately(&engine.name);
            heard(engine)
                .map(|load| load + penalty)
                .or((penalty > 0).then_some(penalty))
        };
        let hint = self.hint(chat);
        let engines: Vec<Arc<Engine>> = seen
            .iter()
            .map(|at| self.sims[*at].engine.clone())
            .collect();
        let ranks = self.policy.ranks;
        let mut ordered =
            placement::preferred_engines(chat_id(chat).as_str(), &hint, &engines, ranks);
        let named = |engine: &&Arc<Engine>| hint.position(engine).is_some();
        let warm = ordered.iter().filter(named).count();
        let kept = match spill {
            Spill::NextRank => ordered.len(),
            Spill::RankThenLoad => ordered.len().min(warm + 1),
            Spill::LeastLoaded => warm,
        };
        // An engine of unknown load comes before one that is known to be busy.
        ordered[kept..].sort_by_key(|engine| load(engine).unwrap_or(0));
        ordered.iter().map(|engine| self.find(engine)).collect()
    }

    /// Returns the router that keeps the directory entry of `chat`.
    pub(super) fn home(&self, chat: u32) -> usize {
        let first = placement::rendezvous_first(chat_id(chat).as_str(), self.names.iter());
        let first = first.expect("a router");
        self.names
            .iter()
            .position(|other| other == first)
            .expect("a router")
    }

    pub(super) fn failed_lately(&self, engine: &EngineName) -> u32 {
        let failures = self.failures.get(engine).map_or(&[][..], Vec::as_slice);
        let recent = |at: &&u64| self.now - **at < FAILURE_MEMORY;
        failures.iter().filter(recent).count() as u32
    }

    pub(super) fn hint(&self, chat: u32) -> Hint {
        match self.policy.memory {
            Memory::None => Hint::default(),
            Memory::Hint(_) => self.memory.get(&chat).cloned().unwrap_or_default(),
            Memory::Directory => self.directories[self.home(chat)].get(&chat_id(chat)),
        }
    }

    /// Returns the load that the steward of an engine gossips, over the engines it counts.
    pub(super) fn sum_of_steward(&self, router: usize, at: usize, seen: &[usize]) -> u32 {
        let steward = self.steward_of(at);
        let counted: Vec<_> = seen
            .iter()
            .filter(|at| self.steward_of(**at) == steward)
            .collect();
        let sum: u32 = counted.iter().map(|at| self.heard_load(router, **at)).sum();
        sum / counted.len().max(1) as u32
    }

    pub(super) fn find(&self, engine: &Engine) -> usize {
        let same = |sim: &Sim| {
            sim.engine.incarnation == engine.incarnation && sim.engine.name == engine.name
        };
        self.sims.iter().rposition(same).expect("an engine")
    }
}
