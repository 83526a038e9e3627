//! A rate of events that forgets old events.

use std::time::Duration;

use gullspar_border::BootInstant;

/// Time constant of the decay: after this time, an event counts for 1/e of what it counted at first.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Events per second, averaged over about [`DECAY_TIME`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    per_second: f64,
    updated_at: BootInstant,
}

impl Default for DecayingRate {
    fn default() -> DecayingRate {
        DecayingRate { per_second: 0.0, updated_at: BootInstant::MACHINE_START }
    }
}

impl DecayingRate {
    /// Counts `weight` events at `now`.
    pub(crate) fn add(&mut self, weight: f64, now: BootInstant) {
        self.per_second = self.per_second(now) + weight / DECAY_TIME.as_secs_f64();
        self.updated_at = now;
    }

    pub(crate) fn per_second(&self, now: BootInstant) -> f64 {
        let passed = now.since(self.updated_at).as_secs_f64();
        self.per_second * (-passed / DECAY_TIME.as_secs_f64()).exp()
    }
}
