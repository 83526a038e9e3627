//! What part of a target's slots one instance uses, and how it keeps to a part of one.
//!
//! With more instances than slots, the fair part of each is less than one statement at a time. Each runs one all
//! the same, so that an instance with few callers need not wait; but when all have many, nine statements stand
//! before three slots, in the target's own queue, which knows no priority and no deadline. There each statement of a
//! transaction waits two rounds.
//!
//! So while a target is crowded, which its answers show, a place rests after each statement for as long as the part
//! asks; requests then wait in the instance, where the urgent go first.

use std::time::Duration;

use crate::targets::admission_limit;

/// A target is crowded while its statements take this many percent of what they take on the fastest of its group.
///
/// Without a queue they differ by up to a half with the kinds of statements that each gets.
const CROWDED_PERCENT: u128 = 200;

/// The longest rest after a statement, as a multiple of what it took.
const MOST_REST: u32 = 3;

/// The part of a target that one instance uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Statements at a time, in percent of one.
    percent: u32,
    slots: u32,
}

impl Default for Share {
    /// One whole statement at a time.
    fn default() -> Share {
        Share { percent: 100, slots: 1 }
    }
}

impl Share {
    /// The part of a target with `slots` slots for each of `instances`.
    pub fn of(slots: u32, instances: usize) -> Share {
        let percent = admission_limit::statement_percent(slots, instances);
        Share { percent, slots: slots.max(1) }
    }

    /// Statements at a time, one at least.
    pub fn permits(self) -> u32 {
        self.percent.div_ceil(100).clamp(1, self.slots)
    }
}

/// How long a place rests after a statement that took `taken`, where statements of late took `mean` here and `usual`
/// on the fastest target of the group.
pub fn cooldown_after(
    share: Share,
    taken: Duration,
    mean: Option<Duration>,
    usual: Option<Duration>,
) -> Duration {
    let (Some(mean), Some(usual)) = (mean, usual) else { return Duration::ZERO };
    let crowded = mean.as_micros() * 100 >= usual.as_micros() * CROWDED_PERCENT;
    let part = share.percent.max(1);
    if !crowded || part >= 100 {
        return Duration::ZERO;
    }
    // After a burst all would rest for as long as it took, and slots would idle.
    let taken = taken.min(usual * CROWDED_PERCENT as u32 / 100);
    (taken * (100 - part) / part).min(taken * MOST_REST)
}
