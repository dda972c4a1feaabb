//! Runs of requests that might crash engines, one at a time in the whole fleet.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::{sync::lock, Incarnation, Instant, RouterName};

/// Longest time for which one trial keeps the next one waiting.
pub const CANARY_TIMEOUT: Duration = Duration::from_secs(10);

/// Most trials at once.
pub const MAX_CANARY_RUNS: usize = 4_096;

/// Most requests remembered as answered whole.
pub const MAX_KNOWN_GOOD: usize = 4_096;

/// Who runs a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CanaryHolder {
    /// Router that sends the request.
    pub router: RouterName,
    /// Life of that router.
    pub incarnation: Incarnation,
    /// Number chosen by that router.
    pub number: u64,
}

/// Answer to a router that wants to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CanaryReply {
    /// The trial may run.
    Run,
    /// Another one runs.
    Wait,
    /// The request was answered whole and needs no trial.
    KnownGood,
    /// The request is convicted.
    Quarantined,
}

#[derive(Debug)]
struct CanaryRun {
    holder: CanaryHolder,
    until: Instant,
}

/// The trials of the requests that one router keeps apart.
#[derive(Debug, Default)]
pub struct CanaryRuns {
    running: BTreeMap<Fingerprint, CanaryRun>,
}

impl CanaryRuns {
    /// Begins a trial unless another one runs whose router `is_live`.
    ///
    /// Asking again with the same holder is answered the same way.
    pub fn begin(
        &mut self,
        fingerprint: Fingerprint,
        holder: CanaryHolder,
        is_live: impl Fn(&RouterName) -> bool,
        now: Instant,
    ) -> CanaryReply {
        let running = self.running.get(&fingerprint);
        let other = running.filter(|trial| trial.holder != holder && trial.until > now);
        if other.is_some_and(|trial| is_live(&trial.holder.router)) {
            return CanaryReply::Wait;
        }
        if running.is_none() && !self.make_room(now) {
            return CanaryReply::Wait;
        }
        let until = now + CANARY_TIMEOUT;
        self.running
            .insert(fingerprint, CanaryRun { holder, until });
        CanaryReply::Run
    }

    fn make_room(&mut self, now: Instant) -> bool {
        if self.running.len() >= MAX_CANARY_RUNS {
            self.running.retain(|_, trial| trial.until > now);
        }
        self.running.len() < MAX_CANARY_RUNS
    }

    /// Ends a trial.
    pub fn end(&mut self, fingerprint: Fingerprint, holder: &CanaryHolder) {
        let running = self.running.get(&fingerprint);
        if running.is_some_and(|trial| trial.holder == *holder) {
            self.running.remove(&fingerprint);
        }
    }
}

/// The requests that were answered whole last.
#[derive(Debug, Default)]
pub struct KnownGood {
    known: HashSet<Fingerprint>,
    oldest_first: VecDeque<Fingerprint>,
}

impl KnownGood {
    /// Remembers a request, and forgets the oldest one for it.
    pub fn insert(&mut self, fingerprint: Fingerprint) {
        if !self.known.insert(fingerprint) {
            return;
        }
        self.oldest_first.push_back(fingerprint);
        if self.oldest_first.len() > MAX_KNOWN_GOOD {
            let oldest = self.oldest_first.pop_front();
            oldest.map(|oldest| self.known.remove(&oldest));
        }
    }

    /// Forgets a request that is suspected.
    pub fn remove(&mut self, fingerprint: Fingerprint) {
        if self.known.remove(&fingerprint) {
            self.oldest_first.retain(|known| *known != fingerprint);
        }
    }

    /// Returns whether the request was answered whole lately.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.known.contains(&fingerprint)
    }
}

/// The requests on their way through one router, counted by content.
#[derive(Debug, Default)]
pub struct DuplicateTracker {
    counts: Mutex<HashMap<Fingerprint, u32>>,
}

impl DuplicateTracker {
    /// Counts a request until the copy is dropped.
    pub fn track(self: &Arc<Self>, fingerprint: Fingerprint) -> DuplicateGuard {
        let mut counts = lock(&self.counts);
        let count = counts.entry(fingerprint).or_default();
        *count += 1;
        DuplicateGuard {
            copies: self.clone(),
            fingerprint,
            is_first: *count == 1,
        }
    }
}

/// One request among its copies.
#[derive(Debug)]
pub struct DuplicateGuard {
    copies: Arc<DuplicateTracker>,
    fingerprint: Fingerprint,
    is_first: bool,
}

impl DuplicateGuard {
    /// Returns whether no other copy was on its way when this one came.
    pub fn is_first(&self) -> bool {
        self.is_first
    }
}

impl Drop for DuplicateGuard {
    fn drop(&mut self) {
        let mut counts = lock(&self.copies.counts);
        if let Some(count) = counts.get_mut(&self.fingerprint) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.fingerprint);
            }
        }
    }
}
