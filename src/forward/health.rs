//! Passive health checks: recent failures of the backend servers, as seen by this router.
//!
//! An unreachable server is avoided for a time that doubles with each failure in a row; the
//! next request that is placed after that time tries it again. Health follows from the
//! traffic alone; servers are not probed.
//!
//! Load pattern: some servers of a pool reject all requests while the others have room. Each request
//! that goes to one of them loses an attempt, so that a server is avoided after a rejection, for a
//! time that doubles with each one in a row.
//!
//! Load pattern: an engine stops responding in the middle of its streams. Streams that may
//! not be repeated are lost, and so is each one that is sent there until the routers avoid
//! the engine. The first router that misses the events of a stream therefore announces the
//! stall to the other routers.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use crate::{catalog::ServerKey, sync::lock, Instant};

/// Time for which a server is avoided after it was unreachable once.
const MIN_AVOID_TIME: Duration = Duration::from_millis(400);

/// Longest time for which a server is avoided; a crashed server restarts within seconds.
const MAX_AVOID_TIME: Duration = Duration::from_millis(2_000);

/// Time for which a server is avoided after it rejected a request once.
const MIN_REJECTION_AVOID_TIME: Duration = Duration::from_millis(250);

/// Time without data from a server in the middle of a stream after which it gets no new
/// requests.
///
/// Healthy engines that read many long prompts pause for 300 ms and more; callers abandon a
/// stream after two seconds without an event.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a router avoids a server that stalled in one of its own streams.
///
/// Streams end within seconds, and after that nothing shows whether the server responds.
const STALL_AVOID_TIME: Duration = Duration::from_millis(2_000);

/// Time for which a router avoids a server whose stall another router announced: a little more
/// than two digest periods.
const ANNOUNCED_STALL_AVOID_TIME: Duration = Duration::from_millis(700);

/// Weight of one response in the moving average of the failure rate.
const FAILURE_RATE_EWMA_FACTOR: f64 = 0.15;

/// Failure rate above which a server is avoided while its pool fails less often on average.
const OUTLIER_FAILURE_RATE: f64 = 0.35;

/// Maximum number of servers for which health is tracked.
const MAX_TRACKED_SERVERS: usize = 2_048;

/// One observation of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The server answered a request.
    Answered,
    /// The server answered with an error of its own.
    Failed,
    /// The server rejected a request, which did not run.
    Rejected,
    /// The server refused the connection, closed it early or did not respond.
    Unreachable,
    /// The server sent part of a response.
    Progress,
    /// The server stopped sending in the middle of a stream.
    Stalled,
}

/// Health of the backend servers, as observed by this router.
#[derive(Debug, Default)]
pub struct HealthTracker {
    servers: Mutex<BTreeMap<ServerKey, Record>>,
}

/// Health of one server.
#[derive(Debug, Clone, Copy, Default)]
struct Record {
    /// Number of times in a row that the server was unreachable.
    consecutive_unreachable: u32,
    /// Number of requests in a row that the server rejected.
    consecutive_rejections: u32,
    avoid_until: Instant,
    /// End of the time for which the server is avoided as stalled in a stream of this router.
    stalled_until: Instant,
    /// End of the time for which the server is avoided because another router announced a stall.
    announced_stall_until: Instant,
    last_response: Instant,
    failure_rate: f64,
    last_update: Instant,
}

impl HealthTracker {
    /// Records an observation of a server.
    pub fn record(&self, key: ServerKey, observation: Observation, now: Instant) {
        let mut servers = lock(&self.servers);
        if servers.len() >= MAX_TRACKED_SERVERS && !servers.contains_key(&key) {
            let oldest = servers.iter().min_by_key(|(_, record)| record.last_update);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.map(|key| servers.remove(&key));
        }
        servers.entry(key).or_default().update(observation, now);
    }

    /// Returns whether a server should get no requests while another one can take them.
    pub fn is_avoided(&self, key: ServerKey, now: Instant) -> bool {
        let servers = lock(&self.servers);
        let record = servers.get(&key);
        record.is_some_and(|record| record.is_avoided(now))
    }

    /// Returns the servers that have stalled in the middle of streams of this router.
    pub fn stalled(&self, now: Instant) -> Vec<ServerKey> {
        let servers = lock(&self.servers);
        let stalled = servers
            .iter()
            .filter(|(_, record)| now < record.stalled_until);
        stalled.map(|(key, _)| *key).collect()
    }

    /// Records the servers that another router announced as stalled.
    ///
    /// A server that has just sent data to this router is not marked.
    pub fn receive_stalled(&self, keys: &[ServerKey], now: Instant) {
        let mut servers = lock(&self.servers);
        for key in keys.iter().take(MAX_TRACKED_SERVERS / 2) {
            if servers.len() >= MAX_TRACKED_SERVERS && !servers.contains_key(key) {
                continue;
            }
            let record = servers.entry(*key).or_default();
            if now.since(record.last_response) >= STALL_TIMEOUT
                || record.last_response == Instant::default()
            {
                record.announced_stall_until = now + ANNOUNCED_STALL_AVOID_TIME;
            }
        }
    }

    /// Returns whether a server other than `key` sent data within the stall timeout.
    ///
    /// If none did, the silence of `key` may be caused by this router or its network.
    pub fn others_responsive(&self, key: ServerKey, now: Instant) -> bool {
        let servers = lock(&self.servers);
        let mut others = servers.iter().filter(|(other, _)| **other != key);
        others.any(|(_, record)| now.since(record.last_response) < STALL_TIMEOUT)
    }

    /// Returns the failure rate of a server as a moving average over its responses.
    pub fn failure_rate(&self, key: ServerKey) -> f64 {
        let servers = lock(&self.servers);
        servers.get(&key).map_or(0.0, |record| record.failure_rate)
    }

    /// Returns whether a server with the failure rate `rate` fails often, and far more often than
    /// its pool, whose mean failure rate is `mean_rate`.
    pub fn is_outlier(rate: f64, mean_rate: f64) -> bool {
        rate > OUTLIER_FAILURE_RATE && rate > 1.5 * mean_rate
    }

    /// Returns the time since a server last sent data, or `None` for an untracked server.
    pub fn silent_for(&self, key: ServerKey, now: Instant) -> Option<Duration> {
        let servers = lock(&self.servers);
        servers
            .get(&key)
            .map(|record| now.since(record.last_response))
    }
}

impl Record {
    fn is_avoided(&self, now: Instant) -> bool {
        now < self
            .avoid_until
            .max(self.stalled_until)
            .max(self.announced_stall_until)
    }

    fn record_response(&mut self, now: Instant) {
        self.last_response = now;
        self.stalled_until = Instant::default();
        self.announced_stall_until = Instant::default();
    }

    fn update(&mut self, observation: Observation, now: Instant) {
        self.last_update = now;
        match observation {
            Observation::Unreachable => {
                self.avoid_until = now + avoid_time(MIN_AVOID_TIME, self.consecutive_unreachable);
                self.consecutive_unreachable += 1;
            }
            Observation::Rejected => {
                self.record_response(now);
                let avoid_time = avoid_time(MIN_REJECTION_AVOID_TIME, self.consecutive_rejections);
                self.avoid_until = now + avoid_time;
                self.consecutive_rejections += 1;
            }
            Observation::Stalled => self.stalled_until = now + STALL_AVOID_TIME,
            Observation::Progress => self.record_response(now),
            Observation::Answered | Observation::Failed => {
                self.record_response(now);
                self.consecutive_unreachable = 0;
                self.consecutive_rejections = 0;
                self.avoid_until = Instant::default();
                let failed = if observation == Observation::Failed {
                    1.0
                } else {
                    0.0
                };
                self.failure_rate += FAILURE_RATE_EWMA_FACTOR * (failed - self.failure_rate);
            }
        }
    }
}

/// Returns the time for which a server is avoided, which starts at `min` and doubles with each
/// failure `before` this one, up to [`MAX_AVOID_TIME`].
fn avoid_time(min: Duration, before: u32) -> Duration {
    (min * (1 << before.min(8))).min(MAX_AVOID_TIME)
}
