//! Reads of a store that comes back from a copy some seconds old.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use ebonyspur::{
    catalog::{Server, ServerChange},
    feed::{
        follow_servers, Feed, FleetSnapshot, Position, RoutesRead, ServersRead, Store, StoreEra,
    },
    presence::Presence,
    Clock, EngineName, Error, Instant, Offset, Result,
};
use expect_test::expect;

use crate::{leaving, name, server, LINK_MBPS};

fn at_era(era: u64, offset: u64) -> Position {
    Position::new(StoreEra(era), Offset(offset))
}

fn read(is_leaving: bool, full: bool, next: Position) -> ServersRead {
    ServersRead {
        cold_times: Vec::new(),
        changes: vec![ServerChange::Present(server(is_leaving))],
        full,
        next,
    }
}

#[test]
fn a_list_of_a_later_era_is_taken_although_its_offset_is_lower() {
    let feed = Feed::new(&name(1), LINK_MBPS);
    let at = Instant::from_millis;
    let mut lines = Vec::new();
    for (millis, is_leaving, full, next) in [
        (100, false, true, at_era(1, 18)),
        (200, false, true, at_era(2, 12)),
        (300, true, false, at_era(2, 13)),
        // Reads that began before another router sent what is known.
        (400, false, false, at_era(2, 12)),
        (500, false, true, at_era(1, 19)),
    ] {
        let known = feed.apply_server_list(read(is_leaving, full, next), at(millis));
        let (era, offset) = (next.era, next.offset);
        let is_leaving = leaving(&feed);
        lines.push(format!("{era}:{offset} known {known} leaving {is_leaving}"));
    }
    expect![[r#"
        1:18 known true leaving false
        2:12 known true leaving false
        2:13 known true leaving true
        2:12 known true leaving true
        1:19 known false leaving true"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_list_of_an_earlier_era_from_another_router_is_ignored() {
    let feed = Feed::new(&name(1), LINK_MBPS);
    let at = Instant::from_millis;
    feed.replace_servers(vec![server(false)], at_era(2, 12), at(100));
    feed.replace_servers(vec![server(true)], at_era(1, 30), at(200));
    assert!(!leaving(&feed));
    assert_eq!(feed.next_servers(), Some(at_era(2, 12)));
    feed.replace_servers(vec![server(true)], at_era(3, 1), at(300));
    assert!(leaving(&feed));
    assert_eq!(feed.next_servers(), Some(at_era(3, 1)));
}

/// A store that answers reads of the list of servers with `answers`, and then with the last one.
struct ScriptedStore {
    answers: Mutex<VecDeque<Position>>,
    reads: Mutex<Vec<Option<Position>>>,
}

impl Store for ScriptedStore {
    async fn read_servers(&self, from: Option<Position>, _: Duration) -> Result<ServersRead> {
        self.reads.lock().expect("reads").push(from);
        let mut answers = self.answers.lock().expect("answers");
        let next = match answers.len() {
            1 => answers[0],
            _ => answers.pop_front().expect("an answer"),
        };
        Ok(read(false, true, next))
    }

    async fn read_routes(&self, _: Option<Position>, _: Duration) -> Result<RoutesRead> {
        Err(Error::not_run(
            ebonyspur::Category::LogUnavailable,
            "not scripted",
        ))
    }

    async fn save_snapshot(&self, _: &FleetSnapshot) -> Result<()> {
        Ok(())
    }

    async fn load_snapshot(&self) -> Result<FleetSnapshot> {
        Ok(FleetSnapshot::default())
    }
}

#[tokio::test]
async fn a_read_of_an_earlier_era_is_not_current_and_not_repeated_at_once() {
    let store = Arc::new(ScriptedStore {
        answers: Mutex::new([at_era(2, 12), at_era(1, 30)].into()),
        reads: Mutex::default(),
    });
    let feed = Arc::new(Feed::new(&name(1), LINK_MBPS));
    let presence = Arc::new(Presence::new(name(1), ([127, 0, 0, 1], 1).into()));
    let clock = Clock::new();
    let following = follow_servers(store.clone(), feed.clone(), presence, clock);
    let until = Duration::from_millis(1_000);
    tokio::time::timeout(until, following)
        .await
        .expect_err("no end");
    let reads = store.reads.lock().expect("reads").clone();
    // The first read, and then one each 400 ms.
    assert!(reads.len() <= 4, "{} reads in a second", reads.len());
    assert_eq!(reads[0], None);
    assert!(reads[1..].iter().all(|from| *from == Some(at_era(2, 12))));
    let current_at = feed.servers_current_at().expect("a time");
    let age = clock.now().since(current_at);
    assert!(age >= Duration::from_millis(900), "current {age:?} ago");
}

#[test]
fn a_removed_server_that_a_restored_store_names_and_that_runs_comes_back_at_subscribers() {
    let at = Instant::from_millis;
    let named = |name: &str| Server {
        name: EngineName::new(name).unwrap(),
        ..server(false)
    };
    let list = |names: &[&str], full, next| ServersRead {
        cold_times: Vec::new(),
        changes: names
            .iter()
            .map(|n| ServerChange::Present(named(n)))
            .collect(),
        full,
        next,
    };
    let follower = Feed::new(&name(1), LINK_MBPS);
    let subscriber = Feed::new(&name(2), LINK_MBPS);
    let pass_on = |now| {
        let (servers, next) = follower.servers().expect("a list");
        subscriber.replace_servers(servers, next, now);
        subscriber.record_current(now, now);
        let count = |feed: &Feed| feed.servers().expect("a list").0.len();
        format!("{} {}", count(&follower), count(&subscriber))
    };
    let mut lines = Vec::new();
    follower.apply_server_list(list(&["a", "b"], true, at_era(1, 10)), at(100));
    lines.push(format!("both known: {}", pass_on(at(100))));
    let gone = ServersRead {
        cold_times: Vec::new(),
        changes: vec![ServerChange::Absent(EngineName::new("a").unwrap())],
        full: false,
        next: at_era(1, 11),
    };
    follower.apply_server_list(gone, at(500));
    lines.push(format!("one removed: {}", pass_on(at(500))));
    // Renewals of the restored entry of `a` change nothing in the list.
    follower.apply_server_list(list(&["a", "b"], true, at_era(2, 8)), at(1_000));
    lines.push(format!("restored: {}", pass_on(at(1_000))));
    for now in (1_400..=9_000).step_by(400) {
        follower.apply_server_list(list(&[], false, at_era(2, 8)), at(now));
        lines.push(format!("{now}: {}", pass_on(at(now))));
    }
    let last = lines.pop().expect("a line");
    expect!["9000: 2 2"].assert_eq(&last);
}

#[test]
fn a_router_that_starts_after_the_restoration_drops_the_removed_servers_of_the_copy() {
    let at = Instant::from_millis;
    let other = Server {
        name: EngineName::new("e-2").unwrap(),
        ..server(false)
    };
    let both = |next| ServersRead {
        cold_times: Vec::new(),
        changes: vec![
            ServerChange::Present(server(false)),
            ServerChange::Present(other.clone()),
        ],
        full: true,
        next,
    };
    let running = Feed::new(&name(1), LINK_MBPS);
    running.apply_server_list(both(at_era(1, 10)), at(100));
    let gone = ServersRead {
        cold_times: Vec::new(),
        changes: vec![ServerChange::Absent(server(false).name)],
        full: false,
        next: at_era(1, 11),
    };
    running.apply_server_list(gone, at(500));
    running.apply_server_list(both(at_era(2, 8)), at(1_000));
    let started = Feed::new(&name(2), LINK_MBPS);
    started.apply_server_list(both(at_era(2, 8)), at(50));
    let names = |feed: &Feed| {
        let (servers, _) = feed.servers().expect("a list");
        let names: Vec<_> = servers.iter().map(|s| s.name.to_string()).collect();
        names.join(" ")
    };
    let mut lines = vec![format!("from the store: {}", names(&started))];
    let pass_on = |now| {
        let (servers, version) = running.servers().expect("a list");
        started.replace_servers(servers, version, at(now));
        names(&started)
    };
    lines.push(format!("fed by the other: {}", pass_on(300)));
    // The entry was renewed after all.
    running.apply_server_list(both(at_era(2, 8)), at(6_800));
    lines.push(format!("believed by the other: {}", pass_on(6_100)));
    expect![[r#"
        from the store: e-1 e-2
        fed by the other: e-2
        believed by the other: e-1 e-2"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_removed_server_that_runs_comes_back_at_routers_that_are_fed_by_a_subscriber() {
    let at = Instant::from_millis;
    let running = || vec![ServerChange::Present(server(false))];
    let list = |changes, full, next| ServersRead {
        cold_times: Vec::new(),
        changes,
        full,
        next,
    };
    let feeds = [1, 2, 3].map(|number| Feed::new(&name(number), LINK_MBPS));
    let pass_on = |from: usize, now: u64| {
        let (servers, version) = feeds[from].servers().expect("a list");
        feeds[from + 1].replace_servers(servers, version, at(now));
        feeds[from + 1].record_current(at(now), at(now));
    };
    let gone = vec![ServerChange::Absent(server(false).name)];
    feeds[0].apply_server_list(list(running(), true, at_era(1, 10)), at(100));
    pass_on(0, 150);
    pass_on(1, 200);
    feeds[0].apply_server_list(list(gone, false, at_era(1, 11)), at(500));
    pass_on(0, 550);
    pass_on(1, 600);
    // Each router learns of the restoration later than the one before it.
    feeds[0].apply_server_list(list(running(), true, at_era(2, 8)), at(1_000));
    pass_on(0, 1_100);
    pass_on(1, 1_200);
    feeds[0].apply_server_list(list(Vec::new(), false, at_era(2, 8)), at(6_800));
    pass_on(0, 6_810);
    pass_on(1, 6_820);
    feeds[1].record_current(at(6_900), at(6_900));
    pass_on(1, 6_910);
    feeds[2].record_current(at(7_000), at(7_000));
    let counts = feeds.map(|feed| feed.servers().expect("a list").0.len());
    assert_eq!(counts, [1, 1, 1]);
}
