//! A router that starts after the store came back from a copy, before a lost change of the routes
//! is written again.

use std::{sync::Arc, time::Duration};

use ebonyspur::{
    catalog::ServerChange,
    feed::{
        follow_routes, follow_servers, serve_subscribers, subscribe, Feed, FleetSnapshot, Position,
        Role, RoutesRead, ServersRead, Store, StoreEra,
    },
    presence::{Presence, StoreStatus},
    routes::TableBuilder,
    Clock, Offset, Result,
};
use tokio::{net::TcpListener, time::sleep};

use crate::{digest, name, server, state, LINK_MBPS};

/// Version of the routes in the store that came back.
const RESTORED_VERSION: u64 = 5;

/// Version of the routes that the running routers have.
const LOST_VERSION: u64 = 9;

/// Bandwidth of the link of the router that starts, so that it ranks first.
const FAST_LINK_MBPS: u32 = 200;

/// A store that came back from a copy and has no further changes.
struct RestoredStore;

impl RestoredStore {
    const END: Position = Position {
        era: StoreEra(2),
        offset: Offset(5),
    };
}

impl Store for RestoredStore {
    async fn read_servers(&self, from: Option<Position>, wait: Duration) -> Result<ServersRead> {
        sleep(wait).await;
        Ok(ServersRead {
            cold_times: Vec::new(),
            changes: vec![ServerChange::Present(server(false))],
            full: from.is_none(),
            next: Self::END,
        })
    }

    async fn read_routes(&self, from: Option<Position>, wait: Duration) -> Result<RoutesRead> {
        sleep(wait).await;
        let table = TableBuilder::new(RESTORED_VERSION).build().expect("routes");
        Ok(RoutesRead {
            evacuations: None,
            table: from.is_none().then_some(table),
            next: Self::END,
        })
    }

    async fn save_snapshot(&self, _: &FleetSnapshot) -> Result<()> {
        Ok(())
    }

    async fn load_snapshot(&self) -> Result<FleetSnapshot> {
        Ok(FleetSnapshot::default())
    }
}

#[tokio::test]
async fn a_follower_that_starts_before_a_lost_change_is_written_again_takes_later_routes() {
    let clock = Clock::new();
    let running = Arc::new(Feed::new(&name(1), LINK_MBPS));
    let table = TableBuilder::new(LOST_VERSION).build().expect("routes");
    running.replace_routes_if_newer(table, "store");
    running.replace_servers(vec![server(false)], RestoredStore::END, clock.now());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let mut router = state(1, StoreStatus::Reachable);
    router.routes_version = LOST_VERSION;
    router.peer_address = listener.local_addr().expect("an address");
    tokio::spawn(serve_subscribers(
        running.clone(),
        Arc::new(listener),
        clock,
    ));

    let own_address = ([127, 0, 0, 1], 1).into();
    let presence = Arc::new(Presence::new(name(2), own_address));
    let feed = Arc::new(Feed::new(&name(2), FAST_LINK_MBPS));
    let (store, cx) = (Arc::new(RestoredStore), (feed.clone(), presence.clone()));
    tokio::spawn(follow_servers(store.clone(), cx.0, cx.1, clock));
    let cx = (feed.clone(), presence.clone());
    tokio::spawn(follow_routes(store, cx.0, cx.1, clock));
    while !feed.is_known() {
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(feed.routes.version(), RESTORED_VERSION);
    tokio::spawn(subscribe(feed.clone(), presence.clone(), clock));

    // Two seconds to have a change in force, counted from when the router follows.
    let mut sequence = 0;
    let mut followed_at = None;
    loop {
        let now = clock.now();
        running.record_current(now, now);
        sequence += 1;
        presence.receive(&digest(router.clone(), sequence), now);
        if feed.routes.version() == LOST_VERSION {
            break;
        }
        if feed.role(&presence, now) == Role::Follower {
            let since = *followed_at.get_or_insert(now);
            let version = feed.routes.version();
            assert!(
                now.since(since) < Duration::from_secs(2),
                "the follower has version {version} of {LOST_VERSION}"
            );
        }
        sleep(Duration::from_millis(50)).await;
    }
}
