//! How often instances talk to each other.

use std::time::Duration;

/// The pace of membership; tests and benches set their own.
///
/// The defaults let a dead instance's targets be taken over within 2 s; what they cost is
/// measured in `docs/CAPACITY.md`.
#[derive(Clone, Copy, Debug)]
pub struct FleetTiming {
    /// Between two gossip exchanges of an instance.
    pub gossip_interval: Duration,
    /// How long an exchange may take before the other one counts as silent.
    pub answer_timeout: Duration,
    /// How long a suspect may object before it is declared dead.
    pub suspect_timeout: Duration,
    /// How long a dead instance is remembered, in case it is only out of reach.
    pub forget_dead_after: Duration,
    /// How long a platform watch waits while the platform answers. One that silence overtakes is given up 1.5 s later
    /// and the platform is asked again at once, so that a configuration is in force within 6 s of its acceptance.
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
