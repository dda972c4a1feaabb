//! The weight store: how many loads it serves at once.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::JsonClient;
use crate::Result;

/// Longest time for an answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The use of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStoreUsage {
    /// Loads served at once.
    pub limit: usize,
    /// Loads under way.
    pub loading: usize,
}

impl WeightStoreUsage {
    /// Returns how many loads may start when `known` are known to be under way.
    ///
    /// A load that was just ordered may not have reached the store.
    pub fn free(&self, known: usize) -> usize {
        self.limit.saturating_sub(self.loading.max(known))
    }
}

/// Client of the weight store.
#[derive(Debug, Clone)]
pub struct WeightStore {
    client: JsonClient,
}

impl WeightStore {
    /// Creates the client.
    pub fn new(client: JsonClient) -> Self {
        WeightStore { client }
    }

    /// Reads how many loads are under way.
    ///
    /// # Errors
    ///
    /// Fails when no readable answer arrives in time.
    pub async fn usage(&self) -> Result<WeightStoreUsage> {
        self.client.get("/v1/weights", TIMEOUT).await
    }
}
