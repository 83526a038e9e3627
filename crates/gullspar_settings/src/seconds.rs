//! A duration in settings, given in seconds.

use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// A duration in seconds, which may have a fraction; stored in whole milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seconds {
    ms: u64,
}

impl Seconds {
    /// Returns the duration.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.ms)
    }
}

impl<'de> Deserialize<'de> for Seconds {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Seconds, D::Error> {
        let seconds = f64::deserialize(deserializer)?;
        if !(0.0..=86_400.0).contains(&seconds) {
            return Err(serde::de::Error::custom("must be between 0 and 86400 seconds"));
        }
        Ok(Seconds { ms: (seconds * 1000.0).round() as u64 })
    }
}
