//! The windows in which the bound cannot hold.

use expect_test::expect;

use crate::support::{ask, at, engine, settled, state};

/// Two routers that cannot reach each other both count the engine. Each sees the other's
/// work only with a report, so each may fill the bound once between two reports.
#[test]
fn two_stewards_exceed_the_bound_until_the_next_report() {
    let (a, b) = (settled(), settled());
    let bound = 4;
    let granted = ask(&a, 1, 0..8, bound, 0) + ask(&b, 2, 0..8, bound, 0);
    expect!["8"].assert_eq(&granted.to_string());
    for steward in [&a, &b] {
        steward.record_load_report(&engine(), 8, at(1_000));
        expect!["settled Some(8)"].assert_eq(&state(steward));
    }
    assert_eq!(ask(&a, 3, 0..8, bound, 1_100), 0);
    assert_eq!(ask(&b, 3, 0..8, bound, 1_100), 0);
}

/// A take-over without a hand-over believes a report that may be older than the last
/// grants of the steward that died; until a later report or the holder's renewal, those
/// are not counted.
#[test]
fn grants_younger_than_a_report_are_missed_until_the_next_one() {
    let new = ebonyspur::steward::Steward::default();
    new.take_over(&engine(), at(0));
    new.record_load_report(&engine(), 0, at(10));
    assert_eq!(ask(&new, 2, 0..8, 4, 20), 4);
    new.record_load_report(&engine(), 8, at(1_010));
    expect!["taking_over Some(8)"].assert_eq(&state(&new));
}
