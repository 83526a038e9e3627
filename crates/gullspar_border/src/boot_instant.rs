//! Instants of a clock that keeps running while the machine is suspended.

use std::time::Duration;

gullspar_model::value! {
    /// An instant in microseconds since the machine started, including time during which it was suspended.
    ///
    /// The age of data must be measured with this clock. `Instant` does not advance during a suspension, so
    /// data read before it would look fresh afterwards, and a caller could get data older than its class allows.
    pub struct BootInstant(pub u64);
}

impl BootInstant {
    /// When the machine started.
    pub const MACHINE_START: BootInstant = BootInstant(0);

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: BootInstant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Adds `duration`, saturating at the maximum.
    pub fn plus(self, duration: Duration) -> BootInstant {
        BootInstant(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// Subtracts `duration`, saturating at the machine's start.
    pub fn minus(self, duration: Duration) -> BootInstant {
        BootInstant(self.0.saturating_sub(duration.as_micros() as u64))
    }
}
