//! Counts the requests that look for a slot.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use crate::{sync::lock, PoolName};

/// The number of requests at this router that look for a slot, by pool.
#[derive(Debug, Default)]
pub struct SlotDemand {
    pools: Mutex<BTreeMap<PoolName, u32>>,
}

impl SlotDemand {
    /// Counts a request until the returned guard drops.
    pub fn track(self: &Arc<Self>, pool: &PoolName) -> SlotDemandGuard {
        *lock(&self.pools).entry(pool.clone()).or_default() += 1;
        SlotDemandGuard {
            seekers: self.clone(),
            pool: pool.clone(),
        }
    }

    /// Returns the number of requests that look for a slot, by pool.
    pub fn counts(&self) -> BTreeMap<PoolName, u32> {
        lock(&self.pools).clone()
    }

    /// Returns the number of requests that look for a slot in `pool`.
    pub fn count(&self, pool: &PoolName) -> u32 {
        lock(&self.pools).get(pool).copied().unwrap_or_default()
    }
}

/// A request that looks for a slot.
#[derive(Debug)]
pub struct SlotDemandGuard {
    seekers: Arc<SlotDemand>,
    pool: PoolName,
}

impl SlotDemandGuard {
    /// Returns the number of other requests that look for a slot of the pool.
    pub fn others(&self) -> u32 {
        self.seekers.count(&self.pool).saturating_sub(1)
    }
}

impl Drop for SlotDemandGuard {
    fn drop(&mut self) {
        let mut pools = lock(&self.seekers.pools);
        if let Some(count) = pools.get_mut(&self.pool) {
            *count -= 1;
            if *count == 0 {
                pools.remove(&self.pool);
            }
        }
    }
}
