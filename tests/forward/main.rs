//! Decisions of forwarding: the drain, and what is believed of servers.

use std::time::Duration;

use ebonyspur::{
    catalog::ServerKey,
    forward::{Drain, Flights, Health, Note},
    Instant,
};
use expect_test::expect;

#[test]
fn a_drain_goes_through_its_stages_within_the_grace() {
    let drain = Drain::new(Instant::from_millis(1_000), Duration::from_secs(8));
    let at = |after: u64| Instant::from_millis(1_000 + after);
    let takes = |after: u64| {
        let needs = [Some(600), Some(1_500), Some(12_000), None];
        needs.map(|ms| drain.takes(ms.map(Duration::from_millis), at(after)))
    };
    let lines: Vec<_> = [0, 2_000, 3_000, 5_000, 5_600, 6_500, 7_300, 7_600]
        .iter()
        .map(|after| {
            format!(
                "{after}: {:?} takes {:?}",
                drain.stage(at(*after)),
                takes(*after)
            )
        })
        .collect();
    expect![[r#"
        0: Draining takes [true, true, true, true]
        2000: Draining takes [true, true, true, true]
        3000: Draining takes [true, true, false, false]
        5000: Draining takes [true, true, false, false]
        5600: Closing takes [true, true, false, false]
        6500: Closing takes [true, false, false, false]
        7300: Closing takes [false, false, false, false]
        7600: Ended takes [false, false, false, false]"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_server_that_is_gone_is_avoided_longer_each_time_until_it_answers() {
    let health = Health::default();
    let key = ServerKey(1);
    let mut lines = Vec::new();
    let mut now = 0;
    for _ in 0..5 {
        health.note(key, Note::Gone, Instant::from_millis(now));
        let began = now;
        while health.is_avoided(key, Instant::from_millis(now)) {
            now += 50;
        }
        lines.push(format!("{} ms", now - began));
    }
    health.note(key, Note::Gone, Instant::from_millis(now));
    health.note(key, Note::Answered, Instant::from_millis(now));
    lines.push(format!(
        "answered: {}",
        health.is_avoided(key, Instant::from_millis(now))
    ));
    expect![[r#"
        400 ms
        800 ms
        1600 ms
        2000 ms
        2000 ms
        answered: false"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_server_is_grey_only_against_the_others() {
    let health = Health::default();
    for _ in 0..12 {
        health.note(ServerKey(1), Note::Failed, Instant::default());
        health.note(ServerKey(2), Note::Answered, Instant::default());
    }
    let (bad, good) = (
        health.failed_share(ServerKey(1)),
        health.failed_share(ServerKey(2)),
    );
    assert!(Health::is_grey(bad, (bad + good) / 2.0));
    assert!(!Health::is_grey(good, (bad + good) / 2.0));
    assert!(!Health::is_grey(bad, bad), "all fail alike");
}

#[test]
fn requests_in_flight_are_counted_until_they_end() {
    let flights = Flights::default();
    let (first, second) = (flights.begin(ServerKey(1)), flights.begin(ServerKey(1)));
    drop(first);
    assert_eq!(flights.all(), [(ServerKey(1), 1)]);
    drop(second);
    assert_eq!(flights.all(), []);
}
