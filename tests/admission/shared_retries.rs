//! The retry budget shared by the routers of a fleet, in virtual time.

use std::time::Duration;

use ebonyspur::{
    admission::{RetryAllowance, SharedRetries, ASSUMED_ROUTERS},
    Instant, PoolName,
};

const ALLOWANCE: RetryAllowance = RetryAllowance {
    ratio: 0.2,
    extra: 122.0,
    window: Duration::from_secs(10),
};

/// Runs 19 routers with unequal traffic whose requests all fail from second 5 on, and returns
/// the number of first attempts and of retries in each window of ten seconds.
fn storm(routers_known: usize) -> Vec<(u32, u32)> {
    let pool = PoolName::new("writers").unwrap();
    let routers: Vec<_> = (0..19).map(|_| SharedRetries::default()).collect();
    let mut seconds = Vec::new();
    for second in 0..40_u64 {
        let (mut first_attempts, mut retries) = (0, 0);
        for (number, router) in routers.iter().enumerate() {
            for tick in 0..(1 + number as u64 % 5) {
                let now = Instant::from_millis(second * 1_000 + tick * 150);
                router.earn(&pool, &ALLOWANCE, now);
                first_attempts += 1;
                // Each router retries until its part of the budget is spent.
                while second >= 5 && router.spend(&pool, &ALLOWANCE, routers_known, now) {
                    retries += 1;
                }
            }
        }
        seconds.push((first_attempts, retries));
    }
    let sum = |window: &[(u32, u32)]| {
        window.iter().fold(
            (0, 0),
            |(sum_first, sum_retries), (first_attempts, retries)| {
                (sum_first + first_attempts, sum_retries + retries)
            },
        )
    };
    seconds.windows(10).map(sum).collect()
}

#[test]
fn retries_stay_within_the_budget_in_each_window_when_all_requests_fail() {
    for known in [19, 12, 1] {
        for (first_attempts, retries) in storm(known) {
            // Routers that know only some of the others take larger parts of `extra`.
            let extra =
                ALLOWANCE.extra * 19.0 / if known == 1 { ASSUMED_ROUTERS } else { known } as f64;
            let budget = ALLOWANCE.ratio * f64::from(first_attempts) + extra;
            assert!(
                f64::from(retries) <= budget,
                "{retries} of {budget} with {known} known"
            );
        }
    }
}

#[test]
fn most_of_the_budget_is_usable() {
    let (first_attempts, retries) = storm(19)[25];
    let budget = ALLOWANCE.ratio * f64::from(first_attempts) + ALLOWANCE.extra;
    assert!(f64::from(retries) >= 0.6 * budget, "{retries} of {budget}");
}

#[test]
fn a_longer_window_neither_fails_retries_nor_counts_earlier_ones_for_it() {
    let pool = PoolName::new("writers").unwrap();
    let retries = SharedRetries::default();
    let longer = RetryAllowance {
        window: ALLOWANCE.window * 3,
        ..ALLOWANCE
    };
    for second in 20..40 {
        retries.earn(&pool, &ALLOWANCE, Instant::from_millis(second * 1_000));
    }
    let now = Instant::from_millis(40_000);
    assert!(retries.spend(&pool, &longer, 19, now));
}
