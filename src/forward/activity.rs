//! What a caller's connection is doing, and from when on it may be closed.

use std::time::Duration;

use crate::Instant;

/// Time beyond the idle limit for which an idle connection stays open.
///
/// The caller counts its idle time from the arrival of the response, which is later.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// Activity of a caller's connection.
#[derive(Debug, Clone, Copy)]
pub struct Activity {
    phase: Phase,
    /// Time for which the caller may rely on the connection between two requests.
    idle_limit: Duration,
}

#[derive(Debug, Clone, Copy)]
enum Phase {
    /// No exchange is in progress since the given time.
    Idle(Instant),
    /// A request was read and its response has not been written in full.
    Exchange,
}

impl Activity {
    /// Creates the activity of a connection that was accepted at `now`.
    pub fn new(idle_limit: Duration, now: Instant) -> Self {
        Activity {
            phase: Phase::Idle(now),
            idle_limit,
        }
    }

    /// Records that a request was read.
    pub fn begin_exchange(&mut self) {
        self.phase = Phase::Exchange;
    }

    /// Records that the whole response to a request was written.
    pub fn end_exchange(&mut self, now: Instant) {
        self.phase = Phase::Idle(now);
    }

    /// Returns the time from which the connection may be closed, `None` during an exchange.
    pub fn close_at(&self) -> Option<Instant> {
        match self.phase {
            Phase::Idle(since) => Some(since + self.idle_limit + IDLE_SLACK),
            Phase::Exchange => None,
        }
    }

    /// Returns whether an exchange is in progress.
    pub fn is_exchange(&self) -> bool {
        matches!(self.phase, Phase::Exchange)
    }

    /// Returns the time since the last exchange or the start, zero during an exchange.
    pub fn idle_time(&self, now: Instant) -> Duration {
        match self.phase {
            Phase::Idle(since) => now.since(since),
            Phase::Exchange => Duration::ZERO,
        }
    }
}
