//! The specification of the fold, checked, and its mutants, refuted.

use std::{path::Path, sync::Arc};

use expect_test::expect;
use tla_checker::{
    ast::Value,
    checker::{check, CheckResult},
    load::prepare_from_path,
};

/// Invariants in the order of the configuration.
const INVARIANTS: [&str; 4] = ["SameState", "NeverBack", "OneWinner", "AnswerIsTrue"];

/// Checks the specification, without one of its guards if given.
fn report(removed: Option<&str>) -> String {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("spec");
    let constants: Vec<(Arc<str>, Value)> = removed
        .iter()
        .map(|name| (Arc::from(*name), Value::Bool(false)))
        .collect();
    let (spec, cfg) = (dir.join("ConfigFold.tla"), dir.join("ConfigFold.cfg"));
    let prepared = prepare_from_path(&spec, Some(&cfg), &constants);
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
            format!("{invariant} broken by {}", actions.join(" "))
        }
        _ => "not checked".into(),
    }
}

/// Stack of the checker, in bytes; on a small one it maps a new stack for each state.
const STACK_LEN: usize = 256 * 1024 * 1024;

/// Runs [`report`] on a large stack.
fn report_on_large_stack(removed: Option<&'static str>) -> String {
    let thread = std::thread::Builder::new().stack_size(STACK_LEN);
    let thread = thread.spawn(move || report(removed)).expect("a thread");
    thread.join().expect("a report")
}

#[test]
fn the_specification_holds_and_each_guard_is_needed() {
    let mut table = format!("all guards: {}\n", report_on_large_stack(None));
    for guard in [
        "ConflictCheck",
        "DecideOnce",
        "ExactPoint",
        "SealedPoint",
        "OnlyAhead",
    ] {
        table += &format!("without {guard}: {}\n", report_on_large_stack(Some(guard)));
    }
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
