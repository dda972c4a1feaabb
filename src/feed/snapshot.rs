//! Saves in the store the state that a restarted fleet resumes from: the addresses of routers,
//! the engines that hold the prompts of sessions, and the quarantines.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Feed, FleetSnapshot, Store};
use crate::{placement::SessionAffinity, presence::Presence, Clock, Result, UnixMillis};

/// Time between two saves.
///
/// If all routers are lost, the prompts of sessions that moved since the last save are processed
/// again by their next engine. Each save is a call to the store.
const SAVE_PERIOD: Duration = Duration::from_millis(3_000);

/// Shortest time between two saves, when a quarantine begins or is lifted.
const MIN_SAVE_PERIOD: Duration = Duration::from_millis(500);

/// Time between two loads of the snapshot while this router knows no other router.
const ALONE_RESTORE_PERIOD: Duration = Duration::from_millis(1_500);

/// Time between two loads of the saved addresses by the router that saves them.
///
/// Routers that started with another list know only each other, and save their own addresses.
const OTHERS_CHECK_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of addresses saved; a router that starts needs one that answers.
const MAX_SAVED_ROUTERS: usize = 64;

/// Time between two attempts to load the snapshot.
const RESTORE_RETRY_PERIOD: Duration = Duration::from_millis(1_000);

/// Restores the snapshot, then saves a new one periodically while this router is the first
/// follower.
///
/// `own_address` is the address at which other routers reach this one.
pub async fn run_snapshots<S: Store>(
    store: Arc<S>,
    feed: Arc<Feed>,
    presence: Arc<Presence>,
    affinity: Arc<SessionAffinity>,
    own_address: SocketAddr,
    clock: Clock,
) {
    let mut saved_routers = restore(&*store, &feed, &presence, &affinity, &clock).await;
    let mut last_saved = (feed.store_era(), FleetSnapshot::default());
    let mut others_checked = None;
    loop {
        tokio::time::sleep(MIN_SAVE_PERIOD).await;
        let is_alone = presence.fleet_size() == 1;
        let period = if is_alone {
            ALONE_RESTORE_PERIOD
        } else {
            SAVE_PERIOD
        };
        tokio::select! {
            () = tokio::time::sleep(period - MIN_SAVE_PERIOD) => {}
            // A quarantine that begins within the period would be lost with all routers.
            () = feed.poison.changed() => {}
        }
        if presence.fleet_size() == 1 {
            // Other routers that also know no other may have saved their addresses since.
            saved_routers = restore(&*store, &feed, &presence, &affinity, &clock).await;
        } else {
            saved_routers.clear();
            let now = clock.now();
            let is_due = |checked| now.since(checked) >= OTHERS_CHECK_PERIOD;
            if others_checked.is_none_or(is_due) && feed.should_save(&presence, now) {
                others_checked = Some(now);
                find_others(&*store, &feed, &presence, &clock).await;
            }
        }
        let now = clock.now();
        let mut routers = presence.map_live(now, |state| state.peer_address);
        routers.push(own_address);
        routers.extend(&saved_routers);
        routers.sort_unstable();
        routers.dedup();
        routers.truncate(MAX_SAVED_ROUTERS);
        let snapshot = FleetSnapshot {
            routers,
            placements: affinity.snapshot(now),
            quarantined: feed.poison.quarantined(now),
            saved_at: clock.wall(),
        };
        // What was saved in an earlier era of the store may be gone.
        let saving = (feed.store_era(), sorted(&snapshot));
        if saving == last_saved || !feed.should_save(&presence, now) {
            continue;
        }
        let result = store.save_snapshot(&snapshot).await;
        feed.record_call("save", &result, clock.now());
        if result.is_ok() {
            last_saved = saving;
        }
    }
}

/// Loads and applies the snapshot, and returns the saved addresses of routers.
async fn restore<S: Store>(
    store: &S,
    feed: &Feed,
    presence: &Presence,
    affinity: &SessionAffinity,
    clock: &Clock,
) -> Vec<SocketAddr> {
    loop {
        let saved = load(store, feed, clock).await;
        let now = clock.now();
        if let Ok(FleetSnapshot {
            routers,
            placements,
            quarantined,
            saved_at,
        }) = saved
        {
            // It may be older than the process, and is not saved again while it only ages.
            let age = clock.wall().since(saved_at);
            let quarantined = quarantined.into_iter().filter_map(|q| q.after(age));
            let quarantined: Vec<_> = quarantined.collect();
            log::info!(
                "restored fleet snapshot routers={} placements={} quarantined={}",
                routers.len(),
                placements.len(),
                quarantined.len()
            );
            presence.add_seeds(routers.iter().copied(), now);
            affinity.restore(&placements, now);
            feed.receive_quarantines(&quarantined, now);
            return routers;
        }
        tokio::time::sleep(RESTORE_RETRY_PERIOD).await;
    }
}

/// Loads the snapshot and records the call.
async fn load<S: Store>(store: &S, feed: &Feed, clock: &Clock) -> Result<FleetSnapshot> {
    let saved = store.load_snapshot().await;
    feed.record_call("saved", &saved, clock.now());
    saved
}

/// Contacts the saved routers that this one does not know.
async fn find_others<S: Store>(store: &S, feed: &Feed, presence: &Presence, clock: &Clock) {
    let Ok(FleetSnapshot { routers, .. }) = load(store, feed, clock).await else {
        return;
    };
    let count = presence.add_seeds(routers, clock.now());
    if count > 0 {
        log::info!("saved routers unknown count={count}");
    }
}

/// Returns `snapshot` with sorted placements and without its time and the remaining times of
/// quarantines, so that snapshots of the same state are equal.
fn sorted(snapshot: &FleetSnapshot) -> FleetSnapshot {
    let mut sorted = snapshot.clone();
    sorted.saved_at = UnixMillis::default();
    sorted.placements.sort_unstable();
    for quarantined in &mut sorted.quarantined {
        quarantined.remaining_ms = 0;
    }
    sorted
        .quarantined
        .sort_unstable_by(|a, b| a.parts.cmp(&b.parts));
    sorted
}
