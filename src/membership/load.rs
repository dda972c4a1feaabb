//! Loads that other routers report, summed up by failure domain.

use std::{collections::BTreeMap, time::Duration};

use super::{LoadSum, PoolLoad};
use crate::{Instant, PoolName, RouterName};

/// Age at which a reported load no longer counts.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Load sums by the router that sent them; a later one replaces an earlier one.
#[derive(Debug, Default)]
pub struct LoadSums {
    /// Each with the time of the count.
    sums: BTreeMap<RouterName, (LoadSum, Instant)>,
}

impl LoadSums {
    /// Merges a sum; returns whether it is later than the one known and not too old.
    ///
    /// The age travels with a sum, so that routers cannot keep an old one going among them.
    pub fn merge(&mut self, sum: &LoadSum, now: Instant) -> bool {
        let age = Duration::from_millis(sum.age_ms.into());
        if age >= LOAD_TIMEOUT {
            return false;
        }
        let order = |sum: &LoadSum| (sum.incarnation, sum.sequence);
        let known = self.sums.get(&sum.router);
        if known.is_some_and(|(known, _)| order(known) >= order(sum)) {
            return false;
        }
        self.sums
            .insert(sum.router.clone(), (sum.clone(), now - age));
        true
    }

    /// Drops the sums that are too old, and those of routers for which `counts` fails.
    pub fn expire(&mut self, now: Instant, counts: impl Fn(&RouterName) -> bool) {
        let fresh = |counted: Instant| now.since(counted) < LOAD_TIMEOUT;
        self.sums
            .retain(|name, (_, counted)| fresh(*counted) && counts(name));
    }

    /// Drops the sum of a router.
    pub fn remove(&mut self, name: &str) {
        self.sums.remove(name);
    }

    /// Returns the total of one pool.
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

    /// Returns the sums as they are sent on, the youngest first.
    pub fn recent(&self, now: Instant) -> Vec<LoadSum> {
        let aged = |(sum, counted): &(LoadSum, Instant)| LoadSum {
            age_ms: now.since(*counted).as_millis() as u32,
            ..sum.clone()
        };
        let mut sums: Vec<_> = self.sums.values().map(aged).collect();
        sums.sort_by_key(|sum| sum.age_ms);
        sums
    }

    /// Returns whether `name` has reported.
    pub fn contains(&self, name: &RouterName) -> bool {
        self.sums.contains_key(name)
    }
}
