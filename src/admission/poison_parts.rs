//! Poison prompt parts: parts that crash the servers that begin to answer a prompt with them.
//!
//! Load pattern: requests that differ in everything else share one part of their prompt, and
//! each server that begins to answer one of them crashes. They arrive at any router. Sound
//! requests share their team and their other parts.
//!
//! - A crash accuses the parts of the requests to which the server had sent no data, at all
//!   routers. Streams that were flowing prove that their parts do not crash servers.
//! - Data clears a part: a server that sends part of an answer has survived its beginning.
//! - Parts that were accused of every one of several crashes are quarantined together: only
//!   requests with all of them are refused, so that a sound part among them harms nobody.
//! - Crashes that have other causes do not count: those at the same moment count once, and a
//!   server that sends anything later has not crashed at all. While servers crash all the time,
//!   many parts are accused now and then, and a guilty one of most crashes.
//! - A quarantined part explains the crashes of its servers, which then accuse no other part.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    catalog::ServerKey, placement::PromptPart, presence::PendingUpdates, sync::lock, Category,
    Error, Instant, PoolName, Result,
};

/// Number of crashes after which parts are quarantined.
///
/// Requests that wait on a server when it crashes are sent to others, and some of them meet a
/// second and a third crash.
const QUARANTINE_CRASHES: usize = 4;

/// Number of crashes after which parts are quarantined that were recently sound, or that most
/// of the crashes of their pool do not accuse.
const MAX_CRASHES: usize = 8;

/// Time within which several crashes count as one, as a rack or a pool that loses power crashes
/// at one moment.
const CRASH_SPACING: Duration = Duration::from_millis(150);

/// Time for which requests with quarantined parts are refused at first.
///
/// For an hour after it, one more crash quarantines the parts again, for longer. If they are sound,
/// the first answer ends that.
const MIN_QUARANTINE: Duration = Duration::from_secs(60);

/// Longest time for which requests with quarantined parts are refused.
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);

/// Factor by which each further quarantine of the same parts is longer.
const QUARANTINE_GROWTH: u32 = 4;

/// Time after its last crash at which a part is no longer accused.
const SUSPICION_TTL: Duration = Duration::from_secs(120);

/// Time for which a part counts as recently sound.
const SOUND_TTL: Duration = Duration::from_secs(60);

/// Time after a crash from which data of the server proves that it has not crashed.
///
/// Data that was sent before the crash may be read after it.
const MIN_SURVIVAL: Duration = Duration::from_millis(100);

/// Time after a crash until which data proves that the server has not crashed.
///
/// A server that has crashed may start again under its old name some seconds later.
const MAX_SURVIVAL: Duration = Duration::from_millis(1_500);

/// Time for which a server that has survived is not accused again, as crashes are announced
/// repeatedly.
const SURVIVOR_TTL: Duration = Duration::from_secs(1);

/// Maximum numbers of updates of each kind in one digest.
const MAX_CRASHES_PER_DIGEST: usize = 6;
const MAX_KEYS_PER_DIGEST: usize = 16;
const MAX_QUARANTINED_PER_DIGEST: usize = 8;

/// Maximum number of updates of each kind that wait for a digest; the latest are sent first.
const MAX_PENDING: usize = 64;

/// Maximum number of parts of one prompt that are considered, from its start.
const MAX_PARTS: usize = 8;

/// Maximum number of accused parts.
const MAX_SUSPECTS: usize = 1_024;

/// Maximum number of parts remembered as recently sound.
const MAX_SOUND: usize = 2_048;

/// Maximum number of quarantined sets of parts.
const MAX_QUARANTINED: usize = 64;

/// Identifies a part of a prompt among the requests of one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartKey {
    pool: u32,
    id: u64,
}

impl PartKey {
    /// Returns the keys of the parts of a prompt that other requests of the pool may share.
    ///
    /// The last part belongs to the request itself.
    pub fn shared_parts(pool: &PoolName, prompt: &[PromptPart]) -> Box<[PartKey]> {
        let pool = xxh3_64(pool.as_str().as_bytes()) as u32;
        let shared = prompt.split_last().map_or(prompt, |(_, shared)| shared);
        let keys = shared.iter().take(MAX_PARTS);
        keys.map(|part| PartKey { pool, id: part.id }).collect()
    }
}

/// Returns a list of prompt parts as log lines show it.
pub(crate) fn describe_parts<'a>(parts: impl IntoIterator<Item = &'a PartKey>) -> String {
    let ids = parts.into_iter().map(|part| format!("{:x}", part.id));
    ids.collect::<Vec<_>>().join(",")
}

/// A crash of a server and the shared parts of a request to which it had sent no data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// Server that crashed.
    pub server: ServerKey,
    /// Parts of the request.
    pub parts: Box<[PartKey]>,
}

/// Parts that together are refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedParts {
    /// Parts, in order of their keys; a request is refused if it has all of them.
    pub parts: Box<[PartKey]>,
    /// Remaining time of the quarantine in milliseconds.
    pub remaining_ms: u32,
    /// Length of the quarantine in milliseconds.
    pub length_ms: u32,
}

/// What a digest says about prompt parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUpdates {
    /// Crashes that the sender has observed.
    pub crashes: Vec<PartCrash>,
    /// Accused or quarantined parts that proved sound at the sender.
    pub sound: Vec<PartKey>,
    /// Servers that have sent data after they seemed to crash.
    pub survivors: Vec<ServerKey>,
    /// Parts in quarantine; repeated in each digest, so that routers that start learn them.
    pub quarantined: Vec<QuarantinedParts>,
}

/// Prompt parts that are accused of crashes or quarantined, shared between routers.
#[derive(Debug, Default)]
pub struct PoisonParts {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    suspects: BTreeMap<PartKey, Suspect>,
    quarantine: Vec<Quarantined>,
    /// Times at which parts proved sound at this router.
    sound: BTreeMap<PartKey, Instant>,
    /// Crashes lately that no quarantine explains, in order of time.
    unexplained: Vec<SeenCrash>,
    /// Servers that only seemed to have crashed, and when this was known.
    survivors: BTreeMap<ServerKey, Instant>,
    pending_crashes: PendingUpdates<PartCrash, MAX_PENDING>,
    pending_sound: PendingUpdates<PartKey, MAX_PENDING>,
    pending_survivors: PendingUpdates<ServerKey, MAX_PENDING>,
    /// Offset of the next quarantined parts to include in a digest.
    next_quarantined: usize,
}

/// A server that seems to have crashed.
#[derive(Debug, Clone, Copy)]
struct SeenCrash {
    server: ServerKey,
    /// Pool of the requests, as in [`PartKey`].
    pool: u32,
    at: Instant,
}

/// A part that is accused, or was until it proved sound.
#[derive(Debug, Clone, Default)]
struct Suspect {
    /// Crashes in order of time.
    accusations: Vec<Accusation>,
}

/// A crash that a part is accused of.
#[derive(Debug, Clone, Copy)]
struct Accusation {
    server: ServerKey,
    at: Instant,
    /// Whether the part has proved sound since; kept, as crashes are announced repeatedly.
    is_cleared: bool,
}

/// Parts in quarantine, or on probation after it.
#[derive(Debug)]
struct Quarantined {
    parts: BTreeSet<PartKey>,
    /// Servers whose crashes the parts explain.
    servers: BTreeSet<ServerKey>,
    /// End of the quarantine.
    until: Instant,
    length: Duration,
}

impl PoisonParts {
    /// Checks that a request with these parts may run.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Quarantined`] with the verdict "not run" and the remaining time of
    /// the quarantine when the parts have crashed servers.
    pub fn check(&self, parts: &[PartKey], now: Instant) -> Result<()> {
        let inner = lock(&self.inner);
        let mut quarantine = inner.quarantine.iter();
        let Some(found) = quarantine.find(|q| q.is_in_force(now) && q.covers(parts)) else {
            return Ok(());
        };
        let message = "servers crashed on a part of the prompt";
        let err = Error::not_run(Category::Quarantined, message);
        Err(err.with_retry_after(found.until.since(now)))
    }

    /// Records that a server crashed that had sent no data to a request with these parts.
    ///
    /// Returns whether the other routers should learn of it without delay.
    pub fn record_crash(&self, parts: &[PartKey], server: ServerKey, now: Instant) -> bool {
        if parts.is_empty() {
            return false;
        }
        let crash = PartCrash {
            server,
            parts: parts.into(),
        };
        let mut inner = lock(&self.inner);
        inner.accuse(&crash, now);
        inner
            .pending_crashes
            .replace(crash.clone(), |known| *known == crash);
        true
    }

    /// Records that a server sent the first data of an answer to a request with these parts.
    ///
    /// Returns whether the other routers should learn of it without delay, as the parts are
    /// close to quarantine or in it.
    pub fn record_sound(&self, parts: &[PartKey], now: Instant) -> bool {
        let mut inner = lock(&self.inner);
        let mut is_urgent = false;
        for part in parts {
            inner.remember_sound(*part, now);
            let crashes = inner.suspects.get(part).map_or(0, Suspect::counted_crashes);
            let is_quarantined = inner.quarantine.iter().any(|q| q.parts.contains(part));
            if crashes > 0 || is_quarantined {
                inner.pending_sound.replace(*part, |known| known == part);
                inner.clear(*part);
                is_urgent |= is_quarantined || crashes + 2 >= QUARANTINE_CRASHES;
            }
        }
        is_urgent
    }

    /// Records that a server sent data, which it does not do after a crash.
    pub fn record_alive(&self, server: ServerKey, now: Instant) {
        let mut inner = lock(&self.inner);
        let age = |crash: &SeenCrash| now.since(crash.at);
        let latest = inner.unexplained.iter().rev();
        let mut recent = latest.take_while(|crash| age(crash) < MAX_SURVIVAL);
        if recent.any(|crash| crash.server == server && age(crash) >= MIN_SURVIVAL) {
            inner
                .pending_survivors
                .replace(server, |known| *known == server);
            inner.acquit_of(server, now);
        }
    }

    /// Applies what another router announced.
    pub fn receive(&self, updates: &PartUpdates, now: Instant) {
        let mut inner = lock(&self.inner);
        for crash in &updates.crashes {
            inner.accuse(crash, now);
        }
        for part in &updates.sound {
            inner.clear(*part);
        }
        for server in &updates.survivors {
            inner.acquit_of(*server, now);
        }
        for quarantined in &updates.quarantined {
            inner.adopt(quarantined, now);
        }
    }

    /// Returns what the next digest announces.
    pub fn next_updates(&self, now: Instant) -> PartUpdates {
        let mut inner = lock(&self.inner);
        inner.expire(now);
        let mut quarantined = inner.quarantined(now);
        let start = inner.next_quarantined % quarantined.len().max(1);
        inner.next_quarantined = start + MAX_QUARANTINED_PER_DIGEST;
        quarantined.rotate_left(start);
        quarantined.truncate(MAX_QUARANTINED_PER_DIGEST);
        PartUpdates {
            quarantined,
            crashes: inner.pending_crashes.take(MAX_CRASHES_PER_DIGEST),
            sound: inner.pending_sound.take(MAX_KEYS_PER_DIGEST),
            survivors: inner.pending_survivors.take(MAX_KEYS_PER_DIGEST),
        }
    }

    /// Returns the parts in quarantine.
    pub fn quarantined(&self, now: Instant) -> Vec<QuarantinedParts> {
        lock(&self.inner).quarantined(now)
    }

    /// Quarantines parts that were saved before a restart of the fleet.
    pub fn restore(&self, saved: &[QuarantinedParts], now: Instant) {
        let mut inner = lock(&self.inner);
        for quarantined in saved {
            inner.adopt(quarantined, now);
        }
    }
}

impl Inner {
    fn quarantined(&self, now: Instant) -> Vec<QuarantinedParts> {
        let in_force = self.quarantine.iter().filter(|q| q.is_in_force(now));
        in_force.map(|q| q.to_update(now)).collect()
    }

    fn accuse(&mut self, crash: &PartCrash, now: Instant) {
        self.expire(now);
        let Some(pool) = crash.parts.first().map(|part| part.pool) else {
            return;
        };
        if self.survivors.contains_key(&crash.server) || self.attribute(crash, now) {
            return;
        }
        let server = crash.server;
        if self.unexplained.iter().all(|known| known.server != server) {
            self.unexplained.push(SeenCrash {
                server,
                pool,
                at: now,
            });
        }
        for part in &crash.parts {
            if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(part) {
                self.forget_oldest_suspect();
            }
            let suspect = self.suspects.entry(*part).or_default();
            suspect.accuse(server, now);
        }
        self.quarantine_accused(crash, now);
    }

    /// Attributes a crash to quarantined parts if they explain it, and renews a quarantine that has
    /// ended; returns whether they do.
    fn attribute(&mut self, crash: &PartCrash, now: Instant) -> bool {
        let mut quarantine = self.quarantine.iter_mut();
        if let Some(cause) = quarantine.find(|q| q.covers(&crash.parts)) {
            if !cause.is_in_force(now) {
                cause.length = MAX_QUARANTINE.min(cause.length * QUARANTINE_GROWTH);
                cause.until = now + cause.length;
            }
            cause.servers.insert(crash.server);
            self.unexplained
                .retain(|known| known.server != crash.server);
            self.suspects.retain(|_, s| s.forget(crash.server));
            return true;
        }
        let mut quarantine = self.quarantine.iter();
        quarantine.any(|q| q.servers.contains(&crash.server))
    }

    /// Quarantines those parts of the request that were accused of the most crashes, if these
    /// are enough.
    ///
    /// Parts that were sound lately are considered only when no other part is guilty.
    fn quarantine_accused(&mut self, crash: &PartCrash, now: Instant) {
        let (sound, unknown): (Vec<PartKey>, Vec<_>) = crash
            .parts
            .iter()
            .partition(|part| self.is_recently_sound(**part, now));
        let parts = self
            .most_accused(&unknown)
            .filter(|(parts, crashes)| {
                *crashes >= MAX_CRASHES
                    || *crashes >= QUARANTINE_CRASHES && self.is_accused_of_most(parts, *crashes)
            })
            .or_else(|| {
                let accused = self.most_accused(&sound);
                accused.filter(|(_, crashes)| *crashes >= MAX_CRASHES)
            });
        let Some((parts, _)) = parts else { return };
        let accused = parts.iter().filter_map(|part| self.suspects.get(part));
        let servers: BTreeSet<_> = accused.flat_map(Suspect::servers).collect();
        log::warn!(
            "prompt parts quarantined parts={} servers={} source=crashes",
            describe_parts(&parts),
            servers.len()
        );
        self.unexplained
            .retain(|known| !servers.contains(&known.server));
        self.suspects.retain(|part, suspect| {
            !parts.contains(part) && servers.iter().all(|server| suspect.forget(*server))
        });
        self.insert_quarantined(Quarantined {
            parts,
            servers,
            until: now + MIN_QUARANTINE,
            length: MIN_QUARANTINE,
        });
    }

    /// Returns those of `parts` with the most crashes, and the number of these.
    fn most_accused(&self, parts: &[PartKey]) -> Option<(BTreeSet<PartKey>, usize)> {
        let count = |part: &PartKey| self.suspects.get(part).map_or(0, Suspect::counted_crashes);
        let most = parts.iter().map(count).max()?;
        let accused = parts.iter().copied().filter(|part| count(part) == most);
        Some((accused.collect(), most))
    }

    /// Returns whether parts with this number of crashes are accused of at least half of the
    /// crashes of their pool since the first of them.
    fn is_accused_of_most(&self, parts: &BTreeSet<PartKey>, crashes: usize) -> bool {
        let accused = parts
            .iter()
            .find_map(|part| Some((part, self.suspects.get(part)?)));
        let Some((part, suspect)) = accused else {
            return false;
        };
        let mut counted = suspect.counted();
        let since = counted.next().map_or_else(Instant::default, |a| a.at);
        let in_pool = |crash: &&SeenCrash| crash.pool == part.pool && crash.at >= since;
        let times = self
            .unexplained
            .iter()
            .filter(in_pool)
            .map(|crash| crash.at);
        2 * crashes >= count_spaced(times)
    }

    /// Adopts a quarantine of another router, except for parts that have proved sound here since
    /// it began.
    fn adopt(&mut self, update: &QuarantinedParts, now: Instant) {
        let length = Duration::from_millis(update.length_ms.into()).min(MAX_QUARANTINE);
        let remaining = Duration::from_millis(update.remaining_ms.into()).min(length);
        let age = length - remaining;
        let proved_sound = |part: &PartKey| self.sound.get(part).is_some_and(|at| *at + age > now);
        let (sound, parts): (BTreeSet<PartKey>, BTreeSet<_>) =
            update.parts.iter().partition(|part| proved_sound(part));
        for part in sound {
            self.pending_sound.replace(part, |known| *known == part);
        }
        let mut known = self.quarantine.iter_mut();
        if let Some(known) = known.find(|q| q.parts.is_subset(&parts)) {
            if known.parts == parts && now + remaining > known.until {
                (known.until, known.length) = (now + remaining, length);
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
        self.insert_quarantined(Quarantined {
            parts,
            servers: BTreeSet::new(),
            until: now + remaining,
            length,
        });
    }

    fn insert_quarantined(&mut self, quarantined: Quarantined) {
        self.quarantine
            .retain(|q| !quarantined.parts.is_subset(&q.parts));
        if self.quarantine.len() >= MAX_QUARANTINED {
            self.quarantine.remove(0);
        }
        self.quarantine.push(quarantined);
    }

    /// Removes a part that proved sound from the accused and the quarantined ones.
    fn clear(&mut self, part: PartKey) {
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.clear();
        }
        for quarantined in &mut self.quarantine {
            if quarantined.parts.remove(&part) {
                log::warn!("prompt part sound, quarantine lifted part={:x}", part.id);
            }
        }
        self.quarantine.retain(|q| !q.parts.is_empty());
    }

    /// Withdraws the accusations that rest on the crash of a server that did not crash.
    fn acquit_of(&mut self, server: ServerKey, now: Instant) {
        self.survivors.insert(server, now);
        self.unexplained.retain(|known| known.server != server);
        self.suspects.retain(|_, suspect| suspect.forget(server));
    }

    fn remember_sound(&mut self, part: PartKey, now: Instant) {
        if self.sound.len() >= MAX_SOUND && !self.sound.contains_key(&part) {
            let oldest = self.sound.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(part, _)| *part);
            oldest.map(|part| self.sound.remove(&part));
        }
        self.sound.insert(part, now);
    }

    fn is_recently_sound(&self, part: PartKey, now: Instant) -> bool {
        let at = self.sound.get(&part);
        at.is_some_and(|at| now.since(*at) < SOUND_TTL)
    }

    fn forget_oldest_suspect(&mut self) {
        let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last_crash());
        let oldest = oldest.map(|(part, _)| *part);
        oldest.map(|part| self.suspects.remove(&part));
    }

    fn expire(&mut self, now: Instant) {
        self.survivors.retain(|_, at| now.since(*at) < SURVIVOR_TTL);
        self.unexplained
            .retain(|crash| now.since(crash.at) < SUSPICION_TTL);
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_crash()) < SUSPICION_TTL);
        self.quarantine
            .retain(|q| now.since(q.until) < MAX_QUARANTINE);
    }
}

impl Suspect {
    fn accuse(&mut self, server: ServerKey, at: Instant) {
        let mut known = self.accusations.iter();
        if known.all(|accusation| accusation.server != server) {
            self.accusations.push(Accusation {
                server,
                at,
                is_cleared: false,
            });
        }
    }

    fn clear(&mut self) {
        for accusation in &mut self.accusations {
            accusation.is_cleared = true;
        }
    }

    fn counted(&self) -> impl Iterator<Item = &Accusation> {
        self.accusations.iter().filter(|a| !a.is_cleared)
    }

    /// Returns the number of crashes, where those within [`CRASH_SPACING`] count once.
    fn counted_crashes(&self) -> usize {
        count_spaced(self.counted().map(|a| a.at))
    }

    fn servers(&self) -> impl Iterator<Item = ServerKey> + '_ {
        self.counted().map(|a| a.server)
    }

    fn last_crash(&self) -> Instant {
        let last = self.accusations.last();
        last.map_or_else(Instant::default, |a| a.at)
    }

    /// Forgets the crash of a server; returns whether another one is left.
    fn forget(&mut self, server: ServerKey) -> bool {
        self.accusations.retain(|a| a.server != server);
        !self.accusations.is_empty()
    }
}

impl Quarantined {
    fn is_in_force(&self, now: Instant) -> bool {
        now < self.until
    }

    fn covers(&self, parts: &[PartKey]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    fn to_update(&self, now: Instant) -> QuarantinedParts {
        QuarantinedParts {
            parts: self.parts.iter().copied().collect(),
            remaining_ms: self.until.since(now).as_millis() as u32,
            length_ms: self.length.as_millis() as u32,
        }
    }
}

/// Returns the number of crashes at these times, where those within [`CRASH_SPACING`] of a counted
/// one do not count.
fn count_spaced(times: impl Iterator<Item = Instant>) -> usize {
    let mut last_counted: Option<Instant> = None;
    let mut count = 0;
    for at in times {
        if last_counted.is_none_or(|last| at.since(last) >= CRASH_SPACING) {
            last_counted = Some(at);
            count += 1;
        }
    }
    count
}
