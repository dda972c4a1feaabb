//! Stages of one lease between two routers, with explicit times.

use std::{fmt::Write, time::Duration};

use ebonyspur::{
    lease::{Candidate, Lease, LeaseHolder, LeaseRecord, LeaseState, LeaseTiming},
    Incarnation, Instant, Offset, RouterName,
};
use expect_test::expect;

/// A lease stream that, like the log service, appends each record at the next position,
/// whichever position the record names.
#[derive(Default)]
struct Log(Vec<(Offset, Option<LeaseRecord>)>);

impl Log {
    fn append(&mut self, record: LeaseRecord) {
        self.0.push((Offset(self.0.len() as u64), Some(record)));
    }
}

fn router(name: &str, incarnation: u64) -> Lease<Candidate> {
    let me = LeaseHolder {
        name: RouterName::new(name).unwrap(),
        incarnation: Incarnation(incarnation),
    };
    Lease::new(me, LeaseTiming::default())
}

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

fn show(state: &LeaseState) -> String {
    match state {
        LeaseState::Candidate(lease) => {
            let bid_at = lease.bid_at(0, Duration::ZERO).as_micros();
            format!("candidate, may bid at {} s", bid_at / 1_000_000)
        }
        LeaseState::Held(lease) => {
            let until = lease.expires_at().as_micros() / 1_000_000;
            format!("held until {until} s, fence {}", lease.fence())
        }
        LeaseState::Lapsed(_) => "lapsed".to_string(),
    }
}

fn held(state: LeaseState) -> Lease<ebonyspur::lease::Held> {
    match state {
        LeaseState::Held(lease) => lease,
        other => panic!("not held: {}", show(&other)),
    }
}

#[test]
fn the_holder_measures_the_term_from_before_its_append_and_others_from_their_read() {
    let (mut log, mut text) = (Log::default(), String::new());
    let mut first = router("r1", 1);
    let second = router("r2", 1);
    log.append(first.bid(at(0)).expect("a free lease"));
    let first = first.observe(&log.0, at(2));
    let second = second.observe(&log.0, at(1));
    writeln!(text, "r1 {}", show(&first)).unwrap();
    writeln!(text, "r2 {}", show(&second)).unwrap();
    let mut first = held(first);
    log.append(first.renew(at(4)));
    let first = first.observe(&log.0, at(5));
    writeln!(text, "r1 {}", show(&first)).unwrap();
    let LeaseState::Candidate(second) = second else {
        panic!("r2 is not a candidate")
    };
    let second = second.observe(&log.0, at(6));
    writeln!(text, "r2 {}", show(&second)).unwrap();
    writeln!(text, "r1 {}", show(&held(first).expire(at(14)))).unwrap();
    expect![[r#"
        r1 held until 10 s, fence 0
        r2 candidate, may bid at 12 s
        r1 held until 14 s, fence 0
        r2 candidate, may bid at 17 s
        r1 lapsed
    "#]]
    .assert_eq(&text);
}

#[test]
fn the_first_of_two_bids_for_one_position_wins() {
    let (mut log, mut text) = (Log::default(), String::new());
    let (mut first, mut second) = (router("r1", 1), router("r2", 1));
    let (late, early) = (first.bid(at(0)).unwrap(), second.bid(at(0)).unwrap());
    log.append(early);
    log.append(late);
    writeln!(text, "r1 {}", show(&first.observe(&log.0, at(1)))).unwrap();
    writeln!(text, "r2 {}", show(&second.observe(&log.0, at(1)))).unwrap();
    expect![[r#"
        r1 candidate, may bid at 12 s
        r2 held until 10 s, fence 0
    "#]]
    .assert_eq(&text);
}

#[test]
fn a_restarted_router_does_not_resume_its_lease() {
    let mut log = Log::default();
    let mut old = router("r1", 1);
    log.append(old.bid(at(0)).unwrap());
    let new = router("r1", 2).observe(&log.0, at(1));
    expect!["candidate, may bid at 12 s"].assert_eq(&show(&new));
}

#[test]
fn a_released_lease_is_free_at_once() {
    let (mut log, mut text) = (Log::default(), String::new());
    let mut first = router("r1", 1);
    log.append(first.bid(at(0)).unwrap());
    let (record, _lapsed) = held(first.observe(&log.0, at(1))).release();
    log.append(record);
    let second = router("r2", 1).observe(&log.0, at(2));
    writeln!(text, "r2 {}", show(&second)).unwrap();
    let LeaseState::Candidate(mut second) = second else {
        panic!("r2 is not a candidate")
    };
    log.append(second.bid(at(2)).unwrap());
    writeln!(text, "r2 {}", show(&second.observe(&log.0, at(2)))).unwrap();
    expect![[r#"
        r2 candidate, may bid at 0 s
        r2 held until 12 s, fence 2
    "#]]
    .assert_eq(&text);
}

#[test]
fn a_candidate_that_skips_truncated_records_waits_a_whole_term() {
    let mut lease = router("r1", 1);
    lease.skip_truncated(Offset(40), at(3));
    assert!(lease.bid(at(13)).is_none());
    expect!["candidate, may bid at 14 s"].assert_eq(&show(&lease.observe(&[], at(13))));
}
