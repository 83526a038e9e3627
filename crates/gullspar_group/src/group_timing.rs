//! Intervals and timeouts of observation and promotion.

use std::time::Duration;

/// Intervals and timeouts of observation and promotion.
///
/// The defaults aim at failovers of less than a second; `docs/CAPACITY.md` describes their cost at the planned size.
#[derive(Clone, Copy, Debug)]
pub struct GroupTiming {
    /// How long a member may delay the answer to a status call while nothing changes.
    pub status_wait: Duration,
    /// How long a member must be silent to count as failed.
    pub failed_after: Duration,
    /// How long a member that refuses connections must be silent to count as failed.
    pub refused_after: Duration,
    /// How long a claim may remain without a promotion before it counts as abandoned.
    pub claim_abandoned_after: Duration,
    /// How much longer each instance waits before it claims than the one ranked before it.
    pub claim_turn_delay: Duration,
    /// How long each step of a promotion may take.
    pub step_timeout: Duration,
}

impl Default for GroupTiming {
    fn default() -> GroupTiming {
        GroupTiming {
            status_wait: Duration::from_millis(100),
            failed_after: Duration::from_millis(400),
            refused_after: Duration::from_millis(250),
            claim_abandoned_after: Duration::from_millis(1500),
            claim_turn_delay: Duration::from_millis(150),
            step_timeout: Duration::from_millis(800),
        }
    }
}
