//! Model-checks `spec/Lease.tla`, and checks that the removal of each guard gives a counterexample.

use std::{path::PathBuf, sync::Arc};

use expect_test::{expect, Expect};
use tla_checker::{
    ast::Value,
    checker::{check, CheckResult},
    load::prepare_from_path,
};

/// Most states that the checker explores.
const MAX_STATES: usize = 3_000_000;

/// Boolean constants of the specification: `Fenced` describes the engine, the others each
/// remove a guard.
const FLAGS: [&str; 5] = [
    "Fenced",
    "CountFromAnswer",
    "SkipWait",
    "NoFencing",
    "IgnorePosition",
];

fn run(invariants: &[&str], flags: &[&str]) -> String {
    let spec = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("spec/Lease.tla");
    let dir = tempfile::tempdir().expect("a directory");
    let cfg = dir.path().join("Lease.cfg");
    let lines: Vec<_> = invariants
        .iter()
        .map(|name| format!("INVARIANT {name}\n"))
        .collect();
    let text = format!(
        "INIT Init\nNEXT Next\nCHECK_DEADLOCK FALSE\n{}",
        lines.concat()
    );
    std::fs::write(&cfg, text).expect("a configuration");
    let routers = [Value::Str("a".into()), Value::Str("b".into())];
    let mut constants: Vec<(Arc<str>, Value)> = vec![
        ("Routers".into(), Value::Set(Arc::new(routers.into()))),
        ("Term".into(), Value::Int(2)),
        ("LongestOrder".into(), Value::Int(1)),
        ("MaxTime".into(), Value::Int(3)),
        ("MaxLog".into(), Value::Int(2)),
    ];
    for flag in FLAGS {
        constants.push((flag.into(), Value::Bool(flags.contains(&flag))));
    }
    let mut prepared =
        prepare_from_path(&spec, Some(&cfg), &constants).unwrap_or_else(|err| panic!("{err:?}"));
    prepared.checker_config.max_states = MAX_STATES;
    prepared.checker_config.quiet = true;
    prepared.checker_config.max_seconds = Some(60);
    prepared.checker_config.allow_deadlock = true;
    describe(&check(
        &prepared.spec,
        &prepared.domains,
        &prepared.checker_config,
    ))
}

fn describe(result: &CheckResult) -> String {
    match result {
        CheckResult::Ok(stats) => format!("holds in {} states\n", stats.states_explored),
        CheckResult::InvariantViolation(found, _) => {
            let actions = found.actions.iter().flatten();
            let actions: Vec<_> = actions.map(|action| action.to_string()).collect();
            format!("broken by {}\n", actions.join(", "))
        }
        other => format!("{:.400}\n", format!("{other:?}")),
    }
}

fn check_mutant(invariant: &str, flags: &[&str], expected: &Expect) {
    expected.assert_eq(&run(&[invariant], flags));
}

#[test]
fn at_most_one_router_holds_the_lease_and_a_fenced_engine_applies_no_outdated_order() {
    expect![[r#"
        holds in 41290 states
    "#]]
    .assert_eq(&run(&["OneHolder", "NeverBack"], &["Fenced"]));
}

#[test]
fn an_engine_that_ignores_fencing_applies_an_outdated_order_only_after_a_pause_of_the_holder() {
    expect![[r#"
        holds in 24916 states
    "#]]
    .assert_eq(&run(&["OneHolder", "BackOnlyByPause"], &[]));
}

#[test]
fn an_engine_that_ignores_fencing_applies_an_outdated_order_of_a_paused_holder() {
    check_mutant(
        "NeverBack",
        &[],
        &expect![[r#"
        broken by Bid, Arrive, Read, Tick, Look, Tick, Bid, Send, Arrive, Read, Tick, Look, Send, Deliver, Deliver
    "#]],
    );
}

#[test]
fn two_routers_hold_the_lease_if_the_holder_measures_its_term_from_the_append_answer() {
    check_mutant(
        "OneHolder",
        &["CountFromAnswer"],
        &expect![[r#"
        broken by Bid, Arrive, Read, Tick, Tick, Bid, Read, Arrive, Read
    "#]],
    );
}

#[test]
fn two_routers_hold_the_lease_if_records_are_valid_at_any_position() {
    check_mutant(
        "OneHolder",
        &["IgnorePosition"],
        &expect![[r#"
        broken by Bid, Bid, Arrive, Read, Read, Arrive, Read
    "#]],
    );
}

#[test]
fn an_outdated_order_arrives_after_a_new_one_if_the_new_holder_does_not_wait() {
    check_mutant(
        "BackOnlyByPause",
        &["SkipWait"],
        &expect![[r#"
        broken by Bid, Arrive, Read, Tick, Look, Send, Tick, Bid, Arrive, Read, Look, Send, Deliver, Deliver
    "#]],
    );
}

#[test]
fn an_engine_without_the_fencing_check_applies_an_outdated_order() {
    check_mutant(
        "NeverBack",
        &["Fenced", "NoFencing"],
        &expect![[r#"
        broken by Bid, Arrive, Read, Tick, Look, Tick, Bid, Send, Arrive, Read, Look, Send, Deliver, Deliver
    "#]],
    );
}
