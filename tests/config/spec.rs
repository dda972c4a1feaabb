//! Model checking of the specifications of the fold and of moves.
//!
//! Each specification holds with all its guards, and has a counterexample without any one of
//! them.

use expect_test::expect;

use crate::support::spec::Spec;

static FOLD: Spec = Spec {
    name: "ConfigFold",
    invariants: &["SameState", "NeverBack", "OneWinner", "AnswerIsTrue"],
};

static MOVES: Spec = Spec {
    name: "Moves",
    invariants: &["ShiftedReady", "StopIsNews", "NewestDriver"],
};

#[test]
fn the_specification_of_moves_holds_and_each_guard_is_needed() {
    let table = MOVES.table(&["SeenMove", "SeenPool", "Fenced", "Together"]);
    expect![[r#"
        all guards: holds, states=281755 depth=10
        without SeenMove: ShiftedReady broken by Begin See Begin Begin Take
        without SeenPool: StopIsNews broken by Begin See See Take Retry Take
        without Fenced: NewestDriver broken by Begin See See Take Take
        without Together: ShiftedReady broken by Begin See Take
    "#]]
    .assert_eq(&table);
}

#[test]
fn the_specification_of_the_fold_holds_and_each_guard_is_needed() {
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
