//! The load bound as a steward estimates it from reported loads, and the actual bound.

use ebonyspur::{
    membership::PoolLoad,
    steward::{cautious_factor, load_bound, with_waiting},
};

use super::{
    super::{
        engines::SAMPLE_INTERVAL,
        policy::{EngineCount, MeanEstimate},
        trace::SECOND,
    },
    Simulation, LOAD_FACTOR, ROUTERS,
};

impl Simulation<'_> {
    /// Returns the bound that `steward` applies to a request of the router `asking`.
    pub(super) fn bound(&self, steward: usize, asking: usize, factor: f64) -> u32 {
        let pool = self.estimate_pool_load(steward, asking);
        let waiting = self.waiting.count_except_current(asking, asking);
        let mut load = with_waiting(pool, waiting);
        let factor = match self.policy.mean {
            MeanEstimate::Reported => factor,
            MeanEstimate::Cautious | MeanEstimate::CautiousPlusEngine => {
                cautious_factor(load, factor)
            }
            MeanEstimate::Margin(error) => {
                let error = error / f64::from(load.in_flight.max(1)).sqrt();
                (factor * (1.0 - error)).max(factor.min(1.05))
            }
        };
        if self.policy.mean == MeanEstimate::CautiousPlusEngine {
            load.engines += 1;
        }
        load_bound(load, factor)
    }

    /// Returns the load of the pool as `steward` estimates it: the load of the engines that it
    /// counts itself and the gossiped load of the others.
    fn estimate_pool_load(&self, steward: usize, asking: usize) -> PoolLoad {
        let mut pool = PoolLoad::default();
        for index in 0..self.engines.len() {
            pool.add(self.load_in_sums(steward, index));
        }
        let listed = self
            .engines
            .iter()
            .filter(|engine| engine.is_listed_by(steward, self.now));
        let listed = listed.count() as u32;
        pool.engines = match self.policy.engine_count {
            EngineCount::Listed => listed,
            EngineCount::Largest => listed.max(pool.engines),
        };
        for router in 0..ROUTERS {
            pool.waiting += match router {
                _ if router == steward => self.waiting.count_except_current(router, asking),
                _ => self
                    .waiting
                    .count_at(router, self.load_times.counted_at(steward, router)),
            };
        }
        pool
    }

    /// Returns the bound that follows from the present loads of all live engines.
    pub(super) fn actual_bound(&self) -> u32 {
        let loads = self.live();
        let total = loads
            .iter()
            .map(|index| self.engines[*index].in_flight)
            .sum();
        load_bound(PoolLoad::new(total, loads.len() as u32), LOAD_FACTOR)
    }

    /// Returns the load that an engine contributes to the sums known to `router`, zero if its
    /// steward does not list it.
    fn load_in_sums(&self, router: usize, index: usize) -> PoolLoad {
        let (counting, engine) = (self.steward_of(index), &self.engines[index]);
        if counting == router && engine.is_listed_by(router, self.now) {
            return PoolLoad::new(engine.in_flight, 1);
        }
        let then = self.load_times.counted_at(router, counting);
        if counting != router && engine.is_listed_by(counting, then) {
            return PoolLoad::new(engine.load_at(then), 1);
        }
        PoolLoad::default()
    }

    /// Returns the load of an engine that `router` knows from gossip.
    pub(super) fn gossiped_load(&self, router: usize, index: usize) -> u32 {
        let counted_at = self.load_times.counted_at(router, self.steward_of(index));
        self.engines[index].load_at(counted_at)
    }

    /// Returns the sample of the actual bound a second ago.
    pub(super) fn bound_one_second_ago(&self) -> u32 {
        let index = (self.now.saturating_sub(SECOND) / SAMPLE_INTERVAL) as usize;
        self.bounds.get(index).copied().unwrap_or(1)
    }
}
