//! Which engines have served a session lately, as all routers tell each other.
//!
//! Rendezvous order alone moves sessions when engines join, though the engines that served
//! them still hold their prompts. With this memory a session moves only when its engines
//! leave or are over the bound.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Mutex,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{catalog::ServerKey, sync::lock, Instant};

/// Time after its last request for which a session is taken to be cached.
///
/// Longer than the time after which a prompt that is read again counts as reused.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// Most sessions remembered.
const MAX_SESSIONS: usize = 8_192;

/// Most engines remembered for one session: two that share it and one that it has left.
const MAX_ENGINES: usize = 3;

/// Digests in which a placement is told, as datagrams may be lost.
const TOLD: u8 = 2;

/// Most placements in one digest.
const MAX_TOLD: usize = 64;

/// Most placements in a snapshot.
const MAX_SNAPSHOT: usize = 4_096;

/// Time between two sweeps of what is no longer kept.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// Short name of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SessionKey(pub u32);

impl SessionKey {
    /// Returns the short name for the hash of a session.
    pub fn new(session: u64) -> Self {
        SessionKey(xxh3_64(&session.to_le_bytes()) as u32)
    }
}

/// A session and an engine that was given a request of it.
pub type SessionPlacement = (SessionKey, ServerKey);

/// Engines by session, and what other routers have not been told yet.
#[derive(Debug, Default)]
pub struct SessionAffinity {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    sessions: BTreeMap<SessionKey, Vec<(ServerKey, Instant)>>,
    news: VecDeque<(SessionPlacement, u8)>,
    swept: Instant,
}

impl SessionAffinity {
    /// Returns the engines that served a session lately, the latest first.
    pub fn engines(&self, session: SessionKey, now: Instant) -> Vec<ServerKey> {
        let inner = lock(&self.inner);
        let known = inner.sessions.get(&session).into_iter().flatten();
        let recent = known.filter(|(_, at)| now.since(*at) < KEPT_FOR);
        recent.map(|(engine, _)| *engine).collect()
    }

    /// Notes that this router gave a request of a session to an engine.
    pub fn record(&self, placed: SessionPlacement, now: Instant) {
        let mut inner = lock(&self.inner);
        inner.put(placed, now);
        inner.news.push_back((placed, TOLD));
        if inner.news.len() > 4 * MAX_TOLD {
            inner.news.pop_front();
        }
    }

    /// Takes over what another router told.
    pub fn receive(&self, placed: &[SessionPlacement], now: Instant) {
        let mut inner = lock(&self.inner);
        for placed in placed {
            inner.put(*placed, now);
        }
        inner.sweep(now);
    }

    /// Takes over what an earlier life of the fleet saved, where nothing later is known.
    pub fn restore(&self, saved: &[SessionPlacement], now: Instant) {
        let mut inner = lock(&self.inner);
        let known: BTreeSet<_> = inner.sessions.keys().copied().collect();
        // The latest engine of a session is saved first, and the one put last comes first.
        for placed in saved
            .iter()
            .rev()
            .filter(|(session, _)| !known.contains(session))
        {
            inner.put(*placed, now);
        }
    }

    /// Returns the engines of all sessions, for each session the latest first.
    pub fn snapshot(&self, now: Instant) -> Vec<SessionPlacement> {
        let inner = lock(&self.inner);
        let recent = |at: Instant| now.since(at) < KEPT_FOR;
        let mut placed = Vec::new();
        for (session, engines) in &inner.sessions {
            let kept = engines.iter().filter(|(_, at)| recent(*at));
            placed.extend(kept.map(|(engine, _)| (*session, *engine)));
        }
        placed.truncate(MAX_SNAPSHOT);
        placed
    }

    /// Returns what is to be told in the next digest.
    pub fn next_updates(&self) -> Vec<SessionPlacement> {
        let mut inner = lock(&self.inner);
        let count = inner.news.len().min(MAX_TOLD);
        let mut told = Vec::with_capacity(count);
        for _ in 0..count {
            let Some((placed, left)) = inner.news.pop_front() else {
                break;
            };
            told.push(placed);
            if left > 1 {
                inner.news.push_back((placed, left - 1));
            }
        }
        told
    }
}

impl Inner {
    fn put(&mut self, (session, engine): SessionPlacement, now: Instant) {
        if self.sessions.len() >= MAX_SESSIONS && !self.sessions.contains_key(&session) {
            return;
        }
        let engines = self.sessions.entry(session).or_default();
        engines.retain(|(known, _)| *known != engine);
        engines.insert(0, (engine, now));
        engines.truncate(MAX_ENGINES);
    }

    fn sweep(&mut self, now: Instant) {
        if now.since(self.swept) < SWEEP_PERIOD {
            return;
        }
        self.swept = now;
        self.sessions.retain(|_, engines| {
            engines.retain(|(_, at)| now.since(*at) < KEPT_FOR);
            !engines.is_empty()
        });
    }
}
