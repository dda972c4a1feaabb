//! Servers that failed lately, as this router saw it.
//!
//! A server is avoided for a while after each failure in a row, longer each time, and is
//! then tried again by whatever request comes. What answers say counts alone; servers are
//! not probed.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use crate::{catalog::ServerKey, sync::lock, Instant};

/// Time for which a server is avoided after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Longest time for which a server is avoided: a crashed one is back after some seconds.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_000);

/// Weight of one answer in the share of failed ones.
const ERROR_WEIGHT: f64 = 0.15;

/// Share of failed answers above which a server is avoided while others are better.
const GREY_SHARE: f64 = 0.35;

/// Most servers remembered.
const MAX_SERVERS: usize = 2_048;

/// What happened at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// It answered.
    Answered,
    /// It answered that it failed.
    Failed,
    /// It accepted no connection, broke off or stayed silent.
    Gone,
    /// It sent a part of an answer.
    Heard,
}

/// What this router saw of the servers.
#[derive(Debug, Default)]
pub struct Health {
    servers: Mutex<BTreeMap<ServerKey, Record>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Record {
    gone_in_row: u32,
    avoid_until: Instant,
    heard: Instant,
    failed_share: f64,
    changed: Instant,
}

impl Health {
    /// Notes what happened at a server.
    pub fn note(&self, key: ServerKey, note: Note, now: Instant) {
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
        record.is_some_and(|record| now < record.avoid_until)
    }

    /// Returns the share of its answers by which a server failed, the latest counting most.
    pub fn failed_share(&self, key: ServerKey) -> f64 {
        let servers = lock(&self.servers);
        servers.get(&key).map_or(0.0, |record| record.failed_share)
    }

    /// Returns whether a server that fails is worse than its pool, whose mean share is `mean`.
    pub fn is_grey(share: f64, mean: f64) -> bool {
        share > GREY_SHARE && share > 1.5 * mean
    }

    /// Returns how long nothing was heard of a server, if it ever was.
    pub fn silent(&self, key: ServerKey, now: Instant) -> Option<Duration> {
        let servers = lock(&self.servers);
        servers.get(&key).map(|record| now.since(record.heard))
    }
}

impl Record {
    fn note(&mut self, note: Note, now: Instant) {
        self.changed = now;
        match note {
            Note::Gone => {
                let pause = FIRST_PAUSE * (1 << self.gone_in_row.min(8));
                self.gone_in_row += 1;
                self.avoid_until = now + pause.min(LONGEST_PAUSE);
            }
            Note::Heard => self.heard = now,
            Note::Answered | Note::Failed => {
                self.heard = now;
                self.gone_in_row = 0;
                self.avoid_until = Instant::default();
                let failed = if note == Note::Failed { 1.0 } else { 0.0 };
                self.failed_share += ERROR_WEIGHT * (failed - self.failed_share);
            }
        }
    }
}
