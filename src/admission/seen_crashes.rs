//! Servers that seem to have crashed, and the servers beside them that live on.
//!
//! A rack, a failure domain or a pool that loses power takes all its servers at one moment. Where some
//! of those in the failure domain of a crashed server live on, it has crashed for a cause of its own.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{suspect::CRASH_SPACING, PartKey};
use crate::{
    catalog::{Server, ServerKey},
    Instant,
};

/// Time after a crash from which data of the server proves that it has not crashed.
///
/// Data that was sent before the crash may be read after it.
const MIN_ALIVE_AGE: Duration = Duration::from_millis(100);

/// Time after a crash until which data proves that the server has not crashed.
///
/// A server that has crashed may start again under its old name some seconds later.
const MAX_ALIVE_AGE: Duration = Duration::from_millis(1_500);

/// Time after a crash from which data of another server proves that it has not lost power with the
/// crashed one; servers may lose it one after the other.
const MIN_SURVIVAL: Duration = Duration::from_millis(500);

/// Minimum number of survivors in a failure domain, as a share of its servers that crashed at one moment.
const MIN_SURVIVORS: f64 = 0.25;

/// Recent crashes of servers that are not attributed to quarantined parts, in order of time.
#[derive(Debug, Default)]
pub(super) struct SeenCrashes {
    crashes: Vec<SeenCrash>,
    /// Times at which servers sent what this router last read of them, since the first of the crashes.
    alive: BTreeMap<ServerKey, Instant>,
}

/// A server that seems to have crashed.
#[derive(Debug)]
struct SeenCrash {
    server: ServerKey,
    /// Pool of the requests, as in [`PartKey`].
    pool: u32,
    /// Servers of its pool and its failure domain, itself among them, once they are known.
    domain: Option<BTreeSet<ServerKey>>,
    at: Instant,
}

impl SeenCrashes {
    /// Adds a crash unless it is known.
    pub(super) fn insert(&mut self, server: ServerKey, pool: u32, at: Instant) {
        if !self.contains(server) {
            self.crashes.push(SeenCrash {
                server,
                pool,
                domain: None,
                at,
            });
        }
    }

    /// Removes the crash of a server.
    pub(super) fn remove(&mut self, server: ServerKey) {
        self.crashes.retain(|crash| crash.server != server);
    }

    /// Removes crashes that are older than `max_age`, and what is known of survivors.
    pub(super) fn expire(&mut self, max_age: Duration, now: Instant) {
        self.crashes.retain(|crash| now.since(crash.at) < max_age);
        if self.crashes.is_empty() {
            self.alive.clear();
        }
    }

    fn contains(&self, server: ServerKey) -> bool {
        self.crashes.iter().any(|crash| crash.server == server)
    }

    /// Returns the servers of a pool that have crashed since `since`, with the times, in order of time.
    pub(super) fn in_pool(
        &self,
        pool: u32,
        since: Instant,
    ) -> impl Iterator<Item = (ServerKey, Instant)> + '_ {
        let in_pool = move |crash: &&SeenCrash| crash.pool == pool && crash.at >= since;
        let crashes = self.crashes.iter().filter(in_pool);
        crashes.map(|crash| (crash.server, crash.at))
    }

    /// Records that data of a server was read that arrived after `drained_at`.
    ///
    /// Returns whether this proves that a crash of it was none.
    pub(super) fn record_alive(&mut self, server: ServerKey, drained_at: Instant) -> bool {
        if self.crashes.is_empty() {
            return false;
        }
        let alive_at = self.alive.entry(server).or_default();
        *alive_at = drained_at.max(*alive_at);
        let age = |crash: &SeenCrash| drained_at.since(crash.at);
        let latest = self.crashes.iter().rev();
        let mut recent = latest.take_while(|crash| age(crash) < MAX_ALIVE_AGE);
        recent.any(|crash| crash.server == server && age(crash) >= MIN_ALIVE_AGE)
    }

    /// Records which of the `servers` are in the pools and the failure domains of the crashed ones.
    ///
    /// Servers that start later have survived nothing.
    pub(super) fn record_domains<'a>(&mut self, servers: impl Iterator<Item = &'a Server>) {
        let unknown = self.crashes.iter_mut().filter(|c| c.domain.is_none());
        let mut unknown: Vec<_> = unknown.collect();
        if unknown.is_empty() {
            return;
        }
        let keys: BTreeMap<_, _> = servers.map(|server| (server.key(), server)).collect();
        for crash in &mut unknown {
            let Some(crashed) = keys.get(&crash.server) else {
                continue;
            };
            let is_beside = |server: &Server| {
                server.domain == crashed.domain && PartKey::hash_of_pool(&server.pool) == crash.pool
            };
            let beside = keys.iter().filter(|(_, server)| is_beside(server));
            crash.domain = Some(beside.map(|(key, _)| *key).collect());
        }
    }

    /// Returns whether enough servers in the pool and the failure domain of a crashed server have survived
    /// the moment of its crash, so that it has not lost power with them.
    ///
    /// `loads` has the requests of other routers in flight: those of a server that has crashed have ended.
    pub(super) fn has_survivors(
        &self,
        server: ServerKey,
        loads: &BTreeMap<ServerKey, u32>,
    ) -> bool {
        let mut crashes = self.crashes.iter();
        let Some(crash) = crashes.find(|crash| crash.server == server) else {
            return false;
        };
        let Some(domain) = &crash.domain else {
            return false;
        };
        let is_beside = |other: &&SeenCrash| {
            let apart = other.at.since(crash.at).max(crash.at.since(other.at));
            domain.contains(&other.server) && apart < CRASH_SPACING
        };
        let crashed = self.crashes.iter().filter(is_beside).count();
        let has_survived = |key: &&ServerKey| {
            let alive_at = self.alive.get(key);
            let has_sent = alive_at.is_some_and(|at| at.since(crash.at) >= MIN_SURVIVAL);
            let is_busy = loads.get(key).is_some_and(|load| *load > 0);
            (has_sent || is_busy) && !self.contains(**key)
        };
        let survivors = domain.iter().filter(has_survived).count();
        survivors > 0 && survivors as f64 >= MIN_SURVIVORS * crashed as f64
    }
}
