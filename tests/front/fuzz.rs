//! Fuzzes the interfaces for callers and operators of a running router.

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};
use serde_json::Value;

use super::{fleet, send, support::TOKEN};

const CASES: u32 = 300;

/// Statuses with which the HTTP library itself rejects a request, without a verdict.
const LIBRARY_REJECTION_STATUSES: [&str; 2] = ["400", "431"];

fn runner(seed: u64) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    })
}

/// Generates a header that the router reads, with a value that may be malformed.
fn header() -> impl Strategy<Value = String> {
    let name = prop_oneof![
        Just("ebonyspur-team"),
        Just("ebonyspur-chat"),
        Just("ebonyspur-hint"),
        Just("ebonyspur-attempt"),
        Just("ebonyspur-class"),
        Just("x-request-id"),
        Just("idempotency-key"),
        Just("authorization"),
        Just("content-type"),
    ];
    let value = "kerb|[0-9]{1,30}|draft|[a-z0-9@,.:_/ -]{0,60}|[ -~]{0,300}|\\PC{0,20}";
    (name, value).prop_map(|(name, value)| format!("{name}: {value}\r\n"))
}

/// Generates bodies that are valid, broken or deeply nested JSON, or other text.
fn body() -> impl Strategy<Value = String> {
    let field = "\"(model|stream|messages|intent|engine|token|plan)\": (true|\"planner\"|\"[a-z-]{0,9}\"|[0-9]{1,25}|\\[\\]|\\{)";
    prop_oneof![
        vec(field, 0..4).prop_map(|fields| format!("{{{}}}", fields.join(", "))),
        "\\PC{0,400}",
        Just("[".repeat(2_000)),
    ]
}

fn request(method: &str, path: &str, headers: &[String], body: &str) -> Vec<u8> {
    let length = body.len();
    let headers = headers.concat();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: router\r\nconnection: close\r\n\
         content-length: {length}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

/// Checks that an answer is a success, or an error response with a reason and a message.
fn check(answer: &str) -> Result<(), TestCaseError> {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let status = head.split(' ').nth(1).unwrap_or("none");
    if status.starts_with('2') || (body.is_empty() && LIBRARY_REJECTION_STATUSES.contains(&status))
    {
        return Ok(());
    }
    let error: Option<Value> = serde_json::from_str(body).ok();
    let error = error.unwrap_or_default();
    let has_fields = error["reason"].is_string() && error["message"].is_string();
    prop_assert!(
        status.starts_with('4') || status == "503" || status == "504",
        "{answer}"
    );
    prop_assert!(has_fields, "{answer}");
    Ok(())
}

#[test]
fn any_caller_request_gets_an_answer_or_an_error_response() {
    let fleet = fleet();
    let router = fleet.routers[0].callers;
    let path = prop_oneof![
        Just("/v1/chat/completions".to_string()),
        "/v1/services/(trade|planner|[ -~&&[^ ]]{0,20})/[a-z?=&%.]{0,20}",
        "/v1/route\\?(team=(kerb|[!-~]{0,9}))?(&service=(trade|planner|[!-~]{0,9}))?(&chat=[!-~]{0,9})?",
        "/[!-~]{0,30}",
    ];
    let method = prop_oneof![
        Just("POST"),
        Just("GET"),
        Just("DELETE"),
        "[A-Z]{1,9}".prop_map(|_| "PUT")
    ];
    let cases = (method, path, vec(header(), 0..6), body());
    let outcome = runner(31).run(&cases, |(method, path, headers, body)| {
        check(&send(router, &request(method, &path, &headers, &body)))
    });
    outcome.expect("each request is answered or refused");
    let whole = request(
        "POST",
        "/v1/chat/completions",
        &["ebonyspur-team: kerb\r\n".into()],
        super::BODY,
    );
    assert!(
        send(router, &whole).starts_with("HTTP/1.1 200"),
        "the router still serves"
    );
}

#[test]
fn any_operator_request_gets_an_answer_or_an_error_response() {
    let fleet = fleet();
    let router = fleet.routers[0].operators;
    let path = prop_oneof![
        Just("/v1/plans".to_string()),
        Just("/v1/plans/show".to_string()),
        Just("/v1/plans/confirm".to_string()),
        "/v1/objects/[!-~]{0,9}",
        "/v1/decisions\\?since=[0-9a-z-]{0,25}",
        "/v1/explain\\?[!-~]{0,30}",
        "/v1/routers/[!-~]{0,9}/state",
    ];
    let cases = (prop_oneof![Just("POST"), Just("GET")], path, body());
    let token = [format!("authorization: Bearer {TOKEN}\r\n")];
    let outcome = runner(37).run(&cases, |(method, path, body)| {
        check(&send(router, &request(method, &path, &token, &body)))
    });
    outcome.expect("each request is answered or refused");
    let state = send(router, &request("GET", "/state", &token, ""));
    assert!(state.contains("\"phase\": \"serving\"") || state.contains("\"phase\":\"serving\""));
}
