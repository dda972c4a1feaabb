//! Retry budgets, and the delays proposed to those who retry.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Retries earned by one fresh request.
const EARNED_PER_REQUEST: f64 = 0.1;

/// Most retries that can be saved up.
const MAX_SAVED: f64 = 100.0;

/// Retries a team with little traffic may always make at first.
const INITIAL: f64 = 10.0;

/// A count of retries that fresh requests earn and retries spend.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget with the retries that a new team starts with.
    pub fn new() -> Self {
        RetryBudget { saved: INITIAL }
    }

    /// Counts a fresh request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Spends one retry; returns whether there was one left.
    pub fn spend(&mut self) -> bool {
        if self.is_spent() {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Returns whether no retry is left.
    pub fn is_spent(&self) -> bool {
        self.saved < 1.0
    }

    /// Returns the retries that are left.
    pub fn saved(&self) -> f64 {
        self.saved
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new()
    }
}

/// Returns a delay between half and one and a half times `mean`.
///
/// Callers that were refused together come back spread out.
pub fn retry_delay(mean: Duration, rng: &mut impl Rng) -> Duration {
    mean.mul_f64(rng.random_range(0.5..1.5))
}
