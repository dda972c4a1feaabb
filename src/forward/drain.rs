//! Draining: what a router does between the signal to end and its end.

use std::time::Duration;

use crate::Instant;

/// Part of the grace kept for the last answers to leave.
const MARGIN: Duration = Duration::from_millis(400);

/// Time after the signal in which requests are taken whatever they need.
///
/// Some callers keep addresses for longer; by then most have asked again.
const ACCEPT_ALL_PERIOD: Duration = Duration::from_millis(2_800);

/// Longest time that callers keep connections open after their question for addresses
/// no longer names this router.
const IDLE_CLOSE_DELAY: Duration = Duration::from_secs(6);

/// Where a router stands between the signal and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainStage {
    /// No signal has come.
    Serving,
    /// Requests are taken if they can be answered in time.
    Draining,
    /// Connections without a request are closed, and no new ones are accepted.
    Closing,
    /// The process has to end.
    Ended,
}

/// When the signal came and how much time there is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    began: Instant,
    grace: Duration,
}

impl Drain {
    /// Creates the drain that began at `began`; the process is killed after `grace`.
    pub fn new(began: Instant, grace: Duration) -> Self {
        Drain { began, grace }
    }

    /// Returns the time by which the process has to have ended.
    pub fn deadline(&self) -> Instant {
        self.began + self.grace.saturating_sub(MARGIN)
    }

    /// Returns when connections without a request are closed.
    pub fn close_idle_at(&self) -> Instant {
        let keep = IDLE_CLOSE_DELAY.min(self.grace.mul_f64(0.7));
        self.began + keep
    }

    /// Returns the stage at `now`.
    pub fn stage(&self, now: Instant) -> DrainStage {
        if now >= self.deadline() {
            DrainStage::Ended
        } else if now >= self.close_idle_at() {
            DrainStage::Closing
        } else {
            DrainStage::Draining
        }
    }

    /// Returns whether a request that takes up to `longest` is taken at `now`.
    pub fn takes(&self, longest: Option<Duration>, now: Instant) -> bool {
        if now.since(self.began) < ACCEPT_ALL_PERIOD.min(self.grace / 3) {
            return true;
        }
        longest.is_some_and(|longest| now + longest <= self.deadline())
    }
}
