//! Cases in which the load of an engine exceeds its bound for a limited time.

use expect_test::expect;

use crate::support::{ask, at, engine, settled, state};

/// Two routers that cannot reach each other are both the steward of the engine. Each learns of
/// the other's grants only from a load report, so each may fill the bound once between two
/// reports.
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

/// A takeover without a hand-over starts from a load report that may be older than the last
/// grants of the failed steward. These grants are not counted until a later report, or until
/// their holder renews them.
#[test]
fn grants_newer_than_a_report_are_not_counted_until_the_next_one() {
    let new = ebonyspur::steward::Steward::default();
    new.take_over(&engine(), at(0));
    new.record_load_report(&engine(), 0, at(10));
    assert_eq!(ask(&new, 2, 0..8, 4, 20), 4);
    new.record_load_report(&engine(), 8, at(1_010));
    expect!["taking_over Some(8)"].assert_eq(&state(&new));
}
