//! What a run of the callers came to.

use std::{collections::HashMap, time::Instant};

use hdrhistogram::Histogram;
use serde_json::{json, Value};

/// Longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

pub struct Report {
    pub sent: u64,
    pub answered: u64,
    pub whole: u64,
    pub mixed: u64,
    pub refused: u64,
    pub warm: u64,
    pub returned: u64,
    pub broken: u64,
    pub reasons: HashMap<String, u64>,
    /// From the caller's question to the first token, with lookup, retries and pauses.
    first_token_us: Histogram<u64>,
    /// From the sending of the answered attempt to its first token.
    attempt_us: Histogram<u64>,
    booking_us: Histogram<u64>,
}

impl Report {
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_max(MAX_MICROS, 3).expect("three digits");
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

    /// Counts a first token now of a request `asked` for, in the attempt that `started`.
    pub fn first_token(&mut self, asked: Instant, started: Instant) {
        self.first_token_us.saturating_record(micros(asked));
        self.attempt_us.saturating_record(micros(started));
    }

    /// Counts the end of an attempt at a booking.
    pub fn booking(&mut self, started: Instant) {
        self.booking_us.saturating_record(micros(started));
    }

    /// Returns the report as JSON, with samples of the skew.
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
