//! Log positions of a group's leader at known times.

use std::collections::VecDeque;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::LogPoint;

/// How long samples are kept. A read that allows a larger age uses the oldest sample kept.
const SAMPLE_TTL: Duration = Duration::from_secs(6);

/// Minimum time between two samples; bounds the memory of a busy group.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The end of the leader's log at a known time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PositionSample {
    /// When the leader was asked. Every commit acknowledged before that time is at or below `point`.
    pub requested_at: BootInstant,
    pub point: LogPoint,
}

/// Position samples of one group, oldest first.
///
/// A read with a maximum age must see all commits acknowledged before that age. Every sample requested since then
/// includes them, and the oldest of these samples is the easiest for a replica to have reached.
#[derive(Debug, Default)]
pub struct PositionSamples {
    samples: VecDeque<PositionSample>,
}

impl PositionSamples {
    /// Adds a sample, unless it is from an older term or too close to the one before it.
    pub fn add(&mut self, sample: PositionSample) {
        // Positions of an older term may have been rolled back, so that no replica would ever reach them.
        self.samples.retain(|it| it.point.term >= sample.point.term);
        if self.samples.back().is_some_and(|it| it.point.term > sample.point.term) {
            return;
        }
        let oldest = sample.requested_at.minus(SAMPLE_TTL);
        self.samples.retain(|it| it.requested_at >= oldest);
        let at = self.samples.partition_point(|it| it.requested_at <= sample.requested_at);
        let before = at.checked_sub(1).and_then(|it| self.samples.get(it));
        if before.is_some_and(|it| sample.requested_at.since(it.requested_at) < MIN_SAMPLE_INTERVAL)
        {
            return;
        }
        self.samples.insert(at, sample);
    }

    /// The oldest sample requested no more than `max_age` before `now`.
    pub fn oldest_within(&self, now: BootInstant, max_age: Duration) -> Option<PositionSample> {
        let limit = now.minus(max_age);
        self.samples.iter().find(|it| it.requested_at >= limit).copied()
    }

    /// The newest sample requested at or before `at`.
    pub fn newest_before(&self, at: BootInstant) -> Option<PositionSample> {
        self.samples.iter().rfind(|it| it.requested_at <= at).copied()
    }

    /// The newest sample.
    pub fn newest(&self) -> Option<PositionSample> {
        self.samples.back().copied()
    }
}
