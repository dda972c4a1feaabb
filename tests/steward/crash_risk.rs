//! Suspects of several routers on one engine.

use ebonyspur::{
    admission::{CrashRisk, Fingerprint},
    steward::{GrantReply, Steward},
    Incarnation,
};
use expect_test::expect;

use crate::support::{ask_as, at, engine, holder, renew, router, settled};

fn suspect(fingerprint: u64) -> CrashRisk {
    CrashRisk::High(Fingerprint(fingerprint))
}

/// Asks for routers 1 and 2 and for a request that is no suspect.
fn replies(steward: &Steward, now: u64) -> String {
    let ask = |number, trust| ask_as(steward, holder(number, now), trust, 4, now);
    let replies: [GrantReply; 3] = [
        ask(1, suspect(1)),
        ask(2, suspect(2)),
        ask(3, CrashRisk::Low),
    ];
    format!("{replies:?}")
}

#[test]
fn an_engine_has_one_suspect_whichever_routers_ask() {
    let steward = settled();
    expect!["[Granted, HighRiskInFlight, Granted]"].assert_eq(&replies(&steward, 0));
    let life = Incarnation(1);
    let released = holder(1, 0).grant;
    steward.release(&engine().name, &router(1), life, released, at(1));
    let again = ask_as(&steward, holder(2, 1), suspect(2), 4, 1);
    expect!["Granted"].assert_eq(&format!("{again:?}"));
}

#[test]
fn a_new_steward_learns_of_the_suspect_from_the_last_one() {
    let old = settled();
    expect!["Granted"].assert_eq(&format!(
        "{:?}",
        ask_as(&old, holder(1, 0), suspect(1), 4, 0)
    ));
    let book = old.hand_over(&engine().name, at(10)).unwrap();
    let new = Steward::default();
    new.take_over(&engine(), at(10));
    // The renewal, which does not tell it, may come before the hand-over.
    renew(&new, 1, &[0], 1, 15);
    new.accept_hand_over(&engine().name, book, at(20));
    expect!["[HighRiskInFlight, HighRiskInFlight, Granted]"].assert_eq(&replies(&new, 30));
}

#[test]
fn copies_of_an_unproven_request_wait_for_each_other_on_an_engine() {
    let steward = settled();
    let copy = CrashRisk::Unknown(Fingerprint(1));
    let other = CrashRisk::Unknown(Fingerprint(2));
    let asked = [(1, copy), (2, copy), (3, other), (4, CrashRisk::Low)];
    let replies = asked.map(|(number, trust)| ask_as(&steward, holder(number, 0), trust, 4, 0));
    expect!["[Granted, DuplicateInFlight, Granted, Granted]"].assert_eq(&format!("{replies:?}"));
}
