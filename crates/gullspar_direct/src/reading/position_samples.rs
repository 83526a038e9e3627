//! What is known of where a group's leader stood, and when.

use std::collections::VecDeque;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::LogPoint;

/// How long readings are kept: longer than the greatest age that callers accept.
const KEEP: Duration = Duration::from_secs(6);

/// PositionSamples closer together than this are not both kept; it bounds the memory of a busy group.
const SPACING: Duration = Duration::from_millis(20);

/// The end of the leader's log, as read at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PositionSample {
    /// When the leader was asked. Every commit acknowledged before is at or below `point`.
    pub requested_at: BootInstant,
    pub point: LogPoint,
}

/// PositionSamples of one group, the oldest first.
///
/// A read that may be as old as A needs all commits acknowledged more than A ago. Every reading requested_at
/// within A has them all, and the oldest such reading asks the least of a replica.
#[derive(Debug, Default)]
pub struct PositionSamples {
    list: VecDeque<PositionSample>,
}

impl PositionSamples {
    /// Adds a reading.
    pub fn add(&mut self, reading: PositionSample) {
        // What was read of an older term may have been rolled back, and no log would ever reach it.
        self.list.retain(|it| it.point.term >= reading.point.term);
        if self.list.back().is_some_and(|it| it.point.term > reading.point.term) {
            return;
        }
        let oldest = reading.requested_at.minus(KEEP);
        self.list.retain(|it| it.requested_at >= oldest);
        let at = self.list.partition_point(|it| it.requested_at <= reading.requested_at);
        let before = at.checked_sub(1).and_then(|it| self.list.get(it));
        if before.is_some_and(|it| reading.requested_at.since(it.requested_at) < SPACING) {
            return;
        }
        self.list.insert(at, reading);
    }

    /// The oldest reading requested_at no more than `max_age` before `now`.
    pub fn oldest_within(&self, now: BootInstant, max_age: Duration) -> Option<PositionSample> {
        let limit = now.minus(max_age);
        self.list.iter().find(|it| it.requested_at >= limit).copied()
    }

    /// The newest reading.
    pub fn newest(&self) -> Option<PositionSample> {
        self.list.back().copied()
    }
}
