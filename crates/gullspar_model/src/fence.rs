//! A member's decision on a request to refuse lower terms.

use crate::Term;

crate::value! {
    /// A member's answer to a fence request.
    pub enum FenceDecision {
        /// The member now refuses all lower terms.
        Fenced,
        /// The member was already fenced at the higher term `fence`.
        Refused { fence: Term },
    }
}

impl FenceDecision {
    /// Decides on a fence at `requested` for a member that is fenced at `current`.
    ///
    /// An equal term is accepted: only one claimant holds a term, so that claimant is repeating a request whose
    /// answer was lost.
    pub fn decide(current: Term, requested: Term) -> FenceDecision {
        if requested >= current {
            FenceDecision::Fenced
        } else {
            FenceDecision::Refused { fence: current }
        }
    }
}
