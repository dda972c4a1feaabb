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

use super::{Copies, Proven, SuspectRecord, TrialHolder, TrialReply, Trials, Watched, WATCH_TIME};
use crate::{sync::lock, Category, EngineName, Error, Incarnation, Instant, Result, RouterName};

/// How long a request stays under suspicion.
const SUSPICION_TIME: Duration = Duration::from_secs(600);

/// How long a convicted request is refused.
const CONVICTION_TIME: Duration = Duration::from_secs(3_600);

/// Deaths of engines that convict.
const CONVICTING_DEATHS: usize = 2;

/// Most suspects and convicts held; those that expire first are forgotten first.
pub const MAX_SUSPECTS: usize = 4_096;

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
pub enum Trust {
    /// It was answered whole lately, or runs as the only copy on trial.
    Ordinary,
    /// It was not answered whole lately; a copy of it on the same engine is waited for.
    Unproven(Fingerprint),
    /// It may share an engine with no other suspect.
    Suspect(Fingerprint),
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
struct Suspect {
    deaths: BTreeSet<(EngineName, Incarnation)>,
    cleared: usize,
    until: Instant,
}

impl Suspect {
    fn counted(&self) -> usize {
        self.deaths.len() - self.cleared
    }

    fn is_convicted(&self, convicting: usize) -> bool {
        self.counted() >= convicting
    }

    fn record(&self, fingerprint: Fingerprint, now: Instant) -> SuspectRecord {
        SuspectRecord {
            fingerprint,
            deaths: self.deaths.iter().cloned().collect(),
            cleared: self.cleared as u32,
            left_ms: self.until.since(now).as_millis() as u32,
        }
    }

    /// Adds what another router knows, unless some of it was cleared there.
    fn merge(&mut self, other: Suspect) {
        if other.cleared == 0 {
            self.deaths.extend(other.deaths);
            self.until = self.until.max(other.until);
        }
    }
}

/// Suspects and convicts, bounded in number and time.
#[derive(Debug)]
pub struct Suspects {
    /// Deaths of engines that convict.
    convicting: usize,
    known: BTreeMap<Fingerprint, Suspect>,
    /// Requests that may have crashed engines.
    watched: Watched,
    /// Requests answered whole lately.
    proven: Proven,
}

impl Default for Suspects {
    fn default() -> Self {
        Suspects::with_convicting(CONVICTING_DEATHS)
    }
}

impl Suspects {
    /// Creates the state without suspects.
    pub fn new() -> Self {
        Suspects::default()
    }

    /// Creates the state without suspects; so many deaths of engines convict.
    pub fn with_convicting(deaths: usize) -> Self {
        Suspects {
            convicting: deaths,
            known: BTreeMap::new(),
            watched: Watched::default(),
            proven: Proven::default(),
        }
    }

    /// Counts the death of an engine against a request; returns whether it was news.
    pub fn accuse(&mut self, crash: &Crash, now: Instant) -> bool {
        self.expire(now);
        self.watched.forget(crash);
        self.proven.remove(crash.fingerprint);
        let suspect = self.known.entry(crash.fingerprint).or_insert(Suspect {
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
        if self.known.len() <= MAX_SUSPECTS {
            return;
        }
        let next = self.known.iter().min_by_key(|(_, suspect)| suspect.until);
        if let Some(fingerprint) = next.map(|(fingerprint, _)| *fingerprint) {
            self.known.remove(&fingerprint);
        }
    }

    /// Watches for a new life of an engine that broke off a request, but seems alive.
    pub fn watch(&mut self, crash: Crash, now: Instant) {
        self.watched.watch(crash, now);
    }

    /// Takes the deaths that are proved by a later `life` of `engine`.
    pub fn ended(&mut self, engine: &EngineName, life: Incarnation, now: Instant) -> Vec<Crash> {
        self.watched.ended(engine, life, now)
    }

    /// Clears a request that was answered whole, unless it is convicted.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.watched.clear(fingerprint);
        self.proven.insert(fingerprint);
        if let Some(suspect) = self.known.get_mut(&fingerprint) {
            if !suspect.is_convicted(self.convicting) {
                suspect.cleared = suspect.deaths.len();
            }
        }
    }

    /// Returns whether the request is refused.
    pub fn is_convicted(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.live(fingerprint, now)
            .is_some_and(|suspect| suspect.is_convicted(self.convicting))
    }

    /// Returns whether the request must wait until it is known which engines it crashed.
    pub fn is_held(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.possible_deaths(fingerprint, now) >= self.convicting
    }

    fn possible_deaths(&self, fingerprint: Fingerprint, now: Instant) -> usize {
        let known = self.live(fingerprint, now);
        known.map_or(0, Suspect::counted) + self.watched.count(fingerprint, now)
    }

    /// Returns whether the request may share an engine with no other suspect.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.possible_deaths(fingerprint, now) > 0
    }

    /// Returns how far the request is trusted.
    pub fn trust(&self, fingerprint: Fingerprint, now: Instant) -> Trust {
        if self.is_suspect(fingerprint, now) {
            Trust::Suspect(fingerprint)
        } else if self.is_proven(fingerprint) {
            Trust::Ordinary
        } else {
            Trust::Unproven(fingerprint)
        }
    }

    /// Returns whether the request was answered whole lately and no engine died with it since.
    pub fn is_proven(&self, fingerprint: Fingerprint) -> bool {
        self.proven.contains(fingerprint)
    }

    fn live(&self, fingerprint: Fingerprint, now: Instant) -> Option<&Suspect> {
        let suspect = self.known.get(&fingerprint);
        suspect.filter(|suspect| suspect.until > now)
    }

    /// Returns what another router needs to know, the convicts first.
    pub fn records(&self, now: Instant) -> Vec<SuspectRecord> {
        let known = self.known.iter();
        let live = known.filter(|(_, one)| one.until > now && one.counted() > 0);
        let mut live: Vec<_> = live.collect();
        live.sort_by_key(|(_, one)| {
            std::cmp::Reverse((one.is_convicted(self.convicting), one.until))
        });
        let mut told = 0;
        let fits = |(_, one): &(_, &Suspect)| {
            told += one.deaths.len();
            told <= MAX_TOLD_DEATHS
        };
        let fitting = live.into_iter().take_while(fits);
        fitting
            .map(|(fingerprint, one)| one.record(*fingerprint, now))
            .collect()
    }

    /// Returns what another router needs to know of one request.
    pub fn record(&self, fingerprint: Fingerprint, now: Instant) -> Option<SuspectRecord> {
        let known = self.live(fingerprint, now);
        let counted = known.filter(|known| known.counted() > 0);
        counted.map(|known| known.record(fingerprint, now))
    }

    /// Adds what another router knows.
    pub fn adopt(&mut self, records: Vec<SuspectRecord>, now: Instant) {
        for record in records {
            let left = Duration::from_millis(record.left_ms.into());
            let suspect = Suspect {
                cleared: record.deaths.len().min(record.cleared as usize),
                deaths: record.deaths.into_iter().collect(),
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
    suspects: Mutex<Suspects>,
    trials: Mutex<Trials>,
    /// Copies of requests on their way through this router.
    pub copies: Arc<Copies>,
}

impl Quarantine {
    /// Creates the state without suspects; so many deaths of engines convict.
    pub fn with_convicting(deaths: usize) -> Self {
        Quarantine {
            suspects: Mutex::new(Suspects::with_convicting(deaths)),
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
        if suspects.is_convicted(fingerprint, now) {
            return Err(convicted());
        }
        if suspects.is_held(fingerprint, now) {
            let message = "engines may have died while they ran this request";
            let err = Error::not_run(Category::Unavailable, message);
            return Err(err.with_retry_after(WATCH_TIME));
        }
        Ok(())
    }

    /// Counts the death of an engine against a request; returns whether it was news.
    pub fn accuse(&self, crash: &Crash, now: Instant) -> bool {
        lock(&self.suspects).accuse(crash, now)
    }

    /// Watches for a new life of an engine that broke off a request, but seems alive.
    pub fn watch(&self, crash: Crash, now: Instant) {
        lock(&self.suspects).watch(crash, now);
    }

    /// Takes the deaths that are proved by a later `life` of `engine`.
    pub fn ended(&self, engine: &EngineName, life: Incarnation, now: Instant) -> Vec<Crash> {
        lock(&self.suspects).ended(engine, life, now)
    }

    /// Begins the trial of a request of which this router is the arbiter.
    pub fn begin_trial(
        &self,
        fingerprint: Fingerprint,
        holder: TrialHolder,
        is_live: impl Fn(&RouterName) -> bool,
        now: Instant,
    ) -> TrialReply {
        match self.check(fingerprint, now) {
            Err(err) if err.classify() == Category::Quarantined => return TrialReply::Convicted,
            Err(_) => return TrialReply::Wait,
            Ok(()) if self.is_proven(fingerprint) => return TrialReply::Proven,
            Ok(()) => {}
        }
        lock(&self.trials).begin(fingerprint, holder, is_live, now)
    }

    /// Ends a trial of which this router is the arbiter.
    pub fn end_trial(&self, fingerprint: Fingerprint, holder: &TrialHolder) {
        lock(&self.trials).end(fingerprint, holder);
    }

    /// Returns whether the request was answered whole lately.
    pub fn is_proven(&self, fingerprint: Fingerprint) -> bool {
        lock(&self.suspects).is_proven(fingerprint)
    }

    /// Clears a request that was answered whole, here or at another router.
    pub fn clear(&self, fingerprint: Fingerprint) {
        lock(&self.suspects).clear(fingerprint);
    }

    /// Returns what another router needs to know, the convicts first.
    pub fn records(&self, now: Instant) -> Vec<SuspectRecord> {
        lock(&self.suspects).records(now)
    }

    /// Returns what another router needs to know of one request.
    pub fn record(&self, fingerprint: Fingerprint, now: Instant) -> Option<SuspectRecord> {
        lock(&self.suspects).record(fingerprint, now)
    }

    /// Takes over what another router knows.
    pub fn adopt(&self, records: Vec<SuspectRecord>, now: Instant) {
        lock(&self.suspects).adopt(records, now);
    }

    /// Returns how far a request is trusted.
    pub fn trust(&self, fingerprint: Fingerprint, now: Instant) -> Trust {
        lock(&self.suspects).trust(fingerprint, now)
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
pub(crate) fn convicted() -> Error {
    let message = "engines died while they ran this request";
    Error::not_run(Category::Quarantined, message)
}
