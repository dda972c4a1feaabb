//! The load bound: how many requests an engine may have in flight.

use crate::membership::PoolLoad;

/// Multiple of the mean load up to which an engine accepts chats that it does not cache.
pub const UNCACHED_LOAD_FACTOR: f64 = 1.0;

/// Relative error of a reported load of one request; that of `n` requests is smaller by a
/// factor of `sqrt(n)`.
const REPORTED_LOAD_ERROR: f64 = 0.7;

/// Smallest fraction by which the bound exceeds the reported mean, so that load can grow.
const MIN_HEADROOM_FRACTION: f64 = 0.05;

/// Returns `factor` reduced by the error of a load that was reported with a delay.
///
/// The result leaves headroom above the mean, unless `factor` itself leaves less.
pub fn cautious_factor(pool: PoolLoad, factor: f64) -> f64 {
    let error = REPORTED_LOAD_ERROR / f64::from(pool.in_flight.max(1)).sqrt();
    let min_factor = factor.min(1.0 + MIN_HEADROOM_FRACTION);
    (factor * (1.0 - error)).max(min_factor)
}

/// Returns how many requests an engine of the pool may have in flight.
///
/// This is `ceil(factor × mean)`, and one for an idle pool, so that it accepts its first
/// request.
pub fn load_bound(pool: PoolLoad, factor: f64) -> u32 {
    let mean = f64::from(pool.in_flight) / f64::from(pool.engines.max(1));
    ((factor * mean).ceil() as u32).max(1)
}

/// Returns `pool` with its waiting requests counted as in flight.
///
/// The number of waiting requests is the reported one or `waiting`, the number at the router
/// that asks for a slot, whichever is larger. Waiting requests are load that the engines could
/// have: without them, the bound of idle engines would refuse the work that raises it.
#[must_use]
pub fn with_waiting(pool: PoolLoad, waiting: u32) -> PoolLoad {
    let waiting = pool.waiting.max(waiting);
    PoolLoad::new(pool.in_flight.saturating_add(waiting), pool.engines)
}
