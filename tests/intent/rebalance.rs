//! Plans that assign the versions of a pool to its engines.

use ebonyspur::{config::ConfigState, intent::FleetView};
use expect_test::expect;
use serde_json::{json, Value};

use super::fixtures::{fleet, plan, state};

/// Returns the configuration with two versions loaded; v2 serves no team.
fn two_versions() -> ConfigState {
    let mut state = state();
    let ops = json!([{ "op": "load", "pool": "planners", "version": "v2" }]);
    let ops: Vec<_> = serde_json::from_value(ops).expect("operations");
    state.apply_ops(&ops).expect("a load");
    state
}

fn rebalance(state: &ConfigState, fleet: &FleetView, copies: Value) -> String {
    let value = json!({ "intent": "rebalance", "pool": "planners", "copies": copies });
    match plan(state, fleet, value) {
        Err(err) => err.to_string(),
        Ok(plan) => {
            let plan = plan.document();
            let steps = plan.steps.iter();
            let mut lines: Vec<_> = steps
                .map(|step| format!("{}: {}", step.object, step.action))
                .collect();
            let versions = plan.versions.iter();
            lines.extend(versions.map(|v| {
                let left = v.headroom();
                format!(
                    "{} {} -> {}, {} in flight, left {left}",
                    v.version, v.engines_before, v.engines_after, v.in_flight
                )
            }));
            lines.push(format!(
                "cold {}, relies on {:?}",
                plan.cold.in_flight, plan.relies_on
            ));
            lines.join("\n")
        }
    }
}

#[test]
fn versions_are_assigned_evenly_to_engines_and_failure_domains() {
    let state = two_versions();
    expect![[r#"
        pool/planners: spread versions over engines; others carry all
        engine/engine-1: carry v1 once all engines have theirs ready
        engine/engine-2: carry v1 once all engines have theirs ready
        engine/engine-3: carry v1 once all engines have theirs ready
        engine/engine-4: carry v2 once all engines have theirs ready
        engine/engine-5: carry v2 once all engines have theirs ready
        engine/engine-6: carry v2 once all engines have theirs ready
        v1 6 -> 3, 12 in flight, left 18
        v2 6 -> 3, 0 in flight, left 30
        cold 6, relies on ["capacity/planners"]"#]]
    .assert_eq(&rebalance(&state, &fleet(6, 48), json!(3)));
}

#[test]
fn invalid_copies_and_rebalances_beyond_the_load_bound_are_refused() {
    let state = two_versions();
    let lines = [
        rebalance(&state, &fleet(6, 6), json!(3)),
        rebalance(&state, &fleet(6, 48), json!(2)),
        rebalance(&state, &fleet(6, 48), json!(7)),
        rebalance(&state, &fleet(6, 48), Value::Null),
    ];
    expect![[r#"
        conflict: version v1 has 12 requests in flight, more than 3 engines with 2 each may have
        bad_input: copies must be from 3 to 6, for 6 engines and 2 versions
        bad_input: copies must be from 3 to 6, for 6 engines and 2 versions
        bad_input: nothing to change: the configuration already matches the intent"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn repeating_a_rebalance_changes_nothing_and_omitting_copies_reverts_it() {
    let mut state = two_versions();
    let fleet = fleet(4, 48);
    let value = json!({ "intent": "rebalance", "pool": "planners", "copies": 2 });
    let ops = plan(&state, &fleet, value)
        .expect("a plan")
        .document()
        .ops
        .clone();
    state.apply_ops(&ops).expect("an assignment");
    let assignment = state
        .assignments
        .values_mut()
        .next()
        .expect("an assignment");
    assignment.current = assignment.next.take().expect("a desired assignment");
    let lines = [
        rebalance(&state, &fleet, json!(2)),
        rebalance(&state, &fleet, Value::Null),
    ];
    expect![[r#"
        bad_input: nothing to change: the configuration already matches the intent
        pool/planners: carry all versions on each engine
        v1 2 -> 4, 12 in flight, left 48
        v2 2 -> 4, 0 in flight, left 60
        cold 0, relies on ["capacity/planners"]"#]]
    .assert_eq(&lines.join("\n"));
}
