//! Copies of one request, sent to several routers at the same moment.

use std::thread;

use expect_test::expect;
use rustix::process::Signal;
use serde_json::json;

use crate::support::{
    self, dump,
    http::{exchange, Answer},
    wait_until, Fleet,
};

/// Copies sent at once.
const COPIES: usize = 12;

/// Names the chat that a copy says it belongs to.
type ChatOf = fn(usize) -> Option<String>;

/// Sends one copy; `chat` is the chat that it says it belongs to.
fn copy(fleet: &Fleet, number: usize, chat: Option<&str>, prompt: &str) -> Answer {
    let id = format!("copy-{number}-{}", prompt.len());
    let body = json!({
        "model": "planner", "stream": true, "max_tokens": 40,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let mut headers = vec![
        ("ebonyspur-team", "kerb"),
        ("ebonyspur-attempt", "1"),
        ("x-request-id", id.as_str()),
    ];
    headers.extend(chat.map(|chat| ("ebonyspur-chat", chat)));
    let router = &fleet.routers[number % fleet.routers.len()];
    let path = "/v1/chat/completions";
    exchange(router.callers, "POST", path, &headers, &body.to_string())
}

/// Sends a request for the second time, which asks the arbiter of its content.
fn again(fleet: &Fleet, number: usize) -> u16 {
    let id = format!("again-{number}");
    let body = json!({
        "model": "planner", "messages": [{ "role": "user", "content": id }],
    });
    let headers = [
        ("ebonyspur-team", "kerb"),
        ("ebonyspur-attempt", "2"),
        ("x-request-id", id.as_str()),
    ];
    let path = "/v1/chat/completions";
    let router = &fleet.routers[0];
    exchange(router.callers, "POST", path, &headers, &body.to_string()).status
}

/// Sends all copies at the same moment; returns the statuses.
fn copies(fleet: &Fleet, chat_of: ChatOf, prompt: &str) -> Vec<u16> {
    thread::scope(|scope| {
        let send =
            |number| scope.spawn(move || copy(fleet, number, chat_of(number).as_deref(), prompt));
        let sent: Vec<_> = (0..COPIES).map(send).collect();
        let answers = sent.into_iter().map(|one| one.join().expect("an answer"));
        let status = |answer: Answer| {
            let whole = answer.whole && answer.body.ends_with("data: [DONE]\n\n");
            if answer.status == 200 && !whole {
                0
            } else {
                answer.status
            }
        };
        answers.map(status).collect()
    })
}

/// Waits until each engine has a steward that knows all work on it.
fn await_settled(fleet: &Fleet) {
    wait_until("all stewards have settled", || {
        let dumps = fleet.routers.iter().filter_map(dump);
        let settled = dumps.map(|state| state["stewardships"].to_string());
        let settled = settled.map(|stages| stages.matches("settled").count());
        settled.sum::<usize>() == fleet.engines.len()
    });
}

fn lost(fleet: &mut Fleet) -> usize {
    let engines = fleet.engines.iter_mut();
    engines
        .filter_map(|e| e.process.has_ended().then_some(()))
        .count()
}

/// Sends copies twice, and says what they cost.
fn cost(chat_of: ChatOf, prompt: &str) -> usize {
    let mut fleet = Fleet::start(6, 3);
    if prompt.contains("LATER") {
        await_settled(&fleet);
    }
    let first = copies(&fleet, chat_of, prompt);
    let again = copies(&fleet, chat_of, prompt);
    let lost = lost(&mut fleet);
    println!("lost {lost}: {first:?} then {again:?}");
    lost
}

#[test]
fn copies_without_a_chat_cost_two_engines() {
    expect!["2 engines lost"].assert_eq(&format!("{} engines lost", cost(|_| None, "CRASH")));
}

#[test]
fn copies_of_one_chat_cost_two_engines() {
    let cost = cost(|_| Some("chat-1".into()), "CRASH");
    expect!["2 engines lost"].assert_eq(&format!("{cost} engines lost"));
}

#[test]
fn copies_that_crash_later_cost_two_engines() {
    let cost = cost(|_| None, "CRASH LATER");
    expect!["2 engines lost"].assert_eq(&format!("{cost} engines lost"));
}

#[test]
fn a_request_sent_again_at_once_to_another_router_is_known_there() {
    let mut fleet = Fleet::start(8, 3);
    await_settled(&fleet);
    let mut reasons = Vec::new();
    for number in 0..3 {
        let prompt = format!("CRASH {number}");
        for later in 0..3 {
            let answer = copy(&fleet, number + later, None, &prompt);
            reasons.push(answer.reason());
        }
    }
    println!("{reasons:?}");
    expect!["3 requests, 6 engines lost"]
        .assert_eq(&format!("3 requests, {} engines lost", lost(&mut fleet)));
}

/// Copies under other names meet nowhere before the first death is known: each router may
/// send one of them.
#[test]
fn copies_of_many_chats_cost_one_engine_for_each_router_at_most() {
    let cost = cost(|number| Some(format!("chat-{number}")), "CRASH");
    expect!["at most one for each of 3 routers: true"].assert_eq(&format!(
        "at most one for each of 3 routers: {}",
        (1..=3).contains(&cost)
    ));
}

#[test]
fn copies_of_a_request_that_crashes_nothing_are_all_answered() {
    let fleet = Fleet::start(4, 3);
    let statuses = copies(&fleet, |_| None, "plan");
    expect!["[200, 200, 200, 200, 200, 200, 200, 200, 200, 200, 200, 200]"]
        .assert_eq(&format!("{statuses:?}"));
}

#[test]
fn a_frozen_arbiter_holds_up_no_request_that_crashed_nothing() {
    let mut fleet = Fleet::platform_only(&[]);
    fleet.publish("first", &support::base_ops());
    for _ in 0..4 {
        fleet.add_engine(&[]);
    }
    for _ in 0..2 {
        fleet.add_router("limits: {queue_ms: 3000}\n");
    }
    fleet.await_ready();
    await_settled(&fleet);
    fleet.routers[1].process.signal(Signal::STOP);
    let fleet = &fleet;
    let answered = thread::scope(|scope| {
        let sent: Vec<_> = (0..6)
            .map(|number| scope.spawn(move || again(fleet, number)))
            .collect();
        let statuses = sent.into_iter().map(|one| one.join().expect("a status"));
        statuses.filter(|status| *status == 200).count()
    });
    expect!["6 of 6 answered"].assert_eq(&format!("{answered} of 6 answered"));
}
