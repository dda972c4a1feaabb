//! Routers that start while the store is down learn what the others know.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ebonyspur::{
    catalog::Server,
    evacuation::{EvacuationChange, EvacuationsRead},
    feed::{
        follow_servers, serve_subscribers, subscribe, Feed, FleetSnapshot, Position, RoutesRead,
        ServersRead, Store,
    },
    presence::{Presence, StoreStatus},
    routes::TableBuilder,
    Category, Clock, DomainName, EngineName, Error, Instant, Result,
};
use expect_test::expect;
use tokio::{net::TcpListener, time::sleep};

use crate::{digest, name, position, server, state, LINK_MBPS};

/// Time within which a router that starts knows what the others do.
const LEARNING_TIME: Duration = Duration::from_secs(3);

const TICK: Duration = Duration::from_millis(50);

/// A store that fails all calls.
struct DownStore;

fn down<T>() -> Result<T> {
    Err(Error::not_run(Category::LogUnavailable, "down"))
}

impl Store for DownStore {
    async fn read_servers(&self, _: Option<Position>, _: Duration) -> Result<ServersRead> {
        down()
    }

    async fn read_routes(&self, _: Option<Position>, _: Duration) -> Result<RoutesRead> {
        down()
    }

    async fn save_snapshot(&self, _: &FleetSnapshot) -> Result<()> {
        down()
    }

    async fn load_snapshot(&self) -> Result<FleetSnapshot> {
        down()
    }
}

/// A router that runs since before the outage.
struct Running {
    number: usize,
    feed: Arc<Feed>,
    address: SocketAddr,
    version: u64,
}

impl Running {
    /// Starts a router with the routes of `version`, which were last current at the start of `clock`.
    async fn start(number: usize, version: u64, clock: Clock) -> Self {
        let feed = Arc::new(Feed::new(&name(number), LINK_MBPS));
        let table = TableBuilder::new(version).build().expect("routes");
        feed.replace_routes_if_newer(table, "store");
        let other = Server {
            name: EngineName::new("e-2").expect("a name"),
            ..server(false)
        };
        feed.replace_servers(vec![server(false), other], position(9), clock.now());
        feed.record_current(clock.now(), clock.now());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(serve_subscribers(feed.clone(), Arc::new(listener), clock));
        Running {
            number,
            feed,
            address,
            version,
        }
    }

    /// Passes the digest of this router to `presence`.
    fn announce(&self, presence: &Presence, clock: Clock) {
        let mut router = state(self.number, StoreStatus::Unreachable);
        router.is_current = false;
        router.routes_version = self.version;
        router.evacuations_version = self.feed.evacuations.announced_version();
        router.peer_address = self.address;
        let sequence = clock.now().as_micros();
        presence.receive(&digest(router, sequence), clock.now());
    }
}

/// A router that starts in the outage.
struct Starting {
    feed: Arc<Feed>,
    presence: Arc<Presence>,
    clock: Clock,
}

impl Starting {
    /// Starts a router that has already found that the store is down.
    async fn start(clock: Clock) -> Self {
        let feed = Arc::new(Feed::new(&name(7), LINK_MBPS));
        let presence = Arc::new(Presence::new(name(7), ([127, 0, 0, 1], 1).into()));
        let following = follow_servers(Arc::new(DownStore), feed.clone(), presence.clone(), clock);
        tokio::spawn(following);
        while feed.is_store_reachable(clock.now()) {
            sleep(TICK).await;
        }
        tokio::spawn(subscribe(feed.clone(), presence.clone(), clock));
        Starting {
            feed,
            presence,
            clock,
        }
    }

    /// Waits until `condition` holds while `live` routers announce themselves; returns whether it
    /// did in time.
    async fn wait(&self, live: &[&Running], mut condition: impl FnMut(&Feed) -> bool) -> bool {
        let started = self.clock.now();
        while !condition(&self.feed) {
            if self.clock.now().since(started) >= LEARNING_TIME {
                return false;
            }
            for router in live {
                router.announce(&self.presence, self.clock);
            }
            sleep(TICK).await;
        }
        true
    }
}

#[tokio::test]
async fn a_router_that_starts_takes_the_latest_routes_of_all_live_routers() {
    let clock = Clock::new();
    let cut_off = Running::start(1, 5, clock).await;
    let later = Running::start(2, 9, clock).await;
    sleep(Duration::from_secs(3)).await;
    let starting = Starting::start(clock).await;
    let is_known = starting.wait(&[&cut_off], Feed::is_known).await;
    let first = starting.feed.routes.version();
    let has_latest = |feed: &Feed| feed.routes.version() == 9;
    starting.wait(&[&cut_off, &later], has_latest).await;
    let last = starting.feed.routes.version();
    expect!["known true: version 5, then 9"]
        .assert_eq(&format!("known {is_known}: version {first}, then {last}"));
}

/// Records that the store listed the evacuation of one domain when `router` read it.
fn evacuate(router: &Running, offset: u64, clock: Clock) {
    let domain = DomainName::new("d1").expect("a name");
    let read = EvacuationsRead {
        changes: vec![EvacuationChange::Begun(domain)],
        is_complete: true,
    };
    router
        .feed
        .apply_evacuations(&read, position(offset), clock.now());
}

#[tokio::test]
async fn an_evacuation_that_half_of_the_routers_know_reaches_the_others_while_the_store_is_down() {
    let clock = Clock::new();
    let before = Running::start(1, 5, clock).await;
    let read = EvacuationsRead::default();
    before
        .feed
        .apply_evacuations(&read, position(8), clock.now());
    let after = Running::start(2, 5, clock).await;
    evacuate(&after, 9, clock);
    let starting = Starting::start(clock).await;
    let is_known = starting.wait(&[&before], Feed::is_known).await;
    let known = |feed: &Feed| format!("{:?}", feed.evacuations.in_force());
    let first = known(&starting.feed);
    let has_latest = |feed: &Feed| !feed.evacuations.in_force().is_empty();
    starting.wait(&[&before, &after], has_latest).await;
    let last = known(&starting.feed);
    // The router that had died with it comes back without it.
    starting.wait(&[&before], |_| false).await;
    let kept = known(&starting.feed);
    expect!["known true: {}, then {d1}, and still {d1}"].assert_eq(&format!(
        "known {is_known}: {first}, then {last}, and still {kept}"
    ));
}

#[tokio::test]
async fn a_router_that_starts_knows_the_evacuations_when_it_knows_the_servers() {
    let clock = Clock::new();
    let running = Running::start(1, 5, clock).await;
    evacuate(&running, 9, clock);
    let starting = Starting::start(clock).await;
    let mut known_without = 0;
    let feed = starting.feed.clone();
    let check = |feed: &Feed| {
        known_without += usize::from(feed.is_known() && feed.evacuations.in_force().is_empty());
        feed.is_known()
    };
    let is_known = starting.wait(&[&running], check).await;
    expect!["known true, without evacuations 0 times, last {d1}"].assert_eq(&format!(
        "known {is_known}, without evacuations {known_without} times, last {:?}",
        feed.evacuations.in_force()
    ));
}

#[tokio::test]
async fn a_server_that_said_that_it_leaves_gets_nothing_from_a_router_that_starts_later() {
    let clock = Clock::new();
    // The router that received the response is gone, and this one knows it from its digest.
    let running = Running::start(1, 5, clock).await;
    running
        .feed
        .receive_leaving(&[server(false).key()], clock.now());
    let starting = Starting::start(clock).await;
    let is_known = starting.wait(&[&running], Feed::is_known).await;
    let pool = starting.feed.catalog.pool(&server(false).pool);
    let servers = pool
        .iter()
        .map(|s| format!("{} leaving {}", s.name, s.leaving));
    let servers: Vec<_> = servers.collect();
    expect!["known true: e-1 leaving true, e-2 leaving false"]
        .assert_eq(&format!("known {is_known}: {}", servers.join(", ")));
}

#[tokio::test]
async fn old_data_does_not_count_as_current_at_a_router_that_has_just_started() {
    let running_clock = Clock::new();
    let running = Running::start(1, 5, running_clock).await;
    sleep(Duration::from_secs(3)).await;
    let clock = Clock::new();
    let feed = Arc::new(Feed::new(&name(7), LINK_MBPS));
    let presence = Arc::new(Presence::new(name(7), ([127, 0, 0, 1], 1).into()));
    tokio::spawn(subscribe(feed.clone(), presence.clone(), clock));
    let mut was_current = false;
    while clock.now().since(Instant::default()) < LEARNING_TIME {
        running.announce(&presence, clock);
        was_current |= feed.is_current(clock.now());
        sleep(Duration::from_millis(10)).await;
    }
    expect!["known true, was current false"].assert_eq(&format!(
        "known {}, was current {was_current}",
        feed.is_known()
    ));
}
