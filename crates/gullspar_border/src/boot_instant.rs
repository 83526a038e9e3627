//! Instants of a clock that counts suspension.

use std::time::Duration;

gullspar_model::value! {
    /// An instant in microseconds since the machine started, the time of its suspensions included.
    ///
    /// The age of data must be told by this clock: `Instant` stands still while a machine is
    /// suspended, so that on waking a reading taken before would look fresh, and a caller would be
    /// served data older than its class allows.
    pub struct BootInstant(pub u64);
}

impl BootInstant {
    /// When the machine started.
    pub const MACHINE_START: BootInstant = BootInstant(0);

    /// How long before `self` the instant `earlier` was; zero if it was not.
    pub fn since(self, earlier: BootInstant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The instant `later` later.
    pub fn plus(self, later: Duration) -> BootInstant {
        BootInstant(self.0.saturating_add(later.as_micros() as u64))
    }

    /// The instant `before` earlier.
    pub fn minus(self, before: Duration) -> BootInstant {
        BootInstant(self.0.saturating_sub(before.as_micros() as u64))
    }
}
