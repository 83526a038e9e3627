//! Decides whether enough instances agree that a group needs another leader.

/// How many instances report that a group's leader does not work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteTally {
    /// Instances whose report counts, including this one.
    pub counted: usize,
    /// Those of them that see no working leader, including this one.
    pub against: usize,
}

/// The decision that follows from a tally.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// At least half of the instances can't use the leader.
    Replace,
    /// The failure may be on this instance's side, or too few instances have reported it yet.
    Wait,
}

impl VoteTally {
    /// Decides to replace a leader that at least half of the instances can't use.
    ///
    /// One instance's view is not enough: an instance that is partitioned or slow would replace a healthy leader
    /// and interrupt writes for all others.
    pub fn verdict(self) -> Verdict {
        if 2 * self.against >= self.counted { Verdict::Replace } else { Verdict::Wait }
    }
}
