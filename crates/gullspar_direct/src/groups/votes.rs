//! Whether enough instances see that a group needs another leader.

/// What the instances say of one group's leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteTally {
    /// Instances that count, this one included.
    pub counted: usize,
    /// Those of them that see no working leader, this one included.
    pub against: usize,
}

/// What follows from a ballot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Most instances can't be served by this leader.
    Replace,
    /// The trouble is on our side, or not agreed on yet.
    Wait,
}

impl VoteTally {
    /// Replaces a leader that at least half of the instances can't use.
    ///
    /// One instance's view is not enough: an instance that is cut off or slow would move a healthy
    /// leader away from everybody else, seen as a second without writes for each such move.
    pub fn verdict(self) -> Verdict {
        if 2 * self.against >= self.counted { Verdict::Replace } else { Verdict::Wait }
    }
}
