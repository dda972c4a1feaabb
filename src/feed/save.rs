//! Keeps in the store where sessions were placed, for the lives of the fleet to come.

use std::{sync::Arc, time::Duration};

use super::{Feed, Store};
use crate::{
    placement::{Placed, Warmth},
    presence::Presence,
    Clock,
};

/// Time between two saves.
///
/// Sessions that move meanwhile are read again by their next engine after a loss of all
/// routers; each save is a call to the store.
const SAVE_PERIOD: Duration = Duration::from_millis(3_000);

/// Time between two tries to read what was saved.
const RETRY_PERIOD: Duration = Duration::from_millis(1_000);

/// Most tries to read what was saved; later on the fleet knows better.
const MAX_TRIES: u32 = 4;

/// Takes over what was saved, then saves while this router is the first that follows.
pub async fn keep_placements<S: Store>(
    store: Arc<S>,
    feed: Arc<Feed>,
    presence: Arc<Presence>,
    warmth: Arc<Warmth>,
    clock: Clock,
) {
    restore(&*store, &feed, &warmth, &clock).await;
    let mut saved = Vec::new();
    loop {
        tokio::time::sleep(SAVE_PERIOD).await;
        let placed = warmth.snapshot(clock.now());
        let ordered = sorted(placed.clone());
        if ordered == saved || !feed.saves(&presence, clock.now()) {
            continue;
        }
        let call = store.save_placements(&placed).await;
        feed.note_call("save_placements", &call, clock.now());
        if call.is_ok() {
            saved = ordered;
        }
    }
}

async fn restore<S: Store>(store: &S, feed: &Feed, warmth: &Warmth, clock: &Clock) {
    for _ in 0..MAX_TRIES {
        let saved = store.saved_placements().await;
        feed.note_call("saved_placements", &saved, clock.now());
        if let Ok(saved) = saved {
            log::info!("placements restored count={}", saved.len());
            return warmth.restore(&saved, clock.now());
        }
        tokio::time::sleep(RETRY_PERIOD).await;
    }
}

/// Orders placements so that two snapshots compare equal while no session has moved.
fn sorted(mut placed: Vec<Placed>) -> Vec<Placed> {
    placed.sort_unstable();
    placed
}
