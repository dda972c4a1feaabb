//! Figures of one simulated run.

use serde::Serialize;

use super::simulation::ROUTERS;

/// Bytes of one call between routers with its answer, including TCP and IP headers.
const CALL_BYTES: u64 = 260;

/// Bytes of one gossip datagram, including headers.
const DATAGRAM_BYTES: f64 = 300.0;

/// Figures of one policy.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    #[serde(skip)]
    pub name: &'static str,
    /// Share of the requests after the first of a chat whose prefix was cached.
    pub reuse: f64,
    /// Load of the busiest engine divided by the mean load: highest sample.
    pub skew_max: f64,
    /// Load of the busiest engine divided by the mean load: 99th percentile of the samples.
    pub skew_p99: f64,
    /// Bytes per second and router of calls between routers and gossip.
    pub control_bytes_per_s: f64,
    /// Requests finished per second.
    pub goodput: f64,
    /// Requests placed on an engine that was at or above its actual bound.
    pub over_bound: u64,
    /// Requests of `over_bound` placed while routers may hold different lists of engines.
    pub over_split: u64,
    /// Requests of `over_bound` placed below the bound of a second before.
    pub over_fallen: u64,
    /// Share of the samples in which an engine is above the bound of that moment.
    pub above_bound: f64,
    /// Share of the samples in which an engine is above the bound only because the mean fell.
    pub above_fallen: f64,
    /// Requests that got no engine in time.
    pub refused: u64,
    /// Share of the requests after the first of a chat that changed the engine.
    pub moved: f64,
    /// Mean age of the loads that routers know of each other, in milliseconds.
    pub age_ms: u64,
    /// 99th percentile of the wait for a slot, in milliseconds.
    pub wait_p99_ms: u64,
    #[serde(skip)]
    pub datagrams: u64,
    #[serde(skip)]
    pub calls: u64,
    #[serde(skip)]
    pub finished: u64,
    #[serde(skip)]
    counts: Counts,
}

#[derive(Debug, Default)]
struct Counts {
    returning: u64,
    warm: u64,
    moved: u64,
    samples: u64,
    above: u64,
    above_fallen: u64,
    skews: Vec<f64>,
    waits: Vec<u64>,
}

impl Report {
    /// Creates an empty report of the policy `name`.
    pub fn new(name: &'static str) -> Self {
        Report {
            name,
            ..Report::default()
        }
    }

    /// Records a placement.
    ///
    /// `same` says whether the chat stays on its engine (`None` for its first request), `warm`
    /// whether its prefix was cached, and `over` whether the engine was at its bound.
    pub fn record_placement(&mut self, same: Option<bool>, warm: bool, over: bool) {
        self.over_bound += u64::from(over);
        let Some(same) = same else { return };
        self.counts.returning += 1;
        self.counts.warm += u64::from(warm);
        self.counts.moved += u64::from(!same);
    }

    /// Records how long a request waited for a slot, in microseconds.
    pub fn record_wait(&mut self, wait: u64) {
        self.counts.waits.push(wait / 1_000);
    }

    /// Records the loads of the live engines at one moment.
    ///
    /// `overfilled` says whether an engine is above `bound` since a placement at the bound.
    pub fn record_sample(&mut self, loads: &[u32], bound: u32, overfilled: bool) {
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len() as f64;
        let most = f64::from(loads.iter().copied().max().unwrap_or(0));
        self.counts.samples += 1;
        let above = most > f64::from(bound);
        self.counts.above += u64::from(above);
        self.counts.above_fallen += u64::from(above && !overfilled);
        // With less than one request per engine, the ratio is meaningless.
        if mean >= 1.0 {
            self.counts.skews.push(most / mean);
        }
    }

    /// Computes the figures of a run of `end` microseconds.
    pub fn finish(&mut self, end: u64) {
        let seconds = end as f64 / 1e6;
        let counts = &mut self.counts;
        let share = |part: u64, whole: u64| round(part as f64 / whole.max(1) as f64);
        self.reuse = share(counts.warm, counts.returning);
        self.moved = share(counts.moved, counts.returning);
        self.above_bound = share(counts.above, counts.samples);
        self.above_fallen = share(counts.above_fallen, counts.samples);
        counts.skews.sort_by(f64::total_cmp);
        self.skew_max = round(counts.skews.last().copied().unwrap_or(0.0));
        self.skew_p99 = round(percentile(&counts.skews, 0.99));
        counts.waits.sort_unstable();
        self.wait_p99_ms = percentile(&counts.waits, 0.99);
        let calls = (self.calls * CALL_BYTES) as f64 / ROUTERS as f64 / seconds;
        let datagrams = self.datagrams as f64 * DATAGRAM_BYTES / ROUTERS as f64 / seconds;
        self.control_bytes_per_s = (calls + datagrams).round();
        self.goodput = round(self.finished as f64 / seconds);
    }
}

fn percentile<T: Copy + Default>(sorted: &[T], share: f64) -> T {
    let at = (sorted.len() as f64 * share) as usize;
    sorted.get(at).copied().unwrap_or_default()
}

fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
