//! Checks the specification of claims, and that it fails without any one of its guards.

use expect_test::expect;

use crate::support::spec::Spec;

static CLAIMS: Spec = Spec {
    name: "Claims",
    invariants: &["AtMostOnce", "NotRunIsTrue", "NeverRunsIsTrue", "RanIsTrue"],
};

#[test]
fn the_specification_holds_and_each_guard_is_needed() {
    let table = CLAIMS.table(&["ReadBack", "NoTakeOver", "ProvedNotRun"]);
    expect![[r#"
        all guards: holds, states=42653 depth=16
        without ReadBack: AtMostOnce broken by Send Send AppendClaim AppendClaim Settle Settle Dispatch Dispatch
        without NoTakeOver: AtMostOnce broken by Send Send AppendClaim AppendClaim Settle Settle Dispatch Dispatch
        without ProvedNotRun: NotRunIsTrue broken by Send Send AppendClaim AppendClaim Settle Settle Dispatch
    "#]].assert_eq(&table);
}
