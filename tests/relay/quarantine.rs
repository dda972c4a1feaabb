//! Requests that crash the engines they run on, among others that do not.

use std::{thread, time::Duration};

use ebonyspur::{
    admission::{Crash, CrashHistory, Fingerprint, MAX_CRASH_ENTRIES},
    EngineName, Incarnation, Instant,
};
use expect_test::expect;
use serde_json::json;

use crate::support::{
    dump,
    http::{exchange, Answer},
    wait_until, Backend, Fleet,
};

fn crash(fingerprint: u64, engine: &str, incarnation: u64) -> Crash {
    Crash {
        fingerprint: Fingerprint(fingerprint),
        engine: EngineName::new(engine).unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn standing(suspects: &CrashHistory, fingerprint: u64, now: Instant) -> &'static str {
    let fingerprint = Fingerprint(fingerprint);
    match suspects.is_quarantined(fingerprint, now) {
        true => "convicted",
        false if suspects.is_high_risk(fingerprint, now) => "suspect",
        false => "clear",
    }
}

#[test]
fn the_second_death_convicts_and_a_whole_answer_clears() {
    let seconds = |secs: u64| Instant::from_millis(secs * 1_000);
    let mut suspects = CrashHistory::new();
    let mut steps = Vec::new();
    let mut note = |what: &str, suspects: &CrashHistory, now| {
        let standings = [1, 2].map(|number| standing(suspects, number, now));
        steps.push(format!("{what}: {}\n", standings.join(" ")));
    };
    for number in [1, 2] {
        suspects.record_crash(&crash(number, "a", 1), seconds(0));
    }
    note("one death", &suspects, seconds(0));
    suspects.record_crash(&crash(1, "a", 1), seconds(1));
    note("told again", &suspects, seconds(1));
    suspects.record_success(Fingerprint(2));
    note("2 answered", &suspects, seconds(2));
    for number in [1, 2] {
        suspects.record_crash(&crash(number, "a", 2), seconds(3));
    }
    note("next life dies", &suspects, seconds(3));
    suspects.record_success(Fingerprint(1));
    note("1 answered", &suspects, seconds(4));
    note("after 11 min", &suspects, seconds(660));
    note("after 61 min", &suspects, seconds(3_660));
    expect![[r#"
        one death: suspect suspect
        told again: suspect suspect
        2 answered: suspect clear
        next life dies: convicted suspect
        1 answered: convicted suspect
        after 11 min: convicted clear
        after 61 min: clear clear
    "#]]
    .assert_eq(&steps.concat());
}

#[test]
fn suspects_are_bounded() {
    let now = Instant::from_millis(0);
    let mut suspects = CrashHistory::new();
    for number in 0..2 * MAX_CRASH_ENTRIES as u64 {
        suspects.record_crash(&crash(number, "a", 1), now);
    }
    expect!["4096"].assert_eq(&suspects.len().to_string());
}

#[test]
fn a_router_that_starts_later_learns_of_suspects_and_for_how_long() {
    let seconds = |secs: u64| Instant::from_millis(secs * 1_000);
    let mut old = CrashHistory::new();
    for (number, engine) in [(1, "a"), (1, "b"), (2, "a"), (3, "a")] {
        old.record_crash(&crash(number, engine, 1), seconds(0));
    }
    old.record_success(Fingerprint(3));
    // The clocks of two routers do not agree.
    let mut new = CrashHistory::new();
    new.merge(old.records(seconds(100)), seconds(1_000));
    new.merge(old.records(seconds(100)), seconds(1_000));
    let all = |new: &CrashHistory, secs| {
        [1, 2, 3]
            .map(|number| standing(new, number, seconds(secs)))
            .join(" ")
    };
    let mut table = format!("learnt: {}\n", all(&new, 1_000));
    table += &format!("after 8 min: {}\n", all(&new, 1_499));
    table += &format!("after 9 min: {}\n", all(&new, 1_501));
    let mut other = CrashHistory::new();
    other.record_crash(&crash(2, "b", 1), seconds(0));
    new.merge(other.records(seconds(1)), seconds(1_001));
    table += &format!("another router saw 2 kill: {}\n", all(&new, 1_002));
    for number in 0..2 * MAX_CRASH_ENTRIES as u64 {
        old.record_crash(&crash(number, "c", 1), seconds(100));
    }
    let records = old.records(seconds(100));
    table += &format!(
        "told of {}, first {:?}",
        records.len(),
        records[0].fingerprint
    );
    expect![[r#"
        learnt: convicted suspect clear
        after 8 min: convicted suspect clear
        after 9 min: convicted clear clear
        another router saw 2 kill: convicted convicted clear
        told of 4093, first Fingerprint(2)"#]]
    .assert_eq(&table);
}

fn chat(fleet: &Fleet, router: usize, id: &str, attempt: usize, prompt: &str) -> Answer {
    let body = json!({
        "model": "planner", "stream": true, "max_tokens": 40,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let attempt = attempt.to_string();
    let headers = [
        ("ebonyspur-team", "kerb"),
        ("ebonyspur-chat", id),
        ("ebonyspur-attempt", attempt.as_str()),
        ("x-request-id", id),
    ];
    let address = fleet.routers[router % fleet.routers.len()].callers;
    let path = "/v1/chat/completions";
    exchange(address, "POST", path, &headers, &body.to_string())
}

/// Sends an innocent request until it is answered; returns the attempts that took.
fn innocent(fleet: &Fleet, number: usize) -> usize {
    let id = format!("innocent-{number}");
    for attempt in 1..=8 {
        let answer = chat(
            fleet,
            number + attempt,
            &id,
            attempt,
            &format!("plan {number}"),
        );
        let own = answer.body.contains(&format!("{id}/39 "));
        if answer.whole && own && answer.body.ends_with("data: [DONE]\n\n") {
            return attempt;
        }
        thread::sleep(Duration::from_millis(400));
    }
    usize::MAX
}

/// Sends the crashing request to one router after the other.
fn crasher(fleet: &Fleet) -> Vec<String> {
    let send = |number: usize| {
        thread::sleep(Duration::from_millis(1_000));
        let id = format!("crasher-{number}");
        let answer = chat(fleet, number, &id, 1, "CRASH");
        format!("{} {}", answer.status, answer.reason())
    };
    (0..6).map(send).collect()
}

#[test]
fn a_crashing_request_costs_two_engines_and_its_neighbours_are_answered() {
    let mut fleet = Fleet::start(6, 3);
    let (refusals, attempts) = thread::scope(|scope| {
        let fleet = &fleet;
        let crasher = scope.spawn(move || crasher(fleet));
        let mut innocents = Vec::new();
        for number in 0..60 {
            thread::sleep(Duration::from_millis(100));
            innocents.push(scope.spawn(move || innocent(fleet, number)));
        }
        let attempts: Vec<_> = innocents
            .into_iter()
            .map(|one| one.join().expect("attempts"))
            .collect();
        (crasher.join().expect("refusals"), attempts)
    });
    let lost = fleet
        .engines
        .iter_mut()
        .filter_map(|engine| engine.process.has_ended().then_some(()));
    let lost = lost.count();
    let unanswered = attempts
        .iter()
        .filter(|attempts| **attempts == usize::MAX)
        .count();
    println!("refusals {refusals:?}, attempts {attempts:?}");
    expect!["engines lost: 2, innocents unanswered: 0 of 60, last refusal: 422 quarantined"]
        .assert_eq(&format!(
            "engines lost: {lost}, innocents unanswered: {unanswered} of {}, last refusal: {}",
            attempts.len(),
            refusals.last().map_or("none", String::as_str)
        ));
}

#[test]
fn a_router_that_starts_later_refuses_what_was_convicted_before() {
    let mut fleet = Fleet::start(4, 2);
    let refusals = crasher(&fleet);
    // The others have stopped to pass the news on.
    thread::sleep(Duration::from_secs(4));
    fleet.add_router("");
    wait_until("the new router serves", || {
        dump(&fleet.routers[2]).is_some_and(|state| state["phase"] == "serving")
    });
    thread::sleep(Duration::from_secs(1));
    let late = chat(&fleet, 2, "late", 1, "CRASH");
    let ended = |engine: &mut Backend| engine.process.has_ended();
    let lost = fleet
        .engines
        .iter_mut()
        .filter_map(|e| ended(e).then_some(()));
    println!("refusals {refusals:?}");
    expect!["engines lost: 2, at the new router: 422 quarantined"].assert_eq(&format!(
        "engines lost: {}, at the new router: {} {}",
        lost.count(),
        late.status,
        late.reason()
    ));
}
