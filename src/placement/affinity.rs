//! Session affinity: the engines that recently served each session, shared between routers.
//!
//! Rendezvous order alone moves sessions when engines join, although the engines that served
//! them still hold their prompts in cache. With the engines of each session remembered, a
//! session moves only when its engines leave or exceed the load bound.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{catalog::ServerKey, presence::PendingUpdates, sync::lock, Instant};

/// Time after the last request of a session during which its engine is assumed to hold its prompt.
///
/// Longer than the interval within which a repeated prompt counts as reused.
const AFFINITY_TTL: Duration = Duration::from_secs(60);

/// Maximum number of sessions remembered.
const MAX_SESSIONS: usize = 8_192;

/// Maximum number of engines remembered for one session: two that share it and one that it left.
const MAX_ENGINES_PER_SESSION: usize = 3;

/// Maximum number of placements in one digest.
const MAX_PLACEMENTS_PER_DIGEST: usize = 64;

/// Maximum number of placements that wait for a digest; the earliest are sent first.
const MAX_PENDING_PLACEMENTS: usize = 4 * MAX_PLACEMENTS_PER_DIGEST;

/// Maximum number of placements in a snapshot.
const MAX_SNAPSHOT_PLACEMENTS: usize = 4_096;

/// Minimum time between two removals of expired entries.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// 32-bit key that identifies a session between routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionKey(pub u32);

impl SessionKey {
    /// Returns the key of the session with hash `session`.
    pub fn new(session: u64) -> Self {
        SessionKey(xxh3_64(&session.to_le_bytes()) as u32)
    }
}

/// A session and an engine that received one of its requests.
pub type SessionPlacement = (SessionKey, ServerKey);

/// Recent engines by session, and the placements still to be announced to other routers.
#[derive(Debug, Default)]
pub struct SessionAffinity {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    sessions: BTreeMap<SessionKey, Vec<(ServerKey, Instant)>>,
    /// Placements to announce.
    pending_updates: PendingUpdates<SessionPlacement, MAX_PENDING_PLACEMENTS>,
    last_sweep: Instant,
}

impl SessionAffinity {
    /// Returns the engines that recently served a session, the latest first.
    pub fn engines(&self, session: SessionKey, now: Instant) -> Vec<ServerKey> {
        let inner = lock(&self.inner);
        let known = inner.sessions.get(&session).into_iter().flatten();
        let recent = known.filter(|(_, at)| now.since(*at) < AFFINITY_TTL);
        recent.map(|(engine, _)| *engine).collect()
    }

    /// Records that this router sent a request of a session to an engine, and queues the
    /// placement for announcement.
    pub fn record(&self, placement: SessionPlacement, now: Instant) {
        let mut inner = lock(&self.inner);
        inner.insert(placement, now);
        inner.pending_updates.push_back(placement);
    }

    /// Applies the placements that another router announced.
    pub fn receive(&self, placements: &[SessionPlacement], now: Instant) {
        let mut inner = lock(&self.inner);
        for placement in placements {
            inner.insert(*placement, now);
        }
        inner.remove_expired(now);
    }

    /// Applies placements saved before a restart of the fleet, except for sessions already known.
    pub fn restore(&self, saved: &[SessionPlacement], now: Instant) {
        let mut inner = lock(&self.inner);
        let known: BTreeSet<_> = inner.sessions.keys().copied().collect();
        // Snapshots list the latest engine of a session first, and each insertion goes to the
        // front, so that entries are inserted in reverse.
        for placement in saved
            .iter()
            .rev()
            .filter(|(session, _)| !known.contains(session))
        {
            inner.insert(*placement, now);
        }
    }

    /// Returns the recent engines of all sessions, for each session the latest first.
    pub fn snapshot(&self, now: Instant) -> Vec<SessionPlacement> {
        let inner = lock(&self.inner);
        let recent = |at: Instant| now.since(at) < AFFINITY_TTL;
        let mut placements = Vec::new();
        for (session, engines) in &inner.sessions {
            let kept = engines.iter().filter(|(_, at)| recent(*at));
            placements.extend(kept.map(|(engine, _)| (*session, *engine)));
        }
        placements.truncate(MAX_SNAPSHOT_PLACEMENTS);
        placements
    }

    /// Returns the placements to announce in the next digest.
    pub fn next_updates(&self) -> Vec<SessionPlacement> {
        lock(&self.inner)
            .pending_updates
            .take(MAX_PLACEMENTS_PER_DIGEST)
    }
}

impl Inner {
    fn insert(&mut self, (session, engine): SessionPlacement, now: Instant) {
        if self.sessions.len() >= MAX_SESSIONS && !self.sessions.contains_key(&session) {
            return;
        }
        let engines = self.sessions.entry(session).or_default();
        engines.retain(|(known, _)| *known != engine);
        engines.insert(0, (engine, now));
        engines.truncate(MAX_ENGINES_PER_SESSION);
    }

    fn remove_expired(&mut self, now: Instant) {
        if now.since(self.last_sweep) < SWEEP_PERIOD {
            return;
        }
        self.last_sweep = now;
        self.sessions.retain(|_, engines| {
            engines.retain(|(_, at)| now.since(*at) < AFFINITY_TTL);
            !engines.is_empty()
        });
    }
}
