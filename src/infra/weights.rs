//! Client of the platform's weight store, which serves a limited number of model loads at once.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::JsonClient;
use crate::Result;

/// Longest time for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Current use of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStoreUsage {
    /// Largest number of loads that the store serves at once.
    pub limit: usize,
    /// Number of loads that the store serves now.
    pub loading: usize,
}

impl WeightStoreUsage {
    /// Returns how many loads may start when the caller knows of `known` loads under way.
    ///
    /// The store may not yet count a load that was just ordered, so the larger count holds.
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

    /// Reads how many loads the store serves and how many it may serve.
    ///
    /// # Errors
    ///
    /// Fails when no valid response arrives in time.
    pub async fn usage(&self) -> Result<WeightStoreUsage> {
        self.client.get("/v1/weights", RESPONSE_TIMEOUT).await
    }
}
