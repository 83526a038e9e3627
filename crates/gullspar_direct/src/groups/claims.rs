//! The right to promote, which the platform's store hands out.

use futures::future::LocalBoxFuture;
use gullspar_model::{GroupName, InstanceId, MemberName, Term, record, value};
use quick_error::quick_error;

value! {
    /// A number of the store that grows with every claim; a promotion with a lower one is void.
    pub struct FencingToken(pub u64);
}

record! {
    /// Who promotes whom.
    pub struct Claim {
        pub holder: InstanceId,
        pub member: MemberName,
        /// Unique for each claim, so that a holder whose answer was lost knows its own.
        pub nonce: String,
        /// The newest term that the holder knew, which its promotion is to supersede.
        pub over_term: Term,
    }
}

/// The claim that stands for a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentClaim {
    pub token: FencingToken,
    /// `None` if another writer has put something there that is no claim; it can be claimed over.
    pub claim: Option<Claim>,
}

quick_error! {
    /// Why a claim was not obtained.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ClaimError {
        /// Another claim stands; the token is its.
        Taken(token: FencingToken) {
            display("another claim stands with token {}", token.0)
        }
        /// The store refused; nothing happened.
        Refused(reason: String) {
            display("the store refused: {reason}")
        }
        /// No answer came: the claim may stand, and must be read back.
        NoAnswer(reason: String) {
            display("no answer from the store: {reason}")
        }
    }
}

/// Claims in the platform's store, one for each group.
pub trait Claims {
    /// The claim that stands for `group`.
    fn current<'a>(
        &'a self,
        group: &'a GroupName,
    ) -> LocalBoxFuture<'a, Result<Option<CurrentClaim>, ClaimError>>;

    /// Replaces the claim with token `over`, or makes the first one; gives the new token.
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
        /// A higher token was used since, or the member does not run.
        Superseded {
            display("a higher token was used, or the member does not run")
        }
        /// The platform refused; nothing happened.
        Refused(reason: String) {
            display("the platform refused: {reason}")
        }
        /// No answer came: the order may be carried out now or seconds later.
        NoAnswer(reason: String) {
            display("no answer from the platform: {reason}")
        }
    }
}

/// Orders promotions.
pub trait Promoter {
    /// Orders that `member` leads `group` from now on.
    fn promote<'a>(
        &'a self,
        group: &'a GroupName,
        claim: &'a Claim,
        token: FencingToken,
    ) -> LocalBoxFuture<'a, Result<(), PromoteError>>;
}
