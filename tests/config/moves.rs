//! Teams move in steps: the fold holds the shift back until every pool is ready.

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

/// Returns two pools that serve a team with v1, before offset 1.
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
    let halt = LoadFailure {
        engine: EngineName::new("e1").unwrap(),
        reason: "no memory".into(),
    };
    StepReport {
        result: StepOutcome::Failed(VersionName::new(version).unwrap(), halt),
        ..step(pool, version, base, fence)
    }
}

/// Appends a step and returns what became of it and of the team.
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
        shown(state).trim()
    )
}

fn shown(state: &ConfigState) -> String {
    let version = |name: &str| state.teams[name].version.as_ref().map(VersionName::as_str);
    let moving = state.moves.iter();
    let moving: Vec<_> = moving
        .map(|(team, to)| format!("{team}->{}", to.to))
        .collect();
    format!("[kerb={:?} {}]", version("kerb"), moving.join(" "))
}

#[test]
fn a_team_shifts_when_each_pool_with_its_version_is_ready() {
    let mut state = state();
    let mut lines = vec![put(&mut state, &ops(move_to("v2"))) + " " + &shown(&state)];
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
fn a_step_that_has_not_seen_the_move_or_comes_from_an_earlier_holder_is_void() {
    let mut state = state();
    put(&mut state, &ops(move_to("v2")));
    let mut lines = vec![run(&mut state, step("p", "v2", 1, 5))];
    lines.push(run(&mut state, step("p", "v2", 99, 5)));
    lines.push(run(&mut state, step("p", "v2", 4, 8)));
    lines.push(run(&mut state, failed("p", "v2", 5, 7)));
    // The team moves elsewhere and comes back: what was ready before does not count.
    let elsewhere = json!([{ "op": "load", "pool": "p", "version": "v3" },
                           { "op": "move_team", "team": "kerb", "to": "v3" }]);
    put(&mut state, &ops(elsewhere));
    let back = json!([{ "op": "move_team", "team": "kerb", "to": "v2" }]);
    put(&mut state, &ops(back));
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
fn a_failed_step_stops_the_move_until_an_operator_goes_on() {
    let mut state = state();
    put(&mut state, &ops(move_to("v2")));
    let mut lines = vec![run(&mut state, failed("p", "v2", 2, 5))];
    lines.push(run(&mut state, failed("p", "v2", 3, 5)));
    let halted =
        |state: &ConfigState| format!("halts: {:?}", state.halts.values().collect::<Vec<_>>());
    lines.push(halted(&state));
    let retry = json!([{ "op": "retry", "pool": "p" }]);
    lines.push(put(&mut state, &ops(retry)));
    lines.push(halted(&state));
    // A stop reported before the retry was seen does not stop it again.
    lines.push(run(&mut state, failed("p", "v2", 4, 5)));
    lines.push(halted(&state));
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
fn a_change_that_has_not_seen_the_shift_does_not_take_the_team_back() {
    let mut state = state();
    put(&mut state, &ops(move_to("v2")));
    run(&mut state, step("p", "v2", 2, 5));
    run(&mut state, step("q", "v2", 3, 5));
    let old = op(json!({ "op": "put_team", "name": "kerb", "share": 3, "version": "v1" }));
    let late = append(&mut state, &change("late", 3, &[old]));
    expect![[r#"rejected: team/kerb was changed since, at offset 3 [kerb=Some("v2") ]"#]]
        .assert_eq(&format!("{} {}", describe(&late), shown(&state)));
}

#[test]
fn putting_a_team_moves_it_too_and_a_rejected_change_leaves_its_move_alone() {
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
            shown(&state),
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
fn versions_are_spread_once_the_engines_have_theirs_ready() {
    let mut state = state();
    put(
        &mut state,
        &ops(json!([{ "op": "load", "pool": "p", "version": "v2" }])),
    );
    let carries = |state: &ConfigState| {
        let pool = PoolName::new("p").unwrap();
        let carries = |engine: &str, version: &str| {
            let (engine, version) = (engine.parse().unwrap(), version.parse().unwrap());
            state.is_assigned(&pool, &engine, &version)
        };
        ["e1", "e2", "e3"].map(|engine| (carries(engine, "v1"), carries(engine, "v2")))
    };
    let spread = json!([{ "op": "spread", "pool": "p",
                          "engines": { "e1": ["v1"], "e2": ["v2"] } }]);
    let mut lines = vec![put(&mut state, &ops(spread))];
    lines.push(format!("{:?}", carries(&state)));
    let done = |base, fence| StepReport {
        result: StepOutcome::Spread,
        ..step("p", "v1", base, fence)
    };
    lines.push(run(&mut state, done(2, 5)));
    lines.push(run(&mut state, done(4, 5)));
    lines.push(format!("{:?}", carries(&state)));
    lines.push(run(&mut state, done(5, 5)));
    // A version that is loaded later is carried by all.
    let later = json!([{ "op": "unload", "pool": "p", "version": "v2" },
                       { "op": "load", "pool": "p", "version": "v2" }]);
    lines.push(put(&mut state, &ops(later)));
    lines.push(format!("{:?}", carries(&state)));
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
