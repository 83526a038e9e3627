//! A claim store in memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_direct::{Claim, ClaimError, Claims, CurrentClaim, FencingToken};
use gullspar_model::{GroupName, InstanceId};

/// Holds the claim of one group and issues increasing fencing tokens.
#[derive(Default)]
pub struct FakeClaims {
    stored: RefCell<Option<CurrentClaim>>,
    /// The last token issued.
    counter: Cell<u64>,
    /// Calls from all instances fail without effect.
    pub unavailable: Cell<bool>,
    /// Numbers of the instances whose calls fail without effect.
    unavailable_to: RefCell<BTreeSet<u16>>,
    /// Claims take effect, but their answers are lost.
    pub loses_answers: Cell<bool>,
    /// Time until an answer arrives, in milliseconds; calls take effect at once.
    pub answer_delay_ms: Cell<u64>,
    pub calls: Cell<u64>,
}

impl FakeClaims {
    /// Stores a claim as another instance would.
    pub fn put(&self, claim: Claim) -> FencingToken {
        self.replace(Some(claim))
    }

    /// Stores a value that is not a valid claim.
    pub fn put_invalid(&self) -> FencingToken {
        self.replace(None)
    }

    /// The store as instance `number` accesses it.
    pub fn for_instance(self: &Rc<Self>, number: u16) -> Rc<dyn Claims> {
        Rc::new(InstanceClaims { claims: Rc::clone(self), number })
    }

    /// Makes all calls of instance `number` fail.
    pub fn make_unavailable_to(&self, number: u16) {
        self.unavailable_to.borrow_mut().insert(number);
    }

    /// The instance that holds the claim, if there is a valid one.
    pub fn holder(&self) -> Option<InstanceId> {
        Some(self.stored.borrow().as_ref()?.claim.as_ref()?.holder.clone())
    }

    fn replace(&self, claim: Option<Claim>) -> FencingToken {
        self.counter.set(self.counter.get() + 1);
        let token = FencingToken(self.counter.get());
        *self.stored.borrow_mut() = Some(CurrentClaim { token, claim });
        token
    }
}

/// The claim store as one instance accesses it.
struct InstanceClaims {
    claims: Rc<FakeClaims>,
    number: u16,
}

impl InstanceClaims {
    fn is_unavailable(&self) -> bool {
        self.claims.unavailable.get() || self.claims.unavailable_to.borrow().contains(&self.number)
    }
}

impl InstanceClaims {
    fn answer_later<T: 'static>(&self, result: T) -> LocalBoxFuture<'static, T> {
        let delay = Duration::from_millis(self.claims.answer_delay_ms.get());
        async move {
            if !delay.is_zero() {
                compio::time::sleep(delay).await;
            }
            result
        }
        .boxed_local()
    }
}

impl Claims for InstanceClaims {
    fn current<'a>(
        &'a self,
        _group: &'a GroupName,
    ) -> LocalBoxFuture<'a, Result<Option<CurrentClaim>, ClaimError>> {
        self.claims.calls.set(self.claims.calls.get() + 1);
        let result = if self.is_unavailable() {
            Err(ClaimError::Refused("unavailable".to_owned()))
        } else {
            Ok(self.claims.stored.borrow().clone())
        };
        self.answer_later(result)
    }

    fn claim<'a>(
        &'a self,
        _group: &'a GroupName,
        claim: Claim,
        over: Option<FencingToken>,
    ) -> LocalBoxFuture<'a, Result<FencingToken, ClaimError>> {
        self.claims.calls.set(self.claims.calls.get() + 1);
        let current_token = self.claims.stored.borrow().as_ref().map(|it| it.token);
        let result = if self.is_unavailable() {
            Err(ClaimError::Refused("unavailable".to_owned()))
        } else if current_token != over {
            Err(ClaimError::Taken(current_token.unwrap_or(FencingToken(0))))
        } else {
            let token = self.claims.put(claim);
            if self.claims.loses_answers.get() {
                Err(ClaimError::NoAnswer("lost".to_owned()))
            } else {
                Ok(token)
            }
        };
        self.answer_later(result)
    }
}
