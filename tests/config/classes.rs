//! Request classes that the configuration allows a team.

use expect_test::expect;
use serde_json::json;

use super::support::{dump, http, wait_until, Fleet};

#[test]
fn a_request_of_a_class_that_the_team_may_not_use_is_refused() {
    let fleet = Fleet::start(1, 1);
    fleet.publish(
        "classes",
        &json!([{ "op": "put_team", "name": "night", "classes": ["draft"] }]),
    );
    let router = &fleet.routers[0];
    wait_until("the router has applied the team", || {
        dump(router).is_some_and(|state| state["config"]["teams"]["night"].is_object())
    });
    let send_request = |team: &str, class: &str| {
        let headers = [("ebonyspur-team", team), ("ebonyspur-class", class)];
        let body = r#"{"model": "planner"}"#;
        let path = "/v1/chat/completions";
        let stream = http::send(router.callers, "POST", path, &headers, body);
        let answer = http::read(stream.expect("a connection"));
        format!("{team} {class}: {} {}", answer.reason(), answer.verdict())
    };
    let lines = [
        send_request("night", "draft"),
        send_request("night", "interactive"),
        send_request("kerb", "interactive"),
    ];
    expect![[r#"
        night draft: none none
        night interactive: unauthorized not-run
        kerb interactive: none none"#]]
    .assert_eq(&lines.join("\n"));
}
