//! Loads that servers report in their responses, each with its age.
//!
//! Load pattern: servers of one pool differ in the time that the same work takes, and some are
//! slowed down for seconds by what else runs on their machines, while many routers send to them.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use super::{LoadReport, ReportedLoad, Server, ServerKey};
use crate::{sync::lock, Instant, PoolName};

/// Maximum number of servers whose loads are kept.
const MAX_SERVERS: usize = 2_048;

/// Minimum time between two log lines about malformed reports of one server.
const MALFORMED_LOG_PERIOD: Duration = Duration::from_secs(60);

/// Weight of one response in the moving average of the time to a response.
const RESPONSE_TIME_EWMA_FACTOR: f64 = 0.1;

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

/// What is known of one server.
#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    /// Last report and the time at which it was received.
    reported: Option<(ReportedLoad, Instant)>,
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
            LoadReport::Load(load) => entry.reported = Some((load, now)),
            _ => entry.log_malformed(server, now),
        }
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
