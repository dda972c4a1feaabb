//! The server registry across changes and outages of the server list.

mod departures;
mod restored;
mod server_loads;

use ebonyspur::{
    catalog::{Server, ServerChange, ServerRegistry},
    DomainName, EngineName, Incarnation, Instant, PoolName,
};
use expect_test::expect;

fn server(name: &str, leaving: bool) -> Server {
    Server {
        name: EngineName::new(name).unwrap(),
        pool: PoolName::new("writers").unwrap(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: DomainName::new("d1").unwrap(),
        incarnation: Incarnation(1),
        slots: 4,
        leaving,
    }
}

fn present(name: &str) -> ServerChange {
    ServerChange::Present(server(name, false))
}

fn absent(name: &str) -> ServerChange {
    ServerChange::Absent(EngineName::new(name).unwrap())
}

fn server_names(registry: &ServerRegistry) -> String {
    let name = |s: &Server| format!("{}{}", s.name, if s.leaving { "-leaving" } else { "" });
    registry.servers().map(name).collect::<Vec<_>>().join(" ")
}

/// Applies an answer of the list every 400 ms from `from` to `to`, `changes` with the first one.
///
/// Returns `to` and the names of the servers in the registry after the last answer.
fn apply_every_400_ms(
    registry: &mut ServerRegistry,
    from: u64,
    to: u64,
    changes: Vec<ServerChange>,
) -> String {
    let mut changes = Some(changes);
    for at in (from..=to).step_by(400) {
        let now = Instant::from_millis(at);
        registry.apply(changes.take().unwrap_or_default(), false, now);
    }
    format!("{to}: {}", server_names(registry))
}

fn registry_with_three_servers() -> ServerRegistry {
    let mut registry = ServerRegistry::default();
    let all = vec![present("a"), present("b"), present("c")];
    registry.apply(all, true, Instant::from_millis(0));
    registry
}

#[test]
fn changes_apply_immediately_while_the_list_answers() {
    let mut registry = registry_with_three_servers();
    let lines = [
        apply_every_400_ms(&mut registry, 400, 400, vec![present("d"), absent("a")]),
        apply_every_400_ms(
            &mut registry,
            800,
            800,
            vec![ServerChange::Present(server("b", true))],
        ),
        apply_every_400_ms(
            &mut registry,
            1_200,
            1_200,
            vec![absent("b"), absent("nobody")],
        ),
    ];
    expect![[r#"
        400: b c d
        800: b-leaving c d
        1200: c d"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn removals_after_an_outage_wait_until_servers_had_time_to_register_again() {
    let mut registry = registry_with_three_servers();
    registry.record_failure(Instant::from_millis(500));
    let expired = vec![
        absent("a"),
        absent("b"),
        ServerChange::Present(server("c", true)),
    ];
    let lines = [
        apply_every_400_ms(&mut registry, 6_000, 7_200, expired),
        apply_every_400_ms(&mut registry, 7_600, 7_600, vec![present("a")]),
        // 2.2 s after the first answer, the servers that are still missing are removed.
        apply_every_400_ms(&mut registry, 8_000, 8_400, vec![]),
    ];
    expect![[r#"
        7200: a b c-leaving
        7600: a b c-leaving
        8400: a c-leaving"#]]
    .assert_eq(&lines.join("\n"));
}

/// Records every 300 ms from `from` to `to` that another router is current, whose data may be
/// 1.3 s old.
fn peers_are_current(registry: &mut ServerRegistry, from: u64, to: u64) {
    for at in (from..=to).step_by(300) {
        let earliest = Instant::from_millis(at.saturating_sub(1_300));
        registry.record_answer_between(earliest, Instant::from_millis(at));
    }
}

#[test]
fn removals_are_not_delayed_when_only_the_reads_of_this_router_failed() {
    let mut registry = registry_with_three_servers();
    registry.record_failure(Instant::from_millis(1_400));
    peers_are_current(&mut registry, 300, 2_400);
    expect!["2500: a c"].assert_eq(&apply_every_400_ms(
        &mut registry,
        2_500,
        2_500,
        vec![absent("b")],
    ));
}

#[test]
fn removals_after_an_outage_wait_although_other_routers_are_current_again_before_this_one() {
    let mut registry = registry_with_three_servers();
    peers_are_current(&mut registry, 300, 900);
    // The list is silent from 300 to 5,000; data of other routers is current up to 1,600.
    peers_are_current(&mut registry, 1_200, 1_500);
    peers_are_current(&mut registry, 5_100, 5_400);
    let expired = vec![absent("a"), absent("b")];
    let lines = [
        apply_every_400_ms(&mut registry, 5_500, 5_900, expired),
        apply_every_400_ms(&mut registry, 6_300, 6_300, vec![present("a")]),
        apply_every_400_ms(&mut registry, 6_700, 7_500, vec![]),
    ];
    expect![[r#"
        5900: a b c
        6300: a b c
        7500: a c"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn complete_list_removes_the_servers_that_it_does_not_name() {
    let mut registry = registry_with_three_servers();
    let changed = registry.apply(vec![present("b")], true, Instant::from_millis(300));
    assert!(changed);
    expect!["b"].assert_eq(&server_names(&registry));
    assert!(!registry.apply(vec![present("b")], true, Instant::from_millis(600)));
}

#[test]
fn gap_too_short_for_entries_to_expire_is_no_outage() {
    let mut registry = registry_with_three_servers();
    expect!["2300: b c"].assert_eq(&apply_every_400_ms(
        &mut registry,
        2_300,
        2_300,
        vec![absent("a")],
    ));
}

#[test]
fn servers_with_similar_names_and_incarnations_have_different_keys() {
    let mut keys = std::collections::BTreeSet::new();
    for number in 0..10 {
        for incarnation in 0..200 {
            let mut server = server(&format!("e-{number}"), false);
            server.incarnation = Incarnation(1_796_386_714_045 + incarnation);
            keys.insert(server.key());
        }
    }
    assert_eq!(keys.len(), 2_000);
}
