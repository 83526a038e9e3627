//! An estimate of how long something usually takes.

use std::time::Duration;

/// A new sample changes the mean by this part of the difference, as in RFC 6298.
const MEAN_DIVISOR: u32 = 8;

/// A new sample changes the deviation by this part of the difference.
const DEVIATION_DIVISOR: u32 = 4;

/// Number of mean deviations above the mean that still count as usual.
const USUAL_DEVIATIONS: u32 = 4;

/// Running mean and mean deviation of durations.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UsualTime {
    /// `None` before the first sample.
    mean: Option<Duration>,
    deviation: Duration,
}

impl UsualTime {
    pub(crate) fn record(&mut self, sample: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(sample);
            self.deviation = sample / 2;
            return;
        };
        let difference = sample.abs_diff(mean);
        self.deviation = move_towards(self.deviation, difference, DEVIATION_DIVISOR);
        self.mean = Some(move_towards(mean, sample, MEAN_DIVISOR));
    }

    /// The longest time that is still usual; zero before the first sample.
    pub(crate) fn upper(&self) -> Duration {
        self.mean.unwrap_or_default() + self.deviation * USUAL_DEVIATIONS
    }
}

fn move_towards(from: Duration, to: Duration, divisor: u32) -> Duration {
    from - from / divisor + to / divisor
}
