//! Decisions of forwarding: the drain, and what is believed of servers.

use std::time::Duration;

use ebonyspur::{
    admission::Fingerprint,
    catalog::{Server, ServerKey},
    forward::{Drain, HealthTracker, InFlight, Observation, PoisonRequests},
    DomainName, EngineName, Incarnation, Instant, PoolName,
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
    let health = HealthTracker::default();
    let key = ServerKey(1);
    let mut lines = Vec::new();
    let mut now = 0;
    for _ in 0..5 {
        health.record(key, Observation::Unreachable, Instant::from_millis(now));
        let began = now;
        while health.is_avoided(key, Instant::from_millis(now)) {
            now += 50;
        }
        lines.push(format!("{} ms", now - began));
    }
    health.record(key, Observation::Unreachable, Instant::from_millis(now));
    health.record(key, Observation::Answered, Instant::from_millis(now));
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
fn a_server_that_is_silent_within_a_stream_is_avoided_by_all_until_it_is_heard() {
    let (here, there) = (HealthTracker::default(), HealthTracker::default());
    let (dark, sound) = (ServerKey(1), ServerKey(2));
    let at = Instant::from_millis;
    let mut lines = Vec::new();
    for health in [&here, &there] {
        health.record(dark, Observation::Progress, at(1_000));
        health.record(sound, Observation::Progress, at(1_650));
    }
    assert!(!here.others_responsive(sound, at(1_750)));
    assert!(here.others_responsive(dark, at(1_750)));
    here.record(dark, Observation::Stalled, at(1_750));
    lines.push(format!("told {:?}", here.stalled(at(1_750))));
    there.receive_stalled(&[dark, sound], at(1_760));
    for ms in [1_770, 2_450, 2_470, 3_700, 3_800] {
        let avoided =
            |health: &HealthTracker| [dark, sound].map(|key| health.is_avoided(key, at(ms)));
        let (here, there) = (avoided(&here), avoided(&there));
        lines.push(format!("{ms}: here {here:?} there {there:?}"));
    }
    here.record(dark, Observation::Stalled, at(4_000));
    there.receive_stalled(&[dark], at(4_010));
    for health in [&here, &there] {
        health.record(dark, Observation::Progress, at(4_020));
    }
    there.receive_stalled(&[dark], at(4_030));
    let avoided = [&here, &there].map(|health| health.is_avoided(dark, at(4_040)));
    lines.push(format!("heard: {avoided:?}"));
    expect![[r#"
        told [ServerKey(1)]
        1770: here [true, false] there [true, false]
        2450: here [true, false] there [true, false]
        2470: here [true, false] there [false, false]
        3700: here [true, false] there [false, false]
        3800: here [false, false] there [false, false]
        heard: [false, false]"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_server_is_grey_only_against_the_others() {
    let health = HealthTracker::default();
    for _ in 0..12 {
        health.record(ServerKey(1), Observation::Failed, Instant::default());
        health.record(ServerKey(2), Observation::Answered, Instant::default());
    }
    let (bad, good) = (
        health.failure_rate(ServerKey(1)),
        health.failure_rate(ServerKey(2)),
    );
    assert!(HealthTracker::is_outlier(bad, (bad + good) / 2.0));
    assert!(!HealthTracker::is_outlier(good, (bad + good) / 2.0));
    assert!(!HealthTracker::is_outlier(bad, bad), "all fail alike");
}

#[test]
fn requests_in_flight_are_counted_until_they_end() {
    let flights = InFlight::default();
    let (first, second) = (flights.begin(ServerKey(1)), flights.begin(ServerKey(1)));
    drop(first);
    assert_eq!(flights.all(), [(ServerKey(1), 1)]);
    drop(second);
    assert_eq!(flights.all(), []);
}

fn server(name: &str, life: u64) -> Server {
    Server {
        name: EngineName::new(name).unwrap(),
        pool: PoolName::new("writers").unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: DomainName::new("d1").unwrap(),
        incarnation: Incarnation(life),
        slots: 64,
        leaving: false,
    }
}

#[test]
fn a_request_is_refused_after_three_lives_of_servers_and_one_that_was_answered_is_not() {
    let (here, there) = (PoisonRequests::default(), PoisonRequests::default());
    let (bad, good) = (Fingerprint(1), Fingerprint(2));
    let now = Instant::from_millis(1_000);
    there.record_success(good);
    let mut lines = Vec::new();
    let lives = [("e1", 1), ("e1", 1), ("e2", 1), ("e1", 2)];
    for (name, life) in lives {
        let mut news = Vec::new();
        for request in [bad, good] {
            news.push(here.record_crash(request, &server(name, life), now));
        }
        there.receive(&here.next_updates(), now);
        let refused =
            |crashes: &PoisonRequests| [bad, good].map(|r| crashes.check(r, now).is_err());
        let (here, there) = (refused(&here), refused(&there));
        lines.push(format!(
            "{name}/{life}: news {news:?} refused here {here:?} there {there:?}"
        ));
    }
    expect![[r#"
        e1/1: news [true, true] refused here [false, false] there [false, false]
        e1/1: news [false, false] refused here [false, false] there [false, false]
        e2/1: news [true, true] refused here [false, false] there [false, false]
        e1/2: news [true, true] refused here [true, true] there [true, false]"#]]
    .assert_eq(&lines.join("\n"));
    let verdict = here
        .check(bad, now)
        .map_err(|err| (err.classify(), err.verdict()));
    expect!["Err((Quarantined, NotRun))"].assert_eq(&format!("{verdict:?}"));
}
