//! A count of recent events that decays with time.

use std::time::Duration;

use crate::Instant;

/// A number of events, each with a weight that decays with time.
///
/// Routers announce levels in their digests; the sum over all routers is the level of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Level {
    value: f64,
    at: Instant,
}

impl Level {
    /// Creates a level without events.
    pub fn new(now: Instant) -> Self {
        Level {
            value: 0.0,
            at: now,
        }
    }

    /// Returns the level at `now`; the weight of an event has fallen to 1/e after `decay_s` seconds.
    pub fn value(self, decay_s: f64, now: Instant) -> f64 {
        decayed(self.value, now.since(self.at), decay_s)
    }

    /// Adds an event.
    pub fn record(&mut self, decay_s: f64, now: Instant) {
        self.value = self.value(decay_s, now) + 1.0;
        self.at = now;
    }
}

/// Returns a level after it has decayed for `age`, to 1/e in `decay_s` seconds.
pub fn decayed(level: f64, age: Duration, decay_s: f64) -> f64 {
    level * (-age.as_secs_f64() / decay_s).exp()
}
