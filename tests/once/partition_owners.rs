//! Partition owners that fail, in real processes.

use std::thread;

use ebonyspur::{
    once::{stream, IdempotencyKey},
    placement, CallKey, ServiceName, TeamName,
};
use expect_test::expect;
use rustix::process::Signal;
use serde_json::json;

use crate::{
    processes::{begin, book, check_verdicts, fleet, key, runs, show, PAUSE},
    support::{self, dump, http, Fleet},
};

/// Returns the index of the router that owns the partition of a key.
fn owner(fleet: &Fleet, key: &str) -> usize {
    let key = IdempotencyKey {
        team: TeamName::new("kerb").unwrap(),
        service: ServiceName::new("trade").unwrap(),
        call: CallKey::new(key).unwrap(),
    };
    let names = fleet.routers.iter().map(|router| router.name.as_str());
    let first = placement::rendezvous_first(&stream(key.partition()), names).expect("a router");
    let is_first = |router: &support::RouterProcess| router.name == first;
    fleet.routers.iter().position(is_first).expect("a router")
}

/// Sends `signal` to the owner of a key while it appends a claim for another router, then sends
/// further attempts and checks the verdicts of all.
fn signal_owner(signal: Signal) -> String {
    let fleet = fleet(3);
    let key = std::iter::repeat_with(key).find(|key| owner(&fleet, key) == 1);
    let key = key.expect("a key that router 1 owns");
    fleet.faults(&json!({ "log_delay_ms": 1_000 }));
    let owner = &fleet.routers[1];
    let pending = begin(&fleet, &key, "");
    thread::sleep(std::time::Duration::from_millis(300));
    owner.process.signal(signal);
    fleet.faults(&json!({}));
    let first = http::read(pending.expect("a connection"));
    let second = book(&fleet, 2, &key, 2, "");
    let mut answers = vec![first, second];
    if signal == Signal::STOP {
        thread::sleep(PAUSE);
        owner.process.signal(Signal::CONT);
        answers.push(book(&fleet, 1, &key, 3, ""));
    }
    answers.push(book(&fleet, 0, &key, 4, ""));
    let runs = runs(&fleet, &key);
    let shown: Vec<_> = answers.iter().map(show).collect();
    println!("{}, runs {runs}", shown.join(", "));
    check_verdicts(&answers, runs)
}

#[test]
fn a_call_does_not_run_twice_when_the_owner_is_killed_between_claim_and_answer() {
    expect!["run twice: false, wrong verdict: false"].assert_eq(&signal_owner(Signal::KILL));
}

#[test]
fn a_call_does_not_run_twice_when_the_owner_is_paused_between_claim_and_answer() {
    expect!["run twice: false, wrong verdict: false"].assert_eq(&signal_owner(Signal::STOP));
}

/// Number of bookings, sent to all routers in turn.
const BOOKINGS: usize = 12;

#[test]
fn each_key_is_held_by_its_owner_alone() {
    let fleet = fleet(3);
    let mut owned = vec![0; 3];
    for number in 0..BOOKINGS {
        let key = key();
        owned[owner(&fleet, &key)] += 1;
        assert_eq!(show(&book(&fleet, number % 3, &key, 1, "")), "200 none ran");
    }
    support::wait_until("each key is held by its owner", || {
        let routers = fleet.routers.iter();
        let held = routers.map(|router| dump(router).expect("a dump")["keys_held"].as_u64());
        let held: Vec<_> = held.map(|held| held.expect("a number")).collect();
        println!("owned {owned:?}, held {held:?}");
        held == owned
    });
}
