//! Which servers are cold, as routers learn it from the list of servers and from each other.

use std::time::Duration;

use ebonyspur::{
    admission::RateLimit,
    catalog::{ColdTime, Server, ServerChange, WarmUpReport, WarmUps},
    evacuation::{EvacuationChange, EvacuationsRead},
    feed::{Feed, ServersRead},
    routes::{TableBuilder, WarmUp},
    EngineName, Incarnation, Instant,
};
use expect_test::expect;

use crate::{name, position, server, LINK_MBPS};

fn time(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn named(name: &str) -> Server {
    Server {
        name: EngineName::new(name).unwrap(),
        ..server(false)
    }
}

/// Returns a read in which each server states its time until it is warm, if it does, in milliseconds.
fn read(servers: &[(&Server, Option<u64>)], next: u64) -> ServersRead {
    let changes = servers.iter().map(|(server, _)| (*server).clone());
    let cold_time = |(server, stated): &(&Server, Option<u64>)| {
        Some(ColdTime {
            server: server.key(),
            remaining: Duration::from_millis((*stated)?),
        })
    };
    ServersRead {
        changes: changes.map(ServerChange::Present).collect(),
        cold_times: servers.iter().filter_map(cold_time).collect(),
        full: false,
        next: position(next),
    }
}

/// Creates a feed whose pool of servers stays cold for 3 s.
fn feed() -> Feed {
    let feed = Feed::new(&name(1), LINK_MBPS);
    let mut table = TableBuilder::new(1);
    let warm_up = WarmUp {
        duration: Duration::from_secs(3),
        limit: RateLimit::from_per_second(17.0).unwrap(),
    };
    table.add_warm_up(named("a").pool, warm_up);
    feed.replace_routes_if_newer(table.build().unwrap(), "test");
    feed
}

/// Describes until when which of `servers` are cold, and how often subscribers were notified.
fn state(feed: &Feed, servers: &[&Server], ms: u64) -> String {
    let warm_at = |server: &&Server| {
        let cold = feed.warm_ups.get(server.key(), time(ms))?;
        Some(format!(
            "{} until {}",
            server.name,
            cold.warm_at.as_micros() / 1_000
        ))
    };
    let cold: Vec<_> = servers.iter().filter_map(warm_at).collect();
    let changes = feed.revisions().borrow().changes;
    format!("{ms}: {cold:?}, notified {changes}")
}

#[test]
fn heartbeats_of_a_cold_server_change_nothing() {
    let (feed, a) = (feed(), named("a"));
    let mut lines = Vec::new();
    for (ms, stated) in [
        (1_000, 0),
        (2_000, 3_000),
        (3_200, 1_850),
        (4_400, 540),
        (5_600, 0),
        (6_800, 2_000),
        (8_000, 3_000),
        (8_500, 0),
    ] {
        feed.apply_server_list(read(&[(&a, Some(stated))], ms), time(ms));
        lines.push(state(&feed, &[&a], ms));
    }
    expect![[r#"
        1000: [], notified 2
        2000: ["a until 5000"], notified 3
        3200: ["a until 5000"], notified 3
        4400: ["a until 5000"], notified 3
        5600: [], notified 3
        6800: ["a until 8800"], notified 5
        8000: ["a until 11000"], notified 6
        8500: [], notified 7"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn servers_that_start_under_traffic_are_cold_unless_they_say_otherwise() {
    let (feed, a, b, c) = (feed(), named("a"), named("b"), named("c"));
    let all = [&a, &b, &c];
    feed.apply_server_list(read(&[(&a, None)], 1), time(1_000));
    let mut lines = vec![state(&feed, &all, 1_000)];
    feed.apply_server_list(
        read(&[(&a, None), (&b, None), (&c, Some(0))], 2),
        time(2_000),
    );
    lines.push(state(&feed, &all, 2_000));
    let restarted = Server {
        incarnation: Incarnation(2),
        ..a
    };
    feed.apply_server_list(read(&[(&restarted, None)], 3), time(6_000));
    lines.push(state(&feed, &[&restarted, &b, &c], 6_000));
    // Removals are delayed after a time without answers.
    feed.apply_server_list(read(&[], 4), time(18_000));
    feed.apply_server_list(read(&[], 5), time(20_000));
    let mut gone = read(&[], 6);
    gone.changes = vec![ServerChange::Absent(c.name.clone())];
    feed.apply_server_list(gone, time(20_500));
    feed.apply_server_list(read(&[(&c, None)], 7), time(21_000));
    lines.push(state(&feed, &[&restarted, &b, &c], 21_000));
    feed.record_returned(&c.domain, time(30_000));
    lines.push(state(&feed, &[&restarted, &b, &c], 30_000));
    expect![[r#"
        1000: [], notified 2
        2000: ["b until 5000"], notified 3
        6000: ["a until 9000"], notified 4
        21000: ["c until 24000"], notified 7
        30000: ["a until 33000", "b until 33000", "c until 33000"], notified 8"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn registrations_from_before_a_return_do_not_end_it() {
    let (feed, a) = (feed(), named("a"));
    feed.apply_server_list(read(&[(&a, Some(0))], 1), time(1_000));
    feed.record_returned(&a.domain, time(2_000));
    let mut lines = Vec::new();
    for (ms, stated) in [(2_100, 0), (3_300, 0), (4_300, 0)] {
        feed.apply_server_list(read(&[(&a, Some(stated))], ms), time(ms));
        lines.push(state(&feed, &[&a], ms));
    }
    feed.record_returned(&a.domain, time(8_000));
    for (ms, stated) in [(8_500, 0), (9_000, 2_900), (10_300, 1_600)] {
        feed.apply_server_list(read(&[(&a, Some(stated))], ms), time(ms));
        lines.push(state(&feed, &[&a], ms));
    }
    expect![[r#"
        2100: ["a until 5000"], notified 3
        3300: ["a until 5000"], notified 3
        4300: [], notified 4
        8500: ["a until 11000"], notified 6
        9000: ["a until 11900"], notified 7
        10300: ["a until 11900"], notified 7"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn reports_of_other_routers_are_bounded() {
    let warm_ups = WarmUps::default();
    let report = |remaining_ms| WarmUpReport {
        server: server(false).key(),
        remaining_ms,
    };
    let mut lines = Vec::new();
    for remaining_ms in [0, u32::MAX, 600_001, 2_000, 2_100, 0] {
        let changes = warm_ups.receive(&[report(remaining_ms)], time(1_000));
        let reports = warm_ups.reports(time(1_500));
        let left: Vec<_> = reports.iter().map(|report| report.remaining_ms).collect();
        lines.push(format!("{remaining_ms}: changes {changes}, then {left:?}"));
    }
    warm_ups.receive(&[report(2_000)], time(5_000));
    let expired = [6_999, 7_000].map(|ms| warm_ups.expire(time(ms)));
    lines.push(format!(
        "expired {expired:?}, empty {}",
        warm_ups.is_empty()
    ));
    expect![[r#"
        0: changes 0, then []
        4294967295: changes 0, then []
        600001: changes 0, then []
        2000: changes 1, then [1500]
        2100: changes 0, then [1500]
        0: changes 1, then []
        expired [0, 1], empty true"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn the_servers_of_a_domain_are_cold_once_its_evacuation_has_ended() {
    let feed = feed();
    let a = named("a");
    feed.apply_server_list(read(&[(&a, Some(0))], 2), time(500));
    let change = |change: EvacuationChange| EvacuationsRead {
        changes: vec![change],
        is_complete: false,
    };
    let begun = change(EvacuationChange::Begun(a.domain.clone()));
    feed.apply_evacuations(&begun, position(3), time(1_000));
    let during = state(&feed, &[&a], 1_500);
    let ended = change(EvacuationChange::Ended(a.domain.clone()));
    feed.apply_evacuations(&ended, position(4), time(9_000));
    let after = state(&feed, &[&a], 9_500);
    expect![[r#"
        1500: [], notified 3
        9500: ["a until 12000"], notified 5"#]]
    .assert_eq(&format!("{during}\n{after}"));
}
