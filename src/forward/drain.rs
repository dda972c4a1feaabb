//! Draining of a router: its stages between the shutdown signal and the end of the process.

use std::time::Duration;

use crate::Instant;

/// Part of the grace period that is reserved for sending the last responses.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// Time between the last responses of a router and the end of its process, in which they are
/// written.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Time after the shutdown signal in which every request is accepted, however long it may take.
///
/// Most callers have looked up the addresses of the routers again by then; some keep them
/// for longer.
const ACCEPT_ALL_PERIOD: Duration = Duration::from_millis(2_800);

/// Longest time for which callers keep an address after lookups have stopped returning it, unless
/// they get no other answer.
const ADDRESS_EXPIRY: Duration = Duration::from_secs(6);

/// Stage of a router between normal operation and the end of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// The router has received no shutdown signal.
    Serving,
    /// The router accepts requests that it can answer before its last responses.
    Draining,
    /// The router ends as soon as no connection is open, as callers no longer have its address.
    Closing,
    /// The router answers all requests at once, closes idle connections and accepts no new ones.
    Finishing,
    /// The process has to exit.
    Ended,
}

impl DrainStage {
    /// Returns the name of the stage for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            DrainStage::Serving => "serving",
            DrainStage::Draining => "draining",
            DrainStage::Closing => "closing",
            DrainStage::Finishing => "finishing",
            DrainStage::Ended => "ended",
        }
    }
}

/// Start of a drain and the time that the process has until it is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    started: Instant,
    grace: Duration,
}

impl Drain {
    /// Creates a drain that starts at `started`; the process is killed `grace` later.
    pub fn new(started: Instant, grace: Duration) -> Self {
        Drain { started, grace }
    }

    /// Returns the time at which the process exits if it began its last responses in time.
    pub fn deadline(&self) -> Instant {
        self.started + self.grace.saturating_sub(SHUTDOWN_MARGIN)
    }

    /// Returns the time by which a process exits that begins to send its last responses at `now`.
    ///
    /// It may begin late, when it had no processor time.
    pub fn exit_at(&self, now: Instant) -> Instant {
        self.deadline().max(now + ANSWER_MARGIN)
    }

    /// Returns the time by which every request has its final response, or the head of a stream.
    pub fn last_answer_at(&self) -> Instant {
        self.started + self.grace.saturating_sub(SHUTDOWN_MARGIN + ANSWER_MARGIN)
    }

    /// Returns the time up to which the rest of a request is awaited that has arrived in part.
    pub fn last_read_at(&self) -> Instant {
        self.started
            + self
                .grace
                .saturating_sub(SHUTDOWN_MARGIN + ANSWER_MARGIN / 2)
    }

    /// Returns the time from which the process exits when no connection is open, at the latest that
    /// of the last responses.
    pub fn address_expires_at(&self) -> Instant {
        (self.started + ADDRESS_EXPIRY).min(self.last_answer_at())
    }

    /// Returns the stage of the drain at `now`.
    pub fn stage(&self, now: Instant) -> DrainStage {
        if now >= self.deadline() {
            DrainStage::Ended
        } else if now >= self.last_answer_at() {
            DrainStage::Finishing
        } else if now >= self.address_expires_at() {
            DrainStage::Closing
        } else {
            DrainStage::Draining
        }
    }

    /// Returns whether the router accepts, at `now`, a request that takes up to `max_time`.
    ///
    /// `None` stands for a request without a time limit.
    pub fn accepts(&self, max_time: Option<Duration>, now: Instant) -> bool {
        let last_answer_at = self.last_answer_at();
        if now.since(self.started) < ACCEPT_ALL_PERIOD.min(self.grace / 3) {
            return now < last_answer_at;
        }
        max_time.is_some_and(|max_time| now + max_time <= last_answer_at)
    }
}
