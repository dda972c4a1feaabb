//! What a caller's connection is doing, and from when on it may be closed.

use std::time::Duration;

use crate::Instant;

/// Time beyond the idle limit for which an idle connection stays open.
///
/// The caller counts its idle time from the arrival of the response, which is later.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// Time that a new connection has for its first request after the last responses of the router.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Activity of a caller's connection.
#[derive(Debug, Clone, Copy)]
pub struct Activity {
    phase: Phase,
    /// Longest idle limit that was in force since the last response.
    ///
    /// Callers may rely on it: those that have not learned of a shorter one still use the
    /// connection, and those that have learned of a longer one use it for longer.
    idle_limit: Duration,
    /// Whether the connection is closed as soon as no request is in progress.
    closing: bool,
}

#[derive(Debug, Clone, Copy)]
enum Phase {
    /// The connection was accepted at the given time and no byte has arrived.
    Opened(Instant),
    /// No exchange is in progress and nothing was written since the given time.
    Idle(Instant),
    /// The connection may be closed, unless a request has arrived in the meantime.
    Expired(Instant),
    /// The first byte of a request arrived at the given time.
    Receiving(Instant),
    /// A request was read and its response has not been written in full.
    Exchange,
}

impl Activity {
    /// Creates the activity of a connection that was accepted at `now`.
    pub fn new(idle_limit: Duration, now: Instant) -> Self {
        Activity {
            phase: Phase::Opened(now),
            idle_limit,
            closing: false,
        }
    }

    /// Closes the connection as soon as no request is in progress.
    pub fn begin_closing(&mut self) {
        self.closing = true;
    }

    /// Records that bytes of a request have arrived.
    pub fn record_data(&mut self, now: Instant) {
        if let Phase::Opened(_) | Phase::Idle(_) | Phase::Expired(_) = self.phase {
            self.phase = Phase::Receiving(now);
        }
    }

    /// Records that the connection is about to be closed.
    pub fn expire(&mut self) {
        if let Phase::Opened(since) | Phase::Idle(since) = self.phase {
            self.phase = Phase::Expired(since);
        }
    }

    /// Returns whether the connection is about to be closed.
    pub fn is_expired(&self) -> bool {
        matches!(self.phase, Phase::Expired(_))
    }

    /// Records that a request was read.
    pub fn begin_exchange(&mut self) {
        self.phase = Phase::Exchange;
    }

    /// Records that the whole response to a request was passed on to be written while `idle_limit`
    /// was in force.
    pub fn end_exchange(&mut self, idle_limit: Duration, now: Instant) {
        self.phase = Phase::Idle(now);
        self.idle_limit = idle_limit;
    }

    /// Records that part of a response was written, of which the rest may still be buffered.
    pub fn record_write(&mut self, now: Instant) {
        if let Phase::Idle(_) | Phase::Expired(_) = self.phase {
            self.phase = Phase::Idle(now);
        }
    }

    /// Returns the time from which the connection may be closed while `idle_limit` is in force,
    /// `None` during an exchange.
    ///
    /// A shorter limit takes effect with the next response.
    pub fn close_at(&mut self, idle_limit: Duration) -> Option<Instant> {
        self.idle_limit = self.idle_limit.max(idle_limit);
        match self.phase {
            Phase::Opened(since) if self.closing => Some(since + FIRST_REQUEST_TIMEOUT),
            Phase::Idle(since) | Phase::Expired(since) if self.closing => Some(since),
            Phase::Opened(since)
            | Phase::Idle(since)
            | Phase::Expired(since)
            | Phase::Receiving(since) => Some(since + self.idle_limit + IDLE_SLACK),
            Phase::Exchange => None,
        }
    }

    /// Returns whether part of a request has arrived.
    pub fn is_receiving(&self) -> bool {
        matches!(self.phase, Phase::Receiving(_))
    }

    /// Returns whether an exchange is in progress.
    pub fn is_exchange(&self) -> bool {
        matches!(self.phase, Phase::Exchange)
    }

    /// Returns the time since the last exchange or the start, zero during an exchange.
    pub fn idle_time(&self, now: Instant) -> Duration {
        match self.phase {
            Phase::Opened(since)
            | Phase::Idle(since)
            | Phase::Expired(since)
            | Phase::Receiving(since) => now.since(since),
            Phase::Exchange => Duration::ZERO,
        }
    }
}
