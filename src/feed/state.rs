//! The contents of the store as known to this router, and their age.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, OnceLock,
    },
    time::Duration,
};

use tokio::sync::watch;

use super::{frame, retry_period, server_list::ServerList, upstreams, FeedNode, FeedRank, Role};
use crate::{
    admission::{Poison, QuarantinedParts},
    catalog::{Catalog, WarmUps},
    evacuation::Evacuations,
    presence::{Presence, StoreStatus},
    routes::{ActiveRoutes, RouteTable},
    sync::lock,
    Instant, Result, RouterName,
};

/// Age of the known routes and servers at which a router reads the store itself.
///
/// Less than the two seconds within which a leaving server must stop getting new requests.
pub const MAX_STALENESS: Duration = Duration::from_millis(1_300);

/// Time after the first failed call at which the store counts as unreachable, so that another
/// router becomes the follower.
const STORE_FAILURE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between two attempts to read from a store that fails.
const RETRY_PERIOD: Duration = Duration::from_millis(1_000);

/// Time between two attempts to read from a store that has failed only for a moment, or while this
/// router has no data.
const FIRST_RETRY_PERIOD: Duration = Duration::from_millis(400);

/// Time between two attempts to read from a store that fails while another router feeds this one.
const SUBSCRIBER_RETRY_PERIOD: Duration = Duration::from_secs(3);

/// Time after its start during which a router that already knows routes and servers waits for
/// a feed.
///
/// Before the digests of the other routers arrive, each router would consider itself a follower.
const STARTUP_SUBSCRIBER_PERIOD: Duration = Duration::from_millis(1_000);

/// Longest time for which a router that could route requests is not ready as it does not know the
/// quarantines.
const QUARANTINES_TIMEOUT: Duration = Duration::from_secs(2);

/// The contents of the store as known to this router.
#[derive(Debug)]
pub struct Feed {
    /// The routes in force.
    pub routes: ActiveRoutes,
    /// The known servers.
    pub catalog: Catalog,
    /// The evacuated failure domains.
    pub evacuations: Evacuations,
    /// The known servers that are cold.
    pub warm_ups: WarmUps,
    /// Requests and parts of prompts that are known to crash servers.
    pub poison: Arc<Poison>,
    /// Whether the quarantines have come from the store or from a router that knows them.
    has_quarantines: AtomicBool,
    /// Time from which routes and servers were seen to be known.
    known_since: OnceLock<Instant>,
    rank: FeedRank,
    /// Whether this router is shutting down.
    leaving: AtomicBool,
    pub(super) server_list: Mutex<ServerList>,
    sync_state: Mutex<SyncState>,
    /// Version of a route table and the frame that carries it, once a subscriber got one.
    routes_frame: Mutex<Option<(u64, Arc<[u8]>)>>,
    revision: watch::Sender<Revision>,
}

/// Counts of changes and store answers, published to the tasks that feed other routers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Revision {
    /// Number of changes of the routes, servers or evacuations.
    pub changes: u64,
    /// Number of answers of the store, to this router or passed on by another one, with or without
    /// a change.
    pub answers: u64,
}

/// Times at which the known data was current, and failures of the store.
#[derive(Debug, Default)]
struct SyncState {
    /// Latest time at which the known servers were current.
    servers_current_at: Option<Instant>,
    /// Latest time at which the routes in force were current.
    routes_current_at: Option<Instant>,
    /// Time of the first failure since the last answer.
    failing_since: Option<Instant>,
}

impl Feed {
    /// Creates the feed of router `me`, without routes and servers.
    ///
    /// `link_mbps` is the bandwidth of the router's network link in Mbit/s.
    pub fn new(me: &RouterName, link_mbps: u32) -> Self {
        Feed {
            routes: ActiveRoutes::default(),
            catalog: Catalog::default(),
            evacuations: Evacuations::default(),
            warm_ups: WarmUps::default(),
            poison: Arc::new(Poison::new()),
            has_quarantines: AtomicBool::default(),
            known_since: OnceLock::new(),
            rank: FeedRank::new(me, link_mbps),
            leaving: AtomicBool::default(),
            server_list: Mutex::default(),
            sync_state: Mutex::default(),
            routes_frame: Mutex::default(),
            revision: watch::Sender::new(Revision::default()),
        }
    }

    /// Returns whether routes and servers are known, so that requests can be routed.
    pub fn is_known(&self) -> bool {
        self.routes.current().is_some() && self.catalog.is_known()
    }

    /// Returns whether callers may use this router: requests can be routed, and those that crash servers
    /// are known, unless that takes too long.
    pub fn is_ready(&self, now: Instant) -> bool {
        if !self.is_known() {
            return false;
        }
        let known_since = *self.known_since.get_or_init(|| now);
        self.has_quarantines() || now.since(known_since) >= QUARANTINES_TIMEOUT
    }

    /// Returns whether the quarantines have come from the store or from a router that knows them.
    pub(super) fn has_quarantines(&self) -> bool {
        self.has_quarantines.load(Ordering::Relaxed)
    }

    /// Takes over quarantines from the store, or from a router that knows them.
    pub fn receive_quarantines(&self, quarantined: &[QuarantinedParts], now: Instant) {
        self.poison.adopt(quarantined, now);
        if !self.has_quarantines.swap(true, Ordering::Relaxed) {
            self.notify_change();
        }
    }

    /// Returns a receiver that is notified of each change and each answer of the store.
    pub fn revisions(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Returns the age of the older of routes and servers, or `None` if either is unknown.
    pub fn staleness(&self, now: Instant) -> Option<Duration> {
        let sync_state = lock(&self.sync_state);
        // `None` is less than any time, so that the minimum is `None` if either is unknown.
        let at = sync_state
            .servers_current_at
            .min(sync_state.routes_current_at)?;
        Some(now.since(at))
    }

    /// Returns the latest time at which the known servers were certainly current.
    pub fn servers_current_at(&self) -> Option<Instant> {
        lock(&self.sync_state).servers_current_at
    }

    /// Returns the latest time at which the routes in force were certainly current.
    pub fn routes_current_at(&self) -> Option<Instant> {
        lock(&self.sync_state).routes_current_at
    }

    /// Returns whether the routes and servers, from the store or another router, are current.
    pub fn is_current(&self, now: Instant) -> bool {
        self.staleness(now).is_some_and(|age| age < MAX_STALENESS) && self.is_known()
    }

    /// Returns whether the store answers this router; `true` until calls have failed for a while.
    pub fn is_store_reachable(&self, now: Instant) -> bool {
        let failing_since = lock(&self.sync_state).failing_since;
        failing_since.is_none_or(|since| now.since(since) < STORE_FAILURE_TIMEOUT)
    }

    /// Returns the time from the start of a failed read of the store to the next one, given the
    /// other routers that are out of date; see [`retry_period`] for `jitter`.
    pub fn fleet_retry_period(&self, presence: &Presence, jitter: f64, now: Instant) -> Duration {
        let base = self.store_retry_period(now);
        if !self.is_known() {
            return base;
        }
        retry_period(
            base,
            self.rank,
            &presence.map_live(now, FeedNode::new),
            jitter,
        )
    }

    /// Returns the time from the start of a failed read of the store to the next one, for a router
    /// alone.
    pub fn store_retry_period(&self, now: Instant) -> Duration {
        if !self.is_known() || self.is_store_reachable(now) {
            FIRST_RETRY_PERIOD
        } else if self.is_current(now) {
            SUBSCRIBER_RETRY_PERIOD
        } else {
            RETRY_PERIOD
        }
    }

    /// Returns the seed by which this router's repeated reads spread from those of the others.
    pub(super) fn retry_seed(&self) -> u64 {
        self.rank.seed()
    }

    /// Hands the store over to another router, as this one is shutting down.
    pub fn begin_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.notify_answer();
    }

    fn can_follow(&self, now: Instant) -> bool {
        self.is_store_reachable(now) && !self.leaving.load(Ordering::Relaxed)
    }

    /// Returns the role of this router: whether it reads the store or is fed by another router.
    pub fn role(&self, presence: &Presence, now: Instant) -> Role {
        if now < Instant::default() + STARTUP_SUBSCRIBER_PERIOD && self.is_known() {
            return Role::Subscriber;
        }
        let live = presence.map_live(now, FeedNode::new);
        Role::decide(self.rank, self.can_follow(now), &live)
    }

    /// Returns whether this router saves the [`FleetSnapshot`](super::FleetSnapshot) for the fleet.
    pub fn should_save(&self, presence: &Presence, now: Instant) -> bool {
        let live = presence.map_live(now, FeedNode::new);
        Role::is_first(self.rank, self.can_follow(now), &live)
    }

    /// Returns the maximum number of routers that this one feeds at once.
    pub fn max_subscribers(&self) -> usize {
        self.rank.max_subscribers()
    }

    /// Returns the addresses of the routers that may feed this one, the best first.
    pub fn upstreams(&self, presence: &Presence, now: Instant) -> Vec<SocketAddr> {
        upstreams(self.rank, &presence.map_live(now, FeedNode::new))
    }

    /// Returns the store status to announce in the digest of this router.
    pub fn store_status(&self, presence: &Presence, now: Instant) -> StoreStatus {
        if !self.is_store_reachable(now) {
            return StoreStatus::Unreachable;
        }
        match self.role(presence, now) {
            Role::Follower if self.is_current(now) => StoreStatus::Following,
            _ => StoreStatus::Reachable,
        }
    }

    /// Records the outcome of the store call `what`, which ended at `now`.
    pub fn record_call<T>(&self, what: &str, outcome: &Result<T>, now: Instant) {
        let mut sync_state = lock(&self.sync_state);
        match outcome {
            Ok(_) if sync_state.failing_since.take().is_some() => {
                log::info!("store reachable again call={what}");
            }
            Ok(_) => {}
            Err(err) => {
                if sync_state.failing_since.is_none() {
                    log::warn!("store call failed call={what} error=\"{err}\"");
                }
                sync_state.failing_since.get_or_insert(now);
                lock(&self.server_list).registry.record_failure(now);
            }
        }
    }

    /// Puts `table` in force if it is newer than the current one.
    pub fn replace_routes_if_newer(&self, table: RouteTable, source: &str) {
        let (version, len) = (table.version(), table.len());
        if self.routes.replace_if_newer(table) {
            log::info!("routes in force version={version} routes={len} source={source}");
            self.notify_change();
        }
    }

    /// Records that the known servers were current at `at`.
    pub fn record_servers_current(&self, at: Instant) {
        let mut sync_state = lock(&self.sync_state);
        sync_state.servers_current_at = sync_state.servers_current_at.max(Some(at));
        drop(sync_state);
        self.notify_answer();
    }

    /// Records that the routes in force were current at `at`.
    pub fn record_routes_current(&self, at: Instant) {
        let mut sync_state = lock(&self.sync_state);
        sync_state.routes_current_at = sync_state.routes_current_at.max(Some(at));
        drop(sync_state);
        self.notify_answer();
    }

    /// Records that the routes and servers received from another router were current at `at`.
    ///
    /// `now` is the time at which that router's statement was received.
    pub fn record_current(&self, at: Instant, now: Instant) {
        self.settle_servers(at, now);
        self.settle_evacuations(now);
        let mut sync_state = lock(&self.sync_state);
        let before = (sync_state.servers_current_at, sync_state.routes_current_at);
        sync_state.servers_current_at = sync_state.servers_current_at.max(Some(at));
        sync_state.routes_current_at = sync_state.routes_current_at.max(Some(at));
        let after = (sync_state.servers_current_at, sync_state.routes_current_at);
        drop(sync_state);
        if after != before {
            self.notify_answer();
        }
    }

    /// Records that another router announced at `at` that its routes and servers were current.
    pub fn record_peer_current(&self, at: Instant) {
        let mut server_list = lock(&self.server_list);
        let earliest = at - MAX_STALENESS;
        server_list.registry.record_answer_between(earliest, at);
    }

    /// Returns the version of the table in force and the frame that carries it, which is encoded
    /// once for all subscribers.
    pub(super) fn routes_frame(&self) -> Option<(u64, Arc<[u8]>)> {
        let table = self.routes.current()?;
        let version = table.version();
        let mut cached = lock(&self.routes_frame);
        if let Some((cached_version, frame)) = &*cached {
            if *cached_version == version {
                return Some((version, frame.clone()));
            }
        }
        match frame::encode_routes(&table) {
            Ok(frame) => {
                let frame: Arc<[u8]> = frame.into();
                *cached = Some((version, frame.clone()));
                Some((version, frame))
            }
            Err(err) => {
                log::error!("cannot encode route table error=\"{err}\"");
                None
            }
        }
    }

    pub(super) fn notify_change(&self) {
        self.revision.send_modify(|revision| revision.changes += 1);
    }

    fn notify_answer(&self) {
        self.revision.send_modify(|revision| revision.answers += 1);
    }
}
