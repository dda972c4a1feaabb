//! Chats and bookings through real processes, from the callers to the engines and servers.

#[path = "../support/mod.rs"]
mod support;

use expect_test::expect;
use rustix::process::Signal;
use serde_json::{json, Value};
use support::{parse_report, Fleet};

/// Returns the figures of a report that have the same value in each correct run.
fn invariant_figures(report: &Value) -> Value {
    let count = |key: &str| report[key].as_u64().unwrap_or(u64::MAX);
    json!({
        "sent": report["sent"],
        "mixed": report["mixed"],
        "doubled": report["doubled"],
        "unaccounted": count("sent") - count("answered") - count("refused"),
        "answers_not_whole": count("answered") - count("whole"),
    })
}

#[test]
fn chats_and_bookings_are_answered_through_any_router() {
    let fleet = Fleet::start(2, 3);
    let report = fleet.load(&["--rate", "20", "--seconds", "3", "--bookings", "30"]);
    let answered = report["answered"].as_u64().unwrap_or(0);
    assert!(answered >= 50, "most requests are answered: {report}");
    expect![[r#"{"answers_not_whole":0,"doubled":0,"mixed":0,"sent":60,"unaccounted":0}"#]]
        .assert_eq(&invariant_figures(&report).to_string());
}

#[test]
fn answers_stay_whole_while_an_engine_dies_and_a_router_stops() {
    let mut fleet = Fleet::start(4, 3);
    let load = fleet.start_load(&["--rate", "40", "--seconds", "5"]);
    std::thread::sleep(std::time::Duration::from_secs(1));
    fleet.engines[1].process.signal(Signal::KILL);
    std::thread::sleep(std::time::Duration::from_secs(1));
    fleet.routers[2].process.signal(Signal::TERM);
    fleet.unlist_router("router-3");
    let report = parse_report(&load.wait_with_output().expect("a finished load"));
    support::wait_until("the stopped router has ended", || {
        fleet.routers[2].process.has_ended()
    });
    expect![[r#"{"answers_not_whole":0,"doubled":0,"mixed":0,"sent":200,"unaccounted":0}"#]]
        .assert_eq(&invariant_figures(&report).to_string());
}
