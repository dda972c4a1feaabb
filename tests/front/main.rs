//! Malformed and incomplete requests to the interface for callers.

mod fuzz;
#[path = "../support/mod.rs"]
mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use expect_test::expect;
use support::Fleet;

/// Longest time for a router to answer or to close a connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

const SHORT_LIMITS: &str = "limits: {body_bytes: 2048, receive_ms: 500}\n";

/// Sends `bytes` on a new connection, and returns all bytes received until it is closed.
fn send(router: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(router).expect("a connection");
    stream
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("a timeout");
    // The router may have rejected the request and closed the connection already.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    if let Err(err) = stream.read_to_end(&mut answer) {
        assert_eq!(
            err.kind(),
            std::io::ErrorKind::ConnectionReset,
            "not dropped"
        );
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Formats the status, the verdict and the body of an answer.
fn summary(answer: &str) -> String {
    if answer.is_empty() {
        return "dropped".into();
    }
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let status = head.split(' ').nth(1).unwrap_or("?");
    let verdict = head
        .lines()
        .find_map(|line| line.strip_prefix("ebonyspur-verdict: "));
    format!("{status} {} {body}", verdict.unwrap_or("-"))
}

fn post(path: &str, headers: &str, body: &str) -> Vec<u8> {
    let len = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: router\r\nconnection: close\r\n\
         content-length: {len}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

fn chat(headers: &str, body: &str) -> Vec<u8> {
    post("/v1/chat/completions", headers, body)
}

const TEAM: &str = "ebonyspur-team: kerb\r\n";
const BODY: &str = "{\"model\": \"planner\", \"messages\": []}";

fn fleet() -> Fleet {
    let mut fleet = Fleet::start(1, 0);
    fleet.add_router(SHORT_LIMITS);
    fleet.await_ready();
    fleet
}

#[test]
fn bad_input_gets_a_specific_error_response() {
    let fleet = fleet();
    let router = fleet.routers[0].callers;
    let long = "x".repeat(4_000);
    let cases = [
        ("bad JSON", chat(TEAM, "{\"model\": ")),
        ("no model", chat(TEAM, "{}")),
        ("a name with spaces", chat(TEAM, "{\"model\": \"a b\"}")),
        ("no team", chat("", BODY)),
        ("unknown team", chat("ebonyspur-team: nobody\r\n", BODY)),
        ("unknown model", chat(TEAM, "{\"model\": \"nothing\"}")),
        ("body too large", chat(TEAM, &long)),
        (
            "hostile hint",
            chat(&format!("{TEAM}ebonyspur-hint: {long}\r\n"), BODY),
        ),
        (
            "hint of bytes",
            chat(&format!("{TEAM}ebonyspur-hint: \u{e9}@1\r\n"), BODY),
        ),
        (
            "attempt 0",
            chat(&format!("{TEAM}ebonyspur-attempt: 0\r\n"), BODY),
        ),
        (
            "forged ticket",
            post(
                "/v1/services/trade/bookings",
                &format!("{TEAM}idempotency-key: 18f.00.ffffffffffffffffffffffffffffffff\r\n"),
                "",
            ),
        ),
        ("no such path", post("/v2/nothing", TEAM, "")),
        (
            "no such path for a retry",
            post("/v2/nothing", "x-request-id: 7\r\n", ""),
        ),
        ("wrong method", post("/v1/route", TEAM, "")),
        (
            "escape from the path",
            post("/v1/services/../trade", TEAM, ""),
        ),
        (
            "route without parameters",
            b"GET /v1/route HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n".to_vec(),
        ),
        (
            "no HTTP",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec(),
        ),
        ("many headers", chat(&"x: y\r\n".repeat(100), BODY)),
        (
            "large headers",
            chat(&format!("x: {}\r\n", "y".repeat(64 * 1024)), BODY),
        ),
    ];
    let mut table = String::new();
    for (name, request) in &cases {
        table += &format!("{name}: {}\n", summary(&send(router, request)));
    }
    expect![[r#"
        bad JSON: 400 not-run {"reason":"bad_input","message":"EOF while parsing a value at line 1 column 10","verdict":"not-run"}
        no model: 400 not-run {"reason":"bad_input","message":"missing field `model` at line 1 column 2","verdict":"not-run"}
        a name with spaces: 400 not-run {"reason":"bad_input","message":"a name is 1 to 128 bytes of [A-Za-z0-9._:-]","verdict":"not-run"}
        no team: 400 not-run {"reason":"bad_input","message":"header ebonyspur-team is missing","verdict":"not-run"}
        unknown team: 404 not-run {"reason":"not_found","message":"no team nobody","verdict":"not-run"}
        unknown model: 404 not-run {"reason":"not_found","message":"no service nothing","verdict":"not-run"}
        body too large: 413 not-run {"reason":"too_large","message":"the body exceeds 2048 bytes","verdict":"not-run"}
        hostile hint: 400 not-run {"reason":"bad_input","message":"ebonyspur-hint: malformed hint","verdict":"not-run"}
        hint of bytes: 400 not-run {"reason":"bad_input","message":"header ebonyspur-hint is not visible ASCII text","verdict":"not-run"}
        attempt 0: 400 may-have-run {"reason":"bad_input","message":"ebonyspur-attempt: must be an integer of at least 1","verdict":"may-have-run"}
        forged ticket: 400 may-have-run {"reason":"bad_input","message":"an Idempotency-Key is a UUIDv7 or a ticket from /v1/route","verdict":"may-have-run"}
        no such path: 404 not-run {"reason":"not_found","message":"no such path","verdict":"not-run"}
        no such path for a retry: 404 may-have-run {"reason":"not_found","message":"no such path","verdict":"may-have-run"}
        wrong method: 405 not-run {"reason":"bad_input","message":"405 Method Not Allowed","verdict":"not-run"}
        escape from the path: 404 not-run {"reason":"not_found","message":"no service ..","verdict":"not-run"}
        route without parameters: 400 not-run {"reason":"bad_input","message":"parameter team is missing","verdict":"not-run"}
        no HTTP: 400 - 
        many headers: 431 - 
        large headers: 431 - 
    "#]].assert_eq(&table);
}

#[test]
fn an_incomplete_request_is_dropped_or_rejected_in_time() {
    let fleet = fleet();
    let router = fleet.routers[0].callers;
    let whole = chat(TEAM, BODY);
    let cases = [
        ("half the headers", &whole[..40]),
        ("half the body", &whole[..whole.len() - 5]),
        ("nothing", &[]),
    ];
    let mut table = String::new();
    for (name, part) in cases {
        table += &format!("{name}: {}\n", summary(&send(router, part)));
    }
    expect![[r#"
        half the headers: dropped
        half the body: 504 not-run {"reason":"timeout","message":"the body did not arrive in time","verdict":"not-run"}
        nothing: dropped
    "#]].assert_eq(&table);
}
