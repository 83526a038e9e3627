//! Claims in memory.

use std::cell::{Cell, RefCell};

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_direct::{Claim, ClaimError, Claims, FencingToken, StandingClaim};
use gullspar_model::GroupName;

/// The store's objects for claims, with a counter that only grows.
#[derive(Default)]
pub struct FakeClaims {
    standing: RefCell<Option<StandingClaim>>,
    counter: Cell<u64>,
    /// Calls fail without effect.
    pub away: Cell<bool>,
    /// Claims take effect and their answers are lost.
    pub loses_answers: Cell<bool>,
    pub calls: Cell<u64>,
}

impl FakeClaims {
    /// Puts a claim there as another instance would.
    pub fn put(&self, claim: Claim) -> FencingToken {
        self.replace(Some(claim))
    }

    /// Puts something there that is no claim, as another writer might.
    pub fn put_garbage(&self) -> FencingToken {
        self.replace(None)
    }

    fn replace(&self, claim: Option<Claim>) -> FencingToken {
        self.counter.set(self.counter.get() + 1);
        let token = FencingToken(self.counter.get());
        *self.standing.borrow_mut() = Some(StandingClaim { token, claim });
        token
    }
}

impl Claims for FakeClaims {
    fn standing<'a>(
        &'a self,
        _group: &'a GroupName,
    ) -> LocalBoxFuture<'a, Result<Option<StandingClaim>, ClaimError>> {
        self.calls.set(self.calls.get() + 1);
        let result = if self.away.get() {
            Err(ClaimError::Refused("away".to_owned()))
        } else {
            Ok(self.standing.borrow().clone())
        };
        async move { result }.boxed_local()
    }

    fn claim<'a>(
        &'a self,
        _group: &'a GroupName,
        claim: Claim,
        over: Option<FencingToken>,
    ) -> LocalBoxFuture<'a, Result<FencingToken, ClaimError>> {
        self.calls.set(self.calls.get() + 1);
        let standing = self.standing.borrow().as_ref().map(|it| it.token);
        let result = if self.away.get() {
            Err(ClaimError::Refused("away".to_owned()))
        } else if standing != over {
            Err(ClaimError::Taken(standing.unwrap_or(FencingToken(0))))
        } else {
            let token = self.put(claim);
            if self.loses_answers.get() {
                Err(ClaimError::NoAnswer("lost".to_owned()))
            } else {
                Ok(token)
            }
        };
        async move { result }.boxed_local()
    }
}
