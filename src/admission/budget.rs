//! Retry budgets.

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
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
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
