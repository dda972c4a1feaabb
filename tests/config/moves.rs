//! Moves of teams to another version: a team switches only when every required pool is ready.

use ebonyspur::{
    config::{ConfigState, LoadFailure, Record, StepOutcome, StepReport},
    EngineName, Offset, PoolName, RouterName, UnixMillis, VersionName,
};
use expect_test::expect;
use serde_json::{json, Value};

use super::records::{append, change, describe, op, put};

fn ops(values: Value) -> Vec<ebonyspur::config::Op> {
    let values = values.as_array().expect("a list");
    values.iter().cloned().map(op).collect()
}

/// Returns a state at offset 1 in which two pools serve the team `kerb` with v1.
fn state() -> ConfigState {
    let mut state = ConfigState::default();
    let first = json!([
        { "op": "put_model", "name": "m", "versions": ["v1", "v2", "v3"] },
        { "op": "put_pool", "name": "p", "versions": ["v1"] },
        { "op": "put_pool", "name": "q", "versions": ["v1"] },
        { "op": "put_team", "name": "kerb", "version": "v1" },
    ]);
    assert_eq!(put(&mut state, &ops(first)), "Accepted");
    state
}

fn move_to(version: &str) -> Value {
    json!([
        { "op": "load", "pool": "p", "version": version },
        { "op": "load", "pool": "q", "version": version },
        { "op": "move_team", "team": "kerb", "to": version },
    ])
}

fn step(pool: &str, version: &str, base: u64, fence: u64) -> StepReport {
    StepReport {
        pool: PoolName::new(pool).unwrap(),
        result: StepOutcome::Warm(VersionName::new(version).unwrap()),
        router: RouterName::new("router-1").unwrap(),
        at: UnixMillis(0),
        base: Offset(base),
        fence: Offset(fence),
    }
}

fn failed(pool: &str, version: &str, base: u64, fence: u64) -> StepReport {
    let failure = LoadFailure {
        engine: EngineName::new("e1").unwrap(),
        reason: "no memory".into(),
    };
    StepReport {
        result: StepOutcome::Failed(VersionName::new(version).unwrap(), failure),
        ..step(pool, version, base, fence)
    }
}

/// Appends a step report and returns its outcome and the version of the team, as text.
fn run(state: &mut ConfigState, step: StepReport) -> String {
    let pool = step.pool.clone();
    let version = match &step.result {
        StepOutcome::Warm(version) | StepOutcome::Failed(version, _) => version.to_string(),
        StepOutcome::Spread => "spread".into(),
    };
    let outcome = append(state, &Record::Step(step));
    let note = state.decided.back().and_then(|last| last.note.clone());
    let note = match describe(&outcome).as_str() {
        "Accepted" => note.unwrap_or_default(),
        _ => String::new(),
    };
    format!(
        "{pool} {version}: {outcome:?} {note} {}",
        describe_team(state).trim()
    )
}

fn describe_team(state: &ConfigState) -> String {
    let version = |name: &str| state.teams[name].version.as_ref().map(VersionName::as_str);
    let moving = state.moves.iter();
    let moving: Vec<_> = moving
        .map(|(team, to)| format!("{team}->{}", to.to))
        .collect();
    format!("[kerb={:?} {}]", version("kerb"), moving.join(" "))
}

#[test]
fn a_team_switches_when_each_pool_with_its_version_is_ready() {
    let mut state = state();
    let mut lines = vec![put(&mut state, &ops(move_to("v2"))) + " " + &describe_team(&state)];
    lines.push(run(&mut state, step("p", "v2", 2, 5)));
    lines.push(run(&mut state, step("p", "v2", 3, 5)));
    lines.push(run(&mut state, step("p", "v1", 4, 5)));
    lines.push(run(&mut state, step("q", "v2", 5, 9)));
    lines.push(run(&mut state, step("q", "v2", 5, 9)));
    expect![[r#"
        Accepted [kerb=Some("v1") kerb->v2]
        p v2: Accepted v2 is ready in pool p [kerb=Some("v1") kerb->v2]
        p v2: VoidStep  [kerb=Some("v1") kerb->v2]
        p v1: VoidStep  [kerb=Some("v1") kerb->v2]
        q v2: Accepted shifted to v2 [kerb=Some("v2") ]
        q v2: VoidStep  [kerb=Some("v2") ]"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_step_report_that_predates_the_move_or_comes_from_an_earlier_lease_holder_is_void() {
    let mut state = state();
    put(&mut state, &ops(move_to("v2")));
    let mut lines = vec![run(&mut state, step("p", "v2", 1, 5))];
    lines.push(run(&mut state, step("p", "v2", 99, 5)));
    lines.push(run(&mut state, step("p", "v2", 4, 8)));
    lines.push(run(&mut state, failed("p", "v2", 5, 7)));
    // A move to v3 and back to v2 starts a new move, for which earlier reports do not count.
    let to_v3 = json!([{ "op": "load", "pool": "p", "version": "v3" },
                           { "op": "move_team", "team": "kerb", "to": "v3" }]);
    put(&mut state, &ops(to_v3));
    let to_v2 = json!([{ "op": "move_team", "team": "kerb", "to": "v2" }]);
    put(&mut state, &ops(to_v2));
    lines.push(run(&mut state, step("q", "v2", 7, 8)));
    lines.push(run(&mut state, step("q", "v2", 9, 8)));
    lines.push(run(&mut state, step("p", "v2", 10, 8)));
    expect![[r#"
        p v2: VoidStep  [kerb=Some("v1") kerb->v2]
        p v2: VoidStep  [kerb=Some("v1") kerb->v2]
        p v2: Accepted v2 is ready in pool p [kerb=Some("v1") kerb->v2]
        p v2: VoidStep  [kerb=Some("v1") kerb->v2]
        q v2: VoidStep  [kerb=Some("v1") kerb->v2]
        q v2: Accepted v2 is ready in pool q [kerb=Some("v1") kerb->v2]
        p v2: Accepted shifted to v2 [kerb=Some("v2") ]"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_load_failure_stops_the_move_until_an_operator_retries() {
    let mut state = state();
    put(&mut state, &ops(move_to("v2")));
    let mut lines = vec![run(&mut state, failed("p", "v2", 2, 5))];
    lines.push(run(&mut state, failed("p", "v2", 3, 5)));
    let load_failures = |state: &ConfigState| {
        format!(
            "halts: {:?}",
            state.load_failures.values().collect::<Vec<_>>()
        )
    };
    lines.push(load_failures(&state));
    let retry = json!([{ "op": "retry", "pool": "p" }]);
    lines.push(put(&mut state, &ops(retry)));
    lines.push(load_failures(&state));
    // A load failure reported from before the retry does not stop the move again.
    lines.push(run(&mut state, failed("p", "v2", 4, 5)));
    lines.push(load_failures(&state));
    expect![[r#"
        p v2: Accepted stopped: e1 could not load v2: no memory [kerb=Some("v1") kerb->v2]
        p v2: VoidStep  [kerb=Some("v1") kerb->v2]
        halts: [{v2: LoadFailure { engine: e1, reason: "no memory" }}]
        Accepted
        halts: []
        p v2: VoidStep  [kerb=Some("v1") kerb->v2]
        halts: []"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_change_that_predates_the_switch_does_not_revert_the_team() {
    let mut state = state();
    put(&mut state, &ops(move_to("v2")));
    run(&mut state, step("p", "v2", 2, 5));
    run(&mut state, step("q", "v2", 3, 5));
    let old = op(json!({ "op": "put_team", "name": "kerb", "share": 3, "version": "v1" }));
    let late = append(&mut state, &change("late", 3, &[old]));
    expect![[r#"rejected: team/kerb was changed since, at offset 3 [kerb=Some("v2") ]"#]]
        .assert_eq(&format!("{} {}", describe(&late), describe_team(&state)));
}

#[test]
fn putting_a_team_starts_its_move_and_a_rejected_change_keeps_the_move() {
    let mut state = state();
    let mut lines = Vec::new();
    let steps = [
        json!([{ "op": "load", "pool": "p", "version": "v2" },
               { "op": "put_team", "name": "kerb", "share": 3, "version": "v2" }]),
        json!([{ "op": "move_team", "team": "kerb", "to": "v1" },
               { "op": "remove_pool", "name": "none" }]),
        json!([{ "op": "unload", "pool": "p", "version": "v2" }]),
        json!([{ "op": "put_team", "name": "kerb", "share": 4, "version": "v2" }]),
        json!([{ "op": "move_team", "team": "kerb", "to": "v1" }]),
        json!([{ "op": "put_team", "name": "new", "version": "v2" }]),
    ];
    for step in steps {
        let outcome = put(&mut state, &ops(step));
        lines.push(format!(
            "{outcome} {} share={}",
            describe_team(&state),
            state.teams["kerb"].share
        ));
    }
    expect![[r#"
        Accepted [kerb=Some("v1") kerb->v2] share=3
        rejected: change needs pool/none, which does not exist [kerb=Some("v1") kerb->v2] share=3
        rejected: team/kerb needs loaded version/v2, which does not exist [kerb=Some("v1") kerb->v2] share=3
        Accepted [kerb=Some("v1") kerb->v2] share=4
        Accepted [kerb=Some("v1") ] share=4
        Accepted [kerb=Some("v1") ] share=4"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn an_assignment_takes_effect_once_the_engines_have_their_versions_ready() {
    let mut state = state();
    put(
        &mut state,
        &ops(json!([{ "op": "load", "pool": "p", "version": "v2" }])),
    );
    let assigned = |state: &ConfigState| {
        let pool = PoolName::new("p").unwrap();
        let assigned = |engine: &str, version: &str| {
            let (engine, version) = (engine.parse().unwrap(), version.parse().unwrap());
            state.is_assigned(&pool, &engine, &version)
        };
        ["e1", "e2", "e3"].map(|engine| (assigned(engine, "v1"), assigned(engine, "v2")))
    };
    let assignment = json!([{ "op": "spread", "pool": "p",
                          "engines": { "e1": ["v1"], "e2": ["v2"] } }]);
    let mut lines = vec![put(&mut state, &ops(assignment))];
    lines.push(format!("{:?}", assigned(&state)));
    let done = |base, fence| StepReport {
        result: StepOutcome::Spread,
        ..step("p", "v1", base, fence)
    };
    lines.push(run(&mut state, done(2, 5)));
    lines.push(run(&mut state, done(4, 5)));
    lines.push(format!("{:?}", assigned(&state)));
    lines.push(run(&mut state, done(5, 5)));
    // A version that is loaded later is assigned to all engines.
    let later = json!([{ "op": "unload", "pool": "p", "version": "v2" },
                       { "op": "load", "pool": "p", "version": "v2" }]);
    lines.push(put(&mut state, &ops(later)));
    lines.push(format!("{:?}", assigned(&state)));
    expect![[r#"
        Accepted
        [(true, true), (true, true), (true, true)]
        p spread: VoidStep  [kerb=Some("v1") ]
        p spread: Accepted pool p is rebalanced [kerb=Some("v1") ]
        [(true, false), (false, true), (true, true)]
        p spread: VoidStep  [kerb=Some("v1") ]
        Accepted
        [(true, true), (false, true), (true, true)]"#]]
    .assert_eq(&lines.join("\n"));
}
