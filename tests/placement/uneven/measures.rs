//! What a replay measures.

use std::{fmt, time::Duration};

/// Length of a window over which loads are averaged, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// Time from which a replay is measured, in milliseconds, after it has started without load.
const FROM_MS: u64 = 5_005;

/// Loads and times of a replay.
pub struct Measures {
    /// Sums over the current window of the requests in flight, by server.
    requests: Vec<f64>,
    /// The same, weighted with the slowness of the server.
    times: Vec<f64>,
    /// Greatest of the servers relative to their mean, for each window.
    busiest_by_requests: Vec<f64>,
    busiest_by_time: Vec<f64>,
    took_ms: Vec<u64>,
    sent: usize,
    cold: usize,
    over_bound: usize,
    rejected: usize,
    is_open: bool,
}

impl Measures {
    pub fn new(servers: usize) -> Self {
        Measures {
            requests: vec![0.0; servers],
            times: vec![0.0; servers],
            busiest_by_requests: Vec::new(),
            busiest_by_time: Vec::new(),
            took_ms: Vec::new(),
            sent: 0,
            cold: 0,
            over_bound: 0,
            rejected: 0,
            is_open: false,
        }
    }

    pub fn sample(&mut self, in_flight: &[u32], slowness: impl Fn(usize) -> f64, ms: u64) {
        self.is_open = ms >= FROM_MS;
        for (server, count) in in_flight.iter().enumerate() {
            let count = f64::from(*count);
            self.requests[server] += count;
            self.times[server] += count * slowness(server);
        }
        if ms.is_multiple_of(WINDOW_MS) {
            if ms > FROM_MS {
                self.busiest_by_requests.push(busiest(&self.requests));
                self.busiest_by_time.push(busiest(&self.times));
            }
            self.requests.fill(0.0);
            self.times.fill(0.0);
        }
    }

    pub fn record_sent(&mut self, in_flight: &[u32], server: usize) {
        if self.is_open {
            let mean = f64::from(in_flight.iter().sum::<u32>()) / in_flight.len() as f64;
            self.sent += 1;
            self.over_bound += usize::from(f64::from(in_flight[server]) > 2.0 * mean + 3.0);
        }
    }

    pub fn record_cold(&mut self, is_cold: bool) {
        self.cold += usize::from(self.is_open && is_cold);
    }

    pub fn record_rejected(&mut self) {
        self.rejected += usize::from(self.is_open);
    }

    pub fn record_done(&mut self, _server: usize, took: Duration) {
        if self.is_open {
            self.took_ms.push(took.as_millis() as u64);
        }
    }

    /// Adds what another replay measured.
    pub fn merge(mut self, other: Measures) -> Measures {
        self.busiest_by_requests.extend(other.busiest_by_requests);
        self.busiest_by_time.extend(other.busiest_by_time);
        self.took_ms.extend(other.took_ms);
        self.sent += other.sent;
        self.cold += other.cold;
        self.over_bound += other.over_bound;
        self.rejected += other.rejected;
        self
    }

    fn percentile(&self, ratio: f64) -> u64 {
        let mut sorted = self.took_ms.clone();
        sorted.sort_unstable();
        sorted[((sorted.len() - 1) as f64 * ratio) as usize]
    }
}

impl fmt::Display for Measures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let per_1000 = |count: usize| count as f64 * 1_000.0 / self.sent as f64;
        write!(
            f,
            "busiest over mean {:.2} by requests, {:.2} by time; ms {} mean, {} p99; of 1,000 {:.1} moved, \
             {:.1} over the bound, {:.1} rejected",
            mean(&self.busiest_by_requests),
            mean(&self.busiest_by_time),
            self.took_ms.iter().sum::<u64>() / self.took_ms.len() as u64,
            self.percentile(0.99),
            per_1000(self.cold),
            per_1000(self.over_bound),
            per_1000(self.rejected),
        )
    }
}

fn busiest(loads: &[f64]) -> f64 {
    loads.iter().copied().fold(0.0, f64::max) / mean(loads)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}
