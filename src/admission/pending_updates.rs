//! Updates that wait for the digests that announce them.

use std::collections::VecDeque;

/// Number of digests that carry each update, as datagrams may be lost.
const ANNOUNCE_REPEATS: u8 = 2;

/// Maximum number of updates that wait for a digest; the latest are sent first.
const MAX_PENDING: usize = 64;

/// Updates to announce, the latest first, each with the number of digests that still carry it.
#[derive(Debug)]
pub(crate) struct PendingUpdates<T>(VecDeque<(T, u8)>);

impl<T> Default for PendingUpdates<T> {
    fn default() -> Self {
        PendingUpdates(VecDeque::new())
    }
}

impl<T: Clone + PartialEq> PendingUpdates<T> {
    /// Adds an update, or announces it anew.
    pub(crate) fn push(&mut self, update: T) {
        self.0.retain(|(known, _)| *known != update);
        self.0.push_front((update, ANNOUNCE_REPEATS));
        self.0.truncate(MAX_PENDING);
    }

    /// Takes the updates that the next digest announces, `limit` at most.
    pub(crate) fn take(&mut self, limit: usize) -> Vec<T> {
        let count = self.0.len().min(limit);
        let taken: Vec<_> = self.0.drain(..count).collect();
        let repeated = taken.iter().filter(|(_, repeats_left)| *repeats_left > 1);
        self.0
            .extend(repeated.map(|(update, repeats_left)| (update.clone(), repeats_left - 1)));
        taken.into_iter().map(|(update, _)| update).collect()
    }
}
