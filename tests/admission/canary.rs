//! Trials of one request, one at a time.

use ebonyspur::{
    admission::{
        CanaryHolder, CanaryReply, CanaryRuns, Crash, DuplicateTracker, Fingerprint, KnownGood,
        Quarantine, MAX_CANARY_RUNS, MAX_KNOWN_GOOD,
    },
    EngineName, Incarnation, Instant, RouterName,
};
use expect_test::expect;
use std::sync::Arc;

fn holder(router: u64, number: u64) -> CanaryHolder {
    CanaryHolder {
        router: RouterName::new(&format!("router-{router}")).unwrap(),
        incarnation: Incarnation(1),
        number,
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn one_copy_is_on_trial_until_it_ends_is_late_or_its_router_is_gone() {
    let mut trials = CanaryRuns::default();
    let begin = |trials: &mut CanaryRuns, router, live: bool, millis| {
        let reply = trials.begin(Fingerprint(1), holder(router, 0), |_| live, at(millis));
        format!("{reply:?} ")
    };
    let mut replies = begin(&mut trials, 1, true, 0);
    replies += &begin(&mut trials, 1, true, 10);
    replies += &begin(&mut trials, 2, true, 20);
    trials.end(Fingerprint(1), &holder(2, 0));
    replies += &begin(&mut trials, 2, true, 30);
    trials.end(Fingerprint(1), &holder(1, 0));
    replies += &begin(&mut trials, 2, true, 40);
    replies += &begin(&mut trials, 3, false, 50);
    replies += &begin(&mut trials, 1, true, 10_049);
    replies += &begin(&mut trials, 1, true, 10_050);
    expect!["Run Run Wait Wait Run Run Wait Run "].assert_eq(&replies);
}

#[test]
fn the_arbiter_refuses_what_is_convicted_and_frees_what_was_answered() {
    let quarantine = Quarantine::default();
    let crash = |engine: &str| Crash {
        fingerprint: Fingerprint(1),
        engine: EngineName::new(engine).unwrap(),
        incarnation: Incarnation(1),
    };
    let begin = |fingerprint, router| {
        let holder = holder(router, 0);
        let reply = quarantine.begin_canary(Fingerprint(fingerprint), holder, |_| true, at(0));
        format!("{reply:?} ")
    };
    let mut replies = begin(1, 1);
    quarantine.record_crash(&crash("a"), at(0));
    replies += &begin(1, 1);
    quarantine.record_crash(&crash("b"), at(0));
    replies += &begin(1, 1);
    replies += &begin(2, 1);
    quarantine.record_success(Fingerprint(2));
    replies += &begin(2, 2);
    expect!["Run Run Quarantined Run KnownGood "].assert_eq(&replies);
}

#[test]
fn memory_is_bounded() {
    let mut trials = CanaryRuns::default();
    let mut proven = KnownGood::default();
    let mut run = 0;
    for number in 0..2 * MAX_CANARY_RUNS as u64 {
        let fingerprint = Fingerprint(number);
        let reply = trials.begin(fingerprint, holder(1, number), |_| true, at(0));
        run += u32::from(reply == CanaryReply::Run);
        proven.insert(fingerprint);
    }
    let late = Fingerprint(2 * MAX_CANARY_RUNS as u64);
    let later = trials.begin(late, holder(1, 0), |_| true, at(10_000));
    let kept =
        (0..2 * MAX_KNOWN_GOOD as u64).filter(|number| proven.contains(Fingerprint(*number)));
    expect!["trials 4096, after 10 s Run, proven 4096"].assert_eq(&format!(
        "trials {run}, after 10 s {later:?}, proven {}",
        kept.count()
    ));
}

#[test]
fn copies_at_one_router_are_told_apart() {
    let copies = Arc::<DuplicateTracker>::default();
    let first = copies.track(Fingerprint(1));
    let second = copies.track(Fingerprint(1));
    let other = copies.track(Fingerprint(2));
    let mut seen = vec![first.is_first(), second.is_first(), other.is_first()];
    drop((first, second));
    seen.push(copies.track(Fingerprint(1)).is_first());
    expect!["[true, false, true, true]"].assert_eq(&format!("{seen:?}"));
}
