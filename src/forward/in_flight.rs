//! Counts the requests that this router has in flight at each backend server.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use crate::{catalog::ServerKey, sync::lock};

/// Numbers of requests in flight, by server.
#[derive(Debug, Clone, Default)]
pub struct InFlight {
    counts: Arc<Mutex<BTreeMap<ServerKey, u32>>>,
}

impl InFlight {
    /// Counts a request as in flight at a server until the returned guard is dropped.
    pub fn begin(&self, key: ServerKey) -> InFlightGuard {
        *lock(&self.counts).entry(key).or_default() += 1;
        InFlightGuard {
            in_flight: self.clone(),
            key,
        }
    }

    /// Returns the number of requests in flight at a server.
    pub fn count(&self, key: ServerKey) -> u32 {
        lock(&self.counts).get(&key).copied().unwrap_or_default()
    }

    /// Returns the number of requests in flight at each server that has any.
    pub fn all(&self) -> Vec<(ServerKey, u32)> {
        let counts = lock(&self.counts);
        counts.iter().map(|(key, count)| (*key, *count)).collect()
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: InFlight,
    key: ServerKey,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = lock(&self.in_flight.counts);
        if let Some(count) = counts.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.key);
            }
        }
    }
}
