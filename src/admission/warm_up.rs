//! The share of one router in the requests that a cold server takes.
//!
//! Load pattern: tens of servers become cold at once while callers press on, and all routers of a
//! large fleet see them idle. What the routers report of each other is older than the second for
//! which a cold server's limit holds, so that levels cannot keep it.
//!
//! The requests that a cold server takes until it is warm are divided into slots at even distances,
//! counted back from the time when it is warm, which all routers know. Each router has every n-th
//! slot, by its place in the fleet. A slot may be used for [`SLOT_TTL`] and then lapses, so that those
//! of routers without demand do not add up.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use super::RateLimit;
use crate::{
    catalog::{Cold, ServerKey},
    sync::lock,
    Instant,
};

/// Time from the start of a slot within which it may be used.
const SLOT_TTL: Duration = Duration::from_secs(1);

/// Fraction of the allowed requests that routers use, as their views of the fleet and the times at
/// which requests arrive differ.
const USED_FRACTION: f64 = 0.75;

/// Shortest time between two slots of a router at one server.
const MIN_PERIOD: Duration = Duration::from_millis(1);

/// Maximum number of servers of which the used slots are kept.
const MAX_USED: usize = 1_024;

/// How far the requests in one second may exceed the limit of a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpBounds {
    /// Multiple of the limit that is allowed in one second.
    pub overshoot: f64,
    /// Number of requests that is allowed in one second in addition.
    pub slack: f64,
}

impl WarmUpBounds {
    /// Returns the slots a second of all routers together.
    ///
    /// In any second fall the requests of the slots that start in it, of those that start up to
    /// [`SLOT_TTL`] before, and of one at the edge.
    fn slots_per_s(self, limit: RateLimit) -> f64 {
        let allowed = limit.per_second() * self.overshoot + self.slack;
        let slots = USED_FRACTION * (allowed - 1.0) / (1.0 + SLOT_TTL.as_secs_f64());
        slots.clamp(0.0, limit.per_second())
    }
}

/// Place of a router among the routers of its fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPlace {
    /// Number of routers with a lower name.
    pub index: usize,
    /// Number of routers, including this one; at least 1.
    pub size: usize,
}

/// The slots of one router at a cold server.
#[derive(Debug, Clone, Copy)]
pub struct WarmUpSlots {
    warm_at: Instant,
    /// Time before which no slot counts, as the router did not know that the server is cold.
    learned: Instant,
    /// Time between two slots of the router; `None` if it has none.
    period: Option<Duration>,
    /// Time between the router's last slot and the time when the server is warm.
    offset: Duration,
}

impl WarmUpSlots {
    /// Returns the slots of the router at `place`.
    pub fn new(
        server: ServerKey,
        cold: Cold,
        limit: RateLimit,
        bounds: WarmUpBounds,
        place: FleetPlace,
    ) -> Self {
        let size = place.size.max(1);
        let period_s = size as f64 / bounds.slots_per_s(limit);
        // A router has its slots at different servers at different times.
        let number = (place.index as u64 + u64::from(server.0)) % size as u64;
        let part = number as f64 / size as f64;
        let period = Duration::try_from_secs_f64(period_s).ok();
        let period = period.map(|period| period.max(MIN_PERIOD));
        WarmUpSlots {
            warm_at: cold.warm_at,
            learned: cold.learned,
            period,
            offset: period.unwrap_or_default().mul_f64(part),
        }
    }

    /// Returns the start of the first slot after `after` that has not lapsed at `now`.
    fn next(&self, after: Option<Instant>, now: Instant) -> Option<Instant> {
        let period = self.period?;
        // Half a period: a slot that has moved a little is still the same one.
        let after = after.map_or(self.learned, |used| used + period / 2);
        let after = after.max(self.learned).max(now - SLOT_TTL);
        let last = self.warm_at - self.offset;
        let periods = last.since(after).as_micros() / period.as_micros();
        let start = last - period * u32::try_from(periods).ok()?;
        (start > after).then_some(start).or_else(|| {
            let next = start + period;
            (next > after && next < self.warm_at).then_some(next)
        })
    }
}

/// The slots at cold servers that this router has used.
#[derive(Debug, Default)]
pub struct WarmUpShares {
    /// Start of the last used slot by server.
    used: Mutex<BTreeMap<ServerKey, Instant>>,
}

impl WarmUpShares {
    /// Returns the time until this router may send a request to a cold server; zero if it may now.
    pub fn wait(&self, server: ServerKey, slots: &WarmUpSlots, now: Instant) -> Duration {
        let used = lock(&self.used).get(&server).copied();
        let next = slots.next(used, now).unwrap_or(slots.warm_at);
        next.min(slots.warm_at).since(now)
    }

    /// Uses a slot at a cold server; returns whether there is one.
    pub fn use_slot(&self, server: ServerKey, slots: &WarmUpSlots, now: Instant) -> bool {
        let mut used = lock(&self.used);
        let next = slots.next(used.get(&server).copied(), now);
        let Some(start) = next.filter(|start| *start <= now) else {
            return false;
        };
        if used.len() >= MAX_USED && !used.contains_key(&server) {
            // A lapsed slot cannot be used again.
            used.retain(|_, used| now.since(*used) < SLOT_TTL);
            if used.len() >= MAX_USED {
                return false;
            }
        }
        used.insert(server, start);
        true
    }

    /// Forgets the used slots once no server is cold.
    pub fn clear(&self) {
        lock(&self.used).clear();
    }
}
