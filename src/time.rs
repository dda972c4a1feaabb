//! Monotonic time for timeouts, and wall time for keys and records.

use std::{
    ops::{Add, Sub},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// Monotonic time since the start of the process, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instant(u64);

impl Instant {
    /// Creates the instant `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Self {
        Instant(micros)
    }

    /// Creates the instant `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Instant(millis * 1_000)
    }

    /// Returns the microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, rhs: Duration) -> Instant {
        Instant(self.0.saturating_add(micros(rhs)))
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, rhs: Duration) -> Instant {
        Instant(self.0.saturating_sub(micros(rhs)))
    }
}

/// Returns the microseconds of `duration`, at most `u64::MAX`.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Wall time since the Unix epoch, in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: UnixMillis) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Source of monotonic and wall time.
///
/// Only tasks read it; functions that decide take the time as an argument.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: std::time::Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Clock {
            start: std::time::Instant::now(),
        }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Instant {
        Instant(self.start.elapsed().as_micros() as u64)
    }

    /// Returns the wall time.
    pub fn wall(&self) -> UnixMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixMillis(since.unwrap_or_default().as_millis() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
