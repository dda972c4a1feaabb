//! One call that waits for a change in the store.

use std::time::Duration;

use crate::Instant;

/// Maximum time that one read waits for a change.
///
/// Together with [`MAX_STALENESS`](super::MAX_STALENESS), bounds the time until a silent store is
/// noticed, which must be less than the two seconds within which changes have to take effect.
const MAX_READ_WAIT: Duration = Duration::from_millis(800);

/// A read of the store that waits for a change, and what its response proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorePoll {
    started: Instant,
    wait: Duration,
}

impl StorePoll {
    /// Creates a read that starts at `now`, when the known data was last current at `known_at`.
    ///
    /// The older the data, the shorter the wait.
    pub fn new(known_at: Option<Instant>, now: Instant) -> Self {
        let age = known_at.map_or(MAX_READ_WAIT, |known_at| now.since(known_at));
        StorePoll {
            started: now,
            wait: MAX_READ_WAIT.saturating_sub(age),
        }
    }

    /// Returns the time for which the read waits for a change.
    pub fn wait(&self) -> Duration {
        self.wait
    }

    /// Returns the latest time at which the response that arrived at `now` was certainly current.
    ///
    /// The store responds without a change when the wait has passed. A response with a change may
    /// have been on its way for any part of the call.
    pub fn current_at(&self, has_change: bool, now: Instant) -> Instant {
        let waited = self.started + self.wait;
        if has_change || waited > now {
            self.started
        } else {
            waited
        }
    }
}
