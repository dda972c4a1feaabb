//! What is known to crash servers, and how a router that starts learns it.
//!
//! Load pattern: routers are restarted, one after the other or all at once, while requests that crash
//! servers keep coming. A router that forgot a quarantine would let them crash servers again.
//!
//! - A few routers at a time repeat the quarantines in their digests, whatever the size of the fleet.
//! - The router that feeds one that starts sends it all of them, ahead of the first request.
//! - The first follower saves them in the store, for a start without any other router.

use std::{sync::Arc, time::Duration};

use tokio::sync::Notify;

use super::{Crash, FleetPlace, PartUpdates, PoisonParts, PoisonRequests, QuarantinedParts};
use crate::{
    presence::{count_within, DIGEST_PERIOD},
    Instant,
};

/// Maximum numbers of quarantines, and of the parts in them, in one digest.
const MAX_QUARANTINED_PER_DIGEST: usize = 8;
const MAX_PARTS_PER_DIGEST: usize = 16;

/// Number of routers that repeat the quarantines in each period.
const REPEATING_ROUTERS: usize = 4;

/// Age up to which each router announces a quarantine without waiting for its turn.
const NEW_QUARANTINE: Duration = Duration::from_secs(1);

/// Shortest rest of a quarantine that is taken over.
///
/// Each router ends a quarantine that it has taken over a little later than the one before it, so that
/// the last moments of a quarantine would go round without end.
const MIN_ADOPTED: Duration = Duration::from_secs(2);

/// Requests and parts of prompts that are known to crash servers.
#[derive(Debug)]
pub struct Poison {
    /// Requests that crash servers.
    pub requests: PoisonRequests,
    /// Parts of prompts that crash servers.
    pub parts: PoisonParts,
    /// Notified when a quarantine begins or is lifted.
    changed: Arc<Notify>,
}

impl Default for Poison {
    fn default() -> Self {
        Poison::new()
    }
}

impl Poison {
    /// Creates an empty state.
    pub fn new() -> Self {
        let changed = Arc::<Notify>::default();
        Poison {
            requests: PoisonRequests::default().with_change_signal(changed.clone()),
            parts: PoisonParts::default().with_change_signal(changed.clone()),
            changed,
        }
    }

    /// Waits until a quarantine begins or is lifted; a change before the call counts as well.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns all quarantines.
    pub fn quarantined(&self, now: Instant) -> Vec<QuarantinedParts> {
        let mut quarantined = self.requests.quarantined(now);
        quarantined.extend(self.parts.quarantined(now));
        quarantined
    }

    /// Takes over quarantines that another router announced or that were saved before a restart.
    pub fn adopt(&self, quarantined: &[QuarantinedParts], now: Instant) {
        for quarantined in quarantined {
            let remaining = Duration::from_millis(quarantined.remaining_ms.into());
            if remaining < MIN_ADOPTED {
                continue;
            }
            match quarantined.request() {
                Some(fingerprint) => self.requests.adopt(fingerprint, remaining, now),
                None => self.parts.adopt(quarantined, now),
            }
        }
    }

    /// Applies what another router announced.
    pub fn receive(&self, crashes: &[Crash], part_updates: &PartUpdates, now: Instant) {
        self.requests.receive(crashes, now);
        self.parts.receive(part_updates, now);
        self.adopt(&part_updates.quarantined, now);
    }

    /// Returns what the next digest of the router at `place` announces.
    pub fn next_updates(
        &self,
        place: Option<FleetPlace>,
        now: Instant,
    ) -> (Vec<Crash>, PartUpdates) {
        let mut part_updates = self.parts.next_updates(now);
        let quarantined = self.quarantined(now);
        let is_new = |q: &&QuarantinedParts| q.age() < NEW_QUARANTINE;
        let mut announced: Vec<_> = quarantined.iter().filter(is_new).cloned().collect();
        if let Some(turn) = repeat_turn(place, now) {
            let start = turn * MAX_QUARANTINED_PER_DIGEST % quarantined.len().max(1);
            let from_start = quarantined.iter().cycle().skip(start);
            let in_turn = from_start.take(quarantined.len());
            announced.extend(in_turn.filter(|q| !is_new(q)).cloned());
        }
        announced.truncate(count_within(
            announced.iter().map(|q| q.parts.len()),
            MAX_QUARANTINED_PER_DIGEST,
            MAX_PARTS_PER_DIGEST,
        ));
        part_updates.quarantined = announced;
        (self.requests.next_updates(), part_updates)
    }
}

/// Returns the number of the turn to repeat quarantines that the router at `place` has at `now`, if it
/// has one; the turns of one period are consecutive.
fn repeat_turn(place: Option<FleetPlace>, now: Instant) -> Option<usize> {
    let periods = now.since(Instant::default()).as_millis() / DIGEST_PERIOD.as_millis();
    let periods = periods as usize;
    let (index, size) = place.map_or((0, 1), |place| (place.index, place.size));
    let periods_per_turn = size.div_ceil(REPEATING_ROUTERS).max(1);
    let is_due = (periods + index).is_multiple_of(periods_per_turn);
    is_due.then_some(periods + index / periods_per_turn)
}
