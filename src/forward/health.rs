//! Servers that failed lately, as this router saw it.
//!
//! A server is avoided for a while after each failure in a row, longer each time, and is
//! then tried again by whatever request comes. What answers say counts alone; servers are
//! not probed.
//!
//! Load pattern: an engine goes dark in the middle of its streams. Streams that may not be
//! repeated are lost with it, and so is each one that is sent there until the engine is
//! known to be dark. The first router that misses the events of a stream tells the others.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use crate::{catalog::ServerKey, sync::lock, Instant};

/// Time for which a server is avoided after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest time for which a server is avoided: a crashed one is back after some seconds.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_000);

/// Silence of a server in the middle of a stream after which it gets no new work.
///
/// Engines that read many long prompts were silent for 300 ms and more without being dark;
/// callers leave a stream after two seconds.
pub(super) const STALL_AFTER: Duration = Duration::from_millis(700);

/// Time for which a silent server is avoided by the router that has the stream: streams end
/// within seconds, and then nothing tells whether it is still silent.
const STALL_AVOID_TIME: Duration = Duration::from_millis(2_000);

/// Time for which it is avoided by another router that was told: two digests.
const ANNOUNCED_STALL_AVOID_TIME: Duration = Duration::from_millis(700);

/// Weight of one answer in the share of failed ones.
const FAILURE_RATE_EWMA_FACTOR: f64 = 0.15;

/// Share of failed answers above which a server is avoided while others are better.
const OUTLIER_FAILURE_RATIO: f64 = 0.35;

/// Most servers remembered.
const MAX_SERVERS: usize = 2_048;

/// What happened at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It answered.
    Answered,
    /// It answered that it failed.
    Failed,
    /// It accepted no connection, broke off or stayed silent.
    Unreachable,
    /// It sent a part of an answer.
    Progress,
    /// It is silent in the middle of a stream.
    Stalled,
}

/// What this router saw of the servers.
#[derive(Debug, Default)]
pub struct HealthTracker {
    servers: Mutex<BTreeMap<ServerKey, Record>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Record {
    gone_in_row: u32,
    avoid_until: Instant,
    /// Until when it counts as silent in the middle of a stream of this router.
    stalled_until: Instant,
    /// The same, as other routers told.
    told_until: Instant,
    heard: Instant,
    failed_share: f64,
    changed: Instant,
}

impl HealthTracker {
    /// Notes what happened at a server.
    pub fn record(&self, key: ServerKey, note: Observation, now: Instant) {
        let mut servers = lock(&self.servers);
        if servers.len() >= MAX_SERVERS && !servers.contains_key(&key) {
            let oldest = servers.iter().min_by_key(|(_, record)| record.changed);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.map(|key| servers.remove(&key));
        }
        servers.entry(key).or_default().note(note, now);
    }

    /// Returns whether a server should get no work while another one can.
    pub fn is_avoided(&self, key: ServerKey, now: Instant) -> bool {
        let servers = lock(&self.servers);
        let record = servers.get(&key);
        record.is_some_and(|record| record.is_avoided(now))
    }

    /// Returns the servers that are silent in the middle of streams of this router.
    pub fn stalled(&self, now: Instant) -> Vec<ServerKey> {
        let servers = lock(&self.servers);
        let stalled = servers.iter().filter(|(_, r)| now < r.stalled_until);
        stalled.map(|(key, _)| *key).collect()
    }

    /// Takes over which servers are silent in the middle of streams of another router.
    ///
    /// A server that was just heard here is not silent.
    pub fn receive_stalled(&self, keys: &[ServerKey], now: Instant) {
        let mut servers = lock(&self.servers);
        for key in keys.iter().take(MAX_SERVERS / 2) {
            if servers.len() >= MAX_SERVERS && !servers.contains_key(key) {
                continue;
            }
            let record = servers.entry(*key).or_default();
            if now.since(record.heard) >= STALL_AFTER || record.heard == Instant::default() {
                record.told_until = now + ANNOUNCED_STALL_AVOID_TIME;
            }
        }
    }

    /// Returns whether a server other than `key` was heard lately, so that silence of `key`
    /// is not this router's own.
    pub fn others_responsive(&self, key: ServerKey, now: Instant) -> bool {
        let servers = lock(&self.servers);
        let mut others = servers.iter().filter(|(other, _)| **other != key);
        others.any(|(_, record)| now.since(record.heard) < STALL_AFTER)
    }

    /// Returns the share of its answers by which a server failed, the latest counting most.
    pub fn failure_rate(&self, key: ServerKey) -> f64 {
        let servers = lock(&self.servers);
        servers.get(&key).map_or(0.0, |record| record.failed_share)
    }

    /// Returns whether a server that fails is worse than its pool, whose mean share is `mean`.
    pub fn is_outlier(share: f64, mean: f64) -> bool {
        share > OUTLIER_FAILURE_RATIO && share > 1.5 * mean
    }

    /// Returns how long nothing was heard of a server, if it ever was.
    pub fn silent_for(&self, key: ServerKey, now: Instant) -> Option<Duration> {
        let servers = lock(&self.servers);
        servers.get(&key).map(|record| now.since(record.heard))
    }
}

impl Record {
    fn is_avoided(&self, now: Instant) -> bool {
        now < self
            .avoid_until
            .max(self.stalled_until)
            .max(self.told_until)
    }

    fn hear(&mut self, now: Instant) {
        self.heard = now;
        self.stalled_until = Instant::default();
        self.told_until = Instant::default();
    }

    fn note(&mut self, note: Observation, now: Instant) {
        self.changed = now;
        match note {
            Observation::Unreachable => {
                let pause = FIRST_PAUSE * (1 << self.gone_in_row.min(8));
                self.gone_in_row += 1;
                self.avoid_until = now + pause.min(LONGEST_PAUSE);
            }
            Observation::Stalled => self.stalled_until = now + STALL_AVOID_TIME,
            Observation::Progress => self.hear(now),
            Observation::Answered | Observation::Failed => {
                self.hear(now);
                self.gone_in_row = 0;
                self.avoid_until = Instant::default();
                let failed = if note == Observation::Failed {
                    1.0
                } else {
                    0.0
                };
                self.failed_share += FAILURE_RATE_EWMA_FACTOR * (failed - self.failed_share);
            }
        }
    }
}
