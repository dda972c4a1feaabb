//! Router processes that leave or are killed.

use rustix::process::Signal;
use serde_json::Value;

use crate::support::{dump, get, http, wait_until, Fleet, RouterProcess};

const BODY: &str = r#"{"model": "planner", "stream": true, "max_tokens": 60, "messages": []}"#;

/// Returns the names of the routers in an answer of `router` to a route lookup.
fn routers_in_lookup(router: &RouterProcess) -> Vec<String> {
    let url = format!(
        "http://{}/v1/route?team=kerb&service=planner",
        router.callers
    );
    let answer = get(&url).unwrap_or_default();
    let addresses = answer["addresses"].as_array().cloned().unwrap_or_default();
    let name = |address: &Value| address["router"].as_str().unwrap_or("").to_string();
    addresses.iter().map(name).collect()
}

#[test]
fn a_stopping_router_finishes_its_streams_and_leaves_route_lookups() {
    let mut fleet = Fleet::platform_only(&[]);
    fleet.publish("first", &crate::support::base_ops());
    fleet.add_engine(&["--token-ms", "50"]);
    fleet.add_server();
    fleet.add_router("");
    fleet.add_router("");
    fleet.await_ready();
    let lists_both = |router| routers_in_lookup(router).len() == 2;
    wait_until("both routers are in route lookups", || {
        fleet.routers.iter().all(lists_both)
    });

    let headers = [("ebonyspur-team", "kerb"), ("x-request-id", "long-1")];
    let path = "/v1/chat/completions";
    let stream = http::send(fleet.routers[0].callers, "POST", path, &headers, BODY);
    let stream = stream.expect("a connection");
    wait_until("the request is in flight", || {
        let state = dump(&fleet.routers[0]).unwrap_or_default();
        state["admitted"]["kerb"] == 1
    });
    fleet.routers[0].process.signal(Signal::TERM);
    wait_until("only the other router is in route lookups", || {
        routers_in_lookup(&fleet.routers[1]) == ["router-2"]
    });
    let still_running = !fleet.routers[0].process.has_ended();
    let answer = http::read(stream);
    assert!(
        still_running,
        "the stopping router left route lookups only after it had ended"
    );
    assert_eq!((answer.status, answer.whole), (200, true));
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    wait_until("the router ends", || fleet.routers[0].process.has_ended());
}

#[test]
fn a_killed_router_leaves_route_lookups_although_it_stays_listed() {
    let mut fleet = Fleet::start(1, 3);
    fleet.routers[2].process.signal(Signal::KILL);
    wait_until("the other routers declare it dead", || {
        let state = |router| dump(router).unwrap_or_default();
        let dead = |router| state(router)["routers"]["router-3"] == "dead";
        fleet.routers[..2].iter().all(dead)
    });
    wait_until("no route lookup returns the killed router", || {
        let lists_killed = |router| routers_in_lookup(router).contains(&"router-3".to_string());
        !fleet.routers[..2].iter().any(lists_killed)
    });
    assert!(fleet.routers[2].process.has_ended());
}
