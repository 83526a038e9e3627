//! The last known state of a member.

use std::time::{Duration, Instant};

use gullspar_model::MemberStatus;

/// The last answer of a member, with the times of its request and its arrival.
#[derive(Clone, Copy, Debug)]
pub struct MemberView {
    pub status: Option<MemberStatus>,
    /// When the request for `status` was sent: the status is not older than this.
    pub asked_at: Instant,
    /// When the last answer arrived; before the first answer, when observation began.
    pub last_response_at: Instant,
    /// Whether the member has refused a connection since its last answer.
    pub is_refusing: bool,
}

impl MemberView {
    /// Creates the view of a member whose observation begins at `now`.
    pub fn new(now: Instant) -> MemberView {
        MemberView { status: None, asked_at: now, last_response_at: now, is_refusing: false }
    }

    /// Whether the member answered less than `timeout` before `now`.
    pub(crate) fn is_recent(&self, now: Instant, timeout: Duration) -> bool {
        self.last_response_at + timeout > now
    }
}
