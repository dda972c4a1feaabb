//! The bound on an engine's load.

use crate::membership::PoolLoad;

/// Returns how many requests an engine of the pool may have in flight.
///
/// This is `ceil(factor × mean)`, where the mean counts the request that is being
/// placed, so that an idle pool accepts its first request.
pub fn load_bound(pool: PoolLoad, factor: f64) -> u32 {
    let engines = pool.engines.max(1);
    let mean = f64::from(pool.in_flight + 1) / f64::from(engines);
    (factor * mean).ceil() as u32
}
