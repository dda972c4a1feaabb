//! Keeps in the store what later lives of the fleet start from: where routers are, and
//! which engines hold the prompts of sessions.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Feed, Saved, Store};
use crate::{placement::Warmth, presence::Presence, Clock};

/// Time between two saves.
///
/// Sessions that move meanwhile are read again by their next engine after a loss of all
/// routers; each save is a call to the store.
const SAVE_PERIOD: Duration = Duration::from_millis(3_000);

/// Time between two tries to read what was saved.
const RETRY_PERIOD: Duration = Duration::from_millis(1_000);

/// Takes over what was saved, then saves while this router is the first that follows.
///
/// `own` is where other routers reach this one.
pub async fn keep_saved<S: Store>(
    store: Arc<S>,
    feed: Arc<Feed>,
    presence: Arc<Presence>,
    warmth: Arc<Warmth>,
    own: SocketAddr,
    clock: Clock,
) {
    restore(&*store, &feed, &presence, &warmth, &clock).await;
    let mut last = Saved::default();
    loop {
        tokio::time::sleep(SAVE_PERIOD).await;
        let now = clock.now();
        let mut saved = Saved {
            routers: presence
                .live(now)
                .iter()
                .map(|p| p.digest.peer_address)
                .collect(),
            placements: warmth.snapshot(now),
        };
        saved.routers.push(own);
        let ordered = ordered(&saved);
        if ordered == last || !feed.saves(&presence, now) {
            continue;
        }
        let call = store.save(&saved).await;
        feed.note_call("save", &call, clock.now());
        if call.is_ok() {
            last = ordered;
        }
    }
}

async fn restore<S: Store>(
    store: &S,
    feed: &Feed,
    presence: &Presence,
    warmth: &Warmth,
    clock: &Clock,
) {
    loop {
        let saved = store.saved().await;
        let now = clock.now();
        feed.note_call("saved", &saved, now);
        if let Ok(Saved {
            routers,
            placements,
        }) = saved
        {
            log::info!(
                "restored routers={} placements={}",
                routers.len(),
                placements.len()
            );
            presence.seek(routers, now);
            return warmth.restore(&placements, now);
        }
        tokio::time::sleep(RETRY_PERIOD).await;
    }
}

/// Returns `saved` in an order in which it stays equal while nothing has moved.
fn ordered(saved: &Saved) -> Saved {
    let mut ordered = saved.clone();
    ordered.routers.sort_unstable();
    ordered.placements.sort_unstable();
    ordered
}
