//! Which router feeds which in a fleet whose links differ, as on the grown deployments.

use std::{collections::BTreeMap, sync::Arc};

use ebonyspur::{
    feed::{serve_subscribers, upstreams, Feed, FeedNode, FeedRank, Role, FAN_OUT},
    presence::StoreStatus,
    routes::TableBuilder,
    Clock, Instant,
};
use expect_test::expect;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::{name, position, server, state};

/// Number of routers of the fleet.
const FLEET: usize = 141;

/// Returns the bandwidth of a router's link in Mbit/s: each 18th has a fast one.
fn link_mbps(number: usize) -> u32 {
    match number % 18 {
        17 => 200,
        _ => 10,
    }
}

fn rank(number: usize) -> FeedRank {
    FeedRank::new(&name(number), link_mbps(number))
}

/// Returns the nodes of `live`, of which the store refuses `refused` and the first of the others
/// by rank follows it.
fn nodes(live: &[usize], refused: &[usize]) -> Vec<FeedNode> {
    let reachable = live.iter().filter(|number| !refused.contains(number));
    let follower = reachable.max_by_key(|number| rank(**number));
    let node = |number: &usize| {
        let status = match number {
            number if refused.contains(number) => StoreStatus::Unreachable,
            number if Some(number) == follower => StoreStatus::Following,
            _ => StoreStatus::Reachable,
        };
        let mut router = state(*number, status);
        router.link_mbps = link_mbps(*number);
        FeedNode::new(&router)
    };
    live.iter().map(node).collect()
}

/// Describes the tree: how many routers feed others, how many the busiest of them feeds, how
/// many of those that feed have a slow link, and the longest way from a follower.
fn describe(live: &[usize], refused: &[usize]) -> String {
    let all = nodes(live, refused);
    let by_address: BTreeMap<_, _> = all.iter().zip(live).map(|(n, i)| (n.address, *i)).collect();
    let mut fed: BTreeMap<usize, usize> = BTreeMap::new();
    let mut longest = 0;
    for (number, node) in live.iter().zip(&all) {
        let others: Vec<_> = all.iter().filter(|other| *other != node).copied().collect();
        let path = upstreams(node.rank, &others);
        let reaches_store = node.store_status != StoreStatus::Unreachable;
        let follows = Role::decide(node.rank, reaches_store, &others) == Role::Follower;
        assert_eq!(follows, path.is_empty(), "router {number}");
        longest = longest.max(path.len());
        if let Some(feeder) = path.first() {
            *fed.entry(by_address[feeder]).or_default() += 1;
        }
    }
    let busiest = fed.values().max().copied().unwrap_or_default();
    assert!(busiest <= FAN_OUT);
    let slow = fed.keys().filter(|number| link_mbps(**number) == 10);
    format!(
        "{} feed, up to {busiest} each, slow {}, {longest} hops",
        fed.len(),
        slow.count()
    )
}

#[test]
fn no_router_feeds_more_than_its_fan_out_and_fast_links_feed_most() {
    let all: Vec<_> = (0..FLEET).collect();
    let fast: Vec<_> = all.iter().copied().filter(|n| link_mbps(*n) > 10).collect();
    let slow: Vec<_> = all
        .iter()
        .copied()
        .filter(|n| link_mbps(*n) == 10)
        .collect();
    let lines = [
        ("all", describe(&all, &[])),
        ("without fast links", describe(&slow, &[])),
        ("fast links refused", describe(&all, &fast)),
        ("first five", describe(&all[..5], &[])),
        ("all refused", {
            let path = upstreams(rank(0), &nodes(&all[1..], &all));
            format!("{path:?}")
        }),
    ];
    let lines: Vec<_> = lines.map(|(case, text)| format!("{case}: {text}")).into();
    expect![[r#"
        all: 9 feed, up to 16 each, slow 2, 2 hops
        without fast links: 9 feed, up to 16 each, slow 9, 2 hops
        fast links refused: 9 feed, up to 16 each, slow 2, 2 hops
        first five: 1 feed, up to 4 each, slow 1, 1 hops
        all refused: []"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_router_that_is_out_of_date_feeds_no_others() {
    let all: Vec<_> = (0..FLEET).collect();
    let mut live = nodes(&all, &[]);
    live.sort_by_key(|node| std::cmp::Reverse(node.rank));
    let me = live.pop().expect("the last router by rank");
    let path = upstreams(me.rank, &live);
    for node in live.iter_mut().filter(|node| path[0] == node.address) {
        node.is_current = false;
    }
    let next = upstreams(me.rank, &live);
    assert_ne!(next[0], path[0]);
    assert_eq!(next.last(), path.last());
}

#[test]
fn a_router_with_a_slow_link_refuses_the_routers_beyond_its_fan_out() {
    let max = |link_mbps| FeedRank::new(&name(1), link_mbps).max_subscribers();
    expect!["10: 21, 200: 116, 700: 366"].assert_eq(&format!(
        "10: {}, 200: {}, 700: {}",
        max(10),
        max(200),
        max(700)
    ));
}

#[tokio::test]
async fn a_router_that_starts_with_many_others_is_sent_on_instead_of_crowding_a_slow_link() {
    let clock = Clock::new();
    let feed = Arc::new(Feed::new(&name(1), 10));
    let table = TableBuilder::new(1).build().expect("a table");
    feed.replace_routes_if_newer(table, "store");
    feed.replace_servers(vec![server(false)], position(1), Instant::default());
    feed.record_current(clock.now(), clock.now());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(serve_subscribers(feed.clone(), Arc::new(listener), clock));
    let mut fed = Vec::new();
    let mut refused = 0;
    for _ in 0..2 * feed.max_subscribers() {
        let mut subscriber = TcpStream::connect(address).await.expect("a connection");
        // The version of the table that the subscriber has, and a reading of its clock.
        subscriber.write_all(&[0; 16]).await.ok();
        match subscriber.read_u8().await {
            Ok(_) => fed.push(subscriber),
            Err(_) => refused += 1,
        }
    }
    assert_eq!((fed.len(), refused), (21, 21));
}
