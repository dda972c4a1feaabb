//! Rebalancing a pool under load.

use std::collections::BTreeMap;

use expect_test::expect;
use serde_json::{json, Value};

use super::{
    command::run,
    support::{get, parse_report, wait_until, Fleet},
};

/// Returns the order report of each engine.
fn reports(fleet: &Fleet) -> Vec<Value> {
    let report = |address| get(&format!("http://{address}/orders")).unwrap_or_default();
    let engines = fleet.engines.iter();
    engines.map(|engine| report(engine.address)).collect()
}

/// Returns the number of engines that have each version ready, and the largest number of
/// versions on one engine.
fn spread(fleet: &Fleet) -> (BTreeMap<String, usize>, usize) {
    let mut counts = BTreeMap::new();
    let mut max_on_one_engine = 0;
    for report in reports(fleet) {
        let versions = report["versions"].as_object().cloned().unwrap_or_default();
        max_on_one_engine = max_on_one_engine.max(versions.len());
        for (version, state) in versions {
            *counts.entry(version).or_default() += usize::from(state["state"] == "warm");
        }
    }
    (counts, max_on_one_engine)
}

fn await_spread(fleet: &Fleet, expected: &[(&str, usize)], max_on_one_engine: usize) {
    let expected = expected
        .iter()
        .map(|(name, count)| (name.to_string(), *count));
    let expected: BTreeMap<_, _> = expected.collect();
    wait_until("the versions are on the expected number of engines", || {
        spread(fleet) == (expected.clone(), max_on_one_engine)
    });
}

#[test]
fn rebalancing_under_load_sends_no_request_to_an_engine_without_its_version() {
    let fleet = Fleet::start(4, 2);
    let load = |version: &str| json!({ "op": "load", "pool": "planners", "version": version });
    let ops = json!([
        { "op": "put_model", "name": "m", "versions": ["m-1", "m-2"] },
        load("m-1"), load("m-2"),
        { "op": "move_team", "team": "kerb", "to": "m-1" },
    ]);
    fleet.publish("versions", &ops);
    await_spread(&fleet, &[("m-1", 4), ("m-2", 4)], 2);
    wait_until("the move of the team is complete", || {
        run(&fleet, &["status", "--output", "json"]).json()["moves"] == json!([])
    });
    let callers = fleet.start_load(&["--rate", "10", "--seconds", "25"]);
    let make_plan = [
        "plan",
        "rebalance",
        "planners",
        "--copies",
        "2",
        "--out",
        "r.plan",
    ];
    let made = run(&fleet, &make_plan);
    let confirmed = run(&fleet, &["confirm", "r.plan", "--wait"]);
    await_spread(&fleet, &[("m-1", 2), ("m-2", 2)], 1);
    let load = parse_report(&callers.wait_with_output().expect("a finished load"));
    let again = run(&fleet, &make_plan);
    let events = run(&fleet, &["events"]);
    let reports = reports(&fleet);
    let served = reports
        .iter()
        .filter(|report| report["served"]["m-1"].is_u64());
    let unready: u64 = reports
        .iter()
        .filter_map(|report| report["unready"].as_u64())
        .sum();
    let count = |key: &str| load[key].as_u64().unwrap_or(u64::MAX);
    let seen = json!({
        "statuses": [made.status, confirmed.status, again.status],
        "event": events.out.contains("(pool planners is rebalanced)"),
        "unready": unready, "served_by_some": served.count() > 0,
        "not_whole": count("answered") - count("whole"), "mixed": count("mixed"),
        "unaccounted": count("sent") - count("answered") - count("refused"),
    });
    expect![[r#"{"event":true,"mixed":0,"not_whole":0,"served_by_some":true,"statuses":[0,0,3],"unaccounted":0,"unready":0}"#]].assert_eq(&seen.to_string());
}
