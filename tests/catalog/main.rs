//! Servers through changes and outages of the list.

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

fn names(keeper: &ServerRegistry) -> String {
    let name = |s: &Server| format!("{}{}", s.name, if s.leaving { "-leaving" } else { "" });
    keeper.servers().map(name).collect::<Vec<_>>().join(" ")
}

/// Answers the keeper each 400 ms from `from` to `to`, with `changes` in the first answer.
fn answer(keeper: &mut ServerRegistry, from: u64, to: u64, changes: Vec<ServerChange>) -> String {
    let mut changes = Some(changes);
    for at in (from..=to).step_by(400) {
        let now = Instant::from_millis(at);
        keeper.apply(changes.take().unwrap_or_default(), false, now);
    }
    format!("{to}: {}", names(keeper))
}

fn started() -> ServerRegistry {
    let mut keeper = ServerRegistry::default();
    let all = vec![present("a"), present("b"), present("c")];
    keeper.apply(all, true, Instant::from_millis(0));
    keeper
}

#[test]
fn servers_come_leave_and_go_at_once_while_the_list_answers() {
    let mut keeper = started();
    let lines = [
        answer(&mut keeper, 400, 400, vec![present("d"), absent("a")]),
        answer(
            &mut keeper,
            800,
            800,
            vec![ServerChange::Present(server("b", true))],
        ),
        answer(
            &mut keeper,
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
fn entries_that_lapsed_in_an_outage_count_again_when_their_servers_had_time_to_register() {
    let mut keeper = started();
    keeper.record_failure(Instant::from_millis(500));
    let lapsed = vec![
        absent("a"),
        absent("b"),
        ServerChange::Present(server("c", true)),
    ];
    let lines = [
        answer(&mut keeper, 6_000, 7_200, lapsed),
        answer(&mut keeper, 7_600, 7_600, vec![present("a")]),
        // 2.2 s after the first answer what is still missing is gone.
        answer(&mut keeper, 8_000, 8_400, vec![]),
    ];
    expect![[r#"
        7200: a b c-leaving
        7600: a b c-leaving
        8400: a c-leaving"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_whole_list_replaces_what_is_not_in_it() {
    let mut keeper = started();
    let changed = keeper.apply(vec![present("b")], true, Instant::from_millis(300));
    assert!(changed);
    expect!["b"].assert_eq(&names(&keeper));
    assert!(!keeper.apply(vec![present("b")], true, Instant::from_millis(600)));
}

#[test]
fn a_gap_in_which_no_entry_can_lapse_is_no_outage() {
    let mut keeper = started();
    expect!["2300: b c"].assert_eq(&answer(&mut keeper, 2_300, 2_300, vec![absent("a")]));
}

#[test]
fn servers_with_similar_names_that_start_at_nearly_the_same_time_have_different_keys() {
    let mut keys = std::collections::BTreeSet::new();
    for number in 0..10 {
        for life in 0..200 {
            let mut server = server(&format!("e-{number}"), false);
            server.incarnation = Incarnation(1_796_386_714_045 + life);
            keys.insert(server.key());
        }
    }
    assert_eq!(keys.len(), 2_000);
}
