//! The requests that look for a slot, by the router they are at.

use std::collections::HashMap;

use super::super::engines::SAMPLE;

/// Requests that look for a slot, now and as gossip tells of them.
pub(super) struct Seekers {
    counts: Vec<u32>,
    at: HashMap<usize, usize>,
    history: Vec<Vec<u32>>,
}

impl Seekers {
    /// Creates the state of `routers` routers without requests.
    pub(super) fn new(routers: usize) -> Self {
        Seekers {
            counts: vec![0; routers],
            at: HashMap::new(),
            history: Vec::new(),
        }
    }

    /// Counts the request `turn` at `router`, where it stays.
    pub(super) fn enter(&mut self, turn: usize, router: usize) {
        if self.at.insert(turn, router).is_none() {
            self.counts[router] += 1;
        }
    }

    /// Returns the router of a request that looks for a slot already.
    pub(super) fn router(&self, turn: usize) -> Option<usize> {
        self.at.get(&turn).copied()
    }

    /// Counts the request `turn` no more.
    pub(super) fn leave(&mut self, turn: usize) {
        if let Some(router) = self.at.remove(&turn) {
            self.counts[router] -= 1;
        }
    }

    /// Returns the requests at `router` now.
    pub(super) fn count(&self, router: usize) -> u32 {
        self.counts[router]
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
