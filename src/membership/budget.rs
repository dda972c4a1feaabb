//! Rate limit on the bytes that a router sends in datagrams.

use crate::Instant;

/// Bytes a second that a router may send in datagrams, headers included.
pub const DATAGRAM_BYTES_PER_SECOND: u64 = 3_000;

/// Bytes that a router may send in one burst after an idle time.
pub const MAX_BURST_BYTES: u64 = 6_000;

/// Bytes that IP header, UDP header and authentication tag add to each datagram.
pub const OVERHEAD_BYTES: usize = 20 + 8 + crate::peer::TAG_LEN;

/// A token bucket that counts bytes.
#[derive(Debug)]
pub struct ByteBudget {
    /// Tokens in millionths of a byte, so that intervals of microseconds add some.
    micro_bytes: u64,
    refilled_at: Instant,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub fn new(now: Instant) -> Self {
        ByteBudget {
            micro_bytes: MAX_BURST_BYTES * 1_000_000,
            refilled_at: now,
        }
    }

    /// Takes `len` bytes if at least `reserve` bytes remain afterwards; returns whether it did.
    pub fn take(&mut self, len: usize, reserve: usize, now: Instant) -> bool {
        let elapsed = now.since(self.refilled_at).as_micros() as u64;
        let max_micro_bytes = MAX_BURST_BYTES * 1_000_000;
        self.micro_bytes = (self.micro_bytes + elapsed.saturating_mul(DATAGRAM_BYTES_PER_SECOND))
            .min(max_micro_bytes);
        self.refilled_at = self.refilled_at.max(now);
        let needed_micro_bytes = (len + reserve) as u64 * 1_000_000;
        if self.micro_bytes < needed_micro_bytes {
            return false;
        }
        self.micro_bytes -= len as u64 * 1_000_000;
        true
    }

    /// Returns the bytes that were left after the last [`take`](Self::take).
    pub fn left(&self) -> usize {
        (self.micro_bytes / 1_000_000) as usize
    }
}
