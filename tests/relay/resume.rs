//! Streams that engine processes cut, stall or corrupt.

use expect_test::expect;
use serde_json::json;

use crate::support::{
    http::{exchange, Answer},
    Fleet,
};

/// Limits with a short progress timeout, after which a stalled stream is resumed.
const LIMITS: &str = "limits: {progress_ms: 500}\n";

fn fleet() -> Fleet {
    let mut fleet = Fleet::platform_only(&[]);
    fleet.publish("first", &crate::support::base_ops());
    fleet.add_engine(&[]);
    fleet.add_engine(&[]);
    fleet.add_router(LIMITS);
    fleet.await_ready();
    fleet
}

fn chat(fleet: &Fleet, id: &str, prompt: &str) -> Answer {
    let body = json!({
        "model": "planner", "stream": true, "max_tokens": 6,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let headers = [
        ("ebonyspur-team", "kerb"),
        ("ebonyspur-chat", "chat-1"),
        ("ebonyspur-attempt", "1"),
        ("x-request-id", id),
    ];
    let path = "/v1/chat/completions";
    exchange(
        fleet.routers[0].callers,
        "POST",
        path,
        &headers,
        &body.to_string(),
    )
}

/// Formats the status, the tokens received, and whether the answer and the body are complete.
fn summary(answer: &Answer) -> String {
    let data = answer
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let tokens = data.filter_map(|data| {
        let chunk: serde_json::Value = serde_json::from_str(data).ok()?;
        chunk["choices"][0]["delta"]["content"]
            .as_str()
            .map(|token| token.trim().to_string())
    });
    let tokens: Vec<_> = tokens.collect();
    let end = answer.body.contains("[DONE]");
    format!(
        "{} {} end={end} whole={}",
        answer.status,
        tokens.join(" "),
        answer.whole
    )
}

#[test]
fn a_cut_or_stalled_answer_is_resumed_and_a_corrupt_one_ends_incomplete() {
    let fleet = fleet();
    let mut table = String::new();
    for prompt in ["plain", "CUT", "STALL", "CUT FORGET", "FOREIGN", "GAP"] {
        let id = prompt.to_lowercase().replace(' ', "-");
        let answer = chat(&fleet, &id, prompt);
        table += &format!("{prompt}: {}\n", summary(&answer));
    }
    expect![[r#"
        plain: 200 plain/0 plain/1 plain/2 plain/3 plain/4 plain/5 end=true whole=true
        CUT: 200 cut/0 cut/1 cut/2 cut/3 cut/4 cut/5 end=true whole=true
        STALL: 200 stall/0 stall/1 stall/2 stall/3 stall/4 stall/5 end=true whole=true
        CUT FORGET: 200 cut-forget/0 cut-forget/1 cut-forget/2 end=false whole=false
        FOREIGN: 200 foreign/0 foreign/1 foreign/2 end=false whole=false
        GAP: 200 gap/0 gap/1 gap/2 end=false whole=false
    "#]]
    .assert_eq(&table);
}

// Comments are no tokens: they neither break an answer off nor keep one from being resumed.
#[test]
fn comments_of_an_engine_are_neither_errors_nor_progress() {
    let fleet = fleet();
    let views = ["COMMENT", "HEARTBEAT"].map(|prompt| {
        let answer = chat(&fleet, &prompt.to_lowercase(), prompt);
        summary(&answer)
    });
    expect![[r#"
        200 comment/0 comment/1 comment/2 comment/3 comment/4 comment/5 end=true whole=true
        200 heartbeat/0 heartbeat/1 heartbeat/2 heartbeat/3 heartbeat/4 heartbeat/5 end=true whole=true"#]]
    .assert_eq(&views.join("\n"));
}

#[test]
fn an_error_status_of_an_engine_has_the_verdict_may_have_run() {
    let fleet = fleet();
    let answer = chat(&fleet, "refused", "REFUSE");
    expect!["503 unavailable may-have-run"].assert_eq(&format!(
        "{} {} {}",
        answer.status,
        answer.reason(),
        answer.verdict()
    ));
}

#[test]
fn a_connection_cut_by_a_live_engine_does_not_count_as_a_crash() {
    let fleet = fleet();
    let statuses = (1..=4).map(|number| {
        let answer = chat(&fleet, &format!("cut-{number}"), "CUT FORGET");
        answer.status.to_string()
    });
    let statuses: Vec<_> = statuses.collect();
    expect!["200 200 200 200"].assert_eq(&statuses.join(" "));
}
