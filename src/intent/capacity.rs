//! What a plan leaves of the capacity of a pool.

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
    /// Requests in flight now.
    pub in_flight: u32,
    /// Bound on the requests in flight on one engine now.
    pub bound_before: u32,
    /// The bound after the plan, under the present load.
    pub bound_after: u32,
    /// Requests that one engine can run at once now, if the configuration says so.
    pub slots_before: Option<u32>,
    /// Requests that one engine can run at once after the plan, if it says so.
    pub slots: Option<u32>,
    /// Further requests that the pool can run at once after the plan, if known.
    pub left: Option<u32>,
}

/// Returns the pools whose capacity differs between two states.
pub(super) fn pool_capacity_changes(
    before: &ConfigState,
    after: &ConfigState,
    fleet: &FleetView,
) -> Vec<PoolCapacity> {
    let (open_before, open_after) = (
        fleet.available_engines(before),
        fleet.available_engines(after),
    );
    let names: BTreeSet<_> = before
        .pools
        .keys()
        .chain(open_before.keys().copied())
        .collect();
    let count = |open: &std::collections::BTreeMap<&PoolName, u32>, pool| {
        open.get(pool).copied().unwrap_or_default()
    };
    let mut changed = Vec::new();
    for pool in names {
        let is_same = count(&open_before, pool) == count(&open_after, pool)
            && limits(before, pool) == limits(after, pool);
        if !is_same {
            let engines = (count(&open_before, pool), count(&open_after, pool));
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

/// Returns the load factor and the slots of a pool.
fn limits(state: &ConfigState, pool: &PoolName) -> (f64, Option<u32>) {
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
    let bound =
        |state, engines| load_bound(PoolLoad::new(in_flight, engines), limits(state, pool).0);
    let (_, slots) = limits(after, pool);
    PoolCapacity {
        pool: pool.clone(),
        engines_before,
        engines_after,
        in_flight,
        bound_before: bound(before, engines_before),
        bound_after: bound(after, engines_after),
        slots_before: limits(before, pool).1,
        slots,
        left: slots.map(|slots| (slots * engines_after).saturating_sub(in_flight)),
    }
}

impl PoolCapacity {
    /// Returns why the plan must not be carried out, if it must not.
    pub(super) fn violation(&self) -> Option<String> {
        let pool = &self.pool;
        if self.engines_after == 0 && self.engines_before > 0 {
            return Some(format!("pool {pool} would have no engine left"));
        }
        let slots = self.slots?;
        let is_worse = self.bound_after > self.bound_before || self.slots_before != self.slots;
        let is_short = self.engines_after > 0 && is_worse && self.bound_after > slots;
        let (bound, load) = (self.bound_after, self.in_flight);
        is_short.then(|| {
            format!(
                "pool {pool} would need {bound} slots on each engine for its load of {load}, \
                 and an engine has {slots}"
            )
        })
    }
}
