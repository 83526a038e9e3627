//! Rate limit for the lines of one event.

use std::time::{Duration, Instant};

/// Maximum number of lines of one event that may be written at once.
const MAX_BURST: u32 = 400;

/// Lines of one event that may be written per second on average.
///
/// This is above the rate of statements of a busy instance, so no line is left out in normal operation. With lines
/// of about 400 bytes it limits one event to 160 KB per second.
const LINES_PER_SECOND: u32 = 400;

/// A token bucket for the lines of one event.
#[derive(Debug)]
pub struct LineBudget {
    available: u32,
    refilled_at: Instant,
    left_out: u64,
}

impl LineBudget {
    /// Creates a full budget.
    pub fn new(now: Instant) -> LineBudget {
        LineBudget { available: MAX_BURST, refilled_at: now, left_out: 0 }
    }

    /// Consumes one line. Returns `None` if the line must be left out, otherwise the number of lines left out since
    /// the last one written.
    pub fn try_consume(&mut self, now: Instant) -> Option<u64> {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refill = (elapsed.as_micros() * u128::from(LINES_PER_SECOND) / 1_000_000) as u32;
        if refill > 0 {
            self.available = self.available.saturating_add(refill).min(MAX_BURST);
            self.refilled_at += Duration::from_secs(1) / LINES_PER_SECOND * refill;
        }
        if self.available == 0 {
            self.left_out += 1;
            return None;
        }
        self.available -= 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
