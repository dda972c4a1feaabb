//! The requests that wait for a slot, by the router that they are at.

use std::collections::HashMap;

use super::super::engines::SAMPLE_INTERVAL;

/// Numbers of requests that wait for a slot, at present and in past samples.
pub(super) struct WaitingRequests {
    /// Present count of each router.
    counts: Vec<u32>,
    /// Whether the request that currently asks for a slot is in the counts.
    current_counts: bool,
    /// Router of each waiting request, and whether the request is in the counts.
    requests: HashMap<usize, (usize, bool)>,
    /// Samples of the counts.
    history: Vec<Vec<u32>>,
}

impl WaitingRequests {
    /// Creates the state of `routers` routers without requests.
    pub(super) fn new(routers: usize) -> Self {
        WaitingRequests {
            counts: vec![0; routers],
            current_counts: false,
            requests: HashMap::new(),
            history: Vec::new(),
        }
    }

    /// Adds the request `turn` at `router`, or updates whether it is in the counts, and makes
    /// it the one that currently asks.
    pub(super) fn insert(&mut self, turn: usize, router: usize, counts: bool) {
        self.remove(turn);
        self.requests.insert(turn, (router, counts));
        self.current_counts = counts;
        self.counts[router] += u32::from(counts);
    }

    /// Returns the router of the request `turn` if it waits already.
    pub(super) fn router_of(&self, turn: usize) -> Option<usize> {
        self.requests.get(&turn).map(|(router, _)| *router)
    }

    /// Removes the request `turn`.
    pub(super) fn remove(&mut self, turn: usize) {
        if let Some((router, counts)) = self.requests.remove(&turn) {
            self.counts[router] -= u32::from(counts);
        }
    }

    /// Returns the count of `router` without the request that currently asks at `asking`.
    pub(super) fn count_except_current(&self, router: usize, asking: usize) -> u32 {
        self.counts[router] - u32::from(self.current_counts && router == asking)
    }

    /// Samples the counts; called every [`SAMPLE_INTERVAL`].
    pub(super) fn sample(&mut self, now: u64) {
        self.history
            .resize((now / SAMPLE_INTERVAL) as usize, Vec::new());
        self.history.push(self.counts.clone());
    }

    /// Returns the count of `router` in the sample of the time `then`.
    pub(super) fn count_at(&self, router: usize, then: u64) -> u32 {
        let counts = self.history.get((then / SAMPLE_INTERVAL) as usize);
        counts
            .and_then(|counts| counts.get(router))
            .copied()
            .unwrap_or(0)
    }
}
