//! The route table: lookup, replacement and validation.

use std::time::Duration;

use ebonyspur::{
    routes::{ActiveRoutes, Route, RouteKind, RouteTable, TableBuilder, Target, Team},
    PoolName, TeamName,
};
use expect_test::expect;

fn route(host: &str, prefix: &str, pool: &str) -> Route {
    Route {
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout: None,
        response_time_goal: Duration::from_millis(100),
        priority: 1,
        targets: [Target {
            pool: PoolName::new(pool).unwrap(),
            weight: 1,
        }]
        .into(),
        max_attempts: 1,
        anonymous: false,
        sticky: false,
    }
}

fn table(version: u64, routes: &[(&str, &str, &str)]) -> RouteTable {
    let mut table = TableBuilder::new(version);
    for (host, prefix, pool) in routes {
        table.add_route(route(host, prefix, pool));
    }
    table.build().expect("the table is valid")
}

#[test]
fn route_with_the_longest_matching_prefix_of_the_host_is_found() {
    let table = table(
        1,
        &[
            ("a", "/x/", "short"),
            ("a", "/x/y/", "long"),
            ("b", "/", "all"),
            ("c", "/x/", "other"),
        ],
    );
    let find = |host: &str, path: &str| {
        let route = table.find(host, path);
        format!(
            "{host}{path} -> {}",
            route.map_or("none", |r| r.targets[0].pool.as_str())
        )
    };
    let lines = [
        find("a", "/x/1"),
        find("a", "/x/y/1"),
        find("a", "/x/y"),
        find("a", "/x"),
        find("a", "/z/"),
        find("b", "/anything"),
        find("aa", "/x/1"),
        find("", "/x/1"),
    ];
    expect![[r#"
        a/x/1 -> short
        a/x/y/1 -> long
        a/x/y -> short
        a/x -> none
        a/z/ -> none
        b/anything -> all
        aa/x/1 -> none
        /x/1 -> none"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn table_is_replaced_only_by_a_newer_version() {
    let routes = ActiveRoutes::default();
    let replaced = [3, 2, 3, 7, 5].map(|version| routes.replace_if_newer(table(version, &[])));
    expect!["[true, false, false, true, false] in force 7"]
        .assert_eq(&format!("{replaced:?} in force {}", routes.version()));
}

#[test]
fn build_reports_all_faults_of_a_table() {
    let mut table = TableBuilder::new(1);
    table.add_route(Route {
        targets: [].into(),
        ..route("a", "/empty/", "p")
    });
    for name in ["one", "two"] {
        let team = Team {
            name: TeamName::new(name).unwrap(),
            priority: None,
        };
        table.add_team(team, ["shared"].into_iter());
    }
    expect!["bad_input: /empty/: no pool; two: key of two teams"]
        .assert_eq(&table.build().expect_err("the table has faults").to_string());
}

#[test]
fn a_route_without_a_pool_is_not_decoded() {
    let whole = table(1, &[("a", "/x/", "writers")]);
    let bytes = postcard::to_stdvec(&whole).unwrap();
    assert_eq!(postcard::from_bytes(&bytes).ok(), Some(whole));
    let targets = b"\x01\x07writers\x01";
    let at = bytes.windows(targets.len()).position(|w| w == targets);
    let at = at.expect("the targets");
    let bytes = [&bytes[..at], b"\0", &bytes[at + targets.len()..]].concat();
    let decoded = postcard::from_bytes::<RouteTable>(&bytes);
    let pool = decoded.map(|table| table.find("a", "/x/1").map(|r| r.choose_pool(3).clone()));
    expect!["Err(SerdeDeCustom)"].assert_eq(&format!("{pool:?}"));
}
