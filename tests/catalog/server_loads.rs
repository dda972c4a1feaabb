//! The loads that servers report, as known to one router.

use std::time::Duration;

use ebonyspur::{
    catalog::{LoadReport, ReportedLoad, ServerLoads, Slowness},
    Instant, PoolName,
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
