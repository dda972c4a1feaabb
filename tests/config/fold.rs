//! Changes that the fold accepts, rejects or repeats.

use ebonyspur::{
    config::{ConfigState, Record, DECISION_WINDOW_RECORDS},
    Offset,
};
use expect_test::expect;
use serde_json::json;

use super::records::{append, change, describe, op, put, team};

#[test]
fn changes_with_broken_references_or_invalid_values_are_rejected() {
    let mut state = ConfigState::default();
    let steps = [
        json!([{ "op": "put_service", "name": "planner", "kind": "chat", "pool": "p" }]),
        json!([{ "op": "put_service", "name": "planner", "kind": "chat", "pool": "p" },
               { "op": "put_pool", "name": "p", "load_factor": 1.25049 }]),
        json!([{ "op": "remove_pool", "name": "p" }]),
        json!([{ "op": "load", "pool": "p", "version": "v1" }]),
        json!([{ "op": "put_model", "name": "m", "versions": ["v1", "v2"], "adapters": ["a1"] }]),
        json!([{ "op": "load", "pool": "p", "version": "v1" }]),
        json!([{ "op": "load", "pool": "q", "version": "v1" }]),
        json!([{ "op": "put_team", "name": "kerb", "classes": ["draft"], "version": "v1" }]),
        json!([{ "op": "move_team", "team": "kerb", "to": "v2" }]),
        json!([{ "op": "load", "pool": "p", "version": "v2" },
               { "op": "move_team", "team": "kerb", "to": "v2" },
               { "op": "unload", "pool": "p", "version": "v1" }]),
        json!([{ "op": "unload", "pool": "p", "version": "v2" }]),
        json!([{ "op": "remove_model", "name": "m" }]),
        json!([{ "op": "put_team", "name": "none", "share": 0 }]),
        json!([{ "op": "put_pool", "name": "q", "load_factor": 1.0 }]),
        json!([{ "op": "remove_team", "name": "none" }]),
        json!([{ "op": "drain", "engine": "e1" }, { "op": "set_role", "engine": "e2", "role": "decode" }]),
        json!([{ "op": "undrain", "engine": "e1" }, { "op": "set_role", "engine": "e2", "role": "mixed" }]),
        json!([]),
    ];
    let outcomes = steps.map(|ops| {
        let ops: Vec<_> = ops
            .as_array()
            .expect("a list")
            .iter()
            .cloned()
            .map(op)
            .collect();
        put(&mut state, &ops)
    });
    expect![[r#"
        rejected: service/planner needs pool/p, which does not exist
        Accepted
        rejected: service/planner needs pool/p, which does not exist
        rejected: pool/p needs version/v1, which does not exist
        Accepted
        Accepted
        rejected: change needs pool/q, which does not exist
        Accepted
        rejected: team/kerb needs loaded version/v2, which does not exist
        Accepted
        rejected: team/kerb needs loaded version/v2, which does not exist
        rejected: pool/p needs version/v2, which does not exist
        rejected: team/none: share must be from 1 to 1000000
        rejected: pool/q: load_factor must be above 1 and at most 10
        rejected: change needs team/none, which does not exist
        Accepted
        Accepted
        rejected: change: a change needs an operation"#]]
    .assert_eq(&outcomes.join("\n"));
    state.decided.clear();
    expect![[r#"{"applied":18,"teams":{"kerb":{"name":"kerb","share":1,"classes":["draft"],"version":"v1"}},"services":{"planner":{"name":"planner","kind":"chat","pool":"p"}},"pools":{"p":{"name":"p","load_factor":1.25,"versions":["v2"]}},"models":{"m":{"name":"m","versions":["v1","v2"],"adapters":["a1"]}},"moves":{"kerb":{"to":"v2","since":9}},"drained":[],"roles":{},"touched":{"engine/e1":16,"engine/e2":16,"model/m":4,"pool/p":9,"service/planner":1,"team/kerb":9},"decided":[],"checkpoint":null}"#]].assert_eq(&serde_json::to_string(&state).expect("JSON"));
}

#[test]
fn a_rejected_change_leaves_the_objects_unchanged() {
    let mut state = ConfigState::default();
    put(&mut state, &[team("kerb", 1)]);
    let before = state.clone();
    let orphan = op(json!({ "op": "put_service", "name": "s", "kind": "plain", "pool": "none" }));
    let drain = op(json!({ "op": "drain", "engine": "e1" }));
    put(
        &mut state,
        &[team("kerb", 9), drain, team("new", 2), orphan],
    );
    state.applied = before.applied;
    state.decided = before.decided.clone();
    assert_eq!(state, before);
}

#[test]
fn of_two_concurrent_changes_to_one_object_the_earlier_offset_wins() {
    let mut state = ConfigState::default();
    put(&mut state, &[team("kerb", 1)]);
    let outcomes = [
        append(&mut state, &change("alice-1", 1, &[team("kerb", 2)])),
        append(
            &mut state,
            &change("bob-1", 1, &[team("kerb", 3), team("other", 1)]),
        ),
        append(&mut state, &change("bob-2", 1, &[team("other", 1)])),
        append(&mut state, &change("carol-1", 99, &[team("kerb", 4)])),
        append(
            &mut state,
            &change(
                "dave-1",
                5,
                &[op(json!({ "op": "remove_team", "name": "kerb" }))],
            ),
        ),
        append(&mut state, &change("erin-1", 5, &[team("kerb", 5)])),
        append(&mut state, &change("erin-2", 7, &[team("kerb", 6)])),
    ];
    let outcomes: Vec<_> = outcomes.iter().map(describe).collect();
    expect![[r#"
        Accepted
        rejected: team/kerb was changed since, at offset 1
        Accepted
        rejected: offset 99 does not exist yet
        Accepted
        rejected: team/kerb was changed since, at offset 5
        Accepted"#]]
    .assert_eq(&outcomes.join("\n"));
    assert_eq!(state.teams["kerb"].share, 6);
}

#[test]
fn a_change_appended_twice_is_applied_once() {
    let mut state = ConfigState::default();
    put(&mut state, &[team("kerb", 1)]);
    let retried = change("alice-1", 1, &[team("kerb", 2)]);
    let first = append(&mut state, &retried);
    let again = append(&mut state, &retried);
    let accepted = state
        .decision("alice-1")
        .expect("a decision")
        .rejection
        .is_none();
    expect!["Accepted Repeated(Offset(1)) accepted=true"]
        .assert_eq(&format!("{first:?} {again:?} accepted={accepted}"));
}

#[test]
fn a_repeated_change_is_not_applied_after_its_decision_is_pruned() {
    let mut state = ConfigState::default();
    let old = change("old", 0, &[team("kerb", 1)]);
    append(&mut state, &old);
    put(
        &mut state,
        &[op(json!({ "op": "remove_team", "name": "kerb" }))],
    );
    let mut applied_at = Vec::new();
    for number in 0..2 * DECISION_WINDOW_RECORDS {
        put(&mut state, &[team("busy", 1 + number as u32)]);
        append(&mut state, &old);
        if state.teams.contains_key("kerb") {
            applied_at.push(state.applied);
        }
    }
    let kept = (
        state.touched.len(),
        state.decided.len() <= 2 * DECISION_WINDOW_RECORDS as usize,
    );
    assert_eq!((applied_at, kept), (Vec::<Offset>::new(), (1, true)));
}

#[test]
fn a_record_after_a_gap_is_not_applied() {
    let mut state = ConfigState::default();
    put(&mut state, &[team("kerb", 1)]);
    let outcome = state.apply(Offset(7), &change("late", 7, &[team("new", 1)]));
    expect!["Gap applied=1 teams=1"].assert_eq(&format!(
        "{outcome:?} applied={} teams={}",
        state.applied,
        state.teams.len()
    ));
}

#[test]
fn of_two_concurrent_changes_that_rely_on_one_capacity_the_second_is_rejected() {
    let mut state = ConfigState::default();
    put(&mut state, &[team("kerb", 1)]);
    let drain = |id: &str, engine: &str, base| {
        let mut record = change(id, base, &[op(json!({ "op": "drain", "engine": engine }))]);
        if let Record::Change(change) = &mut record {
            change.relies_on = vec!["capacity/planners".into()];
        }
        record
    };
    let outcomes = [
        append(&mut state, &drain("alice", "engine-1", 1)),
        append(&mut state, &drain("bob", "engine-2", 1)),
        append(&mut state, &drain("bob-again", "engine-2", 3)),
    ];
    expect![[r#"
        Accepted
        rejected: capacity/planners was changed since, at offset 1
        Accepted"#]]
    .assert_eq(&outcomes.each_ref().map(describe).join("\n"));
}
