//! The full name of a target.

use crate::{GroupName, MemberName};

/// A member of a group, unique in the whole system.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey {
    pub group: GroupName,
    pub member: MemberName,
}

impl TargetKey {
    /// Creates the key of `member` of `group`.
    pub fn new(group: &GroupName, member: &MemberName) -> TargetKey {
        TargetKey { group: group.clone(), member: member.clone() }
    }
}

impl std::fmt::Display for TargetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.group, self.member)
    }
}
