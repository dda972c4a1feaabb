//! A list that comes back from a copy some seconds old.

use ebonyspur::{
    catalog::{Server, ServerChange, ServerRegistry},
    Incarnation, Instant,
};
use expect_test::expect;

use crate::{
    absent, apply_every_400_ms, present, registry_with_three_servers, server, server_names,
};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Returns a registry that knows that `a` has been removed and that `b` leaves, to which a copy
/// from before came back at 1,000.
fn registry_before_a_restored_list() -> ServerRegistry {
    let mut registry = registry_with_three_servers();
    let leaving = ServerChange::Present(server("b", true));
    registry.apply(vec![absent("a"), leaving], false, at(400));
    registry.record_restoration(at(1_000));
    registry
}

#[test]
fn a_restored_list_brings_back_no_server_that_was_known_to_leave() {
    let mut registry = registry_before_a_restored_list();
    let copy = vec![present("a"), present("b"), present("c")];
    registry.apply(copy, true, at(1_000));
    let lines = [
        format!("1000: {}", server_names(&registry)),
        // The server that leaves has gone, and nobody renews its entry.
        apply_every_400_ms(&mut registry, 1_400, 4_600, vec![]),
        apply_every_400_ms(&mut registry, 4_800, 4_800, vec![absent("a"), absent("b")]),
        apply_every_400_ms(&mut registry, 5_200, 9_200, vec![]),
    ];
    expect![[r#"
        1000: b-leaving c
        4600: b-leaving c
        4800: c
        9200: c"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn what_a_server_writes_after_the_list_came_back_counts() {
    let mut registry = registry_before_a_restored_list();
    let copy = vec![present("a"), present("b"), present("c")];
    registry.apply(copy, true, at(1_000));
    let mut again = server("b", false);
    again.incarnation = Incarnation(2);
    let lines = [
        apply_every_400_ms(&mut registry, 1_400, 1_400, vec![present("a")]),
        apply_every_400_ms(
            &mut registry,
            1_800,
            1_800,
            vec![ServerChange::Present(again)],
        ),
        apply_every_400_ms(
            &mut registry,
            2_200,
            2_200,
            vec![ServerChange::Present(server("c", true))],
        ),
    ];
    expect![[r#"
        1400: a b-leaving c
        1800: a b c
        2200: a b c-leaving"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_removed_server_whose_restored_entry_is_renewed_runs() {
    let mut registry = registry_before_a_restored_list();
    registry.apply(vec![present("a"), present("c")], true, at(1_000));
    // Renewals change nothing in the list; entries that nobody renews have lapsed by then.
    let lines = [
        apply_every_400_ms(&mut registry, 1_400, 6_600, vec![]),
        apply_every_400_ms(&mut registry, 7_000, 7_000, vec![]),
    ];
    expect![[r#"
        6600: c
        7000: a c"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn servers_that_a_restored_list_lacks_have_time_to_register_again() {
    let mut registry = registry_with_three_servers();
    registry.record_restoration(at(1_000));
    registry.apply(vec![present("a")], true, at(1_000));
    let lines = [
        apply_every_400_ms(&mut registry, 1_400, 2_600, vec![present("b")]),
        apply_every_400_ms(&mut registry, 3_000, 3_400, vec![]),
    ];
    expect![[r#"
        2600: a b c
        3400: a b"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn the_restored_list_of_a_router_that_just_started_brings_back_no_leaving_server() {
    let mut registry = registry_before_a_restored_list();
    let list = |servers: &[(&str, bool)]| -> Vec<Server> {
        let servers = servers.iter();
        servers
            .map(|(name, leaving)| server(name, *leaving))
            .collect()
    };
    let mut lines = Vec::new();
    for (millis, servers) in [
        (1_000, list(&[("a", false), ("b", false)])),
        (2_000, list(&[("a", false), ("b", false), ("d", false)])),
        (3_300, list(&[("a", false), ("b", true), ("d", false)])),
        (5_000, list(&[("d", true)])),
        (7_000, list(&[("d", false)])),
    ] {
        registry.replace(servers, at(millis));
        lines.push(format!("{millis}: {}", server_names(&registry)));
    }
    expect![[r#"
        1000: b-leaving c
        2000: b-leaving c d
        3300: b-leaving d
        5000: d-leaving
        7000: d"#]]
    .assert_eq(&lines.join("\n"));
}
