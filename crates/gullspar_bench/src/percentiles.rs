//! Percentiles of durations.

use std::time::Duration;

use hdrhistogram::Histogram;

/// A histogram of durations, in microseconds.
pub struct Percentiles {
    histogram: Histogram<u64>,
}

impl Default for Percentiles {
    fn default() -> Percentiles {
        #[allow(clippy::expect_used)]
        let histogram = Histogram::new(3).expect("three significant digits are valid");
        Percentiles { histogram }
    }
}

impl Percentiles {
    /// Adds a duration.
    pub fn add(&mut self, duration: Duration) {
        // Fails only for durations over the range of the histogram, which covers centuries.
        let _ = self.histogram.record(duration.as_micros().max(1) as u64);
    }

    /// Adds all durations of `other`.
    pub fn merge(&mut self, other: &Percentiles) {
        // Cannot fail: both have the same precision and resize automatically.
        let _ = self.histogram.add(&other.histogram);
    }

    /// The quantile `share`, from 0 to 1, in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.histogram.value_at_quantile(share) as f64 / 1000.0
    }

    /// The number of durations.
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// Whether there are no durations.
    pub fn is_empty(&self) -> bool {
        self.histogram.is_empty()
    }
}
