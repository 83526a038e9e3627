//! Limits retries to a share of the load.

use std::cell::Cell;

/// Retries allowed per hundred new requests.
const RETRY_PERCENT: u32 = 10;

/// Maximum number of saved retries, which cover a short failure after a time without retries.
const MAX_SAVED_RETRIES: u32 = 20;

/// A budget that new requests fill and retries consume.
///
/// Without it, a failure that affects all requests would double the load, since each of them would be
/// retried. With it, retries add at most a tenth to the load once the saved retries are used up.
pub struct RetryBudget {
    /// Retries left, in hundredths.
    saved_hundredths: Cell<u32>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved_hundredths: Cell::new(MAX_SAVED_RETRIES * 100) }
    }
}

impl RetryBudget {
    /// Adds the share of a new request to the budget.
    pub fn record_request(&self) {
        self.saved_hundredths
            .set((self.saved_hundredths.get() + RETRY_PERCENT).min(MAX_SAVED_RETRIES * 100));
    }

    /// Consumes one retry; `false` if none is left.
    pub fn try_consume(&self) -> bool {
        let Some(left) = self.saved_hundredths.get().checked_sub(100) else { return false };
        self.saved_hundredths.set(left);
        true
    }
}
