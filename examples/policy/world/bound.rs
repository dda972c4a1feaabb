//! The bound as a steward knows it, and as the engines count it.

use ebonyspur::{
    membership::PoolLoad,
    steward::{cautious_factor, load_bound, with_waiting},
};

use super::{
    super::{
        engines::SAMPLE,
        policy::{Count, Mean},
        trace::SECOND,
    },
    World, FACTOR, ROUTERS,
};

impl World<'_> {
    /// Returns the bound as `steward` knows it when `asking` wants a slot.
    pub(super) fn bound(&self, steward: usize, asking: usize, factor: f64) -> u32 {
        let pool = self.known_load(steward, asking);
        let waiting = self.seekers.beside(asking, asking);
        let mut load = with_waiting(pool, waiting);
        let factor = match self.policy.mean {
            Mean::Heard => factor,
            Mean::Cautious | Mean::CautiousAndOne => cautious_factor(load, factor),
            Mean::Margin(error) => {
                let error = error / f64::from(load.in_flight.max(1)).sqrt();
                (factor * (1.0 - error)).max(factor.min(1.05))
            }
        };
        if self.policy.mean == Mean::CautiousAndOne {
            load.engines += 1;
        }
        load_bound(load, factor)
    }

    /// Returns the load of the pool: what `steward` counts, the rest as others told it.
    fn known_load(&self, steward: usize, asking: usize) -> PoolLoad {
        let mut pool = PoolLoad::default();
        for at in 0..self.sims.len() {
            pool.add(self.counted(steward, at));
        }
        let seen = self
            .sims
            .iter()
            .filter(|sim| sim.is_seen(steward, self.now));
        let seen = seen.count() as u32;
        pool.engines = match self.policy.count {
            Count::Listed => seen,
            Count::Most => seen.max(pool.engines),
        };
        for router in 0..ROUTERS {
            pool.waiting += match router {
                _ if router == steward => self.seekers.beside(router, asking),
                _ => self
                    .seekers
                    .count_at(router, self.news.heard(steward, router)),
            };
        }
        pool
    }

    /// Returns the bound as the engines count it now.
    pub(super) fn true_bound(&self) -> u32 {
        let loads = self.live();
        let total = loads.iter().map(|at| self.sims[*at].in_flight).sum();
        load_bound(PoolLoad::new(total, loads.len() as u32), FACTOR)
    }

    /// Returns the load of an engine in the sums that `router` knows, if it is in them.
    fn counted(&self, router: usize, at: usize) -> PoolLoad {
        let (counting, sim) = (self.steward_of(at), &self.sims[at]);
        if counting == router && sim.is_seen(router, self.now) {
            return PoolLoad::new(sim.in_flight, 1);
        }
        let then = self.news.heard(router, counting);
        if counting != router && sim.is_seen(counting, then) {
            return PoolLoad::new(sim.load_at(then), 1);
        }
        PoolLoad::default()
    }

    /// Returns the load of an engine as `router` has heard it.
    pub(super) fn heard_load(&self, router: usize, at: usize) -> u32 {
        let counted = self.news.heard(router, self.steward_of(at));
        self.sims[at].load_at(counted)
    }

    /// Returns the bound as it was a second ago.
    pub(super) fn bound_before(&self) -> u32 {
        let at = (self.now.saturating_sub(SECOND) / SAMPLE) as usize;
        self.bounds.get(at).copied().unwrap_or(1)
    }
}
