//! A retry budget that all routers share without asking each other.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use crate::{sync::lock, Instant, PoolName};

/// Parts of the window in which requests are counted; one of them may be partly outside.
const SLICES: u64 = 10;

/// Part of the budget that is used, as windows of the fleet and of a router differ.
const USED: f64 = 0.85;

/// Fleet size assumed until other routers were heard.
///
/// A router that hears nobody may be one of many.
pub const ASSUMED_ROUTERS: usize = 40;

/// The budget of the whole fleet for each pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Retries for each fresh request.
    pub ratio: f64,
    /// Retries on top of it.
    pub extra: f64,
    /// Time within which both are counted.
    pub window: Duration,
}

/// Counts fresh requests and retries by pool, and grants this router's part of the budget.
#[derive(Debug, Default)]
pub struct SharedRetries {
    pools: Mutex<BTreeMap<PoolName, [Slice; SLICES as usize]>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    /// Number of the slice since the start of the process.
    number: u64,
    fresh: u32,
    retries: u32,
}

impl SharedRetries {
    /// Counts a fresh request.
    pub fn earn(&self, pool: &PoolName, allowance: &RetryAllowance, now: Instant) {
        self.slice(pool, allowance, now, |slice| slice.fresh += 1);
    }

    /// Spends one retry; returns whether this router's part of the budget had one left.
    ///
    /// Each router has the ratio of its own requests and an even part of the rest.
    pub fn spend(
        &self,
        pool: &PoolName,
        allowance: &RetryAllowance,
        routers: usize,
        now: Instant,
    ) -> bool {
        let (fresh, retries) = self.counts(pool, allowance, now);
        let routers = if routers <= 1 {
            ASSUMED_ROUTERS
        } else {
            routers
        };
        let own = allowance.ratio * f64::from(fresh) + allowance.extra / routers as f64;
        let granted = f64::from(retries + 1) <= own * USED;
        if granted {
            self.slice(pool, allowance, now, |slice| slice.retries += 1);
        }
        granted
    }

    fn counts(&self, pool: &PoolName, allowance: &RetryAllowance, now: Instant) -> (u32, u32) {
        let number = number(allowance, now);
        let pools = lock(&self.pools);
        let Some(slices) = pools.get(pool) else {
            return (0, 0);
        };
        let recent = slices.iter().filter(|slice| number - slice.number < SLICES);
        recent.fold((0, 0), |(fresh, retries), slice| {
            (fresh + slice.fresh, retries + slice.retries)
        })
    }

    fn slice(
        &self,
        pool: &PoolName,
        allowance: &RetryAllowance,
        now: Instant,
        change: impl FnOnce(&mut Slice),
    ) {
        let number = number(allowance, now);
        let mut pools = lock(&self.pools);
        if !pools.contains_key(pool) {
            pools.insert(pool.clone(), Default::default());
        }
        let slices = pools.get_mut(pool).expect("just inserted");
        let slice = &mut slices[(number % SLICES) as usize];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        change(slice);
    }
}

/// Returns the number of the slice of `now`; the first is not 0, which marks unused ones.
fn number(allowance: &RetryAllowance, now: Instant) -> u64 {
    let slice = allowance.window.as_micros() as u64 / SLICES;
    now.as_micros() / slice.max(1) + SLICES
}
