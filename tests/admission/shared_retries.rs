//! The retry budget of a fleet, in virtual time.

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

/// Lets 19 routers with unequal traffic retry whatever fails, and returns the most retries
/// and the requests in any ten seconds.
fn storm(routers_known: usize) -> Vec<(u32, u32)> {
    let pool = PoolName::new("writers").unwrap();
    let routers: Vec<_> = (0..19).map(|_| SharedRetries::default()).collect();
    let mut seconds = Vec::new();
    for second in 0..40_u64 {
        let (mut fresh, mut retries) = (0, 0);
        for (number, router) in routers.iter().enumerate() {
            for tick in 0..(1 + number as u64 % 5) {
                let now = Instant::from_millis(second * 1_000 + tick * 150);
                router.earn(&pool, &ALLOWANCE, now);
                fresh += 1;
                // Everything fails, again and again, from the fifth second on.
                while second >= 5 && router.spend(&pool, &ALLOWANCE, routers_known, now) {
                    retries += 1;
                }
            }
        }
        seconds.push((fresh, retries));
    }
    let sum = |window: &[(u32, u32)]| {
        window
            .iter()
            .fold((0, 0), |(f, r), (fresh, retries)| (f + fresh, r + retries))
    };
    seconds.windows(10).map(sum).collect()
}

#[test]
fn a_fleet_whose_requests_all_fail_keeps_its_budget_in_each_window() {
    for known in [19, 12, 1] {
        for (fresh, retries) in storm(known) {
            // Routers that know fewer others than there are have the larger parts.
            let extra =
                ALLOWANCE.extra * 19.0 / if known == 1 { ASSUMED_ROUTERS } else { known } as f64;
            let budget = ALLOWANCE.ratio * f64::from(fresh) + extra;
            assert!(
                f64::from(retries) <= budget,
                "{retries} of {budget} with {known} known"
            );
        }
    }
}

#[test]
fn the_budget_is_used_when_it_is_needed() {
    let (fresh, retries) = storm(19)[25];
    let budget = ALLOWANCE.ratio * f64::from(fresh) + ALLOWANCE.extra;
    assert!(f64::from(retries) >= 0.6 * budget, "{retries} of {budget}");
}
