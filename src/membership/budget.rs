//! The bytes that a router may send in datagrams.

use crate::Instant;

/// Bytes a second that a router sends in datagrams, with their headers.
pub const DATAGRAM_BYTES_PER_SECOND: u64 = 3_000;

/// Bytes that may be sent at once after a quiet time.
pub const MAX_BURST_BYTES: u64 = 6_000;

/// Bytes of the headers of IP and UDP, and of the proof, for each datagram.
pub const OVERHEAD_BYTES: usize = 20 + 8 + crate::peer::TAG_LEN;

/// A token bucket over bytes.
#[derive(Debug)]
pub struct ByteBudget {
    /// Millionths of a byte, so that short times count.
    left: u64,
    filled: Instant,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub fn new(now: Instant) -> Self {
        ByteBudget {
            left: MAX_BURST_BYTES * 1_000_000,
            filled: now,
        }
    }

    /// Takes `len` bytes if at least `reserve` bytes remain; returns whether it did.
    pub fn take(&mut self, len: usize, reserve: usize, now: Instant) -> bool {
        let passed = now.since(self.filled).as_micros() as u64;
        let full = MAX_BURST_BYTES * 1_000_000;
        self.left = (self.left + passed.saturating_mul(DATAGRAM_BYTES_PER_SECOND)).min(full);
        self.filled = self.filled.max(now);
        let needed = (len + reserve) as u64 * 1_000_000;
        if self.left < needed {
            return false;
        }
        self.left -= len as u64 * 1_000_000;
        true
    }

    /// Returns the bytes that are left.
    pub fn left(&self) -> usize {
        (self.left / 1_000_000) as usize
    }
}
