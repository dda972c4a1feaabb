//! Requests that were in flight on engines that died, and refusal of those that kill engines.
//!
//! A request in flight on an engine that dies is a suspect: it runs next only on an
//! engine where no other suspect runs, so that a second death tells it from its
//! neighbours. The steward of the engine keeps suspects apart, whichever routers send
//! them. A whole answer clears a suspect; the second death convicts it.

use std::{
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
use crate::{sync::lock, Category, EngineName, Error, Incarnation, Instant, Result, RouterName};

/// How long a request stays under suspicion.
const SUSPICION_TIME: Duration = Duration::from_secs(600);

/// How long a convicted request is refused.
const CONVICTION_TIME: Duration = Duration::from_secs(3_600);

/// Deaths of engines that convict.
const CONVICTING_DEATHS: usize = 2;

/// Most suspects and convicts held; those that expire first are forgotten first.
pub const MAX_CRASH_ENTRIES: usize = 4_096;

/// Most deaths that are told to a router that starts, so that they fit one frame.
const MAX_TOLD_DEATHS: usize = 4_096;

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

/// How far a request is trusted not to crash engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CrashRisk {
    /// It was answered whole lately, or runs as the only copy on trial.
    Low,
    /// It was not answered whole lately; a copy of it on the same engine is waited for.
    Unknown(Fingerprint),
    /// It may share an engine with no other suspect.
    High(Fingerprint),
}

/// One life of an engine ended while a request was in flight on it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Request that was in flight.
    pub fingerprint: Fingerprint,
    /// Engine that died.
    pub engine: EngineName,
    /// Which life of the engine ended.
    pub incarnation: Incarnation,
}

#[derive(Debug)]
struct CrashEntry {
    deaths: BTreeSet<(EngineName, Incarnation)>,
    cleared: usize,
    until: Instant,
}

impl CrashEntry {
    fn counted(&self) -> usize {
        self.deaths.len() - self.cleared
    }

    fn is_convicted(&self, convicting: usize) -> bool {
        self.counted() >= convicting
    }

    fn record(&self, fingerprint: Fingerprint, now: Instant) -> CrashRecord {
        CrashRecord {
            fingerprint,
            crashes: self.deaths.iter().cloned().collect(),
            cleared_count: self.cleared as u32,
            remaining_ms: self.until.since(now).as_millis() as u32,
        }
    }

    /// Adds what another router knows, unless some of it was cleared there.
    fn merge(&mut self, other: CrashEntry) {
        if other.cleared == 0 {
            self.deaths.extend(other.deaths);
            self.until = self.until.max(other.until);
        }
    }
}

/// Suspects and convicts, bounded in number and time.
#[derive(Debug)]
pub struct CrashHistory {
    /// Deaths of engines that convict.
    convicting: usize,
    known: BTreeMap<Fingerprint, CrashEntry>,
    /// Requests that may have crashed engines.
    watched: PossibleCrashes,
    /// Requests answered whole lately.
    proven: KnownGood,
}

impl Default for CrashHistory {
    fn default() -> Self {
        CrashHistory::with_crash_limit(CONVICTING_DEATHS)
    }
}

impl CrashHistory {
    /// Creates the state without suspects.
    pub fn new() -> Self {
        CrashHistory::default()
    }

    /// Creates the state without suspects; so many deaths of engines convict.
    pub fn with_crash_limit(deaths: usize) -> Self {
        CrashHistory {
            convicting: deaths,
            known: BTreeMap::new(),
            watched: PossibleCrashes::default(),
            proven: KnownGood::default(),
        }
    }

    /// Counts the death of an engine against a request; returns whether it was news.
    pub fn record_crash(&mut self, crash: &Crash, now: Instant) -> bool {
        self.expire(now);
        self.watched.remove(crash);
        self.proven.remove(crash.fingerprint);
        let suspect = self.known.entry(crash.fingerprint).or_insert(CrashEntry {
            deaths: BTreeSet::new(),
            cleared: 0,
            until: now + SUSPICION_TIME,
        });
        let news = suspect
            .deaths
            .insert((crash.engine.clone(), crash.incarnation));
        if news && suspect.counted() == self.convicting {
            suspect.until = now + CONVICTION_TIME;
        }
        self.limit();
        news
    }

    fn expire(&mut self, now: Instant) {
        self.known.retain(|_, suspect| suspect.until > now);
    }

    fn limit(&mut self) {
        if self.known.len() <= MAX_CRASH_ENTRIES {
            return;
        }
        let next = self.known.iter().min_by_key(|(_, suspect)| suspect.until);
        if let Some(fingerprint) = next.map(|(fingerprint, _)| *fingerprint) {
            self.known.remove(&fingerprint);
        }
    }

    /// Watches for a new life of an engine that broke off a request, but seems alive.
    pub fn record_possible_crash(&mut self, crash: Crash, now: Instant) {
        self.watched.insert(crash, now);
    }

    /// Takes the deaths that are proved by a later `life` of `engine`.
    pub fn take_confirmed(
        &mut self,
        engine: &EngineName,
        life: Incarnation,
        now: Instant,
    ) -> Vec<Crash> {
        self.watched.take_confirmed(engine, life, now)
    }

    /// Clears a request that was answered whole, unless it is convicted.
    pub fn record_success(&mut self, fingerprint: Fingerprint) {
        self.watched.remove_request(fingerprint);
        self.proven.insert(fingerprint);
        if let Some(suspect) = self.known.get_mut(&fingerprint) {
            if !suspect.is_convicted(self.convicting) {
                suspect.cleared = suspect.deaths.len();
            }
        }
    }

    /// Returns whether the request is refused.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.live(fingerprint, now)
            .is_some_and(|suspect| suspect.is_convicted(self.convicting))
    }

    /// Returns whether the request must wait until it is known which engines it crashed.
    pub fn must_wait(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.possible_deaths(fingerprint, now) >= self.convicting
    }

    fn possible_deaths(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        let known = self.live(fingerprint, now);
        known.map_or(0, CrashEntry::counted) + self.watched.count(fingerprint, now)
    }

    /// Returns whether the request may share an engine with no other suspect.
    pub fn is_high_risk(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.possible_deaths(fingerprint, now) > 0
    }

    /// Returns how far the request is trusted.
    pub fn crash_risk(&self, fingerprint: Fingerprint, now: Instant) -> CrashRisk {
        if self.is_high_risk(fingerprint, now) {
            CrashRisk::High(fingerprint)
        } else if self.is_known_good(fingerprint) {
            CrashRisk::Low
        } else {
            CrashRisk::Unknown(fingerprint)
        }
    }

    /// Returns whether the request was answered whole lately and no engine died with it since.
    pub fn is_known_good(&self, fingerprint: Fingerprint) -> bool {
        self.proven.contains(fingerprint)
    }

    fn live(&self, fingerprint: Fingerprint, now: Instant) -> Option<&CrashEntry> {
        let suspect = self.known.get(&fingerprint);
        suspect.filter(|suspect| suspect.until > now)
    }

    /// Returns what another router needs to know, the convicts first.
    pub fn records(&self, now: Instant) -> Vec<CrashRecord> {
        let known = self.known.iter();
        let live = known.filter(|(_, one)| one.until > now && one.counted() > 0);
        let mut live: Vec<_> = live.collect();
        live.sort_by_key(|(_, one)| {
            std::cmp::Reverse((one.is_convicted(self.convicting), one.until))
        });
        let mut told = 0;
        let fits = |(_, one): &(_, &CrashEntry)| {
            told += one.deaths.len();
            told <= MAX_TOLD_DEATHS
        };
        let fitting = live.into_iter().take_while(fits);
        fitting
            .map(|(fingerprint, one)| one.record(*fingerprint, now))
            .collect()
    }

    /// Returns what another router needs to know of one request.
    pub fn record_for(&self, fingerprint: Fingerprint, now: Instant) -> Option<CrashRecord> {
        let known = self.live(fingerprint, now);
        let counted = known.filter(|known| known.counted() > 0);
        counted.map(|known| known.record(fingerprint, now))
    }

    /// Adds what another router knows.
    pub fn merge(&mut self, records: Vec<CrashRecord>, now: Instant) {
        for record in records {
            let left = Duration::from_millis(record.remaining_ms.into());
            let suspect = CrashEntry {
                cleared: record.crashes.len().min(record.cleared_count as usize),
                deaths: record.crashes.into_iter().collect(),
                until: now + left.min(CONVICTION_TIME),
            };
            match self.known.get_mut(&record.fingerprint) {
                Some(known) => known.merge(suspect),
                None => drop(self.known.insert(record.fingerprint, suspect)),
            }
            self.limit();
        }
    }

    /// Returns the number of suspects and convicts held.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// The suspects known to a router, shared by its tasks.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: Mutex<CrashHistory>,
    trials: Mutex<CanaryRuns>,
    /// Copies of requests on their way through this router.
    pub duplicates: Arc<DuplicateTracker>,
}

impl Quarantine {
    /// Creates the state without suspects; so many deaths of engines convict.
    pub fn with_crash_limit(deaths: usize) -> Self {
        Quarantine {
            suspects: Mutex::new(CrashHistory::with_crash_limit(deaths)),
            ..Quarantine::default()
        }
    }

    /// Checks that a request may run.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Quarantined`] when it is convicted, and
    /// [`Category::Unavailable`] while it may have crashed as many engines as convict.
    pub fn check(&self, fingerprint: Fingerprint, now: Instant) -> Result<()> {
        let suspects = lock(&self.suspects);
        if suspects.is_quarantined(fingerprint, now) {
            return Err(quarantined_error());
        }
        if suspects.must_wait(fingerprint, now) {
            let message = "engines may have died while they ran this request";
            let err = Error::not_run(Category::Unavailable, message);
            return Err(err.with_retry_after(POSSIBLE_CRASH_TTL));
        }
        Ok(())
    }

    /// Counts the death of an engine against a request; returns whether it was news.
    pub fn record_crash(&self, crash: &Crash, now: Instant) -> bool {
        lock(&self.suspects).record_crash(crash, now)
    }

    /// Watches for a new life of an engine that broke off a request, but seems alive.
    pub fn record_possible_crash(&self, crash: Crash, now: Instant) {
        lock(&self.suspects).record_possible_crash(crash, now);
    }

    /// Takes the deaths that are proved by a later `life` of `engine`.
    pub fn take_confirmed(
        &self,
        engine: &EngineName,
        life: Incarnation,
        now: Instant,
    ) -> Vec<Crash> {
        lock(&self.suspects).take_confirmed(engine, life, now)
    }

    /// Begins the trial of a request of which this router is the arbiter.
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
        lock(&self.trials).begin(fingerprint, holder, is_live, now)
    }

    /// Ends a trial of which this router is the arbiter.
    pub fn end_canary(&self, fingerprint: Fingerprint, holder: &CanaryHolder) {
        lock(&self.trials).end(fingerprint, holder);
    }

    /// Returns whether the request was answered whole lately.
    pub fn is_known_good(&self, fingerprint: Fingerprint) -> bool {
        lock(&self.suspects).is_known_good(fingerprint)
    }

    /// Clears a request that was answered whole, here or at another router.
    pub fn record_success(&self, fingerprint: Fingerprint) {
        lock(&self.suspects).record_success(fingerprint);
    }

    /// Returns what another router needs to know, the convicts first.
    pub fn records(&self, now: Instant) -> Vec<CrashRecord> {
        lock(&self.suspects).records(now)
    }

    /// Returns what another router needs to know of one request.
    pub fn record_for(&self, fingerprint: Fingerprint, now: Instant) -> Option<CrashRecord> {
        lock(&self.suspects).record_for(fingerprint, now)
    }

    /// Takes over what another router knows.
    pub fn merge(&self, records: Vec<CrashRecord>, now: Instant) {
        lock(&self.suspects).merge(records, now);
    }

    /// Returns how far a request is trusted.
    pub fn crash_risk(&self, fingerprint: Fingerprint, now: Instant) -> CrashRisk {
        lock(&self.suspects).crash_risk(fingerprint, now)
    }

    /// Returns the number of suspects and convicts held.
    pub fn len(&self) -> usize {
        lock(&self.suspects).len()
    }

    /// Returns whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns the refusal of a convicted request.
pub(crate) fn quarantined_error() -> Error {
    let message = "engines died while they ran this request";
    Error::not_run(Category::Quarantined, message)
}
