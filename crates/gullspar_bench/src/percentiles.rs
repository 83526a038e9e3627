//! Percentiles of durations.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Durations in microseconds.
pub struct Percentiles {
    histogram: Histogram<u64>,
}

impl Default for Percentiles {
    fn default() -> Percentiles {
        #[allow(clippy::expect_used)]
        let histogram = Histogram::new(3).expect("three digits are within what it takes");
        Percentiles { histogram }
    }
}

impl Percentiles {
    /// Adds a duration.
    pub fn add(&mut self, duration: Duration) {
        // Durations over the histogram's range of centuries don't come about.
        let _ = self.histogram.record(duration.as_micros().max(1) as u64);
    }

    /// Takes another set in.
    pub fn merge(&mut self, other: &Percentiles) {
        // Both have the same precision and grow by themselves.
        let _ = self.histogram.add(&other.histogram);
    }

    /// The value that `share` of all durations keep within, in milliseconds.
    pub fn at(&self, share: f64) -> f64 {
        self.histogram.value_at_quantile(share) as f64 / 1000.0
    }

    /// How many durations there are.
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.histogram.is_empty()
    }
}
