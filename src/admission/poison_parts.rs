//! Poison prompt parts: parts that crash the servers that begin to answer a prompt with them.
//!
//! Load pattern: requests that differ in everything else share one part of their prompt, and
//! each server that begins to answer one of them crashes. They arrive at any router. Sound
//! requests share their team and their other parts.
//!
//! - A crash counts against the parts of the requests at whose beginning the server was, at all
//!   routers: it may have sent nothing yet, or its first bytes.
//! - A complete answer, or data over some time, makes a part known good: the server has survived
//!   the beginning of its answer.
//! - Parts that were in each of several crashes are quarantined together, and only requests with
//!   all of them are refused, so that a known good part among them is not refused by itself.
//! - A single part waits for further crashes while a part of other requests was in the same ones:
//!   requests that a poison request met on several servers share its crashes.
//! - Crashes of other causes count little: those at the same moment count once unless servers beside
//!   them survive, and a crash is retracted when the server sends anything afterwards. While servers
//!   crash all the time, only parts that are in most of the crashes are quarantined.
//! - Crashes of servers that ran a request with quarantined parts are attributed to these.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::sync::Notify;

use super::{
    describe_parts,
    eviction::evict_lowest,
    known_good_parts::KnownGoodParts,
    quarantined::Quarantined,
    seen_crashes::SeenCrashes,
    suspect::{count_spaced, Suspect},
    PartCrash, PartKey, PartUpdates, QuarantinedParts,
};
use crate::{
    catalog::{Server, ServerKey},
    presence::PendingUpdates,
    sync::lock,
    Category, Error, Instant, Result,
};

/// Number of crashes after which parts are quarantined.
///
/// Requests that wait on a server when it crashes are sent to others, and some of them meet a
/// second and a third crash.
const QUARANTINE_CRASHES: usize = 4;

/// Number of crashes after which parts are quarantined if those of one moment count separately, as
/// servers have survived it; one more, as servers may lose power singly.
const SEPARATE_CRASHES: usize = 5;

/// Number of crashes after which parts are quarantined that are known good, or that are not in
/// most of the crashes of their pool.
const MAX_CRASHES: usize = 8;

/// Number of crashes after which parts are quarantined even if a part of other requests was in all
/// of these crashes as well.
const RIVAL_CRASHES: usize = 6;

/// Minimum number of crashes of parts for each crash of another cause, where crashes at one moment are
/// counted separately.
const MIN_CRASHES_BY_OTHER: usize = 4;

/// Longest time after a crash until all routers have reported it.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// Number of crashes from which other routers learn without delay that a part is known good.
const URGENT_CRASHES: usize = 2;

/// Time after the last crash at which the crashes of a part expire.
const SUSPICION_TTL: Duration = Duration::from_secs(120);

/// Time after a crash until it is known which servers have survived it, and until an answer with a
/// sound part could have cleared that part.
const SURVIVAL_DELAY: Duration = Duration::from_millis(1_200);

/// Maximum number of crashes for which survivors are awaited; the earliest are dropped.
const MAX_AWAITED: usize = 256;

/// Time for which a crash that was retracted does not count again, as crashes are announced
/// repeatedly.
const RETRACTION_TTL: Duration = Duration::from_secs(1);

/// Maximum numbers of updates of each kind in one digest.
const MAX_CRASHES_PER_DIGEST: usize = 6;
const MAX_CRASH_PARTS_PER_DIGEST: usize = 24;
const MAX_KEYS_PER_DIGEST: usize = 16;

/// Maximum number of updates of each kind that wait for a digest; the latest are sent first.
const MAX_PENDING: usize = 64;

/// Maximum number of parts whose crashes are counted.
const MAX_SUSPECTS: usize = 1_024;

/// Number of parts that remain when the crashes of too many would be counted.
const SUSPECTS_KEPT: usize = MAX_SUSPECTS / 4 * 3;

/// Maximum number of parts of a request that one crash counts against.
const MAX_COUNTED_PARTS: usize = 16;

/// Maximum number of quarantined sets of parts.
const MAX_QUARANTINED: usize = 64;

/// Prompt parts that are suspect or quarantined, shared between routers.
#[derive(Debug, Default)]
pub struct PoisonParts {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    suspects: BTreeMap<PartKey, Suspect>,
    quarantine: Vec<Quarantined>,
    /// All parts in [`quarantine`](Inner::quarantine).
    quarantined_parts: BTreeSet<PartKey>,
    /// Parts of requests to which this router got an answer.
    known_good: KnownGoodParts,
    /// Recent crashes that are not attributed to quarantined parts.
    unattributed: SeenCrashes,
    /// Crashes for which survivors are awaited, with the times, in order of time.
    awaited: VecDeque<(PartCrash, Instant)>,
    /// Servers whose crash was retracted, and when.
    retracted: BTreeMap<ServerKey, Instant>,
    pending_crashes: PendingUpdates<PartCrash, MAX_PENDING>,
    pending_known_good: PendingUpdates<PartKey, MAX_PENDING>,
    pending_alive: PendingUpdates<ServerKey, MAX_PENDING>,
    /// Notified when a quarantine begins or is lifted.
    change_signal: Arc<Notify>,
}

impl PoisonParts {
    /// Sets the signal that is notified when a quarantine begins or is lifted.
    #[must_use]
    pub fn with_change_signal(self, change_signal: Arc<Notify>) -> Self {
        lock(&self.inner).change_signal = change_signal;
        self
    }

    /// Checks that a request with these parts may run.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Quarantined`] with the verdict "not run" and the remaining time of
    /// the quarantine when the parts have crashed servers.
    pub fn check(&self, parts: &[PartKey], now: Instant) -> Result<()> {
        let inner = lock(&self.inner);
        let quarantined = inner.quarantined_among(parts);
        let mut quarantine = inner.quarantine.iter();
        let covering = quarantine.find(|q| q.is_in_force(now) && q.is_in(&quarantined));
        let Some(found) = covering else {
            return Ok(());
        };
        let message = "servers crashed on a part of the prompt";
        let err = Error::not_run(Category::Quarantined, message);
        Err(err.with_retry_after(found.until.since(now)))
    }

    /// Records that a server crashed at the beginning of its answer to a request with these parts.
    ///
    /// Returns whether the other routers should learn of it without delay.
    pub fn record_crash(&self, parts: &[PartKey], server: ServerKey, now: Instant) -> bool {
        if parts.is_empty() {
            return false;
        }
        let mut inner = lock(&self.inner);
        inner.expire(now);
        let crash = PartCrash {
            server,
            parts: inner.counted_parts(parts),
        };
        inner.count_crash(&crash, now);
        inner
            .pending_crashes
            .replace(crash.clone(), |known| *known == crash);
        true
    }

    /// Returns whether the crash of a server is attributed to quarantined parts.
    pub fn explains_crash(&self, server: ServerKey) -> bool {
        lock(&self.inner).explains_crash(server)
    }

    /// Records that a server has come past the beginning of its answer to a request with these
    /// parts.
    ///
    /// Returns whether the other routers should learn of it without delay, as the parts are
    /// close to quarantine or in it.
    pub fn record_success(&self, parts: &[PartKey], now: Instant) -> bool {
        let mut inner = lock(&self.inner);
        inner.known_good.record(parts, now);
        let mut is_urgent = false;
        for part in parts {
            let crashes = inner.suspects.get(part).map_or(0, Suspect::counted_crashes);
            let is_quarantined = inner.quarantined_parts.contains(part);
            if crashes > 0 || is_quarantined {
                inner
                    .pending_known_good
                    .replace(*part, |known| known == part);
                inner.clear(*part);
                is_urgent |= is_quarantined || crashes >= URGENT_CRASHES;
            }
        }
        is_urgent
    }

    /// Records that data of a server was read that arrived after `drained_at`; it sends none after
    /// a crash.
    pub fn record_alive(&self, server: ServerKey, drained_at: Instant, now: Instant) {
        let mut inner = lock(&self.inner);
        if inner.unattributed.record_alive(server, drained_at) {
            inner
                .pending_alive
                .replace(server, |known| *known == server);
            inner.retract_crash(server, now);
        }
    }

    /// Quarantines the parts of crashes that have no common cause, such as a loss of power, as servers
    /// beside them have survived.
    ///
    /// `servers` are all that are known, and `loads` their requests in flight of other routers. Call it as
    /// often as digests are sent while [`awaits_survivors`](Self::awaits_survivors).
    pub fn weigh_survivors<'a>(
        &self,
        servers: impl Iterator<Item = &'a Server>,
        loads: &BTreeMap<ServerKey, u32>,
        now: Instant,
    ) {
        lock(&self.inner).weigh_survivors(servers, loads, now);
    }

    /// Returns whether servers have crashed lately.
    pub fn awaits_survivors(&self) -> bool {
        !lock(&self.inner).awaited.is_empty()
    }

    /// Applies what another router announced.
    pub fn receive(&self, updates: &PartUpdates, now: Instant) {
        let mut inner = lock(&self.inner);
        if !updates.crashes.is_empty() {
            inner.expire(now);
        }
        for crash in &updates.crashes {
            inner.count_crash(crash, now);
        }
        for part in &updates.known_good {
            inner.clear(*part);
        }
        for server in &updates.alive {
            inner.retract_crash(*server, now);
        }
    }

    /// Returns what the next digest announces besides the quarantines.
    pub fn next_updates(&self, now: Instant) -> PartUpdates {
        let mut inner = lock(&self.inner);
        inner.expire(now);
        PartUpdates {
            quarantined: Vec::new(),
            crashes: inner.pending_crashes.take_within(
                MAX_CRASHES_PER_DIGEST,
                MAX_CRASH_PARTS_PER_DIGEST,
                |crash| crash.parts.len(),
            ),
            known_good: inner.pending_known_good.take(MAX_KEYS_PER_DIGEST),
            alive: inner.pending_alive.take(MAX_KEYS_PER_DIGEST),
        }
    }

    /// Returns the parts in quarantine.
    pub fn quarantined(&self, now: Instant) -> Vec<QuarantinedParts> {
        lock(&self.inner).quarantined(now)
    }

    /// Takes over a quarantine, except for parts to which this router has got an answer since it
    /// began.
    pub(super) fn adopt(&self, quarantined: &QuarantinedParts, now: Instant) {
        lock(&self.inner).adopt(quarantined, now);
    }
}

impl Inner {
    fn quarantined(&self, now: Instant) -> Vec<QuarantinedParts> {
        let in_force = self.quarantine.iter().filter(|q| q.is_in_force(now));
        in_force.map(|q| q.to_update(now)).collect()
    }

    /// Counts a crash; what has expired is removed before.
    fn count_crash(&mut self, crash: &PartCrash, now: Instant) {
        self.make_room_for_suspects();
        let Some(pool) = crash.parts.first().map(|part| part.pool()) else {
            return;
        };
        if self.retracted.contains_key(&crash.server) || self.attribute(crash, now) {
            return;
        }
        let server = crash.server;
        self.unattributed.insert(server, pool, now);
        for part in &crash.parts {
            let suspect = self.suspects.entry(*part).or_default();
            suspect.add_crash(server, now);
        }
        self.await_survivors(crash, now);
        self.quarantine_suspects(crash, now);
    }

    /// Lets a crash wait for survivors.
    fn await_survivors(&mut self, crash: &PartCrash, now: Instant) {
        let mut awaited = self.awaited.iter();
        if awaited.any(|(known, _)| known == crash) {
            return;
        }
        if self.awaited.len() >= MAX_AWAITED {
            self.awaited.pop_front();
        }
        self.awaited.push_back((crash.clone(), now));
    }

    fn weigh_survivors<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a Server>,
        loads: &BTreeMap<ServerKey, u32>,
        now: Instant,
    ) {
        self.unattributed.record_domains(servers);
        let is_due = |(_, at): &(PartCrash, Instant)| now.since(*at) >= SURVIVAL_DELAY;
        let due_count = self
            .awaited
            .iter()
            .take_while(|crash| is_due(crash))
            .count();
        let due: Vec<_> = self.awaited.drain(..due_count).collect();
        let crashed: BTreeSet<_> = due.iter().map(|(crash, _)| crash.server).collect();
        for server in crashed {
            if self.unattributed.has_survivors(server, loads) {
                let suspects = self.suspects.values_mut();
                suspects.for_each(|suspect| suspect.record_survivors(server));
            }
        }
        for (crash, _) in &due {
            self.quarantine_survived(crash, now);
        }
    }

    /// Attributes a crash to quarantined parts and renews their quarantine if it has ended.
    ///
    /// Returns whether there are such parts.
    fn attribute(&mut self, crash: &PartCrash, now: Instant) -> bool {
        let quarantined = self.quarantined_among(&crash.parts);
        let mut quarantine = self.quarantine.iter_mut();
        if let Some(cause) = quarantine.find(|q| q.is_in(&quarantined)) {
            cause.add_crash(crash.server, now);
            self.forget_crash(crash.server);
            return true;
        }
        self.explains_crash(crash.server)
    }

    /// Returns the parts of a request that a crash of its server counts against.
    ///
    /// Of many these are the parts in quarantine, then those to which no answer is known, and then those
    /// whose last answer is the oldest. A poison part is among them once the others have been answered.
    fn counted_parts(&self, parts: &[PartKey]) -> Box<[PartKey]> {
        let is_first = |(at, part): &(usize, &PartKey)| !parts[..*at].contains(part);
        if parts.len() <= MAX_COUNTED_PARTS {
            let distinct = parts.iter().enumerate().filter(is_first);
            return distinct.map(|(_, part)| *part).collect();
        }
        let rank = |at: usize, part: &PartKey| {
            let crashes = self.suspects.get(part).map_or(0, Suspect::counted_crashes);
            (
                !self.quarantined_parts.contains(part),
                self.known_good.last_answer(*part),
                Reverse(crashes),
                at.min(parts.len() - 1 - at),
            )
        };
        let ranked = parts.iter().enumerate();
        let mut ranked: Vec<_> = ranked.map(|(at, part)| (rank(at, part), *part)).collect();
        ranked.sort_unstable();
        let mut counted = Vec::with_capacity(MAX_COUNTED_PARTS);
        for (_, part) in ranked {
            if counted.len() < MAX_COUNTED_PARTS && !counted.contains(&part) {
                counted.push(part);
            }
        }
        counted.into()
    }

    /// Returns those of `parts` that are in a quarantine.
    fn quarantined_among(&self, parts: &[PartKey]) -> BTreeSet<PartKey> {
        if self.quarantined_parts.is_empty() {
            return BTreeSet::new();
        }
        let held = parts.iter().copied();
        held.filter(|part| self.quarantined_parts.contains(part))
            .collect()
    }

    fn index_quarantine(&mut self) {
        let parts = self.quarantine.iter().flat_map(|q| &q.parts);
        self.quarantined_parts = parts.copied().collect();
    }

    fn explains_crash(&self, server: ServerKey) -> bool {
        let mut quarantine = self.quarantine.iter();
        quarantine.any(|q| q.servers.contains(&server))
    }

    /// Quarantines the parts of the request with the most crashes, if these are enough.
    ///
    /// Known good parts are quarantined only if the others are not.
    fn quarantine_suspects(&mut self, crash: &PartCrash, now: Instant) {
        let (known_good, unknown) = self.divide(crash, now);
        let parts = self
            .with_most_crashes(&unknown, Suspect::counted_crashes)
            .filter(|(parts, crashes)| {
                *crashes >= MAX_CRASHES
                    || *crashes >= QUARANTINE_CRASHES
                        && self.are_in_most_crashes(parts, *crashes)
                        && self.have_no_rival(parts, *crashes, crash, now)
            })
            .or_else(|| {
                let suspects = self.with_most_crashes(&known_good, Suspect::counted_crashes);
                suspects.filter(|(_, crashes)| *crashes >= MAX_CRASHES)
            });
        if let Some((parts, _)) = parts {
            self.quarantine(parts, "crashes", now);
        }
    }

    /// Quarantines the parts of the request with the most crashes, where those that servers beside them
    /// have survived count separately, if these are enough.
    ///
    /// By then all routers have reported the crashes that count, and answers to sound parts. Parts that
    /// are known good are left to [`quarantine_suspects`](Self::quarantine_suspects).
    fn quarantine_survived(&mut self, crash: &PartCrash, now: Instant) {
        let (_, unknown) = self.divide(crash, now);
        let count = |suspect: &Suspect| suspect.separate_crashes(SURVIVAL_DELAY, now);
        let parts = self
            .with_most_crashes(&unknown, count)
            .filter(|(parts, crashes)| {
                *crashes >= SEPARATE_CRASHES
                    && self.are_in_nearly_all_crashes(parts)
                    && self.have_no_rival(parts, *crashes, crash, now)
            });
        if let Some((parts, _)) = parts {
            self.quarantine(parts, "survivors", now);
        }
    }

    /// Returns the parts that a crash counts against, those that are known good and the others.
    fn divide(&self, crash: &PartCrash, now: Instant) -> (Vec<PartKey>, Vec<PartKey>) {
        let parts = crash.parts.iter();
        parts.partition(|part| self.known_good.contains(**part, now))
    }

    fn have_no_rival(
        &self,
        parts: &BTreeSet<PartKey>,
        crashes: usize,
        crash: &PartCrash,
        now: Instant,
    ) -> bool {
        parts.len() > 1 || crashes >= RIVAL_CRASHES || !self.has_rival(parts, crash, now)
    }

    fn quarantine(&mut self, parts: BTreeSet<PartKey>, source: &str, now: Instant) {
        let suspects = parts.iter().filter_map(|part| self.suspects.get(part));
        let servers: BTreeSet<_> = suspects.flat_map(Suspect::servers).collect();
        log::warn!(
            "prompt parts quarantined parts={} servers={} source={source}",
            describe_parts(&parts),
            servers.len()
        );
        self.attribute_crashes(&parts, &servers);
        self.insert_quarantined(Quarantined::new(parts, servers, now));
    }

    /// Attributes the crashes of `servers` to quarantined parts, so that they count against no other.
    fn attribute_crashes(&mut self, parts: &BTreeSet<PartKey>, servers: &BTreeSet<ServerKey>) {
        self.suspects.retain(|part, _| !parts.contains(part));
        for server in servers {
            self.forget_crash(*server);
        }
    }

    /// Returns the servers whose crashes count against each of `parts`.
    fn servers_of_all(&self, parts: &BTreeSet<PartKey>) -> BTreeSet<ServerKey> {
        let servers = |part| -> BTreeSet<ServerKey> {
            let suspect = self.suspects.get(part);
            suspect.into_iter().flat_map(Suspect::servers).collect()
        };
        let common = parts.iter().map(servers).reduce(|a, b| &a & &b);
        common.unwrap_or_default()
    }

    /// Returns those of `parts` with the most crashes, counted by `count`, and the number of these.
    fn with_most_crashes(
        &self,
        parts: &[PartKey],
        count: impl Fn(&Suspect) -> usize,
    ) -> Option<(BTreeSet<PartKey>, usize)> {
        let count = |part: &PartKey| self.suspects.get(part).map_or(0, &count);
        let most = parts.iter().map(count).max()?;
        let most_crashed = parts.iter().copied().filter(|part| count(part) == most);
        Some((most_crashed.collect(), most))
    }

    /// Returns whether parts with this number of crashes are in at least half of the crashes of
    /// their pool since the first of them.
    fn are_in_most_crashes(&self, parts: &BTreeSet<PartKey>, crashes: usize) -> bool {
        let suspect = parts
            .iter()
            .find_map(|part| Some((part, self.suspects.get(part)?)));
        let Some((part, suspect)) = suspect else {
            return false;
        };
        let since = suspect
            .counted()
            .next()
            .map_or_else(Instant::default, |a| a.at);
        let in_pool = self.unattributed.in_pool(part.pool(), since);
        2 * crashes >= count_spaced(in_pool.map(|(_, at)| at))
    }

    /// Returns whether all but a few of the servers of their pool that have crashed since the first crash
    /// of `parts` had a request with them.
    fn are_in_nearly_all_crashes(&self, parts: &BTreeSet<PartKey>) -> bool {
        let Some(pool) = parts.first().map(|part| part.pool()) else {
            return false;
        };
        let suspects = parts.iter().filter_map(|part| self.suspects.get(part));
        let since = suspects.flat_map(Suspect::counted).map(|a| a.at).min();
        let servers = self.servers_of_all(parts);
        let in_pool = self.unattributed.in_pool(pool, since.unwrap_or_default());
        let others = in_pool.filter(|(server, _)| !servers.contains(server));
        others.count() * MIN_CRASHES_BY_OTHER <= servers.len()
    }

    /// Returns whether a part of other requests than that of `crash` was in the crashes of `parts`
    /// as well, so that it may be the cause of them.
    ///
    /// A crash that has just happened may not have been reported for that part yet.
    fn has_rival(&self, parts: &BTreeSet<PartKey>, crash: &PartCrash, now: Instant) -> bool {
        let suspects = parts.iter().filter_map(|part| self.suspects.get(part));
        let earlier = suspects
            .flat_map(Suspect::counted)
            .filter(|crash| now.since(crash.at) >= REPORT_DELAY);
        let servers: BTreeSet<_> = earlier.map(|crash| crash.server).collect();
        let is_rival = |(part, suspect): (&PartKey, &Suspect)| {
            let is_other = !crash.parts.contains(part) && crash.parts[0].pool() == part.pool();
            let covered: BTreeSet<_> = suspect.servers().collect();
            is_other && servers.is_subset(&covered) && !self.known_good.contains(*part, now)
        };
        self.suspects.iter().any(is_rival)
    }

    /// Adopts a quarantine of another router, except for parts to which this router has got an
    /// answer since it began.
    fn adopt(&mut self, update: &QuarantinedParts, now: Instant) {
        let adopted = Quarantined::from_update(update, now);
        let age = adopted.age(now);
        let is_known_good_since = |part: &PartKey| {
            self.known_good
                .last_answer(*part)
                .is_some_and(|at| at + age > now)
        };
        let (known_good, parts): (BTreeSet<PartKey>, BTreeSet<_>) = adopted
            .parts
            .iter()
            .partition(|part| is_known_good_since(part));
        for part in known_good {
            self.pending_known_good
                .replace(part, |known| *known == part);
        }
        let mut known = self.quarantine.iter_mut();
        if let Some(known) = known.find(|q| q.parts.is_subset(&parts)) {
            if known.parts == parts {
                known.extend(&adopted);
            }
            return;
        }
        if parts.is_empty() {
            return;
        }
        log::warn!(
            "prompt parts quarantined parts={} source=router",
            describe_parts(&parts)
        );
        // Otherwise its crashes would count on, against the parts that sound requests share with it.
        let servers = self.servers_of_all(&parts);
        self.attribute_crashes(&parts, &servers);
        self.insert_quarantined(adopted.with_parts(parts, servers));
    }

    fn insert_quarantined(&mut self, quarantined: Quarantined) {
        self.quarantine
            .retain(|q| !quarantined.parts.is_subset(&q.parts));
        if self.quarantine.len() >= MAX_QUARANTINED {
            self.quarantine.remove(0);
        }
        self.quarantine.push(quarantined);
        self.index_quarantine();
        self.change_signal.notify_one();
    }

    /// Clears the crashes of a known good part, and ends its quarantine.
    fn clear(&mut self, part: PartKey) {
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.clear();
        }
        if !self.quarantined_parts.contains(&part) {
            return;
        }
        for quarantined in &mut self.quarantine {
            if quarantined.parts.remove(&part) {
                self.change_signal.notify_one();
                log::warn!(
                    "prompt part known good, quarantine lifted part={}",
                    describe_parts([&part])
                );
            }
        }
        self.quarantine.retain(|q| !q.parts.is_empty());
        self.index_quarantine();
    }

    /// Removes the crash of a server that has not crashed.
    fn retract_crash(&mut self, server: ServerKey, now: Instant) {
        self.retracted.insert(server, now);
        self.forget_crash(server);
    }

    fn forget_crash(&mut self, server: ServerKey) {
        self.unattributed.remove(server);
        self.suspects
            .retain(|_, suspect| suspect.remove_crash(server));
    }

    /// Forgets suspects with the fewest crashes, the oldest first, if there are too many.
    fn make_room_for_suspects(&mut self) {
        if self.suspects.len() + MAX_COUNTED_PARTS <= MAX_SUSPECTS {
            return;
        }
        evict_lowest(&mut self.suspects, SUSPECTS_KEPT, |suspect| {
            (suspect.counted_crashes(), suspect.last_crash())
        });
    }

    fn expire(&mut self, now: Instant) {
        self.retracted
            .retain(|_, at| now.since(*at) < RETRACTION_TTL);
        self.unattributed.expire(SUSPICION_TTL, now);
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_crash()) < SUSPICION_TTL);
        if self.quarantine.iter().any(|q| q.has_expired(now)) {
            self.quarantine.retain(|q| !q.has_expired(now));
            self.index_quarantine();
        }
    }
}
