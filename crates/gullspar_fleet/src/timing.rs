//! Intervals and timeouts of gossip and of the watches on the platform.

use std::time::Duration;

/// Intervals and timeouts of a fleet.
///
/// With the defaults, another instance takes over the targets of a dead one within 2 s. `docs/CAPACITY.md` describes
/// the cost.
#[derive(Clone, Copy, Debug)]
pub struct FleetTiming {
    /// Time between two gossip exchanges of an instance.
    pub gossip_interval: Duration,
    /// How long an exchange may take before the other instance counts as silent.
    pub answer_timeout: Duration,
    /// How long a suspect can refute the suspicion before it is declared dead.
    pub suspect_timeout: Duration,
    /// How long a dead instance is remembered, in case it is only unreachable.
    pub forget_dead_after: Duration,
    /// How long a watch on the platform waits for a change, if the platform answered the last call. If no answer comes,
    /// the watch is given up 1.5 s later and repeated at once, so that a configuration is in force within 6 s of its
    /// acceptance.
    pub watch_timeout: Duration,
}

impl Default for FleetTiming {
    fn default() -> FleetTiming {
        FleetTiming {
            gossip_interval: Duration::from_millis(200),
            answer_timeout: Duration::from_millis(250),
            suspect_timeout: Duration::from_millis(500),
            forget_dead_after: Duration::from_secs(24 * 60 * 60),
            watch_timeout: Duration::from_secs(4),
        }
    }
}
