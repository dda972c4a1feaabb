//! Keeps in the store what later lives of the fleet start from: where routers are, and
//! which engines hold the prompts of sessions.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Feed, FleetSnapshot, Store};
use crate::{placement::SessionAffinity, presence::Presence, Clock};

/// Time between two saves.
///
/// Sessions that move meanwhile are read again by their next engine after a loss of all
/// routers; each save is a call to the store.
const SAVE_PERIOD: Duration = Duration::from_millis(3_000);

/// Time between two looks for others while this router hears none.
const ALONE_PERIOD: Duration = Duration::from_millis(1_500);

/// Most addresses saved: a router that starts needs one that answers.
const MAX_ROUTERS: usize = 64;

/// Time between two tries to read what was saved.
const RETRY_PERIOD: Duration = Duration::from_millis(1_000);

/// Takes over what was saved, then saves while this router is the first that follows.
///
/// `own` is where other routers reach this one.
pub async fn run_snapshots<S: Store>(
    store: Arc<S>,
    feed: Arc<Feed>,
    presence: Arc<Presence>,
    warmth: Arc<SessionAffinity>,
    own: SocketAddr,
    clock: Clock,
) {
    let mut known = restore(&*store, &feed, &presence, &warmth, &clock).await;
    let mut last = FleetSnapshot::default();
    loop {
        let alone = presence.fleet_size() == 1;
        tokio::time::sleep(if alone { ALONE_PERIOD } else { SAVE_PERIOD }).await;
        if presence.fleet_size() == 1 {
            // Others that are alone as well have left word meanwhile.
            known = restore(&*store, &feed, &presence, &warmth, &clock).await;
        } else {
            known.clear();
        }
        let now = clock.now();
        let mut routers: Vec<_> = presence
            .live(now)
            .iter()
            .map(|p| p.digest.peer_address)
            .collect();
        routers.push(own);
        routers.extend(&known);
        routers.sort_unstable();
        routers.dedup();
        routers.truncate(MAX_ROUTERS);
        let saved = FleetSnapshot {
            routers,
            placements: warmth.snapshot(now),
        };
        let ordered = ordered(&saved);
        if ordered == last || !feed.should_save(&presence, now) {
            continue;
        }
        let call = store.save_snapshot(&saved).await;
        feed.record_call("save", &call, clock.now());
        if call.is_ok() {
            last = ordered;
        }
    }
}

/// Takes over what was saved, and returns where routers were.
async fn restore<S: Store>(
    store: &S,
    feed: &Feed,
    presence: &Presence,
    warmth: &SessionAffinity,
    clock: &Clock,
) -> Vec<SocketAddr> {
    loop {
        let saved = store.load_snapshot().await;
        let now = clock.now();
        feed.record_call("saved", &saved, now);
        if let Ok(FleetSnapshot {
            routers,
            placements,
        }) = saved
        {
            log::info!(
                "restored routers={} placements={}",
                routers.len(),
                placements.len()
            );
            presence.add_seeds(routers.iter().copied(), now);
            warmth.restore(&placements, now);
            return routers;
        }
        tokio::time::sleep(RETRY_PERIOD).await;
    }
}

/// Returns `saved` in an order in which it stays equal while nothing has moved.
fn ordered(saved: &FleetSnapshot) -> FleetSnapshot {
    let mut ordered = saved.clone();
    ordered.placements.sort_unstable();
    ordered
}
