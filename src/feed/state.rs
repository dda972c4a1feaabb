//! What this router knows of the store's contents, and how current that is.

use std::{
    sync::{Arc, Mutex, Weak},
    time::Duration,
};

use tokio::sync::watch;

use super::{Role, ServersRead};
use crate::{
    catalog::{Catalog, Server, ServerRegistry},
    presence::{Presence, StoreStatus},
    routes::{ActiveRoutes, RouteTable},
    sync::lock,
    Instant, Offset, Result, RouterName,
};

/// Age of the last answer of the store above which a router reads the store itself.
///
/// Under the two seconds within which a server that leaves must get no new work.
pub const MAX_STALENESS: Duration = Duration::from_millis(1_300);

/// Time without an answer after which a router lets others follow the store.
const UNABLE_AFTER: Duration = Duration::from_millis(700);

/// Time after its start within which a router that knows enough waits to be fed.
///
/// Until the digests of the others are in, each router would take itself for a follower.
const SETTLE: Duration = Duration::from_millis(1_000);

/// The contents of the store as known to this router.
#[derive(Debug)]
pub struct Feed {
    /// Routes in force.
    pub routes: ActiveRoutes,
    /// Servers known.
    pub catalog: Catalog,
    me: RouterName,
    followed: Mutex<Followed>,
    standing: Mutex<Standing>,
    encoded: Mutex<(u64, Weak<Vec<u8>>)>,
    revision: watch::Sender<Revision>,
}

/// Counts of what happened to the knowledge.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Revision {
    /// Changes of the routes and servers.
    pub changes: u64,
    /// Answers of the store to this router, whether they brought a change or not.
    pub answers: u64,
}

/// The list of servers, as far as its changes were followed.
#[derive(Debug, Default)]
struct Followed {
    keeper: ServerRegistry,
    /// Position in the store up to which the changes are in; none before the first read.
    next: Option<Offset>,
}

/// How the store answers this router, and how current its knowledge is.
#[derive(Debug, Default)]
struct Standing {
    /// Time at which the servers known were current.
    servers: Option<Instant>,
    /// Time at which the routes in force were current.
    routes: Option<Instant>,
    /// First failure since the last answer.
    failing: Option<Instant>,
}

impl Feed {
    /// Creates the feed of router `me`, which knows nothing yet.
    pub fn new(me: RouterName) -> Self {
        Feed {
            routes: ActiveRoutes::default(),
            catalog: Catalog::default(),
            me,
            followed: Mutex::default(),
            standing: Mutex::default(),
            encoded: Mutex::default(),
            revision: watch::Sender::new(Revision::default()),
        }
    }

    /// Returns whether requests can be decided on.
    pub fn is_known(&self) -> bool {
        self.routes.current().is_some() && self.catalog.is_known()
    }

    /// Returns a receiver that is notified of each change and each answer of the store.
    pub fn revisions(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Returns the age of the knowledge, if there is any.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let standing = lock(&self.standing);
        // Without either there is nothing whose age could be told.
        let at = standing.servers.min(standing.routes)?;
        Some(now.since(at))
    }

    /// Returns whether the knowledge is current, from the store or from another router.
    pub fn is_current(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < MAX_STALENESS) && self.is_known()
    }

    /// Returns whether the store answers this router, as far as it has tried.
    pub fn is_store_reachable(&self, now: Instant) -> bool {
        let failing = lock(&self.standing).failing;
        failing.is_none_or(|since| now.since(since) < UNABLE_AFTER)
    }

    /// Returns where this router should have its knowledge from.
    pub fn role(&self, presence: &Presence, now: Instant) -> Role {
        if now < Instant::default() + SETTLE && self.is_known() {
            return Role::Subscriber;
        }
        Role::decide(&self.me, self.is_store_reachable(now), &presence.live(now))
    }

    /// Returns whether this router saves for all what is to outlive the processes.
    pub fn should_save(&self, presence: &Presence, now: Instant) -> bool {
        Role::is_first(&self.me, self.is_store_reachable(now), &presence.live(now))
    }

    /// Returns what the digest says of this router and the store.
    pub fn store_status(&self, presence: &Presence, now: Instant) -> StoreStatus {
        if !self.is_store_reachable(now) {
            return StoreStatus::Unreachable;
        }
        match self.role(presence, now) {
            Role::Follower if self.is_current(now) => StoreStatus::Following,
            _ => StoreStatus::Reachable,
        }
    }

    /// Notes the outcome of a call to the store at `now`.
    pub fn record_call<T>(&self, what: &str, outcome: &Result<T>, now: Instant) {
        let mut standing = lock(&self.standing);
        match outcome {
            Ok(_) if standing.failing.take().is_some() => {
                log::info!("store regained call={what}");
            }
            Ok(_) => {}
            Err(err) => {
                if standing.failing.is_none() {
                    log::warn!("store lost call={what} error=\"{err}\"");
                }
                standing.failing.get_or_insert(now);
                lock(&self.followed).keeper.record_failure(now);
            }
        }
    }

    /// Puts a newer table in force.
    pub fn offer_routes(&self, table: RouteTable, source: &str) {
        let (version, len) = (table.version(), table.len());
        if self.routes.replace_if_newer(table) {
            log::info!("routes in force version={version} routes={len} source={source}");
            self.bump();
        }
    }

    /// Returns where the next read of the list of servers goes on.
    pub fn next_servers_offset(&self) -> Option<Offset> {
        lock(&self.followed).next
    }

    /// Takes over what the list of servers said at `now`.
    ///
    /// What was read before another router told of later changes is left out.
    pub fn apply_server_list(&self, read: ServersRead, now: Instant) {
        let mut followed = lock(&self.followed);
        if followed.next <= Some(read.next) {
            followed.next = Some(read.next);
            let changed = followed.keeper.apply(read.changes, read.full, now);
            if changed || !self.catalog.is_known() {
                self.publish(&followed, "store");
            }
        }
        drop(followed);
        let mut standing = lock(&self.standing);
        standing.servers = standing.servers.max(Some(now));
        drop(standing);
        self.answered();
    }

    /// Takes over the servers as another router knows them, with all changes before `next`.
    ///
    /// Routers read the store at different times; an earlier list does not replace a later
    /// one. Of two that are equally late, the one from which more was removed is later, as
    /// removals after an outage are held back.
    pub fn replace_servers(&self, servers: Vec<Server>, next: Offset) {
        let mut followed = lock(&self.followed);
        let order = |next: Option<Offset>, count: usize| (next, std::cmp::Reverse(count));
        let own = order(followed.next, followed.keeper.servers().count());
        if followed.next.is_some() && own >= order(Some(next), servers.len()) {
            return;
        }
        followed.next = Some(next);
        followed.keeper = ServerRegistry::with_servers(servers);
        self.publish(&followed, "router");
    }

    /// Returns all servers and the position in the store that the list belongs to.
    pub fn servers(&self) -> Option<(Vec<Server>, Offset)> {
        let followed = lock(&self.followed);
        let servers = followed.keeper.servers().cloned().collect();
        followed.next.map(|next| (servers, next))
    }

    /// Notes that the routes in force were current at `at`.
    pub fn record_routes_current(&self, at: Instant) {
        let mut standing = lock(&self.standing);
        standing.routes = standing.routes.max(Some(at));
        drop(standing);
        self.answered();
    }

    /// Notes that all that another router told was current at `at`.
    pub fn record_current(&self, at: Instant) {
        // The store answered somebody, so that no entry has lapsed unseen.
        lock(&self.followed).keeper.record_answer(at);
        let mut standing = lock(&self.standing);
        standing.servers = standing.servers.max(Some(at));
        standing.routes = standing.routes.max(Some(at));
    }

    /// Returns the encoded table in force, shared by all who send it at the moment.
    pub(super) fn encoded_routes(&self) -> Option<(u64, Arc<Vec<u8>>)> {
        let table = self.routes.current()?;
        let mut encoded = lock(&self.encoded);
        if encoded.0 == table.version() {
            if let Some(bytes) = encoded.1.upgrade() {
                return Some((table.version(), bytes));
            }
        }
        match postcard::to_stdvec(&*table) {
            Ok(bytes) => {
                let bytes = Arc::new(bytes);
                *encoded = (table.version(), Arc::downgrade(&bytes));
                Some((table.version(), bytes))
            }
            Err(err) => {
                log::error!("routes not encoded error=\"{err}\"");
                None
            }
        }
    }

    fn publish(&self, followed: &Followed, source: &str) {
        let keeper = &followed.keeper;
        self.catalog.replace(keeper.servers());
        let count = keeper.servers().count();
        let leaving = keeper.servers().filter(|s| s.leaving).count();
        let next = followed.next.unwrap_or_default();
        log::info!("servers known count={count} leaving={leaving} next={next} source={source}");
        self.bump();
    }

    fn bump(&self) {
        self.revision.send_modify(|revision| revision.changes += 1);
    }

    fn answered(&self) {
        self.revision.send_modify(|revision| revision.answers += 1);
    }
}
