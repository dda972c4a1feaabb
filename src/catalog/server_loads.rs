//! Loads that servers report in their responses, each with its age, and how slow they are at present.
//!
//! Load pattern: servers of one pool differ in the time that the same work takes, and some are
//! slowed down for seconds by what else runs on their machines, while many routers send to them.
//! One router may send a server a request in ten seconds, so that routers announce to each other
//! which servers are slow. A report loses its weight within seconds: a server that was slow gets
//! work again, little at first, and its next responses show whether it has recovered.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use serde::{Deserialize, Serialize};

use super::{LoadReport, ReportedLoad, Server, ServerKey, Slowness};
use crate::{sync::lock, Instant, PoolName};

/// Maximum number of servers whose loads are kept.
const MAX_SERVERS: usize = 2_048;

/// Minimum time between two log lines about malformed reports of one server.
const MALFORMED_LOG_PERIOD: Duration = Duration::from_secs(60);

/// Weight of one response in the moving average of the time to a response.
const RESPONSE_TIME_EWMA_FACTOR: f64 = 0.1;

/// Time in seconds after which the weight of a reported slowness has fallen to 1/e.
const SLOWNESS_DECAY_S: f64 = 2.0;

/// Difference from the usual time, as a fraction of it, from which a slowness is announced.
const MIN_ANNOUNCED_DIFFERENCE: f64 = 0.3;

/// Difference from the usual time, as a fraction of it, below which a slowness does not count.
const MIN_DIFFERENCE: f64 = 0.05;

/// Time for which this router announces a report that it received itself: two digest periods.
const ANNOUNCE_TIME: Duration = Duration::from_millis(600);

/// Mean time for which an announcement is on its way, which its stated age does not include.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of servers in one digest.
const MAX_REPORTS_PER_DIGEST: usize = 24;

/// Loads of servers, as known to this router.
#[derive(Debug, Default)]
pub struct ServerLoads {
    servers: Mutex<BTreeMap<ServerKey, Entry>>,
    response_times: Mutex<BTreeMap<PoolName, f64>>,
}

/// The load of a server and its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownLoad {
    /// What the server reported last.
    pub reported: ReportedLoad,
    /// Time since the response with the report was received.
    pub age: Duration,
}

/// What one router announces about the slowness of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SlownessReport {
    /// The server.
    pub server: ServerKey,
    /// The slowness that it reported.
    pub slowness: Slowness,
    /// Time since the response with the report was received, in milliseconds.
    pub age_ms: u16,
}

/// What is known of one server.
#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    /// Last report and the time at which it was received.
    reported: Option<(ReportedLoad, Instant)>,
    /// Latest slowness and the time at which it was reported to some router.
    slowness: Option<(Slowness, Instant)>,
    /// Time until which this router announces the slowness.
    announced_until: Instant,
    /// Time of the last log line about a malformed report.
    malformed_logged_at: Option<Instant>,
    last_update: Instant,
}

impl ServerLoads {
    /// Records what a response of `server` says about its load.
    pub fn record_report(&self, server: &Server, report: LoadReport, now: Instant) {
        if report == LoadReport::Absent {
            return;
        }
        let mut servers = lock(&self.servers);
        let entry = entry(&mut servers, server.key(), now);
        match report {
            LoadReport::Load(load) => {
                entry.reported = Some((load, now));
                if let Some(slowness) = load.slowness {
                    entry.record_slowness(server, slowness, now);
                }
            }
            _ => entry.log_malformed(server, now),
        }
    }

    /// Returns what the next digest announces, the slowest servers first.
    pub fn reports(&self, now: Instant) -> Vec<SlownessReport> {
        let servers = lock(&self.servers);
        let announced = servers
            .iter()
            .filter(|(_, entry)| now < entry.announced_until);
        let report = |(server, entry): (&ServerKey, &Entry)| {
            let (slowness, at) = entry.slowness?;
            Some(SlownessReport {
                server: *server,
                slowness,
                age_ms: u16::try_from(now.since(at).as_millis()).unwrap_or(u16::MAX),
            })
        };
        let mut reports: Vec<_> = announced.filter_map(report).collect();
        reports.sort_by_key(|report| std::cmp::Reverse(report.slowness));
        reports.truncate(MAX_REPORTS_PER_DIGEST);
        reports
    }

    /// Applies what another router announced; of a server the latest report counts.
    pub fn receive(&self, reports: &[SlownessReport], now: Instant) {
        let mut servers = lock(&self.servers);
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into()) + ANNOUNCEMENT_DELAY;
            // Announcements take no place of servers that this router has heard of itself.
            if servers.len() >= MAX_SERVERS && !servers.contains_key(&report.server) {
                continue;
            }
            let entry = entry(&mut servers, report.server, now);
            entry.update_slowness(report.slowness, now - age);
        }
    }

    /// Returns how long work takes at each of `servers` at present, as a multiple of its usual time.
    pub fn slowness_factors(
        &self,
        servers: impl IntoIterator<Item = ServerKey>,
        now: Instant,
    ) -> Vec<f64> {
        let known = lock(&self.servers);
        let factor = |key| known.get(&key).map_or(1.0, |entry| entry.factor(now));
        servers.into_iter().map(factor).collect()
    }

    /// Records that a server of `pool` responded `took` after it was sent a request, with `report`.
    ///
    /// A server with waiting requests does not count, as the time includes the wait.
    pub fn record_response_time(&self, pool: &PoolName, report: LoadReport, took: Duration) {
        if matches!(report, LoadReport::Load(load) if load.waiting > 0) {
            return;
        }
        let took = took.as_secs_f64();
        let mut times = lock(&self.response_times);
        match times.get_mut(pool) {
            Some(mean) => *mean += RESPONSE_TIME_EWMA_FACTOR * (took - *mean),
            None => {
                times.insert(pool.clone(), took);
            }
        }
    }

    /// Returns the load that a server reported last, or `None` if it has reported none to this
    /// router.
    pub fn of(&self, key: ServerKey, now: Instant) -> Option<KnownLoad> {
        let servers = lock(&self.servers);
        let (reported, at) = servers.get(&key)?.reported?;
        let age = now.since(at);
        Some(KnownLoad { reported, age })
    }

    /// Returns the mean time from a request to the head of its response at the servers of `pool`
    /// that have no request waiting, which is the time that a request takes at a plain server.
    pub fn mean_response_time(&self, pool: &PoolName) -> Option<Duration> {
        let mean = lock(&self.response_times).get(pool).copied();
        mean.map(Duration::from_secs_f64)
    }
}

impl Entry {
    /// Records a slowness that this router received itself.
    fn record_slowness(&mut self, server: &Server, slowness: Slowness, now: Instant) {
        let before = self.factor(now);
        let (differs, differed) = (differs(slowness.factor()), differs(before));
        // The usual slowness is announced of a server that others know as slow.
        if differs || differed {
            self.announced_until = now + ANNOUNCE_TIME;
        }
        if differs != differed {
            log::info!(
                "server slowness changed server={} factor={:.2} before={before:.2} age_ms={:?}",
                server.name,
                slowness.factor(),
                self.slowness.map(|(_, at)| now.since(at).as_millis())
            );
        }
        self.update_slowness(slowness, now);
    }

    /// Sets the slowness that was reported at `at`, unless a later one is known.
    fn update_slowness(&mut self, slowness: Slowness, at: Instant) {
        if self.slowness.is_none_or(|(_, known_at)| known_at <= at) {
            self.slowness = Some((slowness, at));
        }
    }

    /// Returns the multiple of the usual time that work is expected to take.
    fn factor(&self, now: Instant) -> f64 {
        let Some((slowness, at)) = self.slowness else {
            return 1.0;
        };
        let weight = (-now.since(at).as_secs_f64() / SLOWNESS_DECAY_S).exp();
        let difference = (slowness.factor() - 1.0) * weight;
        if difference.abs() < MIN_DIFFERENCE {
            1.0
        } else {
            1.0 + difference
        }
    }

    fn log_malformed(&mut self, server: &Server, now: Instant) {
        let logged_at = self.malformed_logged_at;
        if logged_at.is_none_or(|at| now.since(at) >= MALFORMED_LOG_PERIOD) {
            self.malformed_logged_at = Some(now);
            log::warn!(
                "ignored a malformed load of a server server={}",
                server.name
            );
        }
    }
}

/// Returns whether work takes a time that differs enough from the usual to be announced.
fn differs(factor: f64) -> bool {
    (factor - 1.0).abs() >= MIN_ANNOUNCED_DIFFERENCE
}

/// Returns the entry of a server, for which the one updated longest ago may have to go.
fn entry(servers: &mut BTreeMap<ServerKey, Entry>, key: ServerKey, now: Instant) -> &mut Entry {
    if servers.len() >= MAX_SERVERS && !servers.contains_key(&key) {
        let oldest = servers.iter().min_by_key(|(_, entry)| entry.last_update);
        let oldest = oldest.map(|(key, _)| *key);
        oldest.map(|key| servers.remove(&key));
    }
    let entry = servers.entry(key).or_default();
    entry.last_update = now;
    entry
}
