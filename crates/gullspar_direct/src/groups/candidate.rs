//! A member that can be promoted.

use gullspar_model::{LogPoint, MemberName};

/// A member that can be promoted, and where its log ends.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) member: MemberName,
    pub(crate) point: Option<LogPoint>,
}
