//! The bound on an engine's load.

use crate::membership::PoolLoad;

/// Multiple of the mean up to which an engine takes chats that it does not cache.
pub const UNCACHED_LOAD_FACTOR: f64 = 1.0;

/// Relative error of a heard load of one request; that of `n` is by `sqrt(n)` smaller.
const HEARD_ERROR: f64 = 0.7;

/// Least part by which the bound stands above the heard mean, so that load can grow.
const MIN_HEADROOM: f64 = 0.05;

/// Returns the factor to use on a load that was heard late, at most `factor`.
pub fn cautious_factor(pool: PoolLoad, factor: f64) -> f64 {
    let error = HEARD_ERROR / f64::from(pool.in_flight.max(1)).sqrt();
    let least = factor.min(1.0 + MIN_HEADROOM);
    (factor * (1.0 - error)).max(least)
}

/// Returns how many requests an engine of the pool may have in flight.
///
/// This is `ceil(factor × mean)`, and one for an idle pool, so that it accepts its first
/// request.
pub fn load_bound(pool: PoolLoad, factor: f64) -> u32 {
    let mean = f64::from(pool.in_flight) / f64::from(pool.engines.max(1));
    ((factor * mean).ceil() as u32).max(1)
}

/// Counts requests that wait as requests in flight: those heard of, or the `waiting` ones
/// at the router that asks, whichever are more.
///
/// They are load that the engines could have. Without them the bound of idle engines would
/// keep out the very work that raises it.
#[must_use]
pub fn with_waiting(pool: PoolLoad, waiting: u32) -> PoolLoad {
    let waiting = pool.waiting.max(waiting);
    PoolLoad::new(pool.in_flight.saturating_add(waiting), pool.engines)
}
