//! How old a member's data is at most, told by our own clock alone.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use gullspar_model::{LogPoint, MemberStatus};

/// A position of the primary that covers everything acknowledged up to `as_of`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PositionSample {
    pub as_of: Instant,
    pub point: LogPoint,
}

/// The last readings of the primary, oldest first.
///
/// A member that has reached a reading's position holds all that was acknowledged at its instant, so
/// its data is no older than that. No clock of a target is asked. See `docs/design/staleness.md`.
#[derive(Debug, Default)]
pub struct PositionSamples {
    readings: VecDeque<PositionSample>,
}

impl PositionSamples {
    /// Readings kept; with the spacing below they reach back six seconds and more.
    const LIMIT: usize = 256;

    /// Readings closer together than this are not kept apart.
    const SPACING: Duration = Duration::from_millis(25);

    /// Adds a reading if it is later than the last one.
    pub fn add(&mut self, reading: PositionSample) {
        if let Some(last) = self.readings.back() {
            let same = last.point == reading.point;
            if reading.as_of <= last.as_of {
                return;
            }
            // An unchanged position is confirmed for a later instant: the older one tells nothing
            // more. Otherwise readings are spaced, so that a busy group keeps no more of them.
            if same {
                self.readings.pop_back();
            } else if reading.as_of < last.as_of + PositionSamples::SPACING {
                return;
            }
        }
        self.readings.push_back(reading);
        if self.readings.len() > PositionSamples::LIMIT {
            self.readings.pop_front();
        }
    }

    /// The instant up to which `status` holds everything acknowledged, if any reading tells.
    pub fn fresh_as_of(&self, status: &MemberStatus) -> Option<Instant> {
        let reached = self.readings.iter().rev().find(|it| status.has_reached(it.point));
        reached.map(|it| it.as_of)
    }
}
