//! What a member decides when it is asked to refuse lower terms.

use crate::Term;

crate::value! {
    /// The answer of a member to a fence.
    pub enum FenceDecision {
        /// The member refuses every lower term from now on.
        Fenced,
        /// A higher fence was there already.
        Refused { fence: Term },
    }
}

impl FenceDecision {
    /// Decides on a fence at `asked` for a member already fenced at `current`.
    ///
    /// An equal term is accepted again: only one claimant holds a term, so it is that claimant
    /// repeating a fence whose answer was lost.
    pub fn decide(current: Term, asked: Term) -> FenceDecision {
        if asked >= current {
            FenceDecision::Fenced
        } else {
            FenceDecision::Refused { fence: current }
        }
    }
}
