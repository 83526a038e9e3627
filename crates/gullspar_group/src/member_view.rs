//! What an instance has seen of a member.

use std::time::{Duration, Instant};

use gullspar_model::MemberStatus;

/// The last answer of a member and when it was asked for and heard.
#[derive(Clone, Copy, Debug)]
pub struct MemberView {
    pub status: Option<MemberStatus>,
    /// When the call was sent whose answer `status` is: the status is not older than this.
    pub asked_at: Instant,
    /// When it was last heard of; the start of observation before the first answer.
    pub last_response_at: Instant,
    /// Whether its last sign was an outright refusal of the connection.
    pub refusing: bool,
}

impl MemberView {
    /// Nothing seen since `now`.
    pub fn new(now: Instant) -> MemberView {
        MemberView { status: None, asked_at: now, last_response_at: now, refusing: false }
    }

    /// Whether the member was heard of less than `patience` before `now`.
    pub(crate) fn is_recent(&self, now: Instant, patience: Duration) -> bool {
        self.last_response_at + patience > now
    }
}
