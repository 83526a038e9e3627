//! The share of a target's slots that one instance uses, and the cooldown that enforces a share below one slot.
//!
//! With more instances than slots, the fair share of each is less than one statement at a time. Each instance may
//! still run one, so that an instance with few callers need not wait. If all instances have many callers, however, the
//! surplus waits in the target's own queue, which knows neither priorities nor deadlines.
//!
//! While a target is congested, which its response times show, a permit is therefore held back for a cooldown after
//! each statement. Requests then wait in the instance, which orders them by priority.

use std::time::Duration;

use crate::targets::admission_limit;

/// A target counts as congested once its mean statement time reaches this percentage of the fastest target's in the
/// group.
///
/// Smaller differences may come from the mix of statements on each target.
const CONGESTED_PERCENT: u128 = 200;

/// Maximum cooldown after a statement, as a multiple of the time that the statement took.
const MAX_COOLDOWN_FACTOR: u32 = 3;

/// The share of a target's slots that one instance uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Concurrent statements, in percent of one statement.
    percent: u32,
    slots: u32,
}

impl Default for Share {
    /// One statement at a time.
    fn default() -> Share {
        Share { percent: 100, slots: 1 }
    }
}

impl Share {
    /// The share of each of `instances` in a target with `slots` slots.
    pub fn of(slots: u32, instances: usize) -> Share {
        let percent = admission_limit::statement_percent(slots, instances);
        Share { percent, slots: slots.max(1) }
    }

    /// Statements that may run at once; at least one.
    pub fn permits(self) -> u32 {
        self.percent.div_ceil(100).clamp(1, self.slots)
    }
}

/// The cooldown of a permit after a statement that took `taken`.
///
/// `mean` is the recent mean statement time on this target, `usual` that on the fastest target of the group. The
/// cooldown is zero unless the target is congested and the share is less than one statement.
pub fn cooldown_after(
    share: Share,
    taken: Duration,
    mean: Option<Duration>,
    usual: Option<Duration>,
) -> Duration {
    let (Some(mean), Some(usual)) = (mean, usual) else { return Duration::ZERO };
    let is_congested = mean.as_micros() * 100 >= usual.as_micros() * CONGESTED_PERCENT;
    let percent = share.percent.max(1);
    if !is_congested || percent >= 100 {
        return Duration::ZERO;
    }
    // Statements of a burst take long; cooldowns in proportion to their full duration would leave slots idle.
    let taken = taken.min(usual * CONGESTED_PERCENT as u32 / 100);
    (taken * (100 - percent) / percent).min(taken * MAX_COOLDOWN_FACTOR)
}
