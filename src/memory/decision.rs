//! Which caller's connection is given up when memory is short.
//!
//! Load pattern: a crowd whose bodies stop short of their end or arrive a few bytes at a time, or which
//! sends nothing at all, holds all memory for callers, while ordinary requests come and go.

use std::time::Duration;

use crate::Instant;

/// Time in one phase after which a connection may be given up for any other one; ordinary bodies arrive
/// sooner.
const STALL_TIME: Duration = Duration::from_secs(1);

/// What a connection of a caller is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No request was read yet, or part of the next head has arrived.
    Standing,
    /// No request is in progress; the caller may use the connection again until the given time.
    Kept {
        /// End of the announced time.
        until: Instant,
    },
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
    /// Time from which it has been doing this.
    pub since: Instant,
}

/// In which order connections are given up, the last variant first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Order {
    Kept,
    Larger,
    Stalled,
}

/// Returns the key of the connection that is given up at `now` so that another one, which holds
/// `asker_bytes`, gets more memory.
///
/// Of those that have stood still or sent one body for a second it is the largest, of these the one that
/// has done so for longest. Without any it is the largest incomplete body, if the asker is smaller,
/// and only then the longest idle connection that its caller may still use again. A request that was
/// read is never given up.
pub fn choose<'a, K: Copy>(
    holders: impl Iterator<Item = (K, &'a Holder)>,
    asker_bytes: usize,
    now: Instant,
) -> Option<K> {
    let rank = |holder: &Holder| {
        let is_stalled = now.since(holder.since) >= STALL_TIME;
        let order = match holder.phase {
            Phase::Standing | Phase::Reading if is_stalled => Order::Stalled,
            Phase::Kept { until } if until <= now => Order::Stalled,
            Phase::Reading if holder.bytes > asker_bytes => Order::Larger,
            Phase::Kept { .. } if is_stalled => Order::Kept,
            _ => return None,
        };
        Some((order, holder.bytes, now.since(holder.since)))
    };
    let ranked = holders.filter_map(|(key, holder)| Some((rank(holder)?, key)));
    let first = ranked.max_by_key(|(rank, _)| *rank);
    first.map(|(_, key)| key)
}
