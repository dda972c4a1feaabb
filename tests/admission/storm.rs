//! A retry storm: callers retry at once, up to four times, when they are refused or time out.

use std::collections::VecDeque;

use ebonyspur::admission::{Class, FairQueue, MAX_WAITING};
use expect_test::expect;

use crate::model::{arrivals, team, Model, Policy, SLOTS};

/// First attempts per second before and after the surge; the pool serves 40 per second.
const CALM_RATE: u64 = 30;

/// First attempts per second from second 10 to 20.
const SURGE_RATE: u64 = 400;

fn run(policy: Policy) -> Model {
    let mut model = Model::new(policy, &[("kerb", 1)]);
    while model.now.as_micros() < 40_000_000 {
        let surge = (10..20).contains(&(model.now.as_micros() / 1_000_000));
        let count = arrivals(if surge { SURGE_RATE } else { CALM_RATE }, model.now);
        model.step((0..count).map(|_| (team("kerb"), Class::Interactive)));
    }
    model
}

fn row(name: &str, model: &Model) -> String {
    let goodput = |seconds| model.rate(seconds, |_, _| true);
    format!(
        "{name}: calm {:.1}/s, surge {:.1}/s, 5 s after it {:.1}/s, longest queue {}",
        goodput(2..10),
        goodput(11..20),
        goodput(25..40),
        model.longest_queue,
    )
}

#[test]
fn goodput_survives_a_retry_storm_and_recovers_after_it() {
    let fair = run(Policy::Fair(FairQueue::new()));
    let unbounded = run(Policy::Unbounded(VecDeque::new()));
    let surge = fair.rate(11..20, |_, _| true);
    assert!(surge >= 0.9 * SLOTS as f64, "goodput in the surge: {surge}");
    let after = fair.rate(25..40, |_, _| true);
    assert!(
        after >= 0.99 * CALM_RATE as f64,
        "answers after the surge: {after}"
    );
    assert!(fair.longest_queue <= MAX_WAITING);
    expect![[r#"
        fair: calm 30.0/s, surge 40.1/s, 5 s after it 32.0/s, longest queue 256
        unbounded: calm 30.0/s, surge 15.6/s, 5 s after it 0.0/s, longest queue 19862"#]]
    .assert_eq(&format!(
        "{}\n{}",
        row("fair", &fair),
        row("unbounded", &unbounded)
    ));
}
