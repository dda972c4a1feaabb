//! High-risk requests and duplicates from several routers on one engine.

use ebonyspur::{
    admission::{CrashRisk, Fingerprint},
    steward::{GrantReply, Steward},
    Incarnation,
};
use expect_test::expect;

use crate::support::{ask_as, at, engine, holder, renew, router, settled};

fn high_risk(fingerprint: u64) -> CrashRisk {
    CrashRisk::High(Fingerprint(fingerprint))
}

/// Asks for slots for high-risk requests of routers 1 and 2 and for a low-risk one of router 3.
fn replies(steward: &Steward, now: u64) -> String {
    let ask = |number, crash_risk| ask_as(steward, holder(number, now), crash_risk, 4, now);
    let replies: [GrantReply; 3] = [
        ask(1, high_risk(1)),
        ask(2, high_risk(2)),
        ask(3, CrashRisk::Low),
    ];
    format!("{replies:?}")
}

#[test]
fn engine_runs_one_high_risk_request_whichever_routers_ask() {
    let steward = settled();
    expect!["[Granted, HighRiskInFlight, Granted]"].assert_eq(&replies(&steward, 0));
    let incarnation = Incarnation(1);
    let released = holder(1, 0).grant;
    steward.release(&engine().name, &router(1), incarnation, released, at(1));
    let again = ask_as(&steward, holder(2, 1), high_risk(2), 4, 1);
    expect!["Granted"].assert_eq(&format!("{again:?}"));
}

#[test]
fn hand_over_includes_the_high_risk_request() {
    let old = settled();
    expect!["Granted"].assert_eq(&format!(
        "{:?}",
        ask_as(&old, holder(1, 0), high_risk(1), 4, 0)
    ));
    let hand_over = old.hand_over(&engine().name, at(10)).unwrap();
    let new = Steward::default();
    new.take_over(&engine(), at(10));
    // A renewal may arrive before the hand-over; it does not carry the crash risk.
    renew(&new, 1, &[0], 1, 15);
    new.accept_hand_over(&engine().name, hand_over, at(20));
    expect!["[HighRiskInFlight, HighRiskInFlight, Granted]"].assert_eq(&replies(&new, 30));
}

#[test]
fn engine_runs_one_of_the_duplicates_of_a_request_of_unknown_risk() {
    let steward = settled();
    let duplicate = CrashRisk::Unknown(Fingerprint(1));
    let other = CrashRisk::Unknown(Fingerprint(2));
    let asked = [
        (1, duplicate),
        (2, duplicate),
        (3, other),
        (4, CrashRisk::Low),
    ];
    let replies =
        asked.map(|(number, crash_risk)| ask_as(&steward, holder(number, 0), crash_risk, 4, 0));
    expect!["[Granted, DuplicateInFlight, Granted, Granted]"].assert_eq(&format!("{replies:?}"));
}
