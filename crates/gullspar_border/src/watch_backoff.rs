//! Retry delays and wait times for watching a store that may stop answering.

use std::time::{Duration, Instant};

use crate::{Entropy, jittered};

/// Delay after a failed call; it doubles with each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Upper limit of the delay. Each call is paid for, even if it fails, and other instances send the changes that
/// were missed.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);

/// Decides when a follower of a store calls it next, and how long a watch may wait there.
///
/// A watch asks the store to delay its answer until something changes. One that a silent store never answers blocks
/// its follower until the deadline, even when the store is back. All instances renew their watches after the same
/// change, so all would be blocked at once and none could update the others. Therefore a watch only waits if the
/// store answered the previous call.
#[derive(Debug, Default)]
pub struct WatchBackoff {
    /// Whether the last call was answered.
    is_responsive: bool,
    /// Number of failed calls since the last answer.
    failures: u32,
}

impl WatchBackoff {
    /// How long the next watch may wait for changes: `limit`, or zero if the last call was not answered.
    pub fn max_wait(&self, limit: Duration) -> Duration {
        if self.is_responsive { limit } else { Duration::ZERO }
    }

    /// Whether the last call was answered.
    pub fn is_responsive(&self) -> bool {
        self.is_responsive
    }

    /// Records that a call was answered.
    pub fn record_answer(&mut self) {
        *self = WatchBackoff { is_responsive: true, failures: 0 };
    }

    /// Records that the call sent at `sent_at` failed; returns when to send the next one.
    ///
    /// The delay starts at `sent_at`, so the time that the failed call took counts towards it.
    pub fn record_failure(&mut self, sent_at: Instant, entropy: &dyn Entropy) -> Instant {
        let delay = INITIAL_RETRY_DELAY * 2u32.pow(self.failures.min(4));
        *self = WatchBackoff { is_responsive: false, failures: self.failures + 1 };
        sent_at + jittered(entropy, delay.min(MAX_RETRY_DELAY))
    }
}
