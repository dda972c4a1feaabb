//! Takeovers between stewards, and grants of routers that fail or do not renew them.

use ebonyspur::{admission::CrashRisk, steward::Steward, Incarnation};
use expect_test::expect;

use crate::support::{ask, at, engine, holder, renew, router, settled, state};

#[test]
fn new_steward_grants_nothing_before_a_load_report() {
    let steward = Steward::default();
    steward.take_over(&engine(), at(0));
    assert_eq!(ask(&steward, 1, 0..3, 4, 10), 0);
    steward.record_load_report(&engine(), 3, at(20));
    assert_eq!(ask(&steward, 1, 3..6, 4, 30), 1);
    expect!["taking_over Some(4)"].assert_eq(&state(&steward));
    steward.record_load_report(&engine(), 2, at(2_000));
    expect!["settled Some(4)"].assert_eq(&state(&steward));
    steward.record_load_report(&engine(), 2, at(4_100));
    expect!["settled Some(3)"].assert_eq(&state(&steward));
    assert!(renew(&steward, 1, &[3], 4, 5_000));
    steward.record_load_report(&engine(), 2, at(10_200));
    expect!["settled Some(2)"].assert_eq(&state(&steward));
}

#[test]
fn steward_stops_granting_after_a_hand_over() {
    let old = settled();
    assert_eq!(ask(&old, 1, 0..3, 4, 0), 3);
    let hand_over = old.hand_over(&engine().name, at(10)).unwrap();
    assert_eq!(ask(&old, 1, 3..6, 4, 20), 0);
    let new = Steward::default();
    new.take_over(&engine(), at(10));
    new.accept_hand_over(&engine().name, hand_over, at(20));
    assert_eq!(ask(&new, 2, 0..3, 4, 30), 1);
    expect!["settled Some(4)"].assert_eq(&state(&new));
    assert!(!old.take_over(&engine(), at(1_000)), "too soon to reclaim");
    assert!(old.take_over(&engine(), at(5_010)));
}

#[test]
fn work_of_a_failed_holder_counts_until_a_load_report_is_lower() {
    let steward = settled();
    assert_eq!(ask(&steward, 1, 0..4, 4, 0), 4);
    steward.tick(|name| *name != router(1), at(3_000));
    steward.record_load_report(&engine(), 0, at(3_500));
    expect!["settled Some(4)"].assert_eq(&state(&steward));
    steward.record_load_report(&engine(), 1, at(5_000));
    expect!["settled Some(1)"].assert_eq(&state(&steward));
}

#[test]
fn renewed_grant_keeps_its_slot_and_unrenewed_work_still_counts() {
    let steward = settled();
    assert_eq!(ask(&steward, 1, 0..2, 4, 0), 2);
    assert_eq!(ask(&steward, 2, 0..2, 4, 0), 2);
    for second in 1..75 {
        let now = second * 1_000;
        let load = if second < 60 { 4 } else { 3 };
        renew(&steward, 1, &[0, 1], 2, now);
        steward.tick(|_| true, at(now));
        steward.record_load_report(&engine(), load, at(now));
        let granted = ask(&steward, 3, 0..1, 4, now);
        assert!(granted == 0 || second >= 60, "granted at {second} s");
        renew(&steward, 3, &[], 1, now);
    }
    expect!["settled Some(3)"].assert_eq(&state(&steward));
}

#[test]
fn renewal_makes_up_for_a_lost_release() {
    let steward = settled();
    assert_eq!(ask(&steward, 1, 0..4, 4, 0), 4);
    assert!(renew(&steward, 1, &[1], 3, 5_000));
    expect!["settled Some(2)"].assert_eq(&state(&steward));
}

#[test]
fn grants_of_an_earlier_incarnation_of_a_router_are_refused() {
    let steward = settled();
    let mut newer = holder(1, 0);
    newer.incarnation = Incarnation(2);
    steward.grant(&engine(), newer, CrashRisk::Low, 4, at(0));
    assert_eq!(ask(&steward, 1, 1..2, 4, 10), 0);
    expect!["settled Some(1)"].assert_eq(&state(&steward));
}
