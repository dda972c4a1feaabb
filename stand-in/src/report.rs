//! Report of one run of the load generator.

use std::{collections::HashMap, time::Instant};

use hdrhistogram::Histogram;
use serde_json::{json, Value};

/// Highest value of the histograms; longer times are recorded as this one.
const MAX_RECORDED_US: u64 = 60_000_000;

pub struct Report {
    pub sent: u64,
    pub answered: u64,
    /// Answers with exactly the content of their request.
    pub whole: u64,
    /// Answers with missing, repeated or foreign content.
    pub mixed: u64,
    /// Requests without an answer after the last attempt.
    pub refused: u64,
    /// Requests of `returned` whose prefix was cached.
    pub warm: u64,
    /// Chat requests sent with a hint of an earlier answer.
    pub returned: u64,
    /// Streams whose connection broke.
    pub broken: u64,
    /// Last failure of the requests in `refused`.
    pub reasons: HashMap<String, u64>,
    /// Time from the start of a request to its first token, with lookup, retries and delays.
    first_token_us: Histogram<u64>,
    /// Time from the start of the answered attempt to its first token.
    attempt_us: Histogram<u64>,
    /// Time of each attempt at a booking.
    booking_us: Histogram<u64>,
}

impl Report {
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_max(MAX_RECORDED_US, 3).expect("three digits");
        Report {
            sent: 0,
            answered: 0,
            whole: 0,
            mixed: 0,
            refused: 0,
            warm: 0,
            returned: 0,
            broken: 0,
            reasons: HashMap::new(),
            first_token_us: histogram(),
            attempt_us: histogram(),
            booking_us: histogram(),
        }
    }

    /// Records the arrival of a first token.
    ///
    /// The request began at `requested_at`, the answered attempt at `started`.
    pub fn first_token(&mut self, requested_at: Instant, started: Instant) {
        self.first_token_us.saturating_record(micros(requested_at));
        self.attempt_us.saturating_record(micros(started));
    }

    /// Records the end of an attempt at a booking that began at `started`.
    pub fn booking(&mut self, started: Instant) {
        self.booking_us.saturating_record(micros(started));
    }

    /// Returns the report as JSON.
    ///
    /// `doubled` is the number of bookings that ran more than once, `skews` are samples of
    /// the load of the busiest engine divided by the mean load.
    pub fn summary(&self, doubled: u64, mut skews: Vec<f64>) -> Value {
        skews.sort_by(f64::total_cmp);
        let skew = skews.get(skews.len() * 99 / 100).copied().unwrap_or(0.0);
        let reuse = self.warm as f64 / self.returned.max(1) as f64;
        json!({
            "sent": self.sent, "answered": self.answered, "whole": self.whole,
            "mixed": self.mixed, "doubled": doubled, "refused": self.refused,
            "broken": self.broken, "reasons": self.reasons,
            "cache_reuse": (reuse * 1_000.0).round() / 1_000.0,
            "skew": (skew * 100.0).round() / 100.0,
            "first_token_ms": quantiles(&self.first_token_us),
            "attempt_first_token_ms": quantiles(&self.attempt_us),
            "booking_ms": quantiles(&self.booking_us),
        })
    }
}

fn micros(since: Instant) -> u64 {
    since.elapsed().as_micros() as u64
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    json!({ "p50": millis(0.5), "p95": millis(0.95), "p99": millis(0.99) })
}
