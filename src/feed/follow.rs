//! The tasks that read servers and routes from the store.

use std::{ops::Range, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{retry::own_read_period, role::ROLE_CHECK_PERIOD, Feed, Role, Store, StorePoll};
use crate::{presence::Presence, Clock, Instant};

/// Time between two checks of the role while this router has no data and callers wait.
const STARTING_ROLE_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Factors by which the times to the next read of a store that fails vary.
const RETRY_JITTER: Range<f64> = 0.75..1.25;

/// Reads the list of servers while this router is the follower, has no current feed, or cannot
/// reach the store.
pub async fn follow_servers<S: Store>(
    store: Arc<S>,
    feed: Arc<Feed>,
    presence: Arc<Presence>,
    clock: Clock,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(feed.retry_seed());
    let mut logged = None;
    loop {
        let reason = read_reason(&feed, &presence, clock.now());
        if reason != logged {
            log_reason(reason, &feed, clock.now());
            logged = reason;
        }
        if reason.is_none() {
            tokio::time::sleep(ROLE_CHECK_PERIOD).await;
            continue;
        }
        let started = clock.now();
        let poll = StorePoll::new(feed.servers_current_at(), started);
        let from = feed.next_servers();
        let read = store.read_servers(from, poll.wait()).await;
        let now = clock.now();
        feed.record_call("read_servers", &read, now);
        let pause = match read {
            Ok(read) => {
                let has_change = from != Some(read.next);
                if feed.apply_server_list(read, now) {
                    feed.record_servers_current(poll.current_at(has_change, now));
                    wait_for_own_read(&feed, &presence, clock, started).await;
                    continue;
                }
                feed.store_retry_period(now)
            }
            Err(_) => {
                let jitter = rng.random_range(RETRY_JITTER);
                wait_for_retry(&feed, &presence, clock, started, jitter).await;
                continue;
            }
        };
        tokio::time::sleep(pause.saturating_sub(now.since(started))).await;
    }
}

/// Reads the route table and the evacuations while the store is reachable and this router is the
/// follower or has no current feed.
pub async fn follow_routes<S: Store>(
    store: Arc<S>,
    feed: Arc<Feed>,
    presence: Arc<Presence>,
    clock: Clock,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(!feed.retry_seed());
    let mut cursor = None;
    loop {
        // While the store is unreachable, only `follow_servers` tests whether it answers again.
        let is_reachable = feed.is_store_reachable(clock.now());
        if !is_reachable || read_reason(&feed, &presence, clock.now()).is_none() {
            cursor = None;
            let is_starting = !feed.is_known();
            let pause = if is_starting {
                STARTING_ROLE_CHECK_PERIOD
            } else {
                ROLE_CHECK_PERIOD
            };
            tokio::time::sleep(pause).await;
            continue;
        }
        let started = clock.now();
        let poll = StorePoll::new(feed.routes_current_at(), started);
        let read = store.read_routes(cursor, poll.wait()).await;
        let now = clock.now();
        feed.record_call("read_routes", &read, now);
        match read {
            Ok(read) => {
                // A router that starts serves once it has routes and servers.
                if let Some(evacuations) = &read.evacuations {
                    feed.apply_evacuations(evacuations, read.next, now);
                }
                if let Some(table) = read.table {
                    feed.replace_routes_if_newer(table, "store");
                }
                let has_change = cursor != Some(read.next);
                feed.record_routes_current(poll.current_at(has_change, now));
                cursor = Some(read.next);
            }
            Err(_) => {
                cursor = None;
                let jitter = rng.random_range(RETRY_JITTER);
                wait_for_retry(&feed, &presence, clock, started, jitter).await;
            }
        }
    }
}

/// Waits until the read after the one that started at `started` is due, at once for the follower.
///
/// Heartbeats of the servers are changes that end each read early.
async fn wait_for_own_read(feed: &Feed, presence: &Presence, clock: Clock, started: Instant) {
    let period = |now| own_read_period(feed.role(presence, now) == Role::Follower);
    wait_since(started, clock, period).await;
}

/// Waits until a read that started at `started` and failed is to be repeated.
///
/// The time shrinks when other routers recover, or this router becomes the follower.
async fn wait_for_retry(
    feed: &Feed,
    presence: &Presence,
    clock: Clock,
    started: Instant,
    jitter: f64,
) {
    let period = |now| match read_reason(feed, presence, now) {
        Some(ReadReason::Follower) | None => feed.store_retry_period(now),
        Some(_) => feed.fleet_retry_period(presence, jitter, now),
    };
    wait_since(started, clock, period).await;
}

/// Waits until `period` has passed since `started`; it is looked at again at each check of the role.
async fn wait_since(started: Instant, clock: Clock, period: impl Fn(Instant) -> Duration) {
    loop {
        let now = clock.now();
        let left = period(now).saturating_sub(now.since(started));
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(ROLE_CHECK_PERIOD)).await;
    }
}

/// Why a router reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadReason {
    /// The router follows the store for the fleet.
    Follower,
    /// What the router knows is too old, or it knows nothing.
    OutOfDate,
    /// The router tests whether the store answers again.
    Unreachable,
}

/// Returns why this router reads the store, or `None` while another router feeds it.
fn read_reason(feed: &Feed, presence: &Presence, now: Instant) -> Option<ReadReason> {
    if feed.role(presence, now) == Role::Follower {
        Some(ReadReason::Follower)
    } else if !feed.is_store_reachable(now) {
        Some(ReadReason::Unreachable)
    } else if !feed.is_current(now) {
        Some(ReadReason::OutOfDate)
    } else {
        None
    }
}

fn log_reason(reason: Option<ReadReason>, feed: &Feed, now: Instant) {
    let age_ms = feed.staleness(now).map(|age| age.as_millis() as u64);
    let routes = feed.routes.version();
    let servers = feed.next_servers().map(|next| next.offset.0);
    match reason {
        Some(reason) => log::info!(
            "reads the store reason={} age_ms={age_ms:?} routes={routes} servers={servers:?}",
            reason.as_str()
        ),
        None => log::info!(
            "reads the store no longer age_ms={age_ms:?} routes={routes} servers={servers:?}"
        ),
    }
}

impl ReadReason {
    fn as_str(self) -> &'static str {
        match self {
            ReadReason::Follower => "follower",
            ReadReason::OutOfDate => "out-of-date",
            ReadReason::Unreachable => "unreachable",
        }
    }
}
