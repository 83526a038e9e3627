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
    /// Number of coming orders that get no answer and are carried out late. Their tokens are checked at that time.
    orders_to_delay: Cell<u32>,
    /// Whether orders that name the present leader are delayed, too.
    delays_present_leader: Cell<bool>,
    /// How late they are carried out, in milliseconds.
    pub order_delay_ms: Cell<u64>,
    /// The orders that were carried out late.
    late_orders: Rc<RefCell<Vec<PromotionOrder>>>,
}

impl FakePromoter {
    pub fn new(group: Rc<FakeGroup>) -> Rc<FakePromoter> {
        Rc::new(FakePromoter {
            group,
            orders: Rc::default(),
            highest_token: Rc::default(),
            duration_ms: Cell::new(300),
            orders_to_ignore: Cell::new(0),
            orders_to_delay: Cell::new(0),
            delays_present_leader: Cell::new(false),
            order_delay_ms: Cell::new(0),
            late_orders: Rc::default(),
        })
    }

    pub fn orders(&self) -> Vec<PromotionOrder> {
        self.orders.borrow().clone()
    }

    /// The orders that were carried out late. An order that had been made void by then is not among them.
    pub fn late_orders(&self) -> Vec<PromotionOrder> {
        self.late_orders.borrow().clone()
    }

    /// Leaves the next `count` orders that name another member than the leader unanswered, and carries them out after
    /// `delay_ms` milliseconds.
    pub fn delay_orders(&self, count: u32, delay_ms: u64) {
        self.orders_to_delay.set(count);
        self.order_delay_ms.set(delay_ms);
    }

    /// Leaves all orders unanswered, and carries them out after `delay_ms` milliseconds.
    pub fn delay_all_orders(&self, delay_ms: u64) {
        self.delay_orders(u32::MAX, delay_ms);
        self.delays_present_leader.set(true);
    }

    fn delay(&self, order: PromotionOrder) {
        let (group, highest_token) = (Rc::clone(&self.group), Rc::clone(&self.highest_token));
        let (late_orders, delay_ms) = (Rc::clone(&self.late_orders), self.order_delay_ms.get());
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(delay_ms)).await;
            if order.token.0 >= highest_token.get() {
                highest_token.set(order.token.0);
                group.promote(&order.member);
                late_orders.borrow_mut().push(order);
            }
        })
        .detach();
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
        self.orders.borrow_mut().push(order.clone());
        let is_present = self.group.leader().as_ref() == Some(&claim.member);
        if self.orders_to_delay.get() > 0 && (!is_present || self.delays_present_leader.get()) {
            self.orders_to_delay.set(self.orders_to_delay.get() - 1);
            self.delay(order);
            return async { Err(PromoteError::NoAnswer("lost".to_owned())) }.boxed_local();
        }
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
