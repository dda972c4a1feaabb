//! Moves of a team through real processes: the team switches when its version is ready, even
//! if the lease holder dies, and the move stops when a load fails.

use expect_test::expect;
use rustix::process::Signal;
use serde_json::{json, Value};

use crate::{
    moves::{await_holder, await_versions, load, publish_model, report, unload},
    support::{dump, get, parse_report, wait_until, Fleet},
};

fn move_to(version: &str) -> Value {
    json!({ "op": "move_team", "team": "kerb", "to": version })
}

/// Returns the version that serves the team according to each router that answers.
fn versions(fleet: &Fleet) -> Vec<Value> {
    let dumps = fleet.routers.iter().filter_map(dump);
    let team = |state: Value| state["config"]["teams"]["kerb"]["version"].clone();
    dumps.map(team).collect()
}

fn await_switch(fleet: &Fleet, version: &str, routers: usize) {
    wait_until("the team is served by the version everywhere", || {
        let versions = versions(fleet);
        versions.len() == routers && versions.iter().all(|seen| seen == version)
    });
}

/// Starts a fleet whose team is served by m-1.
fn fleet(args: &[&str], engines: usize) -> Fleet {
    let fleet = Fleet::start_with(args, engines, 3);
    publish_model(&fleet);
    fleet.publish("one", &json!([load("m-1"), move_to("m-1")]));
    await_versions(&fleet, &["m-1"]);
    await_switch(&fleet, "m-1", 3);
    fleet
}

fn is_warm(fleet: &Fleet, engine: usize, version: &str) -> bool {
    report(fleet, engine)["versions"][version]["state"] == "warm"
}

fn status(fleet: &Fleet) -> Value {
    let operators = fleet.routers[0].operators;
    get(&format!("http://{operators}/v1/status")).unwrap_or_default()
}

/// Returns the notes of the decisions in the order of the stream.
fn notes(fleet: &Fleet, router: usize) -> Vec<String> {
    let operators = fleet.routers[router].operators;
    let answer = get(&format!("http://{operators}/v1/decisions")).expect("decisions");
    let decisions = answer["decisions"].as_array().cloned().unwrap_or_default();
    let notes = decisions
        .iter()
        .filter_map(|decision| decision["note"].as_str());
    notes.map(String::from).collect()
}

#[test]
fn no_request_reaches_an_engine_that_does_not_have_its_version_ready() {
    let fleet = fleet(&["--weight-loads", "1", "--weight-load-ms", "700"], 4);
    let callers = fleet.start_load(&["--rate", "20", "--seconds", "25"]);
    let change = json!([load("m-2"), move_to("m-2"), unload("m-1")]);
    fleet.publish("two", &change);
    wait_until("the first engine is ready", || is_warm(&fleet, 0, "m-2"));
    let before = versions(&fleet);
    await_switch(&fleet, "m-2", 3);
    let ready = (0..4).filter(|engine| is_warm(&fleet, *engine, "m-2"));
    let ready = ready.count();
    await_versions(&fleet, &["m-2"]);
    let load = parse_report(&callers.wait_with_output().expect("the load has finished"));
    let reports: Vec<_> = (0..4).map(|engine| report(&fleet, engine)).collect();
    let sum = |key: &str, name: &str| -> u64 {
        let counts = reports.iter().map(|report| match name {
            "" => report[key].as_u64().unwrap_or(0),
            name => report[key][name].as_u64().unwrap_or(0),
        });
        counts.sum()
    };
    assert!(
        sum("served", "m-1") > 0 && sum("served", "m-2") > 0,
        "{reports:?}"
    );
    let count = |key: &str| load[key].as_u64().unwrap_or(u64::MAX);
    let seen = json!({
        "before": before, "ready_at_switch": ready, "unready": sum("unready", ""),
        "not_whole": count("answered") - count("whole"), "mixed": count("mixed"),
        "unaccounted": count("sent") - count("answered") - count("refused"),
    });
    expect![[r#"{"before":["m-1","m-1","m-1"],"mixed":0,"not_whole":0,"ready_at_switch":4,"unaccounted":0,"unready":0}"#]]
        .assert_eq(&seen.to_string());
}

#[test]
fn a_team_switches_although_the_lease_holder_dies_during_the_move() {
    let fleet = fleet(&["--weight-loads", "1", "--weight-load-ms", "1500"], 3);
    let holder = await_holder(&fleet);
    fleet.publish("two", &json!([load("m-2"), move_to("m-2")]));
    wait_until("the move has begun", || {
        (0..3).any(|engine| is_warm(&fleet, engine, "m-2"))
    });
    fleet.routers[holder].process.signal(Signal::KILL);
    fleet.unlist_router(&fleet.routers[holder].name);
    await_versions(&fleet, &["m-1", "m-2"]);
    await_switch(&fleet, "m-2", 2);
    let loads: Vec<_> = (0..3)
        .map(|engine| report(&fleet, engine)["loads"]["m-2"].clone())
        .collect();
    expect!["[1,1,1]"].assert_eq(&json!(loads).to_string());
}

#[test]
fn a_move_whose_load_fails_stops_with_a_reason_and_continues_when_an_operator_retries() {
    let fleet = fleet(&["--weight-loads", "1"], 2);
    fleet.publish("two", &json!([load("m-broken"), move_to("m-broken")]));
    wait_until("the move has stopped", || {
        status(&fleet)["stopped"]
            .as_array()
            .is_some_and(|stopped| !stopped.is_empty())
    });
    let stopped = status(&fleet);
    let loads: u64 = (0..2)
        .map(|engine| {
            report(&fleet, engine)["loads"]["m-broken"]
                .as_u64()
                .unwrap_or(0)
        })
        .sum();
    // A new lease holder does not retry the load: the configuration holds the stopped move.
    let mut fleet = fleet;
    let holder = await_holder(&fleet);
    fleet.restart_router(holder);
    fleet.await_ready();
    await_holder(&fleet);
    let loads_after_restart: u64 = (0..2)
        .map(|engine| {
            report(&fleet, engine)["loads"]["m-broken"]
                .as_u64()
                .unwrap_or(0)
        })
        .sum();
    let before = versions(&fleet);
    fleet.faults(&json!({ "weights_mended": true }));
    fleet.publish("three", &json!([{ "op": "retry", "pool": "planners" }]));
    await_switch(&fleet, "m-broken", 3);
    let engine = stopped["stopped"][0]["engine"].as_str().unwrap_or("?");
    let mut notes = notes(&fleet, 0);
    notes
        .iter_mut()
        .for_each(|note| *note = note.replace(engine, "ENGINE"));
    let seen = json!({
        "loads": [loads, loads_after_restart], "before": before, "notes": notes,
        "moves": stopped["moves"], "reason": stopped["stopped"][0]["reason"],
    });
    expect![[r#"
        {
          "before": [
            "m-1",
            "m-1",
            "m-1"
          ],
          "loads": [
            3,
            3
          ],
          "moves": [
            {
              "from": "m-1",
              "ready": [],
              "since": 4,
              "team": "kerb",
              "to": "m-broken",
              "waiting": [
                "planners"
              ]
            }
          ],
          "notes": [
            "shifted to m-1",
            "stopped: ENGINE could not load m-broken: weight store: 404 Not Found",
            "shifted to m-broken"
          ],
          "reason": "weight store: 404 Not Found"
        }"#]]
    .assert_eq(&serde_json::to_string_pretty(&seen).unwrap());
}

#[test]
fn a_rebalance_continues_although_the_lease_holder_dies() {
    let fleet = fleet(&["--weight-loads", "1", "--weight-load-ms", "3000"], 2);
    let holder = await_holder(&fleet);
    let engines = json!({ "engine-1": ["m-1"], "engine-2": ["m-2"] });
    let spread = json!({ "op": "spread", "pool": "planners", "engines": engines });
    fleet.publish("two", &json!([load("m-2"), spread]));
    wait_until("the rebalance has begun", || {
        report(&fleet, 1)["versions"]["m-2"].is_object()
    });
    fleet.routers[holder].process.signal(Signal::KILL);
    fleet.unlist_router(&fleet.routers[holder].name);
    let versions = |engine: usize| report(&fleet, engine)["versions"].clone();
    wait_until("the new assignment is in effect", || {
        versions(0) == json!({ "m-1": { "state": "warm" } })
            && versions(1) == json!({ "m-2": { "state": "warm" } })
    });
    let notes = notes(&fleet, (holder + 1) % 3);
    let loads = [&report(&fleet, 0)["loads"], &report(&fleet, 1)["loads"]].map(Value::to_string);
    expect![[r#"["shifted to m-1", "pool planners is rebalanced"] ["{\"m-1\":1}", "{\"m-1\":1,\"m-2\":1}"]"#]].assert_eq(&format!("{notes:?} {loads:?}"));
}
