//! Which caller's connection is given up when memory is short.
//!
//! Load pattern: a crowd whose bodies stop short of their end, or which sends nothing at all, holds
//! all memory for callers, while ordinary requests come and go.

use std::time::Duration;

use crate::Instant;

/// Time without progress after which a connection may be given up for any other one.
const STALL_TIME: Duration = Duration::from_secs(1);

/// What a connection of a caller is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No request is in progress; part of a head may have arrived.
    Standing,
    /// The body of a request is being read.
    Reading,
    /// A request was read, and its response is not complete.
    Running,
}

/// A connection of a caller and the memory that it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// Bytes that are charged for it.
    pub bytes: usize,
    /// What it is doing.
    pub phase: Phase,
    /// Time of the last progress.
    pub since: Instant,
}

/// Returns the key of the connection that is given up at `now` so that another one, which holds
/// `asker_bytes`, gets more memory.
///
/// Of those that have made no progress for a second it is the largest, of these the one that has
/// stood still for longest. Without any it is the largest incomplete body, if the asker is smaller.
/// A request that was read is never given up.
pub fn choose<'a, K: Copy>(
    holders: impl Iterator<Item = (K, &'a Holder)>,
    asker_bytes: usize,
    now: Instant,
) -> Option<K> {
    let rank = |holder: &Holder| {
        let is_stalled = now.since(holder.since) >= STALL_TIME;
        let may_go = match holder.phase {
            Phase::Running => false,
            Phase::Standing => is_stalled,
            Phase::Reading => is_stalled || holder.bytes > asker_bytes,
        };
        may_go.then(|| (is_stalled, holder.bytes, now.since(holder.since)))
    };
    let ranked = holders.filter_map(|(key, holder)| Some((rank(holder)?, key)));
    let first = ranked.max_by_key(|(rank, _)| *rank);
    first.map(|(_, key)| key)
}
