//! The requests that look for a slot, by the router they are at.

use std::collections::HashMap;

use super::super::engines::SAMPLE;

/// Requests that look for a slot, now and as gossip tells of them.
pub(super) struct Seekers {
    counts: Vec<u32>,
    /// Whether the request that asks counts.
    asks: bool,
    /// Where each request is, and whether it counts.
    at: HashMap<usize, (usize, bool)>,
    history: Vec<Vec<u32>>,
}

impl Seekers {
    /// Creates the state of `routers` routers without requests.
    pub(super) fn new(routers: usize) -> Self {
        Seekers {
            counts: vec![0; routers],
            asks: false,
            at: HashMap::new(),
            history: Vec::new(),
        }
    }

    /// Notes that the request `turn` is at `router`, where it stays, and whether it counts.
    pub(super) fn enter(&mut self, turn: usize, router: usize, counts: bool) {
        self.leave(turn);
        self.at.insert(turn, (router, counts));
        self.asks = counts;
        self.counts[router] += u32::from(counts);
    }

    /// Returns the router of a request that looks for a slot already.
    pub(super) fn router(&self, turn: usize) -> Option<usize> {
        self.at.get(&turn).map(|(router, _)| *router)
    }

    /// Counts the request `turn` no more.
    pub(super) fn leave(&mut self, turn: usize) {
        if let Some((router, counts)) = self.at.remove(&turn) {
            self.counts[router] -= u32::from(counts);
        }
    }

    /// Returns the requests that count at `router`, without the one that asks at `asking`.
    pub(super) fn beside(&self, router: usize, asking: usize) -> u32 {
        self.counts[router] - u32::from(self.asks && router == asking)
    }

    /// Records the counts; called each [`SAMPLE`].
    pub(super) fn record(&mut self, now: u64) {
        self.history.resize((now / SAMPLE) as usize, Vec::new());
        self.history.push(self.counts.clone());
    }

    /// Returns the requests at `router` as they were at `then`.
    pub(super) fn count_at(&self, router: usize, then: u64) -> u32 {
        let counts = self.history.get((then / SAMPLE) as usize);
        counts
            .and_then(|counts| counts.get(router))
            .copied()
            .unwrap_or(0)
    }
}
