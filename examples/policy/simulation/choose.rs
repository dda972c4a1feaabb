//! Selects the router that a request reaches and the engines that it tries there.

use std::sync::Arc;

use ebonyspur::{
    membership::Engine,
    placement::{self, Hint},
    EngineName,
};
use rand::RngExt;

use super::{
    super::{
        engines::SimulatedEngine,
        policy::{Choice, FallbackOrder, HintMemory, LoadSource},
        trace::SECOND,
    },
    chat_id, Simulation, ROUTERS,
};

/// How long the failure of an engine counts in its penalty.
const FAILURE_WINDOW: u64 = 180 * SECOND;

/// Share of the requests that callers send to an outdated address.
const STALE_ADDRESS_SHARE: f64 = 0.1;

impl Simulation<'_> {
    /// Returns the router that a request of `chat` reaches and the engines to try, in order.
    pub(super) fn order(&mut self, chat: u32) -> (usize, Vec<usize>) {
        let contacted = self.rng.random_range(0..ROUTERS);
        let ordered = self.ordered_by(contacted, chat, FallbackOrder::NextRank);
        if ordered.is_empty() || self.rng.random_bool(STALE_ADDRESS_SHARE) {
            return (
                contacted,
                self.ordered_by(contacted, chat, self.policy.fallback_order),
            );
        }
        let router = match self.policy.memory {
            HintMemory::Directory => self.home(chat),
            _ => self.steward_of(ordered[0]),
        };
        (
            router,
            self.ordered_by(router, chat, self.policy.fallback_order),
        )
    }

    pub(super) fn steward_of(&self, index: usize) -> usize {
        let name = self.engines[index].engine.name.as_str();
        let first = placement::rendezvous_first(name, self.router_names.iter()).expect("a router");
        self.router_names
            .iter()
            .position(|other| other == first)
            .expect("a router")
    }

    pub(super) fn ordered_by(
        &self,
        router: usize,
        chat: u32,
        fallback: FallbackOrder,
    ) -> Vec<usize> {
        let listed = |index: &usize| self.engines[*index].is_listed_by(router, self.now);
        let listed: Vec<usize> = (0..self.engines.len()).filter(listed).collect();
        match self.policy.choice {
            Choice::LeastLoaded => {
                self.sorted_by_key(listed, |index| self.gossiped_load(router, index))
            }
            Choice::Oracle => {
                let live = self.live();
                self.sorted_by_key(live, |index| {
                    (
                        !self.engines[index].caches(chat),
                        self.engines[index].in_flight,
                    )
                })
            }
            Choice::Bounded | Choice::First => self.preferred(router, chat, &listed, fallback),
        }
    }

    pub(super) fn sorted_by_key<K: Ord>(
        &self,
        mut engines: Vec<usize>,
        key: impl Fn(usize) -> K,
    ) -> Vec<usize> {
        engines.sort_by_key(|index| key(*index));
        engines
    }

    pub(super) fn preferred(
        &self,
        router: usize,
        chat: u32,
        listed: &[usize],
        fallback: FallbackOrder,
    ) -> Vec<usize> {
        let reported = &self.reported_loads[router];
        let reported_load = |engine: &Engine| match self.policy.source {
            LoadSource::Replies => reported.get(engine, self.now),
            LoadSource::StewardMeans => {
                Some(self.mean_load_of_steward(router, self.find(engine), listed))
            }
            LoadSource::Gossip => Some(self.gossiped_load(router, self.find(engine))),
            LoadSource::Exact => Some(self.engines[self.find(engine)].in_flight),
        };
        let load = |engine: &Engine| {
            let penalty = self.policy.failure_penalty * self.recent_failures(&engine.name);
            reported_load(engine)
                .map(|load| load + penalty)
                .or((penalty > 0).then_some(penalty))
        };
        let hint = self.hint(chat);
        let engines: Vec<Arc<Engine>> = listed
            .iter()
            .map(|index| self.engines[*index].engine.clone())
            .collect();
        let ranks = self.policy.ranks;
        let mut ordered =
            placement::preferred_engines(chat_id(chat).as_str(), &hint, &engines, ranks);
        let named = |engine: &&Arc<Engine>| hint.position(engine).is_some();
        let warm = ordered.iter().filter(named).count();
        let fixed = match fallback {
            FallbackOrder::NextRank => ordered.len(),
            FallbackOrder::RankThenLoad => ordered.len().min(warm + 1),
            FallbackOrder::LeastLoaded => warm,
        };
        // An engine of unknown load counts as idle.
        ordered[fixed..].sort_by_key(|engine| load(engine).unwrap_or(0));
        ordered.iter().map(|engine| self.find(engine)).collect()
    }

    /// Returns the router that holds the directory entry of `chat`.
    pub(super) fn home(&self, chat: u32) -> usize {
        let first = placement::rendezvous_first(chat_id(chat).as_str(), self.router_names.iter());
        let first = first.expect("a router");
        self.router_names
            .iter()
            .position(|other| other == first)
            .expect("a router")
    }

    pub(super) fn recent_failures(&self, engine: &EngineName) -> u32 {
        let failures = self.failures.get(engine).map_or(&[][..], Vec::as_slice);
        let recent = |at: &&u64| self.now - **at < FAILURE_WINDOW;
        failures.iter().filter(recent).count() as u32
    }

    pub(super) fn hint(&self, chat: u32) -> Hint {
        match self.policy.memory {
            HintMemory::None => Hint::default(),
            HintMemory::Hint(_) => self.hints.get(&chat).cloned().unwrap_or_default(),
            HintMemory::Directory => self.directories[self.home(chat)].get(&chat_id(chat)),
        }
    }

    /// Returns the mean load of the engines that the steward of an engine counts, from gossip.
    pub(super) fn mean_load_of_steward(
        &self,
        router: usize,
        index: usize,
        listed: &[usize],
    ) -> u32 {
        let steward = self.steward_of(index);
        let counted: Vec<_> = listed
            .iter()
            .filter(|index| self.steward_of(**index) == steward)
            .collect();
        let sum: u32 = counted
            .iter()
            .map(|index| self.gossiped_load(router, **index))
            .sum();
        sum / counted.len().max(1) as u32
    }

    pub(super) fn find(&self, engine: &Engine) -> usize {
        let is_same = |candidate: &SimulatedEngine| {
            candidate.engine.incarnation == engine.incarnation
                && candidate.engine.name == engine.name
        };
        self.engines.iter().rposition(is_same).expect("an engine")
    }
}
