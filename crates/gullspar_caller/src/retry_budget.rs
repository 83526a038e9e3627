//! Keeps retries from multiplying a failure.

use std::cell::Cell;

/// Retries allowed for each hundred fresh requests.
const PERCENT: u32 = 10;

/// Retries that may be saved up, so that a short failure after a quiet time is covered.
const SAVED_LIMIT: u32 = 20;

/// A budget that fresh requests fill and retries draw upon.
///
/// When everything fails, every request would be retried and the load double at the worst moment. With
/// the budget, retries stay a tenth of the load, whatever fails.
pub struct RetryBudget {
    /// In hundredths of a retry.
    saved: Cell<u32>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: Cell::new(SAVED_LIMIT * 100) }
    }
}

impl RetryBudget {
    /// Counts a fresh request.
    pub fn fill(&self) {
        self.saved.set((self.saved.get() + PERCENT).min(SAVED_LIMIT * 100));
    }

    /// Draws one retry; `false` means that there must be none.
    pub fn draw(&self) -> bool {
        let Some(left) = self.saved.get().checked_sub(100) else { return false };
        self.saved.set(left);
        true
    }
}
