//! Retry budgets of teams, and the jittered delays that callers wait before a retry.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Retries that one first attempt adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Largest number of unused retries that a budget holds.
const MAX_SAVED_RETRIES: f64 = 100.0;

/// Retries in a new budget, so that a team with little traffic can retry at all.
const INITIAL_RETRIES: f64 = 10.0;

/// A retry budget: first attempts add to it, and each retry takes one from it.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    remaining: f64,
}

impl RetryBudget {
    /// Creates a budget with the initial number of retries.
    pub fn new() -> Self {
        RetryBudget {
            remaining: INITIAL_RETRIES,
        }
    }

    /// Adds the retries that one first attempt earns.
    pub fn earn(&mut self) {
        self.remaining = (self.remaining + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Spends one retry; returns `false` when none is left.
    pub fn spend(&mut self) -> bool {
        if self.is_spent() {
            return false;
        }
        self.remaining -= 1.0;
        true
    }

    /// Returns whether less than one retry is left.
    pub fn is_spent(&self) -> bool {
        self.remaining < 1.0
    }

    /// Returns the number of retries left, with fractions.
    pub fn remaining(&self) -> f64 {
        self.remaining
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new()
    }
}

/// Returns a random delay between half and one and a half times `mean`.
///
/// The jitter spreads out the retries of callers that were refused at the same time.
pub fn retry_delay(mean: Duration, rng: &mut impl Rng) -> Duration {
    mean.mul_f64(rng.random_range(0.5..1.5))
}
