//! Decides when a router repeats a failed read of the store.
//!
//! Load pattern: an outage of the store, or of one of its topics, that all routers see at once.

use std::time::Duration;

use super::{FeedNode, FeedRank};

/// Number of routers, the first by rank, that repeat their reads without regard to the others.
///
/// They notice that the store answers again, and feed the others.
const FIRST_RETRIERS: u32 = 3;

/// Repeated reads a second of all other routers together.
const FLEET_RETRIES_PER_S: u32 = 12;

/// Maximum time between two reads of a router, before its jitter.
const MAX_FLEET_RETRY_PERIOD: Duration = Duration::from_secs(8);

/// Time between two reads of the servers by a router that reads for itself only.
///
/// Less than [`MAX_STALENESS`](super::MAX_STALENESS), so that what it reads stays current.
const OWN_READ_PERIOD: Duration = Duration::from_secs(1);

/// Returns the time from the start of a read of the servers that succeeded to the next one.
///
/// The follower reads for all routers and waits for nothing.
pub(super) fn own_read_period(is_follower: bool) -> Duration {
    if is_follower {
        Duration::ZERO
    } else {
        OWN_READ_PERIOD
    }
}

/// Returns the time from the start of a failed read of the router with rank `me` to the next one.
///
/// `base` is the time for a router alone, and `jitter` a factor around 1 by which the reads of
/// many routers spread. Only live routers that are out of date too lengthen the time, so that a
/// router whose own feed fails, or that is cut off from the others, is not held up.
pub fn retry_period(base: Duration, me: FeedRank, live: &[FeedNode], jitter: f64) -> Duration {
    let out_of_date = live.iter().filter(|node| !node.is_current);
    let (mut before, mut others) = (0, 0);
    for node in out_of_date {
        others += 1;
        before += u32::from(node.rank > me);
    }
    if before < FIRST_RETRIERS {
        return base;
    }
    let fleet_period = Duration::from_secs(1) * others / FLEET_RETRIES_PER_S;
    base.max(fleet_period.min(MAX_FLEET_RETRY_PERIOD).mul_f64(jitter))
}
