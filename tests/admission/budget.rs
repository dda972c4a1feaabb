//! Retry budgets of the teams.

use std::{sync::Arc, time::Duration};

use ebonyspur::{
    admission::{retry_delay, Admission, MAX_TEAMS},
    Category, Verdict,
};
use expect_test::expect;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::model::team;

#[test]
fn retries_are_a_tenth_of_fresh_requests() {
    let admission: Arc<Admission> = Arc::default();
    let team = team("kerb");
    let mut retries = [0, 0];
    for _ in 0..1_000 {
        admission.admit(&team, 1).expect("fresh requests get in");
        for attempt in 2..=5 {
            retries[0] += u32::from(admission.admit(&team, attempt).is_ok());
        }
        retries[1] += u32::from(admission.spend_retry(&team));
    }
    // The first retries come from what a new team starts with.
    expect!["[107, 2]"].assert_eq(&format!("{retries:?}"));
}

#[test]
fn a_spent_budget_refuses_before_the_body_is_read() {
    let admission: Arc<Admission> = Arc::default();
    let team = team("kerb");
    assert!(admission.check(&team, 2).is_ok(), "a team unknown so far");
    while admission.admit(&team, 2).is_ok() {}
    let err = admission.check(&team, 2).expect_err("a refusal");
    assert_eq!(
        (err.classify(), err.verdict()),
        (Category::RetryBudget, Verdict::NotRun)
    );
    assert!(err.retry_after().is_some());
    assert!(admission.check(&team, 1).is_ok(), "a fresh request");
}

#[test]
fn delays_are_spread_around_their_mean() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let delays = [(); 4].map(|()| retry_delay(Duration::from_secs(2), &mut rng).as_millis());
    expect!["[1448, 2410, 2471, 1529]"].assert_eq(&format!("{delays:?}"));
}

#[test]
fn the_memory_of_teams_is_bounded() {
    let admission: Arc<Admission> = Arc::default();
    let busy = admission.admit(&team("busy"), 1);
    for number in 0..2 * MAX_TEAMS {
        let name = team(&format!("team-{number}"));
        drop(admission.admit(&name, 1));
        assert!(admission.teams() <= MAX_TEAMS);
    }
    assert_eq!(admission.in_flight()[&team("busy")], 1);
    drop(busy);
}
