//! Requests that this router has in flight, by server.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use crate::{catalog::ServerKey, sync::lock};

/// Counts of the requests in flight.
#[derive(Debug, Clone, Default)]
pub struct InFlight {
    counts: Arc<Mutex<BTreeMap<ServerKey, u32>>>,
}

impl InFlight {
    /// Counts a request at a server until the returned value is dropped.
    pub fn begin(&self, key: ServerKey) -> InFlightGuard {
        *lock(&self.counts).entry(key).or_default() += 1;
        InFlightGuard {
            flights: self.clone(),
            key,
        }
    }

    /// Returns the requests in flight at a server.
    pub fn count(&self, key: ServerKey) -> u32 {
        lock(&self.counts).get(&key).copied().unwrap_or_default()
    }

    /// Returns the requests in flight at each server that has any.
    pub fn all(&self) -> Vec<(ServerKey, u32)> {
        let counts = lock(&self.counts);
        counts.iter().map(|(key, count)| (*key, *count)).collect()
    }
}

/// One request in flight.
#[derive(Debug)]
pub struct InFlightGuard {
    flights: InFlight,
    key: ServerKey,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = lock(&self.flights.counts);
        if let Some(count) = counts.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.key);
            }
        }
    }
}
