//! Routers that leave or die, as processes.

use rustix::process::Signal;
use serde_json::Value;

use crate::support::{dump, get, http, wait_until, Fleet, RouterProcess};

const BODY: &str = r#"{"model": "planner", "stream": true, "max_tokens": 60, "messages": []}"#;

/// Returns the routers that `router` names to a caller.
fn named(router: &RouterProcess) -> Vec<String> {
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
fn a_router_that_is_stopped_cuts_nothing_and_is_named_no_more() {
    let mut fleet = Fleet::platform_only(&[]);
    fleet.publish("first", &crate::support::base_ops());
    fleet.add_engine(&["--token-ms", "50"]);
    fleet.add_server();
    fleet.add_router("");
    fleet.add_router("");
    fleet.await_ready();
    let both = |router| named(router).len() == 2;
    wait_until("both are named", || fleet.routers.iter().all(both));

    let headers = [("ebonyspur-team", "kerb"), ("x-request-id", "long-1")];
    let path = "/v1/chat/completions";
    let stream = http::send(fleet.routers[0].callers, "POST", path, &headers, BODY);
    let stream = stream.expect("a connection");
    wait_until("the request is under way", || {
        let state = dump(&fleet.routers[0]).unwrap_or_default();
        state["admitted"]["kerb"] == 1
    });
    fleet.routers[0].process.signal(Signal::TERM);
    wait_until("the other router names only itself", || {
        named(&fleet.routers[1]) == ["router-2"]
    });
    let still_running = !fleet.routers[0].process.has_ended();
    let answer = http::read(stream);
    assert!(still_running, "the news spreads before the router ends");
    assert_eq!((answer.status, answer.whole), (200, true));
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    wait_until("the router ends", || fleet.routers[0].process.has_ended());
}

#[test]
fn a_killed_router_loses_its_duties_although_it_stays_on_the_list() {
    let mut fleet = Fleet::start(1, 3);
    fleet.routers[2].process.signal(Signal::KILL);
    wait_until("the others believe it dead", || {
        let state = |router| dump(router).unwrap_or_default();
        let dead = |router| state(router)["routers"]["router-3"] == "dead";
        fleet.routers[..2].iter().all(dead)
    });
    wait_until("no lookup names it", || {
        let named = |router| named(router).contains(&"router-3".to_string());
        !fleet.routers[..2].iter().any(named)
    });
    assert!(fleet.routers[2].process.has_ended());
}
