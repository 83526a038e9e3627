//! When something was last known to be so.

use std::cell::Cell;
use std::time::Duration;

use gullspar_border::BootInstant;

/// The newest moment at which something was known to be so, here or by what others told.
///
/// Instances pass on how long ago it was, so that passing it on makes it no younger.
#[derive(Default)]
pub(crate) struct LastKnown {
    at: Cell<Option<BootInstant>>,
}

impl LastKnown {
    pub(crate) fn record(&self, at: BootInstant) {
        self.at.set(self.at.get().max(Some(at)));
    }

    /// Takes what another instance told at `now`.
    pub(crate) fn record_age(&self, age_ms: Option<u32>, now: BootInstant) {
        if let Some(age_ms) = age_ms {
            self.record(now.minus(Duration::from_millis(u64::from(age_ms))));
        }
    }

    /// What to tell others at `now`.
    pub(crate) fn age_ms(&self, now: BootInstant) -> Option<u32> {
        let age = now.since(self.at.get()?);
        Some(age.as_millis().try_into().unwrap_or(u32::MAX))
    }

    /// Whether it was so no longer than `limit` ago.
    pub(crate) fn is_within(&self, limit: Duration, now: BootInstant) -> bool {
        self.at.get().is_some_and(|at| now.since(at) < limit)
    }
}
