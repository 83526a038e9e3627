//! How many lines of one event are written.

use std::time::{Duration, Instant};

/// Lines of one event that may be written at once.
const BURST: u32 = 400;

/// Lines of one event that may be written each second in the long run.
///
/// A busy instance of today's size answers 60 to 200 statements a second and loses no line; lines take some
/// 400 bytes, so that one event brings 160 KB a second at most.
const PER_SECOND: u32 = 400;

/// A budget of lines that refills with time.
#[derive(Debug)]
pub struct LineBudget {
    left: u32,
    refilled_at: Instant,
    left_out: u64,
}

impl LineBudget {
    /// A full budget.
    pub fn new(now: Instant) -> LineBudget {
        LineBudget { left: BURST, refilled_at: now, left_out: 0 }
    }

    /// Draws one line: `Some` if it may be written, with the number of lines left out since the last.
    pub fn try_consume(&mut self, now: Instant) -> Option<u64> {
        let passed = now.saturating_duration_since(self.refilled_at);
        let earned = (passed.as_micros() * u128::from(PER_SECOND) / 1_000_000) as u32;
        if earned > 0 {
            self.left = self.left.saturating_add(earned).min(BURST);
            self.refilled_at += Duration::from_secs(1) / PER_SECOND * earned;
        }
        if self.left == 0 {
            self.left_out += 1;
            return None;
        }
        self.left -= 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
