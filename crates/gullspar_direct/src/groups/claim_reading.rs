//! Reads the claim of a synchronous group when this instance begins to serve the group.

use std::time::Instant;

use crate::groups::failover::FailoverCoordinator;
use crate::groups::failover_timing::CLAIM_READ_RETRY_DELAY;

/// Whether the claim has been read. An instance that has just started knows of no order that may still be carried out.
#[derive(Debug, Default)]
pub(crate) struct ClaimReading {
    is_done: bool,
    next_attempt: Option<Instant>,
}

impl ClaimReading {
    /// Reads the claim unless that was done, the group needs no claim, or the last attempt failed a moment ago.
    pub(crate) async fn run_if_due(&mut self, coordinator: &FailoverCoordinator) {
        let now = coordinator.borders.clock.now();
        let is_due = self.next_attempt.is_none_or(|it| now >= it);
        if self.is_done || !is_due || !coordinator.group.is_synchronous() {
            return;
        }
        match coordinator.borders.claims.current(&coordinator.group.name).await {
            Ok(current) => {
                coordinator.record_current_claim(current.as_ref());
                self.is_done = true;
            }
            Err(err) => {
                log::warn!(group = coordinator.group.name.as_str(), reason = err.to_string().as_str(); "G0797 the claim of a group can't be read; its commits must be received by all members");
                self.next_attempt = Some(now + CLAIM_READ_RETRY_DELAY);
            }
        }
    }
}
