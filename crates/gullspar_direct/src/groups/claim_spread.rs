//! How many instances know of a claim.

/// Which of the other instances that monitor a group have reported a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClaimSpread {
    /// Instances that count in majorities about the group.
    pub(crate) counted: usize,
    /// Those of them that know the claim.
    pub(crate) informed: usize,
    /// Instances that answer and don't know it, including those that are leaving.
    pub(crate) running_uninformed: usize,
}

impl ClaimSpread {
    /// Whether all instances know the claim.
    pub(crate) fn is_complete(self) -> bool {
        self.running_uninformed == 0 && self.informed == self.counted
    }

    /// Whether all instances that answer know the claim, and they and this instance are at least half of the counted.
    ///
    /// The others can then confirm a commit that only the leader has only with earlier views of those that know it.
    pub(crate) fn is_sufficient(self) -> bool {
        self.running_uninformed == 0 && 2 * (self.informed + 1) > self.counted
    }
}
