//! How closely groups are observed and how soon a failure is acted upon.

use std::time::Duration;

/// The pace of observation and promotion.
///
/// The defaults are for today's sizes, where a failover gap under a second is wanted;
/// `docs/CAPACITY.md` tells what they cost at the planned size.
#[derive(Clone, Copy, Debug)]
pub struct GroupTiming {
    /// How long a member may hold a status call back while nothing changes.
    pub status_wait: Duration,
    /// Silence of a member that counts as a failure.
    pub failed_after: Duration,
    /// Silence that counts as a failure when the member refuses connections.
    pub refused_after: Duration,
    /// A claim that is not finished after this long is taken to be abandoned.
    pub claim_abandoned_after: Duration,
    /// How much longer each further instance in the ranking waits before it claims.
    pub claim_turn_delay: Duration,
    /// How long any single step of a promotion may take.
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
