//! Loads and unloads through real processes: the rate of the weight store, a failed load, and
//! the death of the lease holder.

use expect_test::expect;
use rustix::process::Signal;
use serde_json::{json, Value};

use crate::support::{dump, get, wait_until, Fleet};

/// Returns the report of an engine.
pub fn report(fleet: &Fleet, engine: usize) -> Value {
    let url = format!("http://{}/orders", fleet.engines[engine].address);
    get(&url).unwrap_or_default()
}

/// Waits until each engine has exactly `versions`, all warm.
pub fn await_versions(fleet: &Fleet, versions: &[&str]) {
    let warm = |name: &&str| (name.to_string(), json!({ "state": "warm" }));
    let desired = Value::Object(versions.iter().map(warm).collect());
    for engine in 0..fleet.engines.len() {
        wait_until("the engine has the desired versions", || {
            report(fleet, engine)["versions"] == desired
        });
    }
}

/// Waits until a router reconciles the pool `planners` and returns its index.
pub fn await_holder(fleet: &Fleet) -> usize {
    let mut holder = None;
    wait_until("a router reconciles the pool", || {
        holder = fleet.routers.iter().position(|router| {
            dump(router).is_some_and(|state| state["orders"]["planners"].is_object())
        });
        holder.is_some()
    });
    holder.expect("the lease holder")
}

/// Names the versions that engines may be ordered to load.
pub fn publish_model(fleet: &Fleet) {
    let versions = ["m-1", "m-2", "m-broken"];
    let model = json!({ "op": "put_model", "name": "m", "versions": versions });
    fleet.publish("model", &json!([model]));
}

pub fn load(version: &str) -> Value {
    json!({ "op": "load", "pool": "planners", "version": version })
}

pub fn unload(version: &str) -> Value {
    json!({ "op": "unload", "pool": "planners", "version": version })
}

#[test]
fn a_new_version_replaces_the_old_one_within_the_weight_stores_rate() {
    let fleet = Fleet::start_with(&["--weight-loads", "2"], 5, 3);
    publish_model(&fleet);
    fleet.publish("one", &json!([load("m-1")]));
    await_versions(&fleet, &["m-1"]);
    fleet.publish("two", &json!([load("m-2")]));
    await_versions(&fleet, &["m-1", "m-2"]);
    fleet.publish("three", &json!([unload("m-1")]));
    await_versions(&fleet, &["m-2"]);
    let weights = get(&fleet.platform_url("/v1/weights")).expect("the weight store");
    expect![[r#"{"limit":2,"loading":0,"peak":2,"refused":0}"#]].assert_eq(&weights.to_string());
}

#[test]
fn a_load_that_keeps_failing_stops_its_move_and_is_reported() {
    let fleet = Fleet::start_with(&["--weight-loads", "1"], 3, 2);
    publish_model(&fleet);
    fleet.publish("one", &json!([load("m-1")]));
    await_versions(&fleet, &["m-1"]);
    fleet.publish("two", &json!([load("m-broken"), unload("m-1")]));
    let holder = await_holder(&fleet);
    let mut stops = Value::Null;
    wait_until("the stopped move is reported", || {
        let state = dump(&fleet.routers[holder]).unwrap_or_default();
        stops = state["orders"]["planners"]["stops"].clone();
        stops.as_array().is_some_and(|stops| !stops.is_empty())
    });
    let touched = (0..3).filter(|engine| {
        let versions = &report(&fleet, *engine)["versions"];
        versions["m-broken"].is_object() || versions["m-1"]["state"] != "warm"
    });
    let seen =
        json!({ "stops": stops.as_array().map(Vec::len), "engines_touched": touched.count() });
    expect![[r#"{"engines_touched":1,"stops":1}"#]].assert_eq(&seen.to_string());
}

#[test]
fn another_router_continues_when_the_lease_holder_dies() {
    let args = ["--weight-loads", "1", "--weight-load-ms", "2000"];
    let fleet = Fleet::start_with(&args, 4, 3);
    publish_model(&fleet);
    fleet.publish("one", &json!([load("m-1")]));
    let holder = await_holder(&fleet);
    wait_until("the first load has begun", || {
        (0..4).any(|engine| report(&fleet, engine)["versions"]["m-1"].is_object())
    });
    fleet.routers[holder].process.signal(Signal::KILL);
    fleet.unlist_router(&fleet.routers[holder].name);
    await_versions(&fleet, &["m-1"]);
    let weights = get(&fleet.platform_url("/v1/weights")).expect("the weight store");
    expect![[r#"{"limit":1,"loading":0,"peak":1,"refused":0}"#]].assert_eq(&weights.to_string());
}
