//! Claims to promote a member, granted by the platform's store, and the orders that carry them out.

use futures::future::LocalBoxFuture;
use gullspar_model::{GroupName, InstanceId, MemberName, Term, record, value};
use quick_error::quick_error;

value! {
    /// A number from the store that grows with every claim. A promotion has no effect if its token is lower than
    /// the highest one used.
    pub struct FencingToken(pub u64);
}

record! {
    /// An instance's claim to promote a member.
    pub struct Claim {
        pub holder: InstanceId,
        pub member: MemberName,
        /// Unique for each claim, so that a holder that got no answer recognises its own claim in the store.
        pub nonce: String,
        /// The newest term known to the holder, which the promotion supersedes.
        pub over_term: Term,
    }
}

/// The claim that the store holds for a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentClaim {
    pub token: FencingToken,
    /// `None` if the stored object is not a valid claim; it may be replaced.
    pub claim: Option<Claim>,
}

quick_error! {
    /// Why a claim was not obtained.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ClaimError {
        /// The store holds another claim, with this token.
        Taken(token: FencingToken) {
            display("the store holds another claim, with token {}", token.0)
        }
        /// The store refused, and nothing was changed.
        Refused(reason: String) {
            display("the store refused: {reason}")
        }
        /// No answer arrived: the claim may have been stored and must be read back.
        NoAnswer(reason: String) {
            display("no answer from the store: {reason}")
        }
    }
}

/// Access to the claims in the platform's store, one for each group.
pub trait Claims {
    /// The claim that the store holds for `group`; `None` if there is none yet.
    fn current<'a>(
        &'a self,
        group: &'a GroupName,
    ) -> LocalBoxFuture<'a, Result<Option<CurrentClaim>, ClaimError>>;

    /// Replaces the claim with token `over`, or creates the first one, and returns the new token.
    fn claim<'a>(
        &'a self,
        group: &'a GroupName,
        claim: Claim,
        over: Option<FencingToken>,
    ) -> LocalBoxFuture<'a, Result<FencingToken, ClaimError>>;
}

quick_error! {
    /// Why a promotion was not ordered.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PromoteError {
        /// A higher token was used meanwhile, or the member is not running.
        Superseded {
            display("a higher token was used, or the member is not running")
        }
        /// The platform refused, and nothing was changed.
        Refused(reason: String) {
            display("the platform refused: {reason}")
        }
        /// No answer arrived: the order may have been carried out, or may still be carried out within seconds.
        NoAnswer(reason: String) {
            display("no answer from the platform: {reason}")
        }
    }
}

/// Orders promotions from the platform.
pub trait Promoter {
    /// Orders the promotion of the claim's member in `group`.
    fn promote<'a>(
        &'a self,
        group: &'a GroupName,
        claim: &'a Claim,
        token: FencingToken,
    ) -> LocalBoxFuture<'a, Result<(), PromoteError>>;
}
