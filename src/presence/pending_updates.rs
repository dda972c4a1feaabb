//! Updates that wait for the digests that announce them.

use std::collections::VecDeque;

/// Number of digests that carry each update, as datagrams may be lost.
const ANNOUNCE_REPEATS: u8 = 2;

/// Up to `CAPACITY` updates to announce, each with the number of digests that still carry it.
#[derive(Debug)]
pub(crate) struct PendingUpdates<T, const CAPACITY: usize>(VecDeque<(T, u8)>);

impl<T, const CAPACITY: usize> Default for PendingUpdates<T, CAPACITY> {
    fn default() -> Self {
        PendingUpdates(VecDeque::new())
    }
}

impl<T: Clone, const CAPACITY: usize> PendingUpdates<T, CAPACITY> {
    /// Adds an update that is announced before the others; drops the last one when there are too
    /// many.
    pub(crate) fn push_front(&mut self, update: T) {
        self.0.push_front((update, ANNOUNCE_REPEATS));
        self.0.truncate(CAPACITY);
    }

    /// Adds an update that is announced after the others; drops the first one when there are too
    /// many.
    pub(crate) fn push_back(&mut self, update: T) {
        self.0.push_back((update, ANNOUNCE_REPEATS));
        if self.0.len() > CAPACITY {
            self.0.pop_front();
        }
    }

    /// Adds an update that is announced before the others, in place of those that it supersedes.
    pub(crate) fn replace(&mut self, update: T, is_superseded: impl Fn(&T) -> bool) {
        self.0.retain(|(known, _)| !is_superseded(known));
        self.push_front(update);
    }

    /// Takes the updates that the next digest announces, `limit` at most.
    pub(crate) fn take(&mut self, limit: usize) -> Vec<T> {
        self.take_within(limit, limit, |_| 1)
    }

    /// Takes the updates that the next digest announces, `limit` at most, which together have no more
    /// than `max_size`.
    pub(crate) fn take_within(
        &mut self,
        limit: usize,
        max_size: usize,
        size: impl Fn(&T) -> usize,
    ) -> Vec<T> {
        let sizes = self.0.iter().map(|(update, _)| size(update));
        let count = count_within(sizes, limit, max_size);
        let taken: Vec<_> = self.0.drain(..count).collect();
        let repeated = taken.iter().filter(|(_, repeats_left)| *repeats_left > 1);
        self.0
            .extend(repeated.map(|(update, repeats_left)| (update.clone(), repeats_left - 1)));
        taken.into_iter().map(|(update, _)| update).collect()
    }
}

/// Returns how many items of these sizes, `limit` at most, together have no more than `max_size`.
pub(crate) fn count_within(
    sizes: impl Iterator<Item = usize>,
    limit: usize,
    max_size: usize,
) -> usize {
    let mut total = 0;
    let fits = |size: &usize| {
        total += size;
        total <= max_size
    };
    sizes.take(limit).take_while(fits).count()
}
