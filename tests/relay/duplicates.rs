//! Duplicates of one request, sent to several routers at the same moment.
//!
//! Without canary runs across the fleet, each duplicate of a poison request could crash another
//! engine before the first crash is known.

use std::thread;

use expect_test::expect;
use rustix::process::Signal;
use serde_json::json;

use crate::support::{
    self, dump,
    http::{exchange, Answer},
    wait_until, Fleet,
};

/// Number of duplicates sent at once.
const DUPLICATES: usize = 12;

/// Returns the chat id that the duplicate with this number carries.
type ChatOfDuplicate = fn(usize) -> Option<String>;

/// Sends one duplicate, with the chat id `chat` if there is one.
fn send_duplicate(fleet: &Fleet, number: usize, chat: Option<&str>, prompt: &str) -> Answer {
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

/// Sends a request as a second attempt, for which the router asks the arbiter of the request.
fn send_second_attempt(fleet: &Fleet, number: usize) -> u16 {
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

/// Sends all duplicates at the same moment; returns their statuses, with 0 for an incomplete
/// answer.
fn send_duplicates(fleet: &Fleet, chat_of: ChatOfDuplicate, prompt: &str) -> Vec<u16> {
    thread::scope(|scope| {
        let send = |number| {
            scope.spawn(move || send_duplicate(fleet, number, chat_of(number).as_deref(), prompt))
        };
        let sent: Vec<_> = (0..DUPLICATES).map(send).collect();
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

/// Waits until each engine has a steward that knows all requests in flight on it.
fn await_settled(fleet: &Fleet) {
    wait_until("all stewards have settled", || {
        let dumps = fleet.routers.iter().filter_map(dump);
        let settled = dumps.map(|state| state["stewardships"].to_string());
        let settled = settled.map(|stages| stages.matches("settled").count());
        settled.sum::<usize>() == fleet.engines.len()
    });
}

/// Returns the number of engines that have ended.
fn crashed_engines(fleet: &mut Fleet) -> usize {
    let engines = fleet.engines.iter_mut();
    engines
        .filter_map(|e| e.process.has_ended().then_some(()))
        .count()
}

/// Sends all duplicates twice; returns the number of engines that crashed.
fn count_crashes(chat_of: ChatOfDuplicate, prompt: &str) -> usize {
    let mut fleet = Fleet::start(6, 3);
    if prompt.contains("LATER") {
        await_settled(&fleet);
    }
    let first = send_duplicates(&fleet, chat_of, prompt);
    let again = send_duplicates(&fleet, chat_of, prompt);
    let lost = crashed_engines(&mut fleet);
    println!("lost {lost}: {first:?} then {again:?}");
    lost
}

#[test]
fn duplicates_without_a_chat_crash_two_engines() {
    expect!["2 engines lost"].assert_eq(&format!(
        "{} engines lost",
        count_crashes(|_| None, "CRASH")
    ));
}

#[test]
fn duplicates_of_one_chat_crash_two_engines() {
    let crashes = count_crashes(|_| Some("chat-1".into()), "CRASH");
    expect!["2 engines lost"].assert_eq(&format!("{crashes} engines lost"));
}

#[test]
fn duplicates_that_crash_late_crash_two_engines() {
    let crashes = count_crashes(|_| None, "CRASH LATER");
    expect!["2 engines lost"].assert_eq(&format!("{crashes} engines lost"));
}

#[test]
fn each_poison_request_sent_to_one_router_after_another_crashes_two_engines() {
    let mut fleet = Fleet::start(8, 3);
    await_settled(&fleet);
    let mut reasons = Vec::new();
    for number in 0..3 {
        let prompt = format!("CRASH {number}");
        for later in 0..3 {
            let answer = send_duplicate(&fleet, number + later, None, &prompt);
            reasons.push(answer.reason());
        }
    }
    println!("{reasons:?}");
    expect!["3 requests, 6 engines lost"].assert_eq(&format!(
        "3 requests, {} engines lost",
        crashed_engines(&mut fleet)
    ));
}

/// Duplicates with different chat ids go to different engines, and meet at no steward before
/// the first crash is known: each router may send one of them.
#[test]
fn duplicates_of_many_chats_crash_at_most_one_engine_for_each_router() {
    let crashes = count_crashes(|number| Some(format!("chat-{number}")), "CRASH");
    expect!["at most one for each of 3 routers: true"].assert_eq(&format!(
        "at most one for each of 3 routers: {}",
        (1..=3).contains(&crashes)
    ));
}

#[test]
fn duplicates_of_a_request_that_crashes_nothing_are_all_answered() {
    let fleet = Fleet::start(4, 3);
    let statuses = send_duplicates(&fleet, |_| None, "plan");
    expect!["[200, 200, 200, 200, 200, 200, 200, 200, 200, 200, 200, 200]"]
        .assert_eq(&format!("{statuses:?}"));
}

#[test]
fn a_frozen_arbiter_does_not_delay_requests_that_crashed_nothing() {
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
            .map(|number| scope.spawn(move || send_second_attempt(fleet, number)))
            .collect();
        let statuses = sent.into_iter().map(|one| one.join().expect("a status"));
        statuses.filter(|status| *status == 200).count()
    });
    expect!["6 of 6 answered"].assert_eq(&format!("{answered} of 6 answered"));
}
