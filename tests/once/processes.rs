//! Bookings through real processes, counted by the service that runs them.

use std::{
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use expect_test::expect;
use rustix::process::Signal;
use serde_json::json;
use uuid::Uuid;

use crate::support::{
    self, get,
    http::{exchange, read, read_within, send, Answer},
    Fleet,
};

/// Settings that shorten the time after which an unresponsive server is abandoned.
const LIMITS: &str = "limits: {progress_ms: 2000}\n";

/// Pause that is longer than any timeout on the path of a booking.
pub(super) const PAUSE: Duration = Duration::from_secs(12);

pub(super) fn fleet(routers: usize) -> Fleet {
    let mut fleet = Fleet::platform_only(&[]);
    fleet.publish("first", &support::base_ops());
    fleet.add_server();
    for _ in 0..routers {
        fleet.add_router(LIMITS);
    }
    fleet.await_ready();
    fleet
}

pub(super) fn key() -> String {
    Uuid::now_v7().to_string()
}

pub(super) fn headers<'a>(key: &'a str, attempt: &'a str) -> [(&'a str, &'a str); 4] {
    [
        ("ebonyspur-team", "kerb"),
        ("ebonyspur-attempt", attempt),
        ("idempotency-key", key),
        ("x-request-id", key),
    ]
}

/// Sends one attempt of a booking to the router with index `router`, counted from 0.
pub(super) fn book(fleet: &Fleet, router: usize, key: &str, attempt: u32, query: &str) -> Answer {
    let address = fleet.routers[router].callers;
    let path = format!("/v1/services/trade/bookings{query}");
    exchange(
        address,
        "POST",
        &path,
        &headers(key, &attempt.to_string()),
        "",
    )
}

/// Sends the first attempt of a booking to the first router without reading the answer.
pub(super) fn begin(fleet: &Fleet, key: &str, query: &str) -> Option<TcpStream> {
    let address = fleet.routers[0].callers;
    let path = format!("/v1/services/trade/bookings{query}");
    send(address, "POST", &path, &headers(key, "1"), "")
}

/// Returns how often the service ran the booking.
pub(super) fn runs(fleet: &Fleet, key: &str) -> u64 {
    let url = format!("http://{}/runs", fleet.servers[0].address);
    get(&url).expect("counts")[key].as_u64().unwrap_or(0)
}

pub(super) fn show(answer: &Answer) -> String {
    let replayed = answer.headers.contains_key("ebonyspur-replayed");
    let suffix = if replayed { " replayed" } else { "" };
    format!(
        "{} {} {}{suffix}",
        answer.status,
        answer.reason(),
        answer.verdict()
    )
}

#[test]
fn a_claimer_that_dies_during_the_run_leaves_the_verdict_may_have_run() {
    let fleet = fleet(2);
    let key = key();
    let pending = begin(&fleet, &key, "?delay_ms=20000");
    support::wait_until("the booking runs", || runs(&fleet, &key) == 1);
    fleet.routers[0].process.signal(Signal::KILL);
    let cut_answer = read(pending.expect("a connection"));
    let second = book(&fleet, 1, &key, 2, "");
    expect!["cut: 0, second: 409 conflict may-have-run, runs: 1"].assert_eq(&format!(
        "cut: {}, second: {}, runs: {}",
        cut_answer.status,
        show(&second),
        runs(&fleet, &key)
    ));
}

/// Pauses the router of the first attempt when `reached` holds, and resumes it after [`PAUSE`]
/// and an attempt at another router.
fn pause_claimer(fleet: &Fleet, key: &str, query: &str, reached: impl FnMut() -> bool) -> String {
    let claimer = &fleet.routers[0];
    let pending = begin(fleet, key, query);
    support::wait_until("the claimer has reached the state to pause in", reached);
    claimer.process.signal(Signal::STOP);
    let second = book(fleet, 1, key, 2, query);
    thread::sleep(PAUSE);
    claimer.process.signal(Signal::CONT);
    let first = read(pending.expect("a connection"));
    let third = book(fleet, 0, key, 3, query);
    let runs = runs(fleet, key);
    println!(
        "{}, {}, {}, runs {runs}",
        show(&first),
        show(&second),
        show(&third)
    );
    // A verdict says what had run before; the third attempt may run a call that had not.
    let third_ran = third.status == 200 && !third.headers.contains_key("ebonyspur-replayed");
    let runs_before = runs - u64::from(third_ran).min(runs);
    let before = check_verdicts(&[first, second], runs_before);
    let after = check_verdicts(&[third], runs);
    if before == after {
        after
    } else {
        format!("before the third attempt: {before}, after it: {after}")
    }
}

/// Compares the verdicts of all attempts with the runs that the service counted.
pub(super) fn check_verdicts(answers: &[Answer], runs: u64) -> String {
    let wrong_verdict = answers.iter().any(|answer| match answer.verdict() {
        "not-run" => runs > 0,
        "ran" => runs == 0,
        _ => false,
    });
    format!("run twice: {}, wrong verdict: {wrong_verdict}", runs > 1)
}

#[test]
fn a_claimer_paused_beyond_all_timeouts_does_not_run_what_another_ran() {
    let fleet = fleet(2);
    fleet.faults(&json!({ "log_delay_ms": 1_000 }));
    let sent = Instant::now();
    let claiming = || sent.elapsed() > Duration::from_millis(300);
    expect!["run twice: false, wrong verdict: false"].assert_eq(&pause_claimer(
        &fleet,
        &key(),
        "",
        claiming,
    ));
    fleet.faults(&json!({}));
    let key = key();
    let running = || runs(&fleet, &key) == 1;
    let outcome = pause_claimer(&fleet, &key, "?delay_ms=1000", running);
    expect!["run twice: false, wrong verdict: false"].assert_eq(&outcome);
}

#[test]
fn a_call_is_refused_during_a_log_outage_and_a_later_attempt_runs_once() {
    let fleet = fleet(2);
    let key = key();
    fleet.faults(&json!({ "log_outage": true }));
    let mut steps = vec![show(&book(&fleet, 0, &key, 1, ""))];
    steps.push(show(&book(&fleet, 1, &key, 2, "")));
    steps.push(format!("runs {}", runs(&fleet, &key)));
    fleet.faults(&json!({}));
    steps.push(show(&book(&fleet, 1, &key, 3, "")));
    steps.push(show(&book(&fleet, 0, &key, 4, "")));
    steps.push(format!("runs {}", runs(&fleet, &key)));
    expect![[r#"
        503 log_unavailable not-run
        503 log_unavailable may-have-run
        runs 0
        200 none ran
        200 none ran replayed
        runs 1"#]]
    .assert_eq(&steps.join("\n"));
}

#[test]
fn a_lost_append_answer_is_resolved_by_reading_the_log() {
    let fleet = fleet(2);
    let key = key();
    fleet.faults(&json!({ "drop_append_answers": 1 }));
    let first = book(&fleet, 0, &key, 1, "");
    support::wait_until("the result is replayed", || {
        show(&book(&fleet, 1, &key, 2, "")).ends_with("replayed")
    });
    expect!["200 none ran, runs 1"].assert_eq(&format!(
        "{}, runs {}",
        show(&first),
        runs(&fleet, &key)
    ));
}

#[test]
fn attempts_at_two_routers_at_once_run_once_and_agree() {
    let fleet = fleet(2);
    let mut agreed = 0;
    for _ in 0..10 {
        let key = key();
        let (first, second) = thread::scope(|scope| {
            let first = scope.spawn(|| book(&fleet, 0, &key, 1, "?delay_ms=50"));
            let second = scope.spawn(|| book(&fleet, 1, &key, 2, "?delay_ms=50"));
            (
                first.join().expect("an answer"),
                second.join().expect("an answer"),
            )
        });
        let same = first.status == 200 && first.body == second.body;
        agreed += u32::from(same && runs(&fleet, &key) == 1);
    }
    expect!["10 of 10 agreed"].assert_eq(&format!("{agreed} of 10 agreed"));
}

#[test]
fn a_server_that_does_not_answer_or_refuses_after_the_run_is_not_asked_again() {
    let fleet = fleet(2);
    let mut steps = Vec::new();
    for query in ["?silent=1", "?refuse=1"] {
        let key = key();
        steps.push(format!(
            "{query} first: {}",
            show(&book(&fleet, 0, &key, 1, query))
        ));
        thread::sleep(Duration::from_millis(500));
        steps.push(format!(
            "{query} second: {}",
            show(&book(&fleet, 1, &key, 2, ""))
        ));
        steps.push(format!("{query} runs: {}", runs(&fleet, &key)));
    }
    expect![[r#"
        ?silent=1 first: 504 timeout may-have-run
        ?silent=1 second: 409 conflict may-have-run
        ?silent=1 runs: 1
        ?refuse=1 first: 503 none may-have-run
        ?refuse=1 second: 503 none may-have-run replayed
        ?refuse=1 runs: 1"#]]
    .assert_eq(&steps.join("\n"));
}

#[test]
fn a_caller_that_goes_away_finds_its_answer_recorded() {
    let fleet = fleet(2);
    let key = key();
    let pending = begin(&fleet, &key, "?delay_ms=500");
    support::wait_until("the booking runs", || runs(&fleet, &key) == 1);
    drop(pending);
    let second = book(&fleet, 1, &key, 2, "");
    expect!["200 none ran replayed, runs 1"].assert_eq(&format!(
        "{}, runs {}",
        show(&second),
        runs(&fleet, &key)
    ));
}

#[test]
fn every_router_answers_not_run_for_a_call_that_no_server_accepted() {
    let mut fleet = fleet(2);
    let key = key();
    fleet.servers[0].process.kill();
    let first = show(&book(&fleet, 0, &key, 1, ""));
    let second = show(&book(&fleet, 1, &key, 2, ""));
    fleet.add_server();
    fleet.servers.remove(0);
    support::wait_until("the new server is listed", || {
        let fresh = Uuid::now_v7().to_string();
        book(&fleet, 1, &fresh, 1, "").status == 200
    });
    let third = show(&book(&fleet, 1, &key, 3, ""));
    expect![[r#"
        503 unavailable not-run
        409 conflict not-run
        409 conflict not-run
        runs 0"#]]
    .assert_eq(&format!(
        "{first}\n{second}\n{third}\nruns {}",
        runs(&fleet, &key)
    ));
}

#[test]
fn a_refused_later_attempt_is_never_reported_as_not_run() {
    let fleet = fleet(1);
    let key = key();
    let path = "/v1/services/trade/bookings";
    let cases: [(&str, &[(&str, &str)]); 3] = [
        (
            "no team",
            &[("ebonyspur-attempt", "2"), ("idempotency-key", &key)],
        ),
        (
            "bad attempt",
            &[("ebonyspur-team", "kerb"), ("ebonyspur-attempt", "x")],
        ),
        (
            "unknown team",
            &[("ebonyspur-team", "nobody"), ("ebonyspur-attempt", "2")],
        ),
    ];
    let mut table = String::new();
    for (name, headers) in cases {
        let answer = exchange(fleet.routers[0].callers, "POST", path, headers, "");
        table += &format!("{name}: {}\n", show(&answer));
    }
    expect![[r#"
        no team: 400 bad_input may-have-run
        bad attempt: 400 bad_input may-have-run
        unknown team: 404 not_found may-have-run
    "#]]
    .assert_eq(&table);
}

/// Number of bookings in the test with all faults.
const BOOKINGS: usize = 40;

/// How long a caller waits before it sends the next attempt.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a booking to one router after the other until it succeeds; returns the verdicts.
fn retry(fleet: &Fleet, number: usize, key: &str) -> Vec<String> {
    let mut verdicts = Vec::new();
    for attempt in 1..=5 {
        let router = (number + attempt) % fleet.routers.len();
        let (address, number) = (fleet.routers[router].callers, attempt.to_string());
        let path = "/v1/services/trade/bookings?delay_ms=400";
        let sent = send(address, "POST", path, &headers(key, &number), "");
        let answer = sent.map_or_else(Answer::default, |sent| read_within(sent, ANSWER_TIMEOUT));
        verdicts.push(answer.verdict().to_string());
        if answer.status == 200 {
            break;
        }
        thread::sleep(Duration::from_millis(700));
    }
    verdicts
}

#[test]
fn under_all_faults_together_every_verdict_agrees_with_the_count_of_the_service() {
    let fleet = fleet(3);
    let keys: Vec<_> = (0..BOOKINGS).map(|_| key()).collect();
    let verdicts: Vec<Vec<String>> = thread::scope(|scope| {
        let mut bookings = Vec::new();
        for (number, key) in keys.iter().enumerate() {
            let fleet = &fleet;
            bookings.push(scope.spawn(move || {
                thread::sleep(Duration::from_millis(number as u64 * 150));
                retry(fleet, number, key)
            }));
        }
        inject_faults(&fleet);
        let join = |booking: thread::ScopedJoinHandle<_>| booking.join().expect("verdicts");
        bookings.into_iter().map(join).collect()
    });
    let (mut run_twice, mut wrong_verdicts, mut answered) = (0, 0, 0);
    for (key, verdicts) in keys.iter().zip(&verdicts) {
        let runs = runs(&fleet, key);
        let last = verdicts.last().map_or("none", String::as_str);
        run_twice += u32::from(runs > 1);
        wrong_verdicts += u32::from(last == "not-run" && runs > 0 || last == "ran" && runs == 0);
        answered += u32::from(last == "ran");
    }
    println!("answered {answered} of {BOOKINGS}; verdicts {verdicts:?}");
    assert!(
        answered >= BOOKINGS as u32 / 4,
        "at least a quarter of the bookings is answered: {verdicts:?}"
    );
    expect!["run twice 0, wrong verdicts 0"].assert_eq(&format!(
        "run twice {run_twice}, wrong verdicts {wrong_verdicts}"
    ));
}

/// Injects lost append answers, an outage, a pause longer than the timeouts, and a kill.
fn inject_faults(fleet: &Fleet) {
    fleet.faults(&json!({ "drop_append_answers": 3 }));
    thread::sleep(Duration::from_secs(1));
    fleet.routers[1].process.signal(Signal::STOP);
    thread::sleep(Duration::from_secs(1));
    fleet.faults(&json!({ "log_outage": true }));
    thread::sleep(Duration::from_secs(1));
    fleet.faults(&json!({ "log_delay_ms": 200 }));
    thread::sleep(Duration::from_secs(1));
    fleet.routers[2].process.signal(Signal::KILL);
    fleet.faults(&json!({ "drop_append_answers": 2 }));
    thread::sleep(Duration::from_secs(8));
    fleet.routers[1].process.signal(Signal::CONT);
}
