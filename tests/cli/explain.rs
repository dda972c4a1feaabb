//! `explain` predicts the engine that the routers then choose for a request.

use expect_test::expect;
use serde_json::{json, Value};

use super::{
    command::{run, CommandOutput},
    support::{dump, http::exchange, wait_until, Fleet},
};

const CHAT: &str = "chat-7";

fn explain(fleet: &Fleet, team: &str) -> CommandOutput {
    let args = [
        "explain",
        "--team",
        team,
        "--chat",
        CHAT,
        "--service",
        "planner",
    ];
    run(fleet, &args)
}

/// Sends requests of other chats until the steward of each engine enforces the load bound.
fn await_stewards(fleet: &Fleet) {
    let mut number = 0;
    wait_until("all stewards have settled", || {
        number += 1;
        served_by(fleet, &format!("other-{number}"));
        let stages = fleet.routers.iter().filter_map(dump).flat_map(|state| {
            let stages = state["stewardships"].as_object().cloned();
            stages.unwrap_or_default().into_values()
        });
        stages.filter(|stage| stage == "settled").count() == fleet.engines.len()
    });
}

/// Sends a request of `chat` and returns the engine that served it.
fn served_by(fleet: &Fleet, chat: &str) -> String {
    let path = "/v1/chat/completions";
    let headers = [
        ("ebonyspur-team", "kerb"),
        ("ebonyspur-chat", chat),
        ("x-request-id", "req-1"),
    ];
    let message = json!({ "role": "user", "content": "hello" });
    let body = json!({
        "model": "planner", "stream": true, "max_tokens": 2, "messages": [message],
    });
    let router = fleet.routers[0].callers;
    let answer = exchange(router, "POST", path, &headers, &body.to_string());
    let hint = answer.headers.get("ebonyspur-hint").cloned();
    let hint = hint.unwrap_or_else(|| panic!("no hint: {answer:?}"));
    hint.split('@').next().unwrap_or_default().to_string()
}

#[test]
fn explain_names_the_engine_that_serves_and_why_others_are_excluded() {
    let fleet = Fleet::start(3, 2);
    await_stewards(&fleet);
    let before = explain(&fleet, "kerb").json();
    let first = before["engines"][0]["engine"]
        .as_str()
        .unwrap_or("?")
        .to_string();
    let served_first = served_by(&fleet, CHAT);
    let served_first = served_first == first;
    let made = run(&fleet, &["plan", "drain", &first, "--out", "d.plan"]);
    let drained = run(&fleet, &["confirm", "d.plan", "--wait"]);
    let after = explain(&fleet, "kerb").json();
    let next = after["engines"][0]["engine"].clone();
    let served_next = served_by(&fleet, CHAT) == next;
    let unknown = explain(&fleet, "nobody");
    let by_default = run(&fleet, &["explain", "--team", "kerb", "--chat", CHAT]);
    let count = |value: &Value| value.as_array().map_or(0, Vec::len);
    let seen = json!({
        "statuses": [made.status, drained.status, unknown.status],
        "unknown": unknown.err.trim().split(": ").last(),
        "serves_as_explained": [served_first, served_next],
        "order_kept": before["engines"][1]["engine"] == next,
        "engines": [count(&before["engines"]), count(&after["engines"])],
        "shut": [before["shut"], after["shut"] == json!([{ "engine": first, "why": "drained" }])],
        "team": after["team"], "chat": after["chat"], "routers": count(&after["routers"]),
        "refusal": after["refusal"], "only_service": by_default.json()["service"],
    });
    expect![[r#"
        {
          "chat": "chat-7",
          "engines": [
            3,
            2
          ],
          "only_service": "planner",
          "order_kept": true,
          "refusal": null,
          "routers": 2,
          "serves_as_explained": [
            true,
            true
          ],
          "shut": [
            [],
            true
          ],
          "statuses": [
            0,
            0,
            3
          ],
          "team": "kerb",
          "unknown": "no team nobody"
        }"#]]
    .assert_eq(&serde_json::to_string_pretty(&seen).unwrap());
}
