//! What a run measured.

use serde::Serialize;

use super::world::ROUTERS;

/// Bytes of one call between routers with its answer, headers of TCP and IP included.
const CALL_BYTES: u64 = 260;

/// Bytes a second of the gossip of one router, at five datagrams a second.
const GOSSIP_BYTES_PER_S: f64 = 1_500.0;

/// Figures of one policy.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    #[serde(skip)]
    pub name: &'static str,
    /// Share of the returning requests that met a cached prefix.
    pub reuse: f64,
    /// Busiest engine over the mean, highest sample.
    pub skew_max: f64,
    /// Busiest engine over the mean, 99th percentile of the samples.
    pub skew_p99: f64,
    /// Control bytes of a router a second.
    pub control_bytes_per_s: f64,
    /// Requests finished a second.
    pub goodput: f64,
    /// Requests placed on an engine at its bound.
    pub over_bound: u64,
    /// Those of them placed while routers hold different lists of engines.
    pub over_split: u64,
    /// Those of them below the bound of a second before.
    pub over_fallen: u64,
    /// Share of samples in which an engine stands above the bound of that moment.
    pub above_bound: f64,
    /// Share of samples in which engines do so only since the mean fell.
    pub above_fallen: f64,
    /// Requests that found no engine.
    pub refused: u64,
    /// Share of the returning requests that changed their engine.
    pub moved: f64,
    /// Mean age of the loads that routers know of others, in milliseconds.
    pub age_ms: u64,
    /// 99th percentile of the wait for an engine, in milliseconds.
    pub wait_p99_ms: u64,
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

    /// Counts a placement; `same` says whether the chat stays, `None` for its first.
    pub fn place(&mut self, same: Option<bool>, warm: bool, over: bool) {
        self.over_bound += u64::from(over);
        let Some(same) = same else { return };
        self.counts.returning += 1;
        self.counts.warm += u64::from(warm);
        self.counts.moved += u64::from(!same);
    }

    /// Counts how long a request waited for an engine, in microseconds.
    pub fn waited(&mut self, wait: u64) {
        self.counts.waits.push(wait / 1_000);
    }

    /// Takes the loads of the live engines at one moment; `overfilled` says whether one
    /// stands above `bound` since a request was placed on it at the bound.
    pub fn sample(&mut self, loads: &[u32], bound: u32, overfilled: bool) {
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len() as f64;
        let most = f64::from(loads.iter().copied().max().unwrap_or(0));
        self.counts.samples += 1;
        let above = most > f64::from(bound);
        self.counts.above += u64::from(above);
        self.counts.above_fallen += u64::from(above && !overfilled);
        // Below one request an engine the ratio says nothing.
        if mean >= 1.0 {
            self.counts.skews.push(most / mean);
        }
    }

    /// Works out the figures after `end` microseconds.
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
        self.control_bytes_per_s = (calls + GOSSIP_BYTES_PER_S).round();
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
