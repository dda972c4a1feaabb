//! Counts the requests that need a slot and have none yet.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use crate::{sync::lock, PoolName};

/// The number of requests at this router that need a slot, by pool.
#[derive(Debug, Default)]
pub struct SlotDemand {
    pools: Mutex<BTreeMap<PoolName, u32>>,
}

impl SlotDemand {
    /// Counts a request until the returned guard is dropped.
    pub fn track(self: &Arc<Self>, pool: &PoolName) -> SlotDemandGuard {
        *lock(&self.pools).entry(pool.clone()).or_default() += 1;
        SlotDemandGuard {
            demand: self.clone(),
            pool: pool.clone(),
        }
    }

    /// Returns the number of requests that need a slot, by pool.
    pub fn counts(&self) -> BTreeMap<PoolName, u32> {
        lock(&self.pools).clone()
    }

    /// Returns the number of requests that need a slot in `pool`.
    pub fn count(&self, pool: &PoolName) -> u32 {
        lock(&self.pools).get(pool).copied().unwrap_or_default()
    }
}

/// Counts one request that needs a slot until it is dropped.
#[derive(Debug)]
pub struct SlotDemandGuard {
    demand: Arc<SlotDemand>,
    pool: PoolName,
}

impl SlotDemandGuard {
    /// Returns the number of other requests that need a slot in the pool.
    pub fn others(&self) -> u32 {
        self.demand.count(&self.pool).saturating_sub(1)
    }
}

impl Drop for SlotDemandGuard {
    fn drop(&mut self) {
        let mut pools = lock(&self.demand.pools);
        if let Some(count) = pools.get_mut(&self.pool) {
            *count -= 1;
            if *count == 0 {
                pools.remove(&self.pool);
            }
        }
    }
}
