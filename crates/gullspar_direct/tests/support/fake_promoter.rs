//! A promoter whose promotions take effect after a delay.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_direct::{Claim, FencingToken, PromoteError, Promoter};
use gullspar_model::{GroupName, InstanceId, MemberName};

use super::FakeGroup;

/// An order to promote a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionOrder {
    pub holder: InstanceId,
    pub member: MemberName,
    pub token: FencingToken,
}

/// Carries out promotions on a fake group.
pub struct FakePromoter {
    group: Rc<FakeGroup>,
    /// All orders received, in order of arrival.
    orders: Rc<RefCell<Vec<PromotionOrder>>>,
    /// The highest fencing token received. Orders with a lower one are refused.
    highest_token: Rc<Cell<u64>>,
    /// Time until a promotion takes effect, in milliseconds.
    pub duration_ms: Cell<u64>,
    /// Number of coming orders that get no answer and are not carried out.
    pub orders_to_ignore: Cell<u32>,
}

impl FakePromoter {
    pub fn new(group: Rc<FakeGroup>) -> Rc<FakePromoter> {
        Rc::new(FakePromoter {
            group,
            orders: Rc::default(),
            highest_token: Rc::default(),
            duration_ms: Cell::new(300),
            orders_to_ignore: Cell::new(0),
        })
    }

    pub fn orders(&self) -> Vec<PromotionOrder> {
        self.orders.borrow().clone()
    }
}

impl Promoter for FakePromoter {
    fn promote<'a>(
        &'a self,
        _group: &'a GroupName,
        claim: &'a Claim,
        token: FencingToken,
    ) -> LocalBoxFuture<'a, Result<(), PromoteError>> {
        let order =
            PromotionOrder { holder: claim.holder.clone(), member: claim.member.clone(), token };
        self.orders.borrow_mut().push(order);
        if token.0 < self.highest_token.get() {
            return async { Err(PromoteError::Superseded) }.boxed_local();
        }
        self.highest_token.set(token.0);
        if self.orders_to_ignore.get() > 0 {
            self.orders_to_ignore.set(self.orders_to_ignore.get() - 1);
            return async { Err(PromoteError::NoAnswer("lost".to_owned())) }.boxed_local();
        }
        let (group, member) = (Rc::clone(&self.group), claim.member.clone());
        let (highest_token, duration_ms) = (Rc::clone(&self.highest_token), self.duration_ms.get());
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(duration_ms)).await;
            if highest_token.get() == token.0 {
                group.promote(&member);
            }
        })
        .detach();
        async { Ok(()) }.boxed_local()
    }
}
