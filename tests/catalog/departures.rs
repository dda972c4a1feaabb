//! Servers that announce themselves that they leave.

use ebonyspur::{
    catalog::{Server, ServerChange, ServerKey, ServerRegistry},
    Incarnation, Instant,
};
use expect_test::expect;

use super::{present, registry_with_three_servers, server};

fn time(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn key(name: &str) -> ServerKey {
    server(name, false).key()
}

/// Returns the servers as requests see them, and the number of those announced to other routers.
fn seen(registry: &ServerRegistry) -> String {
    let name = |s: &Server| format!("{}{} ", s.name, if s.leaving { "-leaving" } else { "" });
    let servers: String = registry.effective_servers().iter().map(name).collect();
    format!("{servers}announced {}", registry.announced_leaving().len())
}

#[test]
fn a_server_that_says_that_it_leaves_does_so_until_it_starts_again() {
    let mut registry = registry_with_three_servers();
    let mut lines = Vec::new();
    assert!(registry.record_leaving(key("a"), time(100)));
    assert!(!registry.record_leaving(key("a"), time(200)));
    lines.push(seen(&registry));
    registry.apply(vec![present("a")], false, time(5_000));
    lines.push(format!("list says it stays: {}", seen(&registry)));
    let leaving = ServerChange::Present(server("a", true));
    registry.apply(vec![leaving], false, time(5_500));
    lines.push(format!("list says it leaves: {}", seen(&registry)));
    let restarted = Server {
        incarnation: Incarnation(2),
        ..server("a", false)
    };
    registry.apply(vec![ServerChange::Present(restarted)], false, time(6_000));
    lines.push(format!("restarted: {}", seen(&registry)));
    expect![[r#"
        a-leaving b c announced 1
        list says it stays: a-leaving b c announced 1
        list says it leaves: a-leaving b c announced 0
        restarted: a b c announced 0"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_server_that_stays_is_used_again_after_two_minutes() {
    let mut registry = registry_with_three_servers();
    registry.record_leaving(key("a"), time(0));
    let mut lines = Vec::new();
    for ms in [119_000, 120_000] {
        let changed = registry.apply(Vec::new(), false, time(ms));
        lines.push(format!("{ms}: changed {changed} {}", seen(&registry)));
    }
    expect![[r#"
        119000: changed false a-leaving b c announced 1
        120000: changed true a b c announced 0"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn the_word_of_other_routers_does_not_empty_a_pool() {
    let mut registry = registry_with_three_servers();
    let mut lines = Vec::new();
    registry.receive_leaving(&[key("a"), ServerKey(7)], time(0));
    lines.push(seen(&registry));
    registry.receive_leaving(&[key("b"), key("c")], time(100));
    lines.push(format!("all: {}", seen(&registry)));
    registry.record_leaving(key("b"), time(200));
    lines.push(format!("one by its own word: {}", seen(&registry)));
    expect![[r#"
        a-leaving b c announced 0
        all: a b c announced 0
        one by its own word: a b-leaving c announced 1"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn the_word_that_a_router_which_starts_is_told_ends_when_it_does_at_the_others() {
    let (mut running, mut started) = (registry_with_three_servers(), registry_with_three_servers());
    running.receive_leaving(&[key("a")], time(0));
    let mut lines = Vec::new();
    // The clock of the one that starts is 90 s behind.
    started.receive_departure_reports(&running.departure_reports(time(100_000)), time(10_000));
    for ms in [10_000, 29_000, 30_000] {
        running.settle(time(ms + 90_000));
        started.settle(time(ms));
        lines.push(format!("{ms}: {} | {}", seen(&running), seen(&started)));
    }
    expect![[r#"
        10000: a-leaving b c announced 0 | a-leaving b c announced 0
        29000: a-leaving b c announced 0 | a-leaving b c announced 0
        30000: a b c announced 0 | a b c announced 0"#]]
    .assert_eq(&lines.join("\n"));
}
