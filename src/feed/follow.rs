//! The tasks that read the store.

use std::{sync::Arc, time::Duration};

use super::{role::ROLE_PERIOD, Feed, Role, Store};
use crate::{presence::Presence, Clock};

/// Longest wait for a change in one read.
///
/// With [`MAX_STALENESS`] it bounds how long a store that went silent stays unnoticed, which
/// must be less than the two seconds within which changes have to be in force.
const WAIT: Duration = Duration::from_millis(800);

/// Time between two looks at the role while this router knows nothing and callers wait.
const STARTING_ROLE_PERIOD: Duration = Duration::from_millis(50);

/// Time between two tries of a store that fails.
const RETRY_PERIOD: Duration = Duration::from_millis(1_000);

/// Time between two tries of a store that fails while this router knows nothing.
const STARTING_RETRY_PERIOD: Duration = Duration::from_millis(400);

/// Time between two tries of a store that fails while another router feeds this one.
const FED_RETRY_PERIOD: Duration = Duration::from_secs(3);

/// Reads the list of servers while this router follows the store or nobody feeds it.
pub async fn follow_servers<S: Store>(
    store: Arc<S>,
    feed: Arc<Feed>,
    presence: Arc<Presence>,
    clock: Clock,
) {
    loop {
        if !should_read(&feed, &presence, &clock) {
            tokio::time::sleep(ROLE_PERIOD).await;
            continue;
        }
        let asked = clock.now();
        let read = store.read_servers(feed.next_servers_offset(), WAIT).await;
        let now = clock.now();
        feed.record_call("read_servers", &read, now);
        let pause = match read {
            Ok(read) => {
                feed.apply_server_list(read, now);
                continue;
            }
            Err(_) if !feed.is_known() => STARTING_RETRY_PERIOD,
            Err(_) if feed.is_current(now) && !feed.is_store_reachable(now) => FED_RETRY_PERIOD,
            Err(_) => RETRY_PERIOD,
        };
        tokio::time::sleep(pause.saturating_sub(now.since(asked))).await;
    }
}

/// Reads the route table while this router follows the store or nobody feeds it.
pub async fn follow_routes<S: Store>(
    store: Arc<S>,
    feed: Arc<Feed>,
    presence: Arc<Presence>,
    clock: Clock,
) {
    let mut cursor = None;
    loop {
        // Reads of the list of servers find out when the store answers again.
        let able = feed.is_store_reachable(clock.now());
        if !able || !should_read(&feed, &presence, &clock) {
            cursor = None;
            let starting = !feed.is_known();
            let pause = if starting {
                STARTING_ROLE_PERIOD
            } else {
                ROLE_PERIOD
            };
            tokio::time::sleep(pause).await;
            continue;
        }
        let asked = clock.now();
        let read = store.read_routes(cursor, WAIT).await;
        let now = clock.now();
        feed.record_call("read_routes", &read, now);
        match read {
            Ok(read) => {
                if let Some(table) = read.table {
                    feed.offer_routes(table, "store");
                }
                feed.record_routes_current(now);
                cursor = Some(read.next);
            }
            Err(_) => {
                cursor = None;
                tokio::time::sleep(RETRY_PERIOD.saturating_sub(now.since(asked))).await;
            }
        }
    }
}

fn should_read(feed: &Feed, presence: &Presence, clock: &Clock) -> bool {
    let now = clock.now();
    let unable = !feed.is_store_reachable(now);
    feed.role(presence, now) == Role::Follower || !feed.is_current(now) || unable
}
