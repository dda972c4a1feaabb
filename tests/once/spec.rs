//! The specification of claims, checked, and its mutants, refuted.

use std::{path::Path, sync::Arc};

use expect_test::expect;
use tla_checker::{
    ast::Value,
    checker::{check, CheckResult},
    load::prepare_from_path,
};

/// Invariants in the order of the configuration.
const INVARIANTS: [&str; 4] = ["AtMostOnce", "NotRunIsTrue", "NeverRunsIsTrue", "RanIsTrue"];

/// Checks the specification with some guards taken away, and reports what was found.
fn report(removed: &[&str]) -> String {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("spec");
    let constants: Vec<(Arc<str>, Value)> = removed
        .iter()
        .map(|name| (Arc::from(*name), Value::Bool(false)))
        .collect();
    let spec = dir.join("Claims.tla");
    let prepared = prepare_from_path(&spec, Some(&dir.join("Claims.cfg")), &constants);
    let mut prepared = prepared.unwrap_or_else(|_| panic!("the specification is not readable"));
    prepared.checker_config.quiet = true;
    prepared.checker_config.allow_deadlock = true;
    match check(&prepared.spec, &prepared.domains, &prepared.checker_config) {
        CheckResult::Ok(stats) => {
            let (states, depth) = (stats.states_explored, stats.max_depth_reached);
            format!("holds, states={states} depth={depth}")
        }
        CheckResult::InvariantViolation(found, _) => {
            let invariant = INVARIANTS[found.violated_invariant];
            let actions = found.actions.iter().flatten();
            let actions: Vec<_> = actions.map(|action| action.to_string()).collect();
            format!("invariant {invariant} broken by {}", actions.join(" "))
        }
        _ => "not checked".into(),
    }
}

#[test]
fn the_specification_holds_and_each_guard_is_needed() {
    let mut table = format!("all guards: {}\n", report(&[]));
    for guard in ["ReadBack", "NoTakeOver", "ProvedNotRun"] {
        table += &format!("without {guard}: {}\n", report(&[guard]));
    }
    expect![[r#"
        all guards: holds, states=37452 depth=16
        without ReadBack: invariant AtMostOnce broken by Send Send AppendClaim AppendClaim Settle Settle Dispatch Dispatch
        without NoTakeOver: invariant AtMostOnce broken by Send Send AppendClaim AppendClaim Settle Settle Dispatch Dispatch
        without ProvedNotRun: invariant NotRunIsTrue broken by Send Send AppendClaim AppendClaim Settle Settle Dispatch
    "#]].assert_eq(&table);
}
