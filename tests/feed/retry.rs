//! Reads of a store that fails, in a large fleet.

use std::{
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::Duration,
};

use ebonyspur::{
    feed::{
        follow_servers, retry_period, Feed, FeedNode, FeedRank, FleetSnapshot, Position,
        RoutesRead, ServersRead, Store,
    },
    presence::{Presence, StoreStatus},
    routes::TableBuilder,
    Category, Clock, Error, Result,
};
use expect_test::expect;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::sleep;

use crate::{digest, leaving, name, position, read, server, state, LINK_MBPS};

const ROUTERS: usize = 122;

/// Time between two reads of a store that fails, of a router alone.
const BASE: Duration = Duration::from_secs(1);

fn node(number: usize, is_current: bool) -> FeedNode {
    let mut router = state(number, StoreStatus::Unreachable);
    router.is_current = is_current;
    FeedNode::new(&router)
}

fn rank(number: usize) -> FeedRank {
    FeedRank::new(&name(number), LINK_MBPS)
}

/// Replays an outage of `outage` seen by all routers; returns the failed calls, and the time from
/// its end to the first read by one of the routers for which `answers` holds.
fn replay(
    outage: Duration,
    period: impl Fn(usize, f64) -> Duration,
    answers: impl Fn(usize) -> bool,
) -> (usize, Duration) {
    let mut calls = 0;
    let mut noticed = Duration::MAX;
    for number in 0..ROUTERS {
        let mut rng = Pcg64Mcg::seed_from_u64(number as u64);
        let mut at = BASE.mul_f64(rng.random_range(0.0..1.0));
        while at < outage {
            calls += 1;
            at += period(number, rng.random_range(0.75..1.25));
        }
        if answers(number) {
            noticed = noticed.min(at - outage);
        }
    }
    (calls, noticed)
}

#[test]
fn a_fleet_that_loses_the_store_repeats_few_reads_and_notices_its_return() {
    let nodes: Vec<_> = (0..ROUTERS).map(|number| node(number, false)).collect();
    let paced = |number: usize, jitter: f64| {
        let mut live = nodes.clone();
        live.remove(number);
        retry_period(BASE, rank(number), &live, jitter)
    };
    let is_first = |number: usize| paced(number, 1.0) == BASE;
    let mut lines = Vec::new();
    for secs in [7, 35] {
        let outage = Duration::from_secs(secs);
        let (without, _) = replay(outage, |_, _| BASE, |_| true);
        let (with, noticed) = replay(outage, paced, is_first);
        // The store answers again, but none of the first routers.
        let (_, partly) = replay(outage, paced, |number| !is_first(number));
        assert!(noticed <= BASE && partly <= BASE);
        lines.push(format!("{secs} s: calls {without} without, {with} with"));
    }
    expect![[r#"
        7 s: calls 854 without, 153 with
        35 s: calls 4270 without, 681 with"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_router_that_fails_alone_is_not_held_up() {
    let fleet = |out_of_date: usize| {
        let numbers = 1..ROUTERS;
        let live: Vec<_> = numbers.map(|n| node(n, n > out_of_date)).collect();
        let last = FeedRank::new(&name(0), 0);
        format!(
            "{out_of_date} others: {:?}",
            retry_period(BASE, last, &live, 1.0)
        )
    };
    expect![[r#"
        0 others: 1s
        2 others: 1s
        12 others: 1s
        60 others: 5s
        121 others: 8s"#]]
    .assert_eq(&[0, 2, 12, 60, 121].map(fleet).join("\n"));
}

/// A store that gives no answer and counts the calls.
#[derive(Default)]
struct CountingStore(AtomicUsize);

impl CountingStore {
    fn fail<T>(&self) -> Result<T> {
        self.0.fetch_add(1, Ordering::Relaxed);
        Err(Error::not_run(Category::LogUnavailable, "down"))
    }
}

impl Store for CountingStore {
    async fn read_servers(&self, _: Option<Position>, _: Duration) -> Result<ServersRead> {
        self.fail()
    }

    async fn read_routes(&self, _: Option<Position>, _: Duration) -> Result<RoutesRead> {
        self.fail()
    }

    async fn save_snapshot(&self, _: &FleetSnapshot) -> Result<()> {
        self.fail()
    }

    async fn load_snapshot(&self) -> Result<FleetSnapshot> {
        self.fail()
    }
}

#[tokio::test]
async fn a_router_reads_again_soon_once_the_others_are_current() {
    let clock = Clock::new();
    // Its link is slow, so that all others come before it.
    let feed = Arc::new(Feed::new(&name(0), 0));
    let presence = Arc::new(Presence::new(name(0), ([127, 0, 0, 1], 1).into()));
    let table = TableBuilder::new(1).build().expect("routes");
    feed.replace_routes_if_newer(table, "store");
    feed.replace_servers(vec![server(false)], position(1), clock.now());
    let store = Arc::new(CountingStore::default());
    let announce = |is_current: bool| {
        for number in 1..ROUTERS {
            let mut router = state(number, StoreStatus::Reachable);
            router.version = 1 + u64::from(is_current);
            router.is_current = is_current;
            presence.receive(&digest(router, clock.now().as_micros()), clock.now());
        }
    };
    announce(false);
    let following = follow_servers(store.clone(), feed.clone(), presence.clone(), clock);
    let following = tokio::spawn(following);
    let mut calls = Vec::new();
    for is_current in [false, true] {
        let before = store.0.load(Ordering::Relaxed);
        let started = clock.now();
        while clock.now().since(started) < Duration::from_secs(4) {
            announce(is_current);
            sleep(Duration::from_millis(50)).await;
        }
        calls.push(store.0.load(Ordering::Relaxed) - before);
    }
    following.abort();
    assert!(
        calls[0] <= 1,
        "held up while all are out of date: {calls:?}"
    );
    assert!(calls[1] >= 3, "not held up afterwards: {calls:?}");
}

/// A store of which each read of the servers ends at once with a change, and which counts them.
#[derive(Default)]
struct BusyStore(AtomicUsize);

impl Store for BusyStore {
    async fn read_servers(&self, _: Option<Position>, _: Duration) -> Result<ServersRead> {
        sleep(Duration::from_millis(50)).await;
        let next = 1 + self.0.fetch_add(1, Ordering::Relaxed) as u64;
        Ok(read(&[server(next >= LEAVING_FROM)], next))
    }

    async fn read_routes(&self, _: Option<Position>, _: Duration) -> Result<RoutesRead> {
        Err(Error::not_run(Category::LogUnavailable, "down"))
    }

    async fn save_snapshot(&self, _: &FleetSnapshot) -> Result<()> {
        Ok(())
    }

    async fn load_snapshot(&self) -> Result<FleetSnapshot> {
        Ok(FleetSnapshot::default())
    }
}

/// Number of the read from which the server says that it leaves.
const LEAVING_FROM: u64 = 2;

/// Returns the number of reads of the servers in 4 s, and when the leaving server was known, of
/// a router without routes that `others`, which are out of date too, come before.
async fn reads_without_routes(others: usize) -> (usize, Duration) {
    let clock = Clock::new();
    let feed = Arc::new(Feed::new(&name(0), 0));
    let presence = Arc::new(Presence::new(name(0), ([127, 0, 0, 1], 1).into()));
    let store = Arc::new(BusyStore::default());
    let following = follow_servers(store.clone(), feed.clone(), presence.clone(), clock);
    let following = tokio::spawn(following);
    let started = clock.now();
    let mut learned = Duration::MAX;
    while clock.now().since(started) < Duration::from_secs(4) {
        for number in 1..=others {
            let mut router = state(number, StoreStatus::Reachable);
            router.is_current = false;
            presence.receive(&digest(router, clock.now().as_micros()), clock.now());
        }
        sleep(Duration::from_millis(20)).await;
        if feed.catalog.is_known() && leaving(&feed) {
            learned = learned.min(clock.now().since(started));
        }
    }
    following.abort();
    (store.0.load(Ordering::Relaxed), learned)
}

#[tokio::test]
async fn a_router_that_reads_the_servers_for_itself_only_does_so_once_a_second() {
    let (reads, learned) = reads_without_routes(5).await;
    assert!((3..=5).contains(&reads), "{reads} reads");
    assert!(learned <= Duration::from_secs(2), "learned {learned:?}");
    let (reads, _) = reads_without_routes(0).await;
    assert!(reads > 20, "{reads} reads of the follower");
}
