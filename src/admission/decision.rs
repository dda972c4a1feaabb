//! The outcome of a decision under load.

use std::time::Duration;

use crate::Instant;

/// What becomes of a request that wants room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision<T> {
    /// The request goes on, with what was decided.
    Admit(T),
    /// The request waits, and the decision is made again at `until` or when room is released.
    Wait {
        /// Time of the next decision.
        until: Instant,
    },
    /// The request is refused; it has not run.
    Reject {
        /// Time after which room is expected.
        retry_after: Duration,
        /// Why it is refused, for the log line.
        reason: &'static str,
    },
}
