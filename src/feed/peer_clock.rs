//! An estimate of another router's clock.

use crate::Instant;

/// Lower bound of the time on another router's monotonic clock.
///
/// A subscriber sends readings of its clock to its follower, which converts the time at which its
/// data was current to that clock. The subscriber's age of the data thus includes the latency of
/// the message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerClock {
    reading: Instant,
    received: Instant,
}

impl PeerClock {
    /// Creates the clock of a router whose `reading` arrived at `received` on the own clock.
    pub fn new(reading: Instant, received: Instant) -> Self {
        PeerClock { reading, received }
    }

    /// Returns the latest time that has certainly passed on the other router's clock at `now`.
    pub fn at(&self, now: Instant) -> Instant {
        self.reading + now.since(self.received)
    }
}
