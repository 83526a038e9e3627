//! What is known of where a group's leader stood, and when.

use std::collections::VecDeque;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::LogPoint;

/// How long readings are kept: longer than the greatest age that callers accept.
const KEEP: Duration = Duration::from_secs(6);

/// Readings closer together than this are not both kept; it bounds the memory of a busy group.
const SPACING: Duration = Duration::from_millis(20);

/// The end of the leader's log, as read at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// When the leader was asked. Every commit acknowledged before is at or below `point`.
    pub begun: BootInstant,
    pub point: LogPoint,
}

/// Readings of one group, the oldest first.
///
/// A read that may be as old as A needs all commits acknowledged more than A ago. Every reading begun
/// within A has them all, and the oldest such reading asks the least of a replica.
#[derive(Debug, Default)]
pub struct Readings {
    list: VecDeque<Reading>,
}

impl Readings {
    /// Adds a reading.
    pub fn add(&mut self, reading: Reading) {
        // What was read of an older term may have been rolled back, and no log would ever reach it.
        self.list.retain(|it| it.point.term >= reading.point.term);
        if self.list.back().is_some_and(|it| it.point.term > reading.point.term) {
            return;
        }
        let oldest = reading.begun.minus(KEEP);
        self.list.retain(|it| it.begun >= oldest);
        let at = self.list.partition_point(|it| it.begun <= reading.begun);
        let before = at.checked_sub(1).and_then(|it| self.list.get(it));
        if before.is_some_and(|it| reading.begun.since(it.begun) < SPACING) {
            return;
        }
        self.list.insert(at, reading);
    }

    /// The oldest reading begun no more than `max_age` before `now`.
    pub fn oldest_within(&self, now: BootInstant, max_age: Duration) -> Option<Reading> {
        let limit = now.minus(max_age);
        self.list.iter().find(|it| it.begun >= limit).copied()
    }

    /// The newest reading.
    pub fn newest(&self) -> Option<Reading> {
        self.list.back().copied()
    }
}
