//! A retry budget per pool that all routers share without coordination.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use crate::{sync::lock, Instant, PoolName};

/// Number of slices of the window in which requests are counted; the oldest may be partly outside it.
const SLICES_PER_WINDOW: u64 = 10;

/// Fraction of the budget that routers use, since their windows are not aligned.
const USED_FRACTION: f64 = 0.85;

/// Number of routers assumed while this router knows no other one.
///
/// A router that has lost contact with all others may still be one of many.
pub const ASSUMED_ROUTERS: usize = 40;

/// Retry budget of the whole fleet for each pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Retries allowed in each window in addition to those that `ratio` allows.
    pub extra: f64,
    /// Sliding window in which first attempts and retries are counted.
    pub window: Duration,
}

/// Counts first attempts and retries by pool, and applies this router's part of the budget.
#[derive(Debug, Default)]
pub struct SharedRetries {
    pools: Mutex<BTreeMap<PoolName, [Slice; SLICES_PER_WINDOW as usize]>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    /// Number of the slice since the start of the process; 0 marks an unused one.
    number: u64,
    first_attempts: u32,
    retries: u32,
}

impl SharedRetries {
    /// Counts a first attempt.
    pub fn earn(&self, pool: &PoolName, allowance: &RetryAllowance, now: Instant) {
        self.update_slice(pool, allowance, now, |slice| slice.first_attempts += 1);
    }

    /// Spends one retry; returns `false` when this router's part of the budget is spent.
    ///
    /// The part is `ratio` times the router's own first attempts, plus `extra` divided by the
    /// number of `routers`. Only a fixed fraction of it is used.
    pub fn spend(
        &self,
        pool: &PoolName,
        allowance: &RetryAllowance,
        routers: usize,
        now: Instant,
    ) -> bool {
        let (first_attempts, retries) = self.counts(pool, allowance, now);
        let routers = if routers <= 1 {
            ASSUMED_ROUTERS
        } else {
            routers
        };
        let own_budget =
            allowance.ratio * f64::from(first_attempts) + allowance.extra / routers as f64;
        let granted = f64::from(retries + 1) <= own_budget * USED_FRACTION;
        if granted {
            self.update_slice(pool, allowance, now, |slice| slice.retries += 1);
        }
        granted
    }

    fn counts(&self, pool: &PoolName, allowance: &RetryAllowance, now: Instant) -> (u32, u32) {
        let number = slice_number(allowance, now);
        let pools = lock(&self.pools);
        let Some(slices) = pools.get(pool) else {
            return (0, 0);
        };
        // After a longer window was set, the numbers of earlier slices are higher.
        let age = |slice: &Slice| number.checked_sub(slice.number);
        let recent = slices
            .iter()
            .filter(|slice| age(slice).is_some_and(|age| age < SLICES_PER_WINDOW));
        recent.fold((0, 0), |(first_attempts, retries), slice| {
            (
                first_attempts + slice.first_attempts,
                retries + slice.retries,
            )
        })
    }

    fn update_slice(
        &self,
        pool: &PoolName,
        allowance: &RetryAllowance,
        now: Instant,
        update: impl FnOnce(&mut Slice),
    ) {
        let number = slice_number(allowance, now);
        let mut pools = lock(&self.pools);
        if !pools.contains_key(pool) {
            pools.insert(pool.clone(), Default::default());
        }
        let slices = pools.get_mut(pool).expect("just inserted");
        let slice = &mut slices[(number % SLICES_PER_WINDOW) as usize];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        update(slice);
    }
}

/// Returns the number of the slice that contains `now`; it is never 0.
fn slice_number(allowance: &RetryAllowance, now: Instant) -> u64 {
    let slice = allowance.window.as_micros() as u64 / SLICES_PER_WINDOW;
    now.as_micros() / slice.max(1) + SLICES_PER_WINDOW
}
