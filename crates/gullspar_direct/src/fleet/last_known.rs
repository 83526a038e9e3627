//! Tracks when a condition was last known to hold.

use std::cell::Cell;
use std::time::Duration;

use gullspar_border::BootInstant;

/// The newest time at which a condition was known to hold, by this instance or by reports of
/// others.
///
/// Instances report the age of the observation, so that forwarding it does not make it younger.
#[derive(Default)]
pub(crate) struct LastKnown {
    at: Cell<Option<BootInstant>>,
}

impl LastKnown {
    pub(crate) fn record(&self, at: BootInstant) {
        self.at.set(self.at.get().max(Some(at)));
    }

    /// Records an observation that another instance reported at `now`, with its age.
    pub(crate) fn record_age(&self, age_ms: Option<u32>, now: BootInstant) {
        if let Some(age_ms) = age_ms {
            self.record(now.minus(Duration::from_millis(u64::from(age_ms))));
        }
    }

    /// The age of the observation at `now`, to be reported to other instances.
    pub(crate) fn age_ms(&self, now: BootInstant) -> Option<u32> {
        let age = now.since(self.at.get()?);
        Some(age.as_millis().try_into().unwrap_or(u32::MAX))
    }

    /// Whether the condition held less than `limit` ago.
    pub(crate) fn is_within(&self, limit: Duration, now: BootInstant) -> bool {
        self.at.get().is_some_and(|at| now.since(at) < limit)
    }
}
