//! The maximum age of a member's data, measured by this instance's clock only.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gullspar_model::{LogPoint, MemberStatus};

/// A position of the primary that covers everything acknowledged up to `as_of`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PositionSample {
    pub as_of: Instant,
    pub point: LogPoint,
}

/// The last position samples of the primary, oldest first.
///
/// A member that has reached the position of a sample has everything that was acknowledged at the sample's
/// instant, so its data is no older than that. The clocks of targets are not used. See
/// `docs/design/staleness.md`.
#[derive(Debug, Default)]
pub struct PositionSamples {
    samples: VecDeque<PositionSample>,
}

impl PositionSamples {
    /// Samples kept; with [`PositionSamples::MIN_SPACING`] they span at least six seconds.
    const MAX_SAMPLES: usize = 256;

    /// Minimum time between two samples with different positions.
    const MIN_SPACING: Duration = Duration::from_millis(25);

    /// Adds a sample if it is later than the last one.
    pub fn add(&mut self, sample: PositionSample) {
        if let Some(last) = self.samples.back() {
            let is_unchanged = last.point == sample.point;
            if sample.as_of <= last.as_of {
                return;
            }
            // A later sample of the same position replaces the last one. Samples of different positions keep a
            // minimum spacing, so that those of a busy group span the same time.
            if is_unchanged {
                self.samples.pop_back();
            } else if sample.as_of < last.as_of + PositionSamples::MIN_SPACING {
                return;
            }
        }
        self.samples.push_back(sample);
        if self.samples.len() > PositionSamples::MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// The latest instant up to which `status` has everything acknowledged; `None` if it covers no sample.
    pub fn fresh_as_of(&self, status: &MemberStatus) -> Option<Instant> {
        let reached = self.samples.iter().rev().find(|it| status.has_reached(it.point));
        reached.map(|it| it.as_of)
    }
}
