//! Servers that are cold: they have started, or have lost what made them fast, a short time ago.
//!
//! Load pattern: a failure domain returns, a release replaces servers one after another, or the pool
//! grows, while callers press on. Registrations state the time left again and again; only what they
//! change is passed on.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use serde::{Deserialize, Serialize};

use super::ServerKey;
use crate::{sync::lock, Instant};

/// Largest difference between two statements of when a server is warm that is no change.
const TOLERANCE: Duration = Duration::from_millis(500);

/// Longest time for which a server is believed to stay cold; a longer one is no time.
const MAX_COLD_TIME: Duration = Duration::from_secs(600);

/// Longest time from a change of a server to a registration that states it: a heartbeat of 1.2 s and
/// the delay of the list.
const STATEMENT_DELAY: Duration = Duration::from_millis(1_200 + 1_000);

/// Maximum number of cold servers.
const MAX_COLD: usize = 1_024;

/// What the list of servers says of the time until a server is warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdTime {
    /// The server.
    pub server: ServerKey,
    /// Time left; zero if the server is warm.
    pub remaining: Duration,
}

/// Report of a cold server, for routers that do not read the list themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUpReport {
    /// The server.
    pub server: ServerKey,
    /// Time until it is warm, in milliseconds.
    pub remaining_ms: u32,
}

/// A server that is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cold {
    /// Time from which the server is warm.
    pub warm_at: Instant,
    /// Time at which this router learned that the server is cold.
    pub learned: Instant,
    /// Time before which a statement that the server is warm may be of the time before it was cold.
    pub certain_until: Instant,
}

/// The cold servers that are known to this router.
#[derive(Debug, Default)]
pub struct WarmUps {
    servers: Mutex<BTreeMap<ServerKey, Cold>>,
}

impl WarmUps {
    /// Records the time until a server is warm; returns whether that is a change.
    ///
    /// The time of a server that is known to be cold changes only if the two differ by more than half
    /// a second, as each statement is late by another time. A time of over ten minutes is ignored.
    pub fn record(&self, cold_time: ColdTime, now: Instant) -> bool {
        self.insert(cold_time, Instant::default(), now)
    }

    /// Records that a server is cold, as it follows from what has just happened to it; returns whether
    /// that is a change.
    ///
    /// Registrations that state less are ignored for a heartbeat, as they may be older.
    pub fn presume(&self, cold_time: ColdTime, now: Instant) -> bool {
        self.insert(cold_time, now + STATEMENT_DELAY, now)
    }

    fn insert(&self, cold_time: ColdTime, certain_until: Instant, now: Instant) -> bool {
        let ColdTime { server, remaining } = cold_time;
        if remaining > MAX_COLD_TIME {
            return false;
        }
        let warm_at = now + remaining;
        let mut servers = lock(&self.servers);
        let known = servers.get(&server).copied();
        let known = known.filter(|cold| cold.warm_at > now);
        let known_at = known.map_or(now, |cold| cold.warm_at);
        let difference = warm_at.since(known_at).max(known_at.since(warm_at));
        let is_new = known.is_none() && !remaining.is_zero();
        let may_be_old =
            known.is_some_and(|cold| now < cold.certain_until && warm_at < cold.warm_at);
        let is_unchanged = !is_new && difference <= TOLERANCE;
        if may_be_old || is_unchanged {
            return false;
        }
        if is_new && servers.len() >= MAX_COLD {
            servers.retain(|_, cold| cold.warm_at > now);
            if servers.len() >= MAX_COLD {
                return false;
            }
        }
        let cold = Cold {
            warm_at,
            learned: known.map_or(now, |cold| cold.learned),
            certain_until: known
                .map_or(certain_until, |cold| cold.certain_until.max(certain_until)),
        };
        servers.insert(server, cold);
        true
    }

    /// Returns the reports for other routers.
    pub fn reports(&self, now: Instant) -> Vec<WarmUpReport> {
        let report = |(server, cold): (ServerKey, Cold)| WarmUpReport {
            server,
            remaining_ms: cold.warm_at.since(now).as_millis() as u32,
        };
        self.cold(now).into_iter().map(report).collect()
    }

    /// Records the reports of another router; returns the number of changes.
    pub fn receive(&self, reports: &[WarmUpReport], now: Instant) -> usize {
        let mut changes = 0;
        for report in reports.iter().take(MAX_COLD) {
            let cold_time = ColdTime {
                server: report.server,
                remaining: Duration::from_millis(report.remaining_ms.into()),
            };
            changes += usize::from(self.record(cold_time, now));
        }
        changes
    }

    /// Returns the servers that are cold at `now`.
    pub fn cold(&self, now: Instant) -> BTreeMap<ServerKey, Cold> {
        let servers = lock(&self.servers);
        let cold = servers.iter().filter(|(_, cold)| cold.warm_at > now);
        cold.map(|(server, cold)| (*server, *cold)).collect()
    }

    /// Returns the state of a server that is cold at `now`.
    pub fn get(&self, server: ServerKey, now: Instant) -> Option<Cold> {
        let cold = lock(&self.servers).get(&server).copied();
        cold.filter(|cold| cold.warm_at > now)
    }

    /// Forgets the servers that are warm at `now`; returns their number.
    pub fn expire(&self, now: Instant) -> usize {
        let mut servers = lock(&self.servers);
        let before = servers.len();
        servers.retain(|_, cold| cold.warm_at > now);
        before - servers.len()
    }

    /// Returns whether no server is known to be cold.
    pub fn is_empty(&self) -> bool {
        lock(&self.servers).is_empty()
    }
}
