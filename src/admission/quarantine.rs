//! Crash history of requests, and the quarantine of poison requests.
//!
//! A poison request is one that crashes the engines it runs on. A request that was in
//! flight on an engine that crashed is high risk: it runs next only on an engine where no
//! other high-risk request runs, so that a second crash distinguishes it from the requests that
//! were in flight beside it. The steward of the engine keeps high-risk requests apart,
//! whichever routers dispatch them. A high-risk request that completes is cleared; the
//! second crash puts it in quarantine, where it is refused.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    CanaryHolder, CanaryReply, CanaryRuns, CrashRecord, DuplicateTracker, KnownGood,
    PossibleCrashes, POSSIBLE_CRASH_TTL,
};
use crate::{
    presence::count_within, sync::lock, Category, EngineName, Error, Incarnation, Instant, Result,
    RouterName,
};

/// Time after which the crashes of a request that is not in quarantine expire.
const CRASH_HISTORY_TTL: Duration = Duration::from_secs(600);

/// Time for which a request in quarantine is refused.
pub(super) const QUARANTINE_TTL: Duration = Duration::from_secs(3_600);

/// Number of crashes that puts a request in quarantine.
const DEFAULT_CRASH_LIMIT: usize = 2;

/// Maximum number of requests in the crash history; the next to expire is removed first.
pub const MAX_CRASH_ENTRIES: usize = 4_096;

/// Maximum number of crashes sent to a starting router, so that they fit one frame.
const MAX_SENT_CRASHES: usize = 4_096;

/// Identifies requests with the same content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request with this body.
    pub fn of(body: &[u8]) -> Self {
        Fingerprint(xxh3_64(body))
    }
}

/// Risk that a request crashes the engine it runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CrashRisk {
    /// The request is known good, or this is its canary run.
    Low,
    /// The request is not known good; it waits while a duplicate of it is in flight on the
    /// engine.
    Unknown(Fingerprint),
    /// The request may have crashed an engine; it never shares an engine with another such
    /// request.
    High(Fingerprint),
}

/// A crash of an engine while a request was in flight on it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request that was in flight.
    pub fingerprint: Fingerprint,
    /// Engine that crashed.
    pub engine: EngineName,
    /// Incarnation of the engine that crashed.
    pub incarnation: Incarnation,
}

#[derive(Debug)]
struct CrashEntry {
    crashes: BTreeSet<(EngineName, Incarnation)>,
    /// Number of crashes that no longer count because the request has completed since.
    cleared: usize,
    /// Whether another router put the request in quarantine; its evidence is not known here.
    is_adopted: bool,
    expires_at: Instant,
}

impl CrashEntry {
    fn counted_crashes(&self) -> usize {
        self.crashes.len() - self.cleared
    }

    fn is_quarantined(&self, crash_limit: usize) -> bool {
        self.is_adopted || self.counted_crashes() >= crash_limit
    }

    fn to_record(&self, fingerprint: Fingerprint, now: Instant) -> CrashRecord {
        CrashRecord {
            fingerprint,
            crashes: self.crashes.iter().cloned().collect(),
            cleared_count: self.cleared as u32,
            remaining_ms: self.expires_at.since(now).as_millis() as u32,
        }
    }

    fn has_crash(&self, crash: &Crash) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|(engine, number)| *engine == crash.engine && *number == crash.incarnation)
    }

    /// Adds the crashes known to another router, unless some of them were cleared there.
    fn merge(&mut self, other: CrashEntry) {
        if other.cleared == 0 {
            self.crashes.extend(other.crashes);
            self.expires_at = self.expires_at.max(other.expires_at);
        }
    }
}

/// Requests that have or may have crashed engines, bounded in number and time.
#[derive(Debug)]
pub struct CrashHistory {
    /// Number of crashes that puts a request in quarantine.
    crash_limit: usize,
    entries: BTreeMap<Fingerprint, CrashEntry>,
    /// Possible crashes that are not confirmed yet.
    possible_crashes: PossibleCrashes,
    /// Requests that completed recently.
    known_good: KnownGood,
}

impl Default for CrashHistory {
    fn default() -> Self {
        CrashHistory::with_crash_limit(DEFAULT_CRASH_LIMIT)
    }
}

impl CrashHistory {
    /// Creates an empty crash history with the default crash limit.
    pub fn new() -> Self {
        CrashHistory::default()
    }

    /// Creates an empty crash history in which `limit` crashes put a request in quarantine.
    pub fn with_crash_limit(limit: usize) -> Self {
        CrashHistory {
            crash_limit: limit,
            entries: BTreeMap::new(),
            possible_crashes: PossibleCrashes::default(),
            known_good: KnownGood::default(),
        }
    }

    /// Records a crash of an engine with a request in flight.
    ///
    /// Returns `false` when the crash was recorded before.
    pub fn record_crash(&mut self, crash: &Crash, now: Instant) -> bool {
        self.expire(now);
        self.possible_crashes.remove(crash);
        self.known_good.remove(crash.fingerprint);
        let entry = self.entries.entry(crash.fingerprint).or_insert(CrashEntry {
            crashes: BTreeSet::new(),
            cleared: 0,
            is_adopted: false,
            expires_at: now + CRASH_HISTORY_TTL,
        });
        let is_new = entry
            .crashes
            .insert((crash.engine.clone(), crash.incarnation));
        if is_new && entry.counted_crashes() == self.crash_limit {
            entry.expires_at = now + QUARANTINE_TTL;
        }
        self.enforce_limit();
        is_new
    }

    fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.expires_at > now);
    }

    fn enforce_limit(&mut self) {
        if self.entries.len() <= MAX_CRASH_ENTRIES {
            return;
        }
        let next_to_expire = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.expires_at);
        if let Some(fingerprint) = next_to_expire.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }

    /// Returns whether a crash is recorded.
    pub fn has_crash(&self, crash: &Crash, now: Instant) -> bool {
        let known = self.unexpired(crash.fingerprint, now);
        known.is_some_and(|known| known.has_crash(crash))
    }

    /// Records a possible crash: an engine broke off a request but seems alive.
    pub fn record_possible_crash(&mut self, crash: Crash, now: Instant) {
        self.possible_crashes.insert(crash, now);
    }

    /// Removes and returns the possible crashes that incarnation `newer` of `engine` confirms.
    pub fn take_confirmed(
        &mut self,
        engine: &EngineName,
        newer: Incarnation,
        now: Instant,
    ) -> Vec<Crash> {
        self.possible_crashes.take_confirmed(engine, newer, now)
    }

    /// Records that a request completed: it is known good, and its crashes no longer count
    /// unless it is in quarantine.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.possible_crashes.remove_request(fingerprint);
        self.known_good.insert(fingerprint, now);
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            if !entry.is_quarantined(self.crash_limit) {
                entry.cleared = entry.crashes.len();
            }
        }
    }

    /// Returns whether the request is in quarantine.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.unexpired(fingerprint, now)
            .is_some_and(|entry| entry.is_quarantined(self.crash_limit))
    }

    /// Returns whether confirmed and possible crashes together reach the crash limit.
    ///
    /// The request must then wait until the possible crashes are confirmed or expire.
    pub fn must_wait(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crash_count(fingerprint, now) >= self.crash_limit
    }

    fn crash_count(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        let known = self.unexpired(fingerprint, now);
        known.map_or(0, CrashEntry::counted_crashes) + self.possible_crashes.count(fingerprint, now)
    }

    /// Returns whether the request may have crashed an engine.
    pub fn is_high_risk(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crash_count(fingerprint, now) > 0
    }

    /// Returns the crash risk of the request.
    pub fn crash_risk(&self, fingerprint: Fingerprint, now: Instant) -> CrashRisk {
        if self.is_high_risk(fingerprint, now) {
            CrashRisk::High(fingerprint)
        } else if self.is_known_good(fingerprint) {
            CrashRisk::Low
        } else {
            CrashRisk::Unknown(fingerprint)
        }
    }

    /// Returns whether the request completed recently and no engine has crashed with it since.
    pub fn is_known_good(&self, fingerprint: Fingerprint) -> bool {
        self.known_good.contains(fingerprint)
    }

    fn unexpired(&self, fingerprint: Fingerprint, now: Instant) -> Option<&CrashEntry> {
        let entry = self.entries.get(&fingerprint);
        entry.filter(|entry| entry.expires_at > now)
    }

    /// Returns the records to send to another router, those in quarantine first.
    pub fn records(&self, now: Instant) -> Vec<CrashRecord> {
        let known = self.entries.iter();
        let unexpired =
            known.filter(|(_, entry)| entry.expires_at > now && entry.counted_crashes() > 0);
        let mut unexpired: Vec<_> = unexpired.collect();
        unexpired.sort_by_key(|(_, entry)| {
            Reverse((entry.is_quarantined(self.crash_limit), entry.expires_at))
        });
        let sizes = unexpired.iter().map(|(_, entry)| entry.crashes.len());
        let count = count_within(sizes, usize::MAX, MAX_SENT_CRASHES);
        let selected = unexpired.into_iter().take(count);
        selected
            .map(|(fingerprint, entry)| entry.to_record(*fingerprint, now))
            .collect()
    }

    /// Returns the record of one request to send to another router, if any crash counts.
    pub fn record_for(&self, fingerprint: Fingerprint, now: Instant) -> Option<CrashRecord> {
        let known = self.unexpired(fingerprint, now);
        let counted = known.filter(|known| known.counted_crashes() > 0);
        counted.map(|known| known.to_record(fingerprint, now))
    }

    /// Merges the crash history of another router.
    pub fn merge(&mut self, records: Vec<CrashRecord>, now: Instant) {
        for record in records {
            let remaining = Duration::from_millis(record.remaining_ms.into());
            let entry = CrashEntry {
                cleared: record.crashes.len().min(record.cleared_count as usize),
                crashes: record.crashes.into_iter().collect(),
                is_adopted: false,
                expires_at: now + remaining.min(QUARANTINE_TTL),
            };
            match self.entries.get_mut(&record.fingerprint) {
                Some(known) => known.merge(entry),
                None => drop(self.entries.insert(record.fingerprint, entry)),
            }
            self.enforce_limit();
        }
    }

    /// Returns the requests in quarantine and the rest of their time, those that end last first.
    pub fn quarantined(&self, now: Instant) -> Vec<(Fingerprint, Duration)> {
        let entries = self.entries.iter();
        let in_force = entries
            .filter(|(_, entry)| entry.expires_at > now && entry.is_quarantined(self.crash_limit));
        let mut quarantined: Vec<_> = in_force
            .map(|(fingerprint, entry)| (*fingerprint, entry.expires_at.since(now)))
            .collect();
        quarantined.sort_by_key(|(fingerprint, remaining)| (Reverse(*remaining), *fingerprint));
        quarantined
    }

    /// Adopts a quarantine of another router that has `remaining` left, unless the request has
    /// completed here since it began; returns whether the request is newly in quarantine.
    pub fn adopt(&mut self, fingerprint: Fingerprint, remaining: Duration, now: Instant) -> bool {
        self.expire(now);
        let remaining = remaining.min(QUARANTINE_TTL);
        let age = QUARANTINE_TTL - remaining;
        let completed_at = self.known_good.completed_at(fingerprint);
        if completed_at.is_some_and(|at| at + age > now) || self.is_quarantined(fingerprint, now) {
            return false;
        }
        let entry = self.entries.entry(fingerprint).or_insert(CrashEntry {
            crashes: BTreeSet::new(),
            cleared: 0,
            is_adopted: true,
            expires_at: now,
        });
        entry.is_adopted = true;
        entry.expires_at = now + remaining;
        self.enforce_limit();
        true
    }

    /// Returns the number of requests in the crash history.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the crash history is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Crash history and canary runs of a router, shared by its tasks.
#[derive(Debug, Default)]
pub struct Quarantine {
    crash_history: Mutex<CrashHistory>,
    canary_runs: Mutex<CanaryRuns>,
    /// Counts of the requests in flight through this router, by content.
    pub duplicates: Arc<DuplicateTracker>,
}

impl Quarantine {
    /// Creates an empty state in which `limit` crashes put a request in quarantine.
    pub fn with_crash_limit(limit: usize) -> Self {
        Quarantine {
            crash_history: Mutex::new(CrashHistory::with_crash_limit(limit)),
            ..Quarantine::default()
        }
    }

    /// Checks that a request may be dispatched.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Quarantined`] when the request is in quarantine, and
    /// [`Category::Unavailable`] while possible crashes could put it there.
    pub fn check(&self, fingerprint: Fingerprint, now: Instant) -> Result<()> {
        let crash_history = lock(&self.crash_history);
        if crash_history.is_quarantined(fingerprint, now) {
            return Err(quarantined_error());
        }
        if crash_history.must_wait(fingerprint, now) {
            let message = "engines may have crashed while they ran this request";
            let err = Error::not_run(Category::Unavailable, message);
            return Err(err.with_retry_after(POSSIBLE_CRASH_TTL));
        }
        Ok(())
    }

    /// Records a crash of an engine with a request in flight.
    ///
    /// Returns `false` when the crash was recorded before.
    pub fn record_crash(&self, crash: &Crash, now: Instant) -> bool {
        lock(&self.crash_history).record_crash(crash, now)
    }

    /// Returns whether a crash is recorded.
    pub fn has_crash(&self, crash: &Crash, now: Instant) -> bool {
        lock(&self.crash_history).has_crash(crash, now)
    }

    /// Records a possible crash: an engine broke off a request but seems alive.
    pub fn record_possible_crash(&self, crash: Crash, now: Instant) {
        lock(&self.crash_history).record_possible_crash(crash, now);
    }

    /// Removes and returns the possible crashes that incarnation `newer` of `engine` confirms.
    pub fn take_confirmed(
        &self,
        engine: &EngineName,
        newer: Incarnation,
        now: Instant,
    ) -> Vec<Crash> {
        lock(&self.crash_history).take_confirmed(engine, newer, now)
    }

    /// Decides whether a canary run may start of a request of which this router is the arbiter.
    pub fn begin_canary(
        &self,
        fingerprint: Fingerprint,
        holder: CanaryHolder,
        is_live: impl Fn(&RouterName) -> bool,
        now: Instant,
    ) -> CanaryReply {
        match self.check(fingerprint, now) {
            Err(err) if err.classify() == Category::Quarantined => return CanaryReply::Quarantined,
            Err(_) => return CanaryReply::Wait,
            Ok(()) if self.is_known_good(fingerprint) => return CanaryReply::KnownGood,
            Ok(()) => {}
        }
        lock(&self.canary_runs).begin(fingerprint, holder, is_live, now)
    }

    /// Ends a canary run of a request of which this router is the arbiter.
    pub fn end_canary(&self, fingerprint: Fingerprint, holder: &CanaryHolder) {
        lock(&self.canary_runs).end(fingerprint, holder);
    }

    /// Returns whether the request is known good.
    pub fn is_known_good(&self, fingerprint: Fingerprint) -> bool {
        lock(&self.crash_history).is_known_good(fingerprint)
    }

    /// Records that a request completed, at this or another router.
    pub fn record_success(&self, fingerprint: Fingerprint, now: Instant) {
        lock(&self.crash_history).record_success(fingerprint, now);
    }

    /// Returns whether the request is in quarantine.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        lock(&self.crash_history).is_quarantined(fingerprint, now)
    }

    /// Returns the requests in quarantine and the rest of their time, those that end last first.
    pub fn quarantined(&self, now: Instant) -> Vec<(Fingerprint, Duration)> {
        lock(&self.crash_history).quarantined(now)
    }

    /// Adopts a quarantine of another router that has `remaining` left, unless the request has
    /// completed here since it began; returns whether the request is newly in quarantine.
    pub fn adopt(&self, fingerprint: Fingerprint, remaining: Duration, now: Instant) -> bool {
        lock(&self.crash_history).adopt(fingerprint, remaining, now)
    }

    /// Returns the records to send to another router, those in quarantine first.
    pub fn records(&self, now: Instant) -> Vec<CrashRecord> {
        lock(&self.crash_history).records(now)
    }

    /// Returns the record of one request to send to another router, if any crash counts.
    pub fn record_for(&self, fingerprint: Fingerprint, now: Instant) -> Option<CrashRecord> {
        lock(&self.crash_history).record_for(fingerprint, now)
    }

    /// Merges the crash history of another router.
    pub fn merge(&self, records: Vec<CrashRecord>, now: Instant) {
        lock(&self.crash_history).merge(records, now);
    }

    /// Returns the crash risk of a request.
    pub fn crash_risk(&self, fingerprint: Fingerprint, now: Instant) -> CrashRisk {
        lock(&self.crash_history).crash_risk(fingerprint, now)
    }

    /// Returns the number of requests in the crash history.
    pub fn len(&self) -> usize {
        lock(&self.crash_history).len()
    }

    /// Returns whether the crash history is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns the error for a request in quarantine.
pub(crate) fn quarantined_error() -> Error {
    let message = "engines crashed while they ran this request";
    Error::not_run(Category::Quarantined, message)
}
