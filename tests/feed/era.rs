//! Reads of a store that comes back from a copy some seconds old.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use ebonyspur::{
    catalog::ServerChange,
    feed::{
        follow_servers, Feed, FleetSnapshot, Position, RoutesRead, ServersRead, Store, StoreEra,
    },
    presence::Presence,
    Clock, Error, Instant, Offset, Result,
};
use expect_test::expect;

use crate::{leaving, name, server, LINK_MBPS};

fn at_era(era: u64, offset: u64) -> Position {
    Position::new(StoreEra(era), Offset(offset))
}

fn read(is_leaving: bool, full: bool, next: Position) -> ServersRead {
    ServersRead {
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
