//! Canary runs of requests that may crash engines, and the requests known to be harmless.
//!
//! While it is unknown whether a request crashes engines, only one of its duplicates runs in
//! the whole fleet: the canary run. One router, the arbiter of the request, decides which.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::{sync::lock, Incarnation, Instant, RouterName};

/// Time after which a canary run that has not ended no longer blocks the next one.
pub const CANARY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of canary runs that one arbiter tracks at once.
pub const MAX_CANARY_RUNS: usize = 4_096;

/// Maximum number of known good requests that are remembered.
pub const MAX_KNOWN_GOOD: usize = 4_096;

/// Identifies a canary run and the router that performs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CanaryHolder {
    /// Router that dispatches the request.
    pub router: RouterName,
    /// Incarnation of that router.
    pub incarnation: Incarnation,
    /// Number of the canary run, chosen by that router.
    pub number: u64,
}

/// Decision of the arbiter on a canary run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CanaryReply {
    /// The canary run may start.
    Run,
    /// The request must wait: another canary run of it is in progress, possible crashes are not
    /// confirmed yet, or the arbiter already tracks [`MAX_CANARY_RUNS`] canary runs.
    Wait,
    /// The request is known good and needs no canary run.
    KnownGood,
    /// The request is in quarantine.
    Quarantined,
}

#[derive(Debug)]
struct CanaryRun {
    holder: CanaryHolder,
    expires_at: Instant,
}

/// The canary runs in progress of the requests of which one router is the arbiter.
#[derive(Debug, Default)]
pub struct CanaryRuns {
    running: BTreeMap<Fingerprint, CanaryRun>,
}

impl CanaryRuns {
    /// Begins a canary run unless another one is in progress on a router that `is_live`.
    ///
    /// A repeated call with the same holder renews its canary run.
    pub fn begin(
        &mut self,
        fingerprint: Fingerprint,
        holder: CanaryHolder,
        is_live: impl Fn(&RouterName) -> bool,
        now: Instant,
    ) -> CanaryReply {
        let running = self.running.get(&fingerprint);
        let other_run = running.filter(|run| run.holder != holder && run.expires_at > now);
        if other_run.is_some_and(|run| is_live(&run.holder.router)) {
            return CanaryReply::Wait;
        }
        if running.is_none() && !self.make_room(now) {
            return CanaryReply::Wait;
        }
        let expires_at = now + CANARY_TIMEOUT;
        self.running
            .insert(fingerprint, CanaryRun { holder, expires_at });
        CanaryReply::Run
    }

    fn make_room(&mut self, now: Instant) -> bool {
        if self.running.len() >= MAX_CANARY_RUNS {
            self.running.retain(|_, run| run.expires_at > now);
        }
        self.running.len() < MAX_CANARY_RUNS
    }

    /// Ends the canary run of `holder`, if it is in progress.
    pub fn end(&mut self, fingerprint: Fingerprint, holder: &CanaryHolder) {
        let running = self.running.get(&fingerprint);
        if running.is_some_and(|run| run.holder == *holder) {
            self.running.remove(&fingerprint);
        }
    }
}

/// The requests that completed most recently, bounded in number.
#[derive(Debug, Default)]
pub struct KnownGood {
    /// Time of the latest completion of each request.
    known: HashMap<Fingerprint, Instant>,
    oldest_first: VecDeque<Fingerprint>,
}

impl KnownGood {
    /// Adds a request that completed at `now`, and removes the oldest one when the set is full.
    pub fn insert(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.known.insert(fingerprint, now).is_some() {
            return;
        }
        self.oldest_first.push_back(fingerprint);
        if self.oldest_first.len() > MAX_KNOWN_GOOD {
            let oldest = self.oldest_first.pop_front();
            oldest.map(|oldest| self.known.remove(&oldest));
        }
    }

    /// Removes a request that may have crashed an engine.
    pub fn remove(&mut self, fingerprint: Fingerprint) {
        if self.known.remove(&fingerprint).is_some() {
            self.oldest_first.retain(|known| *known != fingerprint);
        }
    }

    /// Returns whether the request is known good.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.known.contains_key(&fingerprint)
    }

    /// Returns the time of the latest completion of the request, if it is known good.
    pub fn completed_at(&self, fingerprint: Fingerprint) -> Option<Instant> {
        self.known.get(&fingerprint).copied()
    }
}

/// Counts the requests in flight through one router by content.
#[derive(Debug, Default)]
pub struct DuplicateTracker {
    counts: Mutex<HashMap<Fingerprint, u32>>,
}

impl DuplicateTracker {
    /// Counts a request until the returned guard is dropped.
    pub fn track(self: &Arc<Self>, fingerprint: Fingerprint) -> DuplicateGuard {
        let mut counts = lock(&self.counts);
        let count = counts.entry(fingerprint).or_default();
        *count += 1;
        DuplicateGuard {
            tracker: self.clone(),
            fingerprint,
            is_first: *count == 1,
        }
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct DuplicateGuard {
    tracker: Arc<DuplicateTracker>,
    fingerprint: Fingerprint,
    is_first: bool,
}

impl DuplicateGuard {
    /// Returns whether no duplicate was in flight when this request was counted.
    pub fn is_first(&self) -> bool {
        self.is_first
    }
}

impl Drop for DuplicateGuard {
    fn drop(&mut self) {
        let mut counts = lock(&self.tracker.counts);
        if let Some(count) = counts.get_mut(&self.fingerprint) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.fingerprint);
            }
        }
    }
}
