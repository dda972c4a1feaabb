//! Sums over routers: the loads of servers, and the use of the limits that servers name.

use std::{collections::BTreeMap, time::Duration};

use super::{Digest, LoadRange, PEER_TIMEOUT};
use crate::{admission::LimitReport, catalog::ServerKey, Instant};

/// Maximum number of servers in one datagram; two such ranges do not fit into one.
const MAX_LOADS_PER_DATAGRAM: usize = 140;

/// Maximum number of limit reports in one datagram, the highest levels first.
const MAX_LIMITS: usize = 32;

/// What a router, or a relay for several, reports about the use of servers.
#[derive(Debug, Clone, Default)]
pub(super) struct Usage {
    pub(super) loads: BTreeMap<ServerKey, u32>,
    pub(super) server_limits: Vec<LimitReport>,
    /// Sequence number of the latest report.
    pub(super) sequence: u64,
    pub(super) received: Instant,
}

impl Usage {
    /// Creates the report in a digest that was received, or is sent, at `now`.
    pub(super) fn new(digest: &Digest, now: Instant) -> Self {
        Usage {
            loads: digest.loads.iter().copied().collect(),
            server_limits: digest.server_limits.clone(),
            sequence: digest.sequence,
            received: now,
        }
    }

    /// Returns whether the report is recent enough to count.
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.received) < PEER_TIMEOUT
    }

    /// Replaces the loads in the range and, if the report is a later one, the rest.
    pub(super) fn replace(
        &mut self,
        range: &LoadRange,
        server_limits: &[LimitReport],
        sequence: u64,
        now: Instant,
    ) {
        let is_outside = |key: &ServerKey| *key < range.first || *key > range.last;
        self.loads.retain(|key, _| is_outside(key));
        self.loads.extend(range.loads.iter().copied());
        if sequence > self.sequence {
            self.server_limits = server_limits.to_vec();
        }
        self.sequence = sequence;
        self.received = now;
    }

    /// Adds another report to a sum as of `now`.
    pub(super) fn add(&mut self, other: &Usage, now: Instant) {
        for (key, load) in &other.loads {
            let sum = self.loads.entry(*key).or_default();
            *sum = sum.saturating_add(*load);
        }
        let age = now.since(other.received);
        for report in &other.server_limits {
            let aged = aged(report, age);
            let mut known = self.server_limits.iter_mut();
            match known.find(|known| known.server == report.server) {
                Some(known) => add_report(known, &aged),
                None => self.server_limits.push(aged),
            }
        }
    }

    /// Returns a sum without the latest report that went into it.
    pub(super) fn without(&self, other: &Usage) -> Usage {
        let mut rest = self.clone();
        for (key, load) in &other.loads {
            if let Some(sum) = rest.loads.get_mut(key) {
                *sum = sum.saturating_sub(*load);
            }
        }
        rest.loads.retain(|_, load| *load > 0);
        for report in &other.server_limits {
            let mut sums = rest.server_limits.iter_mut();
            if let Some(sum) = sums.find(|sum| sum.server == report.server) {
                sum.level_milli = sum.level_milli.saturating_sub(report.level_milli);
            }
        }
        rest.server_limits
            .sort_by_key(|report| std::cmp::Reverse(report.level_milli));
        rest.server_limits.truncate(MAX_LIMITS);
        rest
    }

    /// Returns the loads in ranges that each fit into one datagram and together cover all keys.
    pub(super) fn load_ranges(&self) -> Vec<LoadRange> {
        let loads: Vec<_> = self.loads.iter().map(|(key, load)| (*key, *load)).collect();
        if loads.is_empty() {
            return vec![LoadRange {
                first: ServerKey(0),
                last: ServerKey(u32::MAX),
                loads,
            }];
        }
        let mut first = ServerKey(0);
        let mut ranges = Vec::new();
        let mut chunks = loads.chunks(MAX_LOADS_PER_DATAGRAM).peekable();
        while let Some(chunk) = chunks.next() {
            let next = chunks.peek().map(|next| next[0].0);
            let last = next.map_or(ServerKey(u32::MAX), |next| ServerKey(next.0 - 1));
            let loads = chunk.to_vec();
            ranges.push(LoadRange { first, last, loads });
            first = next.unwrap_or(last);
        }
        ranges
    }
}

/// Returns a report as it is after `age`.
fn aged(report: &LimitReport, age: Duration) -> LimitReport {
    LimitReport {
        age_ms: report.age_ms.saturating_add(age.as_millis() as u32),
        ..report.clone()
    }
}

/// Adds a level to `known`, which keeps the limit that was named last.
fn add_report(known: &mut LimitReport, other: &LimitReport) {
    known.level_milli = known.level_milli.saturating_add(other.level_milli);
    if other.age_ms < known.age_ms {
        (known.limit, known.age_ms) = (other.limit, other.age_ms);
    }
}
