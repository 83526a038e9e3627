//! A member that could lead.

use gullspar_model::{LogPoint, MemberName};

/// A member that could lead, and how far its log reaches.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) member: MemberName,
    pub(crate) point: Option<LogPoint>,
}
