//! The loads that servers report, as known to one router.

use std::time::Duration;

use ebonyspur::{
    catalog::{LoadReport, ReportedLoad, Server, ServerKey, ServerLoads, Slowness, SlownessReport},
    Incarnation, Instant, PoolName,
};
use expect_test::expect;

use super::server;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn report(running: u32, waiting: u32) -> LoadReport {
    LoadReport::Load(ReportedLoad {
        running,
        waiting,
        slots: 8,
        slowness: Some(Slowness::from_percent(130)),
    })
}

#[test]
fn the_last_report_counts_with_its_age_and_one_that_cannot_be_read_changes_nothing() {
    let loads = ServerLoads::default();
    let (a, b) = (server("a", false), server("b", false));
    loads.record_report(&a, report(3, 0), at(100));
    loads.record_report(&a, report(8, 2), at(200));
    loads.record_report(&a, LoadReport::Malformed, at(300));
    loads.record_report(&a, LoadReport::Absent, at(400));
    loads.record_report(&b, LoadReport::Malformed, at(400));
    let known = loads.of(a.key(), at(450)).expect("a load");
    expect!["ReportedLoad { running: 8, waiting: 2, slots: 8, slowness: Some(Slowness { percent: 130 }) } 250ms"]
        .assert_eq(&format!("{:?} {:?}", known.reported, known.age));
    assert_eq!(loads.of(b.key(), at(450)), None);
}

#[test]
fn the_mean_response_time_leaves_out_servers_at_which_requests_wait() {
    let loads = ServerLoads::default();
    let pool = PoolName::new("writers").unwrap();
    let mut lines = vec![format!("{:?}", loads.mean_response_time(&pool))];
    for (report, ms) in [
        (report(3, 0), 60),
        (report(8, 1), 900),
        (LoadReport::Absent, 160),
    ] {
        loads.record_response_time(&pool, report, Duration::from_millis(ms));
        lines.push(format!("{:?}", loads.mean_response_time(&pool)));
    }
    expect!["None Some(60ms) Some(60ms) Some(70ms)"].assert_eq(&lines.join(" "));
}

#[test]
fn the_servers_kept_are_bounded() {
    let loads = ServerLoads::default();
    for number in 0..3_000 {
        let server = server(&format!("s{number}"), false);
        loads.record_report(&server, report(1, 0), at(number));
    }
    let known = (0..3_000).filter(|number| {
        let key = server(&format!("s{number}"), false).key();
        loads.of(key, at(3_000)).is_some()
    });
    expect!["2048 kept, the first 952"].assert_eq(&{
        let known: Vec<_> = known.collect();
        format!("{} kept, the first {}", known.len(), known[0])
    });
}

fn slow(percent: u32) -> LoadReport {
    LoadReport::Load(ReportedLoad {
        running: 1,
        waiting: 0,
        slots: 8,
        slowness: Some(Slowness::from_percent(percent)),
    })
}

fn factor(loads: &ServerLoads, server: &Server, ms: u64) -> f64 {
    loads.slowness_factors([server.key()], at(ms))[0]
}

#[test]
fn a_slow_server_is_announced_until_it_has_recovered_and_counts_less_with_time() {
    let (here, there) = (ServerLoads::default(), ServerLoads::default());
    let a = server("a", false);
    let mut lines = Vec::new();
    for (ms, percent) in [
        (0, 110),
        (1_000, 400),
        (2_000, 400),
        (3_000, 100),
        (4_000, 100),
    ] {
        here.record_report(&a, slow(percent), at(ms));
        let now = ms + 200;
        let reports = here.reports(at(now));
        there.receive(&reports, at(now + 20));
        lines.push(format!(
            "{percent}: announced {}, here {:.2}, there {:.2}, announced later {}",
            reports.len(),
            factor(&here, &a, now),
            factor(&there, &a, now + 20),
            here.reports(at(ms + 700)).len(),
        ));
    }
    here.record_report(&a, slow(400), at(5_000));
    let later = [0, 1, 2, 4, 8, 10].map(|s| factor(&here, &a, 5_000 + s * 1_000));
    lines.push(format!("later {later:.2?}"));
    expect![[r#"
        110: announced 0, here 1.09, there 1.00, announced later 0
        400: announced 1, here 3.71, there 3.52, announced later 0
        400: announced 1, here 3.71, there 3.52, announced later 0
        100: announced 1, here 1.00, there 1.00, announced later 0
        100: announced 0, here 1.00, there 1.00, announced later 0
        later [4.00, 2.82, 2.10, 1.41, 1.05, 1.00]"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn the_latest_report_counts_whoever_received_it() {
    let loads = ServerLoads::default();
    let a = server("a", false);
    let report = |percent, age_ms| SlownessReport {
        server: a.key(),
        slowness: Slowness::from_percent(percent),
        age_ms,
    };
    let mut factors = Vec::new();
    loads.receive(&[report(200, 400)], at(1_000));
    factors.push(factor(&loads, &a, 1_000));
    loads.receive(&[report(900, 500)], at(1_000));
    factors.push(factor(&loads, &a, 1_000));
    loads.record_report(&a, slow(100), at(1_100));
    loads.receive(&[report(900, 100)], at(1_200));
    factors.push(factor(&loads, &a, 1_200));
    expect!["[1.76, 1.76, 1.00]"].assert_eq(&format!("{factors:.2?}"));
}

#[test]
fn announcements_of_unknown_servers_and_earlier_incarnations_change_nothing() {
    let loads = ServerLoads::default();
    let known = server("a", false);
    let restarted = Server {
        incarnation: Incarnation(2),
        ..known.clone()
    };
    loads.record_report(&known, slow(100), at(0));
    let forged = (0..5_000).map(|number| SlownessReport {
        server: ServerKey(number),
        slowness: Slowness::from_percent(9_000),
        age_ms: 0,
    });
    let earlier = SlownessReport {
        server: known.key(),
        slowness: Slowness::from_percent(900),
        age_ms: 0,
    };
    loads.receive(&[earlier], at(1_000));
    loads.receive(&forged.collect::<Vec<_>>(), at(1_000));
    let factors = loads.slowness_factors([known.key(), restarted.key()], at(1_000));
    assert!(loads.of(known.key(), at(1_000)).is_some());
    expect!["[8.42, 1.00]"].assert_eq(&format!("{factors:.2?}"));
    // A report that this router receives itself has room.
    loads.record_report(&restarted, slow(200), at(1_000));
    assert_eq!(factor(&loads, &restarted, 1_000), 2.0);
}
