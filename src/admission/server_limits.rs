//! Limits on the rate of requests that servers name, kept by all routers together.
//!
//! Load pattern: servers in need name a fraction of the requests that they get, while callers and
//! returning sessions press on. Each server gets its requests from all routers, so that the share of
//! one router may be a request in ten seconds.
//!
//! Each router announces, for each limited server that it uses, a recent-request level: the number
//! of requests that it sent, each with a weight that decays with time. A server may be used while
//! the sum over all routers is below what its limit allows, so that any router can spend any part
//! of the limit and nothing is reserved for routers without demand. Levels arrive late by one digest
//! period; what is sent meanwhile counts afterwards.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use serde::{Deserialize, Serialize};

use super::{level::decayed, Level};
use crate::{
    catalog::{Server, ServerKey},
    sync::lock,
    Instant,
};

/// Time for which a response without a limit does not end a limit that another one has just named,
/// as responses may overtake each other.
const REORDER_TIME: Duration = Duration::from_millis(500);

/// Time without a response after which the limit of a server is forgotten.
const LIMIT_TTL: Duration = Duration::from_secs(120);

/// Fraction of a limit that routers use, since levels are late.
const USED_FRACTION: f64 = 0.9;

/// Decay time of levels in seconds, unless the limit is low.
const MIN_DECAY_S: f64 = 2.0;

/// Longest decay time of levels in seconds.
const MAX_DECAY_S: f64 = 20.0;

/// Number of requests that a limit allows in one decay time, from which that depends for low limits.
const DECAY_REQUESTS: f64 = 2.0;

/// Smallest level that a server may reach, so that one that takes none is tried once a minute.
const MIN_CAPACITY: f64 = 1.05;

/// Level below which requests are no longer announced.
const MIN_ANNOUNCED_LEVEL: f64 = 0.05;

/// Time for which this router announces the limit in a response that it received itself.
const ANNOUNCE_TIME: Duration = Duration::from_secs(2);

/// Longest time for which a server that rejects requests is believed to take none.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Maximum number of servers in one digest.
const MAX_REPORTS_PER_DIGEST: usize = 32;

/// Requests a second that a server takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RateLimit {
    per_1000_s: u32,
}

impl RateLimit {
    /// Returns a limit of `per_second` requests a second, or `None` unless that is a number of at
    /// least 0.
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        (per_second >= 0.0).then_some(RateLimit {
            per_1000_s: (per_second * 1_000.0) as u32,
        })
    }

    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.per_1000_s) / 1_000.0
    }

    /// Returns the time in seconds after which the weight of a request has fallen to 1/e.
    fn decay_s(self) -> f64 {
        (DECAY_REQUESTS / self.per_second()).clamp(MIN_DECAY_S, MAX_DECAY_S)
    }

    /// Returns the level that all routers together may reach.
    fn capacity(self) -> f64 {
        (USED_FRACTION * self.per_second() * self.decay_s()).max(MIN_CAPACITY)
    }

    /// Returns the time after which a request fits below the capacity, given the level of the
    /// fleet; zero if it does now.
    fn wait(self, level: f64) -> Duration {
        let excess = level / (self.capacity() - 1.0);
        Duration::from_secs_f64(self.decay_s() * excess.max(1.0).ln())
    }
}

/// What one router announces about a limited server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Server that names a limit, or did so lately.
    pub server: ServerKey,
    /// The limit, or `None` since a response named none.
    pub limit: Option<RateLimit>,
    /// Age of the response with this limit, in milliseconds.
    pub age_ms: u32,
    /// Level of the requests that the sender has sent, in thousandths.
    pub level_milli: u32,
}

/// Limits that servers have named, as known to this router, and the requests that it has sent to
/// these servers.
#[derive(Debug, Default)]
pub struct ServerLimits {
    servers: Mutex<BTreeMap<ServerKey, Entry>>,
    /// Servers that take no requests of this router, and until when.
    pauses: Mutex<BTreeMap<ServerKey, Instant>>,
}

/// What is known of a server that names a limit, or did so lately.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// The limit, or `None` since a response named none.
    limit: Option<RateLimit>,
    /// Time of the response with this limit, which any router may have received.
    received: Instant,
    /// Time of the last response that this router received itself.
    received_here: Option<Instant>,
    /// Level of the requests of this router.
    sent: Level,
}

impl ServerLimits {
    /// Records the limit that a response names, or that it names none.
    pub fn record_response(&self, server: &Server, limit: Option<RateLimit>, now: Instant) {
        let key = server.key();
        let mut servers = lock(&self.servers);
        if limit.is_none() && !servers.contains_key(&key) {
            return;
        }
        let entry = servers.entry(key).or_insert(Entry::new(now));
        let before = entry.limit;
        if entry.update(limit, now) {
            entry.received_here = Some(now);
        }
        if before != entry.limit {
            log::info!(
                "server limit changed server={} per_s={:?} before_per_s={:?}",
                server.name,
                entry.limit.map(RateLimit::per_second),
                before.map(RateLimit::per_second)
            );
        }
    }

    /// Records that a server rejected a request and takes none of this router for `pause`, of which
    /// at most 60 s count.
    pub fn record_rejection(&self, server: &Server, pause: Duration, now: Instant) {
        let until = now + pause.min(MAX_PAUSE);
        let mut pauses = lock(&self.pauses);
        pauses.retain(|_, until| *until > now);
        let known = pauses.insert(server.key(), until);
        if known.is_none() {
            log::info!(
                "server set aside server={} reason=retry_after for_ms={}",
                server.name,
                until.since(now).as_millis()
            );
        }
    }

    /// Returns the number of servers that take no requests of this router.
    pub fn paused_count(&self, now: Instant) -> usize {
        let pauses = lock(&self.pauses);
        pauses.values().filter(|until| **until > now).count()
    }

    /// Records that this router sends a request to a server.
    pub fn record_sent(&self, server: ServerKey, now: Instant) {
        if let Some(entry) = lock(&self.servers).get_mut(&server) {
            entry.sent.record(entry.decay_s(), now);
        }
    }

    /// Applies what another router announced about limits.
    ///
    /// The levels stay in its digest, from which [`waits`](Self::waits) takes them.
    pub fn receive(&self, reports: &[LimitReport], now: Instant) {
        let mut servers = lock(&self.servers);
        for report in reports {
            let received = now - Duration::from_millis(report.age_ms.into());
            if report.limit.is_none() && !servers.contains_key(&report.server) {
                continue;
            }
            let entry = servers.entry(report.server).or_insert(Entry::new(received));
            entry.update(report.limit, received);
        }
    }

    /// Returns what the next digest announces, the servers with the highest levels first.
    pub fn reports(&self, now: Instant) -> Vec<LimitReport> {
        let mut servers = lock(&self.servers);
        servers.retain(|_, entry| now.since(entry.received) < LIMIT_TTL);
        let mut reports: Vec<_> = servers
            .iter()
            .filter(|(_, entry)| entry.is_announced(now))
            .map(|(server, entry)| LimitReport {
                server: *server,
                limit: entry.limit,
                age_ms: now.since(entry.received).as_millis() as u32,
                level_milli: (entry.level(now) * 1_000.0) as u32,
            })
            .collect();
        reports.sort_by_key(|report| std::cmp::Reverse(report.level_milli));
        reports.truncate(MAX_REPORTS_PER_DIGEST);
        reports
    }

    /// Returns the servers that may get no request at present, each with the time until it may.
    ///
    /// `others` are the reports of the other routers, each with the time since it was received.
    pub fn waits<'a>(
        &self,
        others: impl IntoIterator<Item = (&'a LimitReport, Duration)>,
        now: Instant,
    ) -> BTreeMap<ServerKey, Duration> {
        let servers = lock(&self.servers);
        let limited = |entry: &Entry| Some((entry.limit?, entry.level(now)));
        let mut levels: BTreeMap<_, _> = servers
            .iter()
            .filter_map(|(server, entry)| Some((*server, limited(entry)?)))
            .collect();
        for (report, age) in others {
            if let Some((limit, level)) = levels.get_mut(&report.server) {
                *level += decayed(
                    f64::from(report.level_milli) / 1_000.0,
                    age,
                    limit.decay_s(),
                );
            }
        }
        let waits = levels
            .into_iter()
            .map(|(server, (limit, level))| (server, limit.wait(level)));
        let mut waits: BTreeMap<_, _> = waits.collect();
        for (server, until) in lock(&self.pauses).iter() {
            let wait = waits.entry(*server).or_default();
            *wait = until.since(now).max(*wait);
        }
        waits.retain(|_, wait| !wait.is_zero());
        waits
    }

    /// Returns whether no server is known to name a limit or to take no requests.
    pub fn is_empty(&self) -> bool {
        lock(&self.servers).is_empty() && lock(&self.pauses).is_empty()
    }
}

impl Entry {
    fn new(received: Instant) -> Self {
        Entry {
            limit: None,
            received,
            received_here: None,
            sent: Level::new(received),
        }
    }

    /// Sets the limit from a response that was received at `received`, unless a later response is
    /// known; returns whether it did.
    fn update(&mut self, limit: Option<RateLimit>, received: Instant) -> bool {
        let is_reordered =
            limit.is_none() && self.limit.is_some() && received < self.received + REORDER_TIME;
        if received < self.received || is_reordered {
            return false;
        }
        (self.limit, self.received) = (limit, received);
        true
    }

    fn level(&self, now: Instant) -> f64 {
        self.sent.value(self.decay_s(), now)
    }

    fn decay_s(&self) -> f64 {
        self.limit.map_or(MIN_DECAY_S, RateLimit::decay_s)
    }

    fn is_announced(&self, now: Instant) -> bool {
        let received_here = self.received_here;
        self.limit.is_some() && self.level(now) >= MIN_ANNOUNCED_LEVEL
            || received_here.is_some_and(|at| now.since(at) < ANNOUNCE_TIME)
    }
}
