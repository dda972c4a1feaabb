//! The specification of the fold, checked, and its mutants, refuted.

use expect_test::expect;

use crate::support::spec::Spec;

static FOLD: Spec = Spec {
    name: "ConfigFold",
    invariants: &["SameState", "NeverBack", "OneWinner", "AnswerIsTrue"],
};

#[test]
fn the_specification_holds_and_each_guard_is_needed() {
    let table = FOLD.table(&[
        "ConflictCheck",
        "DecideOnce",
        "ExactPoint",
        "SealedPoint",
        "OnlyAhead",
    ]);
    expect![[r#"
        all guards: holds, states=18181 depth=14
        without ConflictCheck: OneWinner broken by Confirm Confirm
        without DecideOnce: AnswerIsTrue broken by Confirm Retry Read Read
        without ExactPoint: SameState broken by Confirm Confirm Read WritePoint Drop StartAtPoint
        without SealedPoint: SameState broken by Confirm Forge Drop StartAtPoint
        without OnlyAhead: NeverBack broken by Confirm Confirm Read Ask Read Read Deliver
    "#]]
    .assert_eq(&table);
}
