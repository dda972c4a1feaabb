//! Load sums that other routers report.

use std::{collections::BTreeMap, time::Duration};

use super::{LoadSum, PoolLoad};
use crate::{Instant, PoolName, RouterName};

/// Age at which a reported load expires.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// The latest load sum of each router that sends one.
#[derive(Debug, Default)]
pub struct LoadSums {
    /// Load sums, each with the time at which its load was counted.
    sums: BTreeMap<RouterName, (LoadSum, Instant)>,
}

impl LoadSums {
    /// Merges a sum; returns whether it is later than the known one and not expired.
    ///
    /// A sum has an age, so that it expires although routers pass it on.
    pub fn merge(&mut self, sum: &LoadSum, now: Instant) -> bool {
        let age = Duration::from_millis(sum.age_ms.into());
        if age >= LOAD_TIMEOUT {
            return false;
        }
        let recency = |sum: &LoadSum| (sum.incarnation, sum.sequence);
        let known = self.sums.get(&sum.router);
        if known.is_some_and(|(known, _)| recency(known) >= recency(sum)) {
            return false;
        }
        self.sums
            .insert(sum.router.clone(), (sum.clone(), now - age));
        true
    }

    /// Drops the expired sums, and those of routers for which `may_report` returns false.
    pub fn expire(&mut self, now: Instant, may_report: impl Fn(&RouterName) -> bool) {
        let fresh = |counted_at: Instant| now.since(counted_at) < LOAD_TIMEOUT;
        self.sums
            .retain(|name, (_, counted_at)| fresh(*counted_at) && may_report(name));
    }

    /// Drops the sum of router `name`.
    pub fn remove(&mut self, name: &str) {
        self.sums.remove(name);
    }

    /// Returns the total load of `pool`.
    pub fn total(&self, pool: &PoolName) -> PoolLoad {
        let mut total = PoolLoad::default();
        for (sum, _) in self.sums.values() {
            total.add(sum.pools.get(pool).copied().unwrap_or_default());
        }
        total
    }

    /// Adds the loads of all pools to `totals`.
    pub fn add_to(&self, totals: &mut BTreeMap<PoolName, PoolLoad>) {
        for (sum, _) in self.sums.values() {
            for (pool, load) in &sum.pools {
                totals.entry(pool.clone()).or_default().add(*load);
            }
        }
    }

    /// Returns the sums with their present age, the youngest first.
    pub fn recent(&self, now: Instant) -> Vec<LoadSum> {
        let aged = |(sum, counted_at): &(LoadSum, Instant)| LoadSum {
            age_ms: now.since(*counted_at).as_millis() as u32,
            ..sum.clone()
        };
        let mut sums: Vec<_> = self.sums.values().map(aged).collect();
        sums.sort_by_key(|sum| sum.age_ms);
        sums
    }

    /// Returns whether there is a sum of router `name`.
    pub fn contains(&self, name: &RouterName) -> bool {
        self.sums.contains_key(name)
    }
}
