//! Effect of a plan on the capacity of pools.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::FleetView;
use crate::{
    config::{ConfigState, DEFAULT_LOAD_FACTOR},
    membership::PoolLoad,
    steward::load_bound,
    PoolName,
};

/// The capacity of a pool before and after a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCapacity {
    /// Name of the pool.
    pub pool: PoolName,
    /// Engines that take new work now.
    pub engines_before: u32,
    /// Engines that take new work after the plan.
    pub engines_after: u32,
    /// Requests in flight on the pool now.
    pub in_flight: u32,
    /// Bound on the requests in flight on one engine now.
    pub bound_before: u32,
    /// Bound on the requests in flight on one engine after the plan, at the present load.
    pub bound_after: u32,
    /// Requests that one engine can run at once now, if configured.
    pub slots_before: Option<u32>,
    /// Requests that one engine can run at once after the plan, if configured.
    pub slots: Option<u32>,
    /// Further requests that the pool can run at once after the plan, if `slots` is configured.
    pub left: Option<u32>,
}

/// Returns the capacity of each pool whose capacity differs between two states.
pub(super) fn pool_capacity_changes(
    before: &ConfigState,
    after: &ConfigState,
    fleet: &FleetView,
) -> Vec<PoolCapacity> {
    let (available_before, available_after) = (
        fleet.available_engines(before),
        fleet.available_engines(after),
    );
    let names: BTreeSet<_> = before
        .pools
        .keys()
        .chain(available_before.keys().copied())
        .collect();
    let count = |engines_by_pool: &std::collections::BTreeMap<&PoolName, u32>, pool| {
        engines_by_pool.get(pool).copied().unwrap_or_default()
    };
    let mut changed = Vec::new();
    for pool in names {
        let is_same = count(&available_before, pool) == count(&available_after, pool)
            && load_limits(before, pool) == load_limits(after, pool);
        if !is_same {
            let engines = (
                count(&available_before, pool),
                count(&available_after, pool),
            );
            changed.push(capacity(
                before,
                after,
                pool,
                engines,
                fleet.in_flight(pool),
            ));
        }
    }
    changed
}

/// Returns the load factor and the slots of a pool, or the defaults of an unknown pool.
fn load_limits(state: &ConfigState, pool: &PoolName) -> (f64, Option<u32>) {
    let pool = state.pools.get(pool);
    pool.map_or((DEFAULT_LOAD_FACTOR, None), |pool| {
        (pool.load_factor, pool.slots)
    })
}

fn capacity(
    before: &ConfigState,
    after: &ConfigState,
    pool: &PoolName,
    (engines_before, engines_after): (u32, u32),
    in_flight: u32,
) -> PoolCapacity {
    let bound = |state, engines| {
        load_bound(
            PoolLoad::new(in_flight, engines),
            load_limits(state, pool).0,
        )
    };
    let (_, slots) = load_limits(after, pool);
    PoolCapacity {
        pool: pool.clone(),
        engines_before,
        engines_after,
        in_flight,
        bound_before: bound(before, engines_before),
        bound_after: bound(after, engines_after),
        slots_before: load_limits(before, pool).1,
        slots,
        left: slots.map(|slots| (slots * engines_after).saturating_sub(in_flight)),
    }
}

impl PoolCapacity {
    /// Returns the reason to refuse the plan, if it would exceed the capacity of the pool.
    pub(super) fn violation(&self) -> Option<String> {
        let pool = &self.pool;
        if self.engines_after == 0 && self.engines_before > 0 {
            return Some(format!("pool {pool} would have no engine left"));
        }
        let slots = self.slots?;
        let is_reduced = self.bound_after > self.bound_before || self.slots_before != self.slots;
        let exceeds_slots = self.engines_after > 0 && is_reduced && self.bound_after > slots;
        let (bound, load) = (self.bound_after, self.in_flight);
        exceeds_slots.then(|| {
            format!(
                "pool {pool} would need {bound} slots on each engine for its load of {load}, \
                 and an engine has {slots}"
            )
        })
    }
}
