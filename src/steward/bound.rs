//! The bound on an engine's load.

use std::{collections::VecDeque, time::Duration};

use crate::{membership::PoolLoad, Instant};

/// How far back the lowest load of a pool counts.
pub const FLOOR_WINDOW: Duration = Duration::from_secs(2);

/// Multiple of the mean up to which an engine takes chats that it does not cache.
pub const FRESH_FACTOR: f64 = 1.0;

/// Relative error of a heard load of one request; that of `n` is by `sqrt(n)` smaller.
const HEARD_ERROR: f64 = 0.5;

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
/// They are load that the engines could have. Without them the bound would follow a surge
/// only as fast as [`LoadFloor`] forgets the time before it.
#[must_use]
pub fn with_waiting(pool: PoolLoad, waiting: u32) -> PoolLoad {
    let waiting = pool.waiting.max(waiting);
    PoolLoad::new(pool.in_flight.saturating_add(waiting), pool.engines)
}

/// The lowest load of a pool within [`FLOOR_WINDOW`].
///
/// Loads of other routers are heard late. A bound from the lowest of the last seconds
/// errs on the side of too little work.
#[derive(Debug, Clone, Default)]
pub struct LoadFloor {
    /// Loads in rising order of their mean and of their time.
    samples: VecDeque<(Instant, PoolLoad)>,
}

impl LoadFloor {
    /// Takes the load heard at `now` and returns the lowest of the window.
    pub fn observe(&mut self, load: PoolLoad, now: Instant) -> PoolLoad {
        let expired = |sample: &(Instant, PoolLoad)| now.since(sample.0) > FLOOR_WINDOW;
        while self.samples.front().is_some_and(expired) {
            self.samples.pop_front();
        }
        let not_lower = |sample: &(Instant, PoolLoad)| !is_lower(sample.1, load);
        while self.samples.back().is_some_and(not_lower) {
            self.samples.pop_back();
        }
        self.samples.push_back((now, load));
        self.samples.front().map_or(load, |(_, lowest)| *lowest)
    }
}

/// Compares means without dividing.
fn is_lower(a: PoolLoad, b: PoolLoad) -> bool {
    let product = |load: u32, engines: u32| u64::from(load) * u64::from(engines);
    product(a.demand(), b.engines) < product(b.demand(), a.engines)
}
