//! A database group as configured by operators.

use crate::{GroupName, MemberName, MemberSpec};

crate::record! {
    /// The members of a group; all of them vote.
    #[serde(deny_unknown_fields)]
    pub struct GroupSpec {
        pub name: GroupName,
        pub members: Vec<MemberSpec>,
    }
}

impl GroupSpec {
    /// Number of members that make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the member with this name.
    pub fn member(&self, name: &MemberName) -> Option<&MemberSpec> {
        self.members.iter().find(|it| &it.name == name)
    }
}
