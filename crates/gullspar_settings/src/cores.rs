//! A number of processor cores in settings.

use serde::{Deserialize, Deserializer};

/// A number of processor cores, which may have a fraction; stored in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cores {
    thousandths: u32,
}

impl Cores {
    /// Returns the number of cores in thousandths.
    pub fn thousandths(self) -> u32 {
        self.thousandths
    }
}

impl<'de> Deserialize<'de> for Cores {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Cores, D::Error> {
        let cores = f64::deserialize(deserializer)?;
        if !(0.001..=1024.0).contains(&cores) {
            return Err(serde::de::Error::custom("must be between 0.001 and 1024 cores"));
        }
        Ok(Cores { thousandths: (cores * 1000.0).round() as u32 })
    }
}
