//! Replication of the configuration to router processes, also without the log.

use std::time::Duration;

use serde_json::{json, Value};

use super::support::{dump, free_address, get, wait_until, Fleet, RouterProcess, STREAM_BOUNDS};

fn put_team(fleet: &Fleet, name: &str) {
    fleet.publish(name, &json!([{ "op": "put_team", "name": name }]));
}

fn teams(router: &RouterProcess) -> Vec<String> {
    let Some(state) = dump(router) else {
        return Vec::new();
    };
    let teams = state["config"]["teams"].as_object().cloned();
    teams.unwrap_or_default().keys().cloned().collect()
}

#[test]
fn a_router_that_starts_during_a_log_outage_adopts_the_state_of_its_peers() {
    let mut fleet = Fleet::start(1, 3);
    put_team(&fleet, "last-before-outage");
    wait_until("the change is in force", || {
        fleet.routers.iter().all(|router| teams(router).len() == 2)
    });
    fleet.faults(&json!({ "log_outage": true }));
    fleet.restart_router(0);
    fleet.await_ready();
    assert_eq!(teams(&fleet.routers[0]), ["kerb", "last-before-outage"]);
}

#[test]
fn routers_that_all_start_during_a_log_outage_do_not_serve_an_empty_configuration() {
    let mut fleet = Fleet::start(1, 2);
    fleet.faults(&json!({ "log_outage": true }));
    fleet.restart_router(0);
    fleet.await_ready();
    // Both routers stop before either restarts, so no router holds the configuration.
    fleet.kill_router(0);
    fleet.kill_router(1);
    fleet.restart_router(0);
    fleet.restart_router(1);
    wait_until("the routers have discovered each other", || {
        let knows_a_peer = |router| {
            dump(router).is_some_and(|s| s["routers"].as_object().is_some_and(|r| !r.is_empty()))
        };
        fleet.routers.iter().all(knows_a_peer)
    });
    std::thread::sleep(Duration::from_secs(3));
    let phases = fleet
        .routers
        .iter()
        .map(|r| dump(r).expect("a dump")["phase"].clone());
    assert_eq!(
        phases.collect::<Vec<Value>>(),
        [json!("starting"), json!("starting")]
    );
    fleet.faults(&json!({}));
    fleet.await_ready();
    assert_eq!(teams(&fleet.routers[1]), ["kerb"]);
}

#[test]
fn the_configuration_survives_log_retention_and_a_restart_of_all_routers() {
    let mut fleet = Fleet::start_with(&["--keep-records", "40"], 1, 3);
    for number in 0..60 {
        put_team(&fleet, &format!("t{number}"));
        if number % 20 == 19 {
            std::thread::sleep(Duration::from_secs(3));
        }
    }
    wait_until("the log has dropped records and keeps a checkpoint", || {
        let page = get(&fleet.platform_url(STREAM_BOUNDS));
        let first = page.map_or(0, |page| page["first"].as_u64().unwrap_or(0));
        let checkpoint = dump(&fleet.routers[0]).map_or(0, |s| {
            s["config"]["checkpoint"]["offset"].as_u64().unwrap_or(0)
        });
        first > 10 && checkpoint >= first
    });
    for index in 0..3 {
        fleet.restart_router(index);
        fleet.await_ready();
    }
    for index in 0..3 {
        fleet.kill_router(index);
    }
    for index in 0..3 {
        fleet.restart_router(index);
    }
    fleet.await_ready();
    let counts: Vec<_> = fleet
        .routers
        .iter()
        .map(|router| teams(router).len())
        .collect();
    assert_eq!(counts, [61, 61, 61]);
}

#[test]
fn a_change_reaches_a_router_that_cannot_read_the_log() {
    let mut fleet = Fleet::start(1, 3);
    fleet.restart_router_with_log(2, free_address());
    fleet.await_ready();
    put_team(&fleet, "published-without-it");
    wait_until("the change is in force at the cut-off router", || {
        teams(&fleet.routers[2]).len() == 2
    });
}
