//! Counts the requests that look for a slot.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use crate::{sync::lock, PoolName};

/// The number of requests at this router that look for a slot, by pool.
#[derive(Debug, Default)]
pub struct Seekers {
    pools: Mutex<BTreeMap<PoolName, u32>>,
}

impl Seekers {
    /// Counts a request until the returned guard drops.
    pub fn enter(self: &Arc<Self>, pool: &PoolName) -> Seeker {
        *lock(&self.pools).entry(pool.clone()).or_default() += 1;
        Seeker {
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
pub struct Seeker {
    seekers: Arc<Seekers>,
    pool: PoolName,
}

impl Seeker {
    /// Returns the number of other requests that look for a slot of the pool.
    pub fn others(&self) -> u32 {
        self.seekers.count(&self.pool).saturating_sub(1)
    }
}

impl Drop for Seeker {
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
