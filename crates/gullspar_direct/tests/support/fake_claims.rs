//! Claims in memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_direct::{Claim, ClaimError, Claims, CurrentClaim, FencingToken};
use gullspar_model::{GroupName, InstanceId};

/// The store's objects for claims, with a counter that only grows.
#[derive(Default)]
pub struct FakeClaims {
    standing: RefCell<Option<CurrentClaim>>,
    counter: Cell<u64>,
    /// Calls fail without effect.
    pub unavailable: Cell<bool>,
    /// Instances by number whose calls alone fail without effect.
    unavailable_to: RefCell<BTreeSet<u16>>,
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
    pub fn put_invalid(&self) -> FencingToken {
        self.replace(None)
    }

    /// The way of instance `number` to the store.
    pub fn channel(self: &Rc<Self>, number: u16) -> Rc<dyn Claims> {
        Rc::new(Channel { claims: Rc::clone(self), number })
    }

    /// Has the store turn instance `number` away.
    pub fn make_unavailable_to(&self, number: u16) {
        self.unavailable_to.borrow_mut().insert(number);
    }

    /// The instance that holds the claim, if anybody does.
    pub fn holder(&self) -> Option<InstanceId> {
        Some(self.standing.borrow().as_ref()?.claim.as_ref()?.holder.clone())
    }

    fn replace(&self, claim: Option<Claim>) -> FencingToken {
        self.counter.set(self.counter.get() + 1);
        let token = FencingToken(self.counter.get());
        *self.standing.borrow_mut() = Some(CurrentClaim { token, claim });
        token
    }
}

/// One instance's way to the claims.
struct Channel {
    claims: Rc<FakeClaims>,
    number: u16,
}

impl Channel {
    fn is_unavailable(&self) -> bool {
        self.claims.unavailable.get() || self.claims.unavailable_to.borrow().contains(&self.number)
    }
}

impl Claims for Channel {
    fn current<'a>(
        &'a self,
        _group: &'a GroupName,
    ) -> LocalBoxFuture<'a, Result<Option<CurrentClaim>, ClaimError>> {
        self.claims.calls.set(self.claims.calls.get() + 1);
        let result = if self.is_unavailable() {
            Err(ClaimError::Refused("away".to_owned()))
        } else {
            Ok(self.claims.standing.borrow().clone())
        };
        async move { result }.boxed_local()
    }

    fn claim<'a>(
        &'a self,
        _group: &'a GroupName,
        claim: Claim,
        over: Option<FencingToken>,
    ) -> LocalBoxFuture<'a, Result<FencingToken, ClaimError>> {
        self.claims.calls.set(self.claims.calls.get() + 1);
        let standing = self.claims.standing.borrow().as_ref().map(|it| it.token);
        let result = if self.is_unavailable() {
            Err(ClaimError::Refused("away".to_owned()))
        } else if standing != over {
            Err(ClaimError::Taken(standing.unwrap_or(FencingToken(0))))
        } else {
            let token = self.claims.put(claim);
            if self.claims.loses_answers.get() {
                Err(ClaimError::NoAnswer("lost".to_owned()))
            } else {
                Ok(token)
            }
        };
        async move { result }.boxed_local()
    }
}
