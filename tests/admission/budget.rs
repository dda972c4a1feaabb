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
fn retries_are_limited_to_a_tenth_of_first_attempts() {
    let admission: Arc<Admission> = Arc::default();
    let team = team("kerb");
    let mut retries = [0, 0];
    for _ in 0..1_000 {
        admission
            .admit(&team, 1)
            .expect("first attempts are admitted");
        for attempt in 2..=5 {
            retries[0] += u32::from(admission.admit(&team, attempt).is_ok());
        }
        retries[1] += u32::from(admission.spend_retry(&team));
    }
    // The first retries come from the initial budget of a new team.
    expect!["[107, 2]"].assert_eq(&format!("{retries:?}"));
}

#[test]
fn exhausted_budget_refuses_retries_but_not_first_attempts() {
    let admission: Arc<Admission> = Arc::default();
    let team = team("kerb");
    assert!(admission.check(&team, 2).is_ok(), "a team not seen before");
    while admission.admit(&team, 2).is_ok() {}
    let err = admission.check(&team, 2).expect_err("an exhausted budget");
    assert_eq!(
        (err.classify(), err.verdict()),
        (Category::RetryBudget, Verdict::NotRun)
    );
    assert!(err.retry_after().is_some());
    assert!(admission.check(&team, 1).is_ok(), "a first attempt");
}

#[test]
fn retry_delays_are_spread_around_their_mean() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let delays = [(); 4].map(|()| retry_delay(Duration::from_secs(2), &mut rng).as_millis());
    expect!["[1448, 2410, 2471, 1529]"].assert_eq(&format!("{delays:?}"));
}

#[test]
fn number_of_tracked_teams_is_bounded() {
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
