//! Draining an engine under load.

use expect_test::expect;
use serde_json::{json, Value};

use super::{
    command::run,
    support::{get, parse_report, wait_until, Fleet},
};

fn load(fleet: &Fleet, engine: usize) -> Value {
    get(&format!("http://{}/load", fleet.engines[engine].address)).expect("a load")
}

#[test]
fn a_drained_engine_finishes_its_requests_and_gets_none_until_it_is_undrained() {
    let fleet = Fleet::start(3, 3);
    let callers = fleet.start_load(&["--rate", "40", "--seconds", "6"]);
    wait_until("engine-1 has requests in flight", || {
        load(&fleet, 0)["in_flight"].as_u64() > Some(0)
    });
    let made = run(&fleet, &["plan", "drain", "engine-1", "--out", "d.plan"]);
    let drained = run(&fleet, &["confirm", "d.plan", "--wait"]);
    wait_until("engine-1 has no requests in flight", || {
        load(&fleet, 0)["in_flight"] == 0
    });
    let served = |engine| {
        let load = load(&fleet, engine);
        load["warm"].as_u64().unwrap_or(0) + load["cold"].as_u64().unwrap_or(0)
    };
    let before = (served(0), served(1) + served(2));
    let report = parse_report(&callers.wait_with_output().expect("a finished load"));
    let after = (served(0), served(1) + served(2));
    assert!(
        after.1 > before.1,
        "the other engines serve on: {before:?} {after:?}"
    );
    let count = |key: &str| report[key].as_u64().unwrap_or(u64::MAX);
    let seen = json!({
        "statuses": [made.status, drained.status],
        "served_after_drain": after.0 - before.0,
        "refused": count("refused"),
        "not_whole": count("answered") - count("whole"),
        "mixed": count("mixed"),
        "unaccounted": count("sent") - count("answered") - count("refused"),
    });
    expect![[r#"{"mixed":0,"not_whole":0,"refused":0,"served_after_drain":0,"statuses":[0,0],"unaccounted":0}"#]].assert_eq(&seen.to_string());
    run(&fleet, &["plan", "undrain", "engine-1", "--out", "u.plan"]);
    let undrained = run(&fleet, &["confirm", "u.plan", "--wait"]);
    fleet.load(&["--rate", "40", "--seconds", "2"]);
    assert!(
        undrained.status == 0 && served(0) > after.0,
        "{undrained:?}"
    );
}
