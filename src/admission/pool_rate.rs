//! The rate at which this router sends requests to a pool whose servers report their load.
//!
//! Load pattern: several times the usual traffic at servers that turn away what they cannot queue, sent
//! by more routers than the servers have slots. What other routers have in flight is known a digest late,
//! which is longer than a request takes, so that routers that went by it would all see the same room.
//!
//! Each router goes by the reports in the responses that it gets itself: its rate grows by small steps
//! while fewer requests wait at the servers than routers aim at, and falls in proportion while more do.
//! All routers see the same servers, so their rates add up to what the servers take, without messages.

use std::time::Duration;

use super::Level;
use crate::{catalog::ReportedLoad, Instant};

/// Requests waiting at a server, as a multiple of its slots, that routers aim at.
///
/// Few enough to be served in time, and enough to keep all slots in use.
const AIM: f64 = 1.5;

/// Fraction by which a rate falls at most for one response.
const MAX_CUT: f64 = 0.1;

/// Requests a second by which a rate grows at most for one response.
const STEP: f64 = 0.6;

/// Time in seconds over which the requests of this router are counted.
const DECAY_S: f64 = 1.0;

/// Lowest rate in requests a second, so that reports keep coming.
const MIN_RATE: f64 = 0.5;

/// Requests a second that a new limit allows beyond what was sent, as that may be one request.
const MIN_START: f64 = 1.0;

/// Multiple of the requests that are sent at which a rate no longer limits them.
const CALM_FACTOR: f64 = 2.0;

/// Time without a report after which a rate is forgotten.
const RATE_TTL: Duration = Duration::from_secs(3);

/// Number of requests that may be sent at once after a pause.
const MAX_TOKENS: f64 = 4.0;

/// How far a server is from what routers aim at: above 0 too many requests wait, at most 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crowding(f64);

impl Crowding {
    /// The crowding of a server that turned a request away.
    pub const REJECTING: Crowding = Crowding(1.0);

    /// Returns the crowding of a server that reports `load`.
    pub fn from_load(load: ReportedLoad) -> Self {
        let waiting = f64::from(load.waiting) / f64::from(load.slots.max(1));
        Crowding((waiting - AIM).clamp(-AIM, 1.0))
    }
}

/// The rate at which this router sends requests to one pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolRate {
    /// Requests a second, or `None` while the servers have room.
    limit: Option<f64>,
    /// Number of requests that may be sent at once.
    tokens: f64,
    updated: Instant,
    reported: Instant,
    sent: Level,
}

impl PoolRate {
    /// Creates the rate of a pool whose servers have room.
    pub fn new(now: Instant) -> Self {
        PoolRate {
            limit: None,
            tokens: MAX_TOKENS,
            updated: now,
            reported: now,
            sent: Level::new(now),
        }
    }

    /// Returns the rate in requests a second, or `None` while the servers have room.
    pub fn limit(&self, now: Instant) -> Option<f64> {
        self.limit.filter(|_| now.since(self.reported) < RATE_TTL)
    }

    /// Returns the time since the last report.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.reported)
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.refill(now);
        self.tokens -= 1.0;
        self.sent.record(DECAY_S, now);
    }

    /// Records that a request that was counted as sent has not been sent.
    pub fn record_unsent(&mut self) {
        self.tokens += 1.0;
    }

    /// Records what a response tells of the crowding of its server.
    pub fn record_response(&mut self, crowding: Crowding, now: Instant) {
        self.refill(now);
        let sent = self.sent.value(DECAY_S, now) / DECAY_S;
        let limit = self.limit(now);
        if limit.is_none() {
            // Many routers begin to limit at once, and not each of them may send a number at once.
            self.tokens = self.tokens.min(1.0);
        }
        self.reported = now;
        self.limit = match (limit, crowding.0) {
            (_, excess) if excess > 0.0 => {
                let rate = limit.unwrap_or(sent + MIN_START);
                Some((rate * (1.0 - MAX_CUT * excess)).max(MIN_RATE))
            }
            (Some(rate), missing) => Some(rate - STEP * missing / AIM)
                .filter(|rate| *rate < CALM_FACTOR * sent + MIN_RATE),
            (None, _) => None,
        };
    }

    /// Returns the time until a request may be sent; zero if it may be now.
    pub fn wait(&self, now: Instant) -> Duration {
        let Some(rate) = self.limit(now) else {
            return Duration::ZERO;
        };
        let missing = 1.0 - self.tokens_at(now);
        Duration::from_secs_f64((missing / rate).max(0.0))
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.updated = now;
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let Some(rate) = self.limit(now) else {
            return MAX_TOKENS;
        };
        let earned = rate * now.since(self.updated).as_secs_f64();
        (self.tokens + earned).min(MAX_TOKENS)
    }
}
