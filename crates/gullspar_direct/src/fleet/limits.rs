//! Keeping customers to their limits over all instances together.
//!
//! One instance keeps a customer's quota, chosen by rendezvous hashing, and grants tokens to those that serve the
//! customer's sessions. What happens while it is out of reach stands in `docs/design/customers.md`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use gullspar_border::{BootInstant, within};
use gullspar_customer::{
    LeasedTokens, OwnedQuotas, QuotaHandover, Spending, TokenGrant, TokenRequest,
};
use gullspar_model::{CustomerName, NotRun};

use crate::fleet::homes;
use crate::fleet::peer_table::Epoch;
use crate::{PeerMessage, Phase, Proxy};

/// How long the owner of a quota may take to answer before it is asked again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);

/// Questions without an answer after which operations go on without the owner.
const MAX_UNANSWERED: u32 = 2;

/// One customer as this instance serves it.
struct Account {
    leased: RefCell<LeasedTokens>,
    /// Operations that wait for tokens.
    waiting: Cell<u32>,
    requested_at: Cell<Option<BootInstant>>,
    /// Its owner does not answer, or grants nothing yet; operations don't wait for it.
    is_unfunded: Cell<bool>,
    owner: RefCell<Option<(Epoch, SocketAddr)>>,
    answered: Event,
}

/// What decides who keeps which quota.
#[derive(Clone, Copy, PartialEq, Eq)]
struct OwnershipBasis {
    members: Epoch,
    /// This instance takes part no more.
    is_leaving: bool,
}

/// The limits that this instance keeps, and those that it is kept to.
#[derive(Default)]
pub(crate) struct Limits {
    quotas: RefCell<OwnedQuotas>,
    accounts: RefCell<BTreeMap<CustomerName, Rc<Account>>>,
    /// Among whom the quotas are kept, and since when.
    ownership: Cell<Option<(OwnershipBasis, BootInstant)>>,
    /// The part of the fleet that this instance grants for, in percent.
    part_percent: Cell<u32>,
}

impl Proxy {
    /// Spends one token of `customer` for an operation that is about to run.
    ///
    /// # Errors
    ///
    /// Fails where the customer is at its limit; the operation must not run.
    pub(crate) async fn consume_token(
        &self,
        customer: &CustomerName,
        deadline: Instant,
    ) -> Result<(), NotRun> {
        let limit = self.directory.catalogue().and_then(|it| it.limit(customer));
        if limit.is_none() {
            return Ok(());
        }
        let account = self.account(customer);
        let mut unanswered = 0;
        loop {
            let now = self.borders.clock.boot_now();
            let spending = account.leased.borrow_mut().spend(now);
            match spending {
                Spending::Granted => {
                    if account.leased.borrow().runs_low(now) {
                        self.request_tokens(customer, &account, now);
                    }
                    return Ok(());
                }
                Spending::Exhausted { retry_after } => {
                    return Err(self.over_limit(customer, retry_after));
                }
                Spending::Unfunded => {}
            }
            if unanswered == MAX_UNANSWERED {
                account.is_unfunded.set(true);
            }
            if account.is_unfunded.get() {
                self.request_tokens(customer, &account, now);
                return self.run_in_grace_period(customer, &account, now);
            }
            let answered = account.answered.listen();
            account.waiting.set(account.waiting.get() + 1);
            self.request_tokens(customer, &account, now);
            let until = (self.borders.clock.now() + REQUEST_TIMEOUT).min(deadline);
            // Its own quota has answered by now.
            if account.requested_at.get().is_some()
                && within(&*self.borders.clock, until, answered).await.is_err()
            {
                unanswered += 1;
                account.requested_at.set(None);
            }
            account.waiting.set(account.waiting.get() - 1);
        }
    }

    /// A second try of an operation counts as well; it does not wait.
    pub(crate) fn consume_retry_token(&self, customer: Option<&CustomerName>) {
        if let Some(account) =
            customer.and_then(|it| self.limits.accounts.borrow().get(it).cloned())
        {
            account.leased.borrow_mut().spend_unasked();
        }
    }

    fn run_in_grace_period(
        &self,
        customer: &CustomerName,
        account: &Account,
        now: BootInstant,
    ) -> Result<(), NotRun> {
        if account.leased.borrow_mut().spend_in_grace(now) {
            self.borders.stats.ran_in_grace();
            return Ok(());
        }
        Err(self.over_limit(customer, REQUEST_TIMEOUT))
    }

    fn over_limit(&self, customer: &CustomerName, retry_after: Duration) -> NotRun {
        let retry_after_ms = retry_after.as_millis() as u64;
        log::info!(customer = customer.as_str(), retry_after_ms = retry_after_ms; "G0767 an operation is refused: its customer is at its limit");
        self.borders.stats.limited();
        NotRun::OverLimit { retry_after_ms }
    }

    fn account(&self, customer: &CustomerName) -> Rc<Account> {
        let mut accounts = self.limits.accounts.borrow_mut();
        if let Some(account) = accounts.get(customer) {
            return Rc::clone(account);
        }
        let account = Rc::new(Account {
            leased: RefCell::new(LeasedTokens::new(self.borders.clock.boot_now())),
            waiting: Cell::new(0),
            requested_at: Cell::new(None),
            is_unfunded: Cell::new(false),
            owner: RefCell::new(None),
            answered: Event::new(),
        });
        accounts.insert(customer.clone(), Rc::clone(&account));
        account
    }

    /// Asks the owner for tokens unless an answer is on its way.
    fn request_tokens(&self, customer: &CustomerName, account: &Account, now: BootInstant) {
        let requested_at = account.requested_at.get();
        if requested_at.is_some_and(|at| now.since(at) < REQUEST_TIMEOUT) {
            return;
        }
        account.requested_at.set(Some(now));
        let wanted = account.leased.borrow().wanted(account.waiting.get().max(1), now);
        let req = TokenRequest {
            customer: customer.clone(),
            wanted,
            reply_to: self.own.address,
            is_passed_on: false,
        };
        let owner = self.cached_owner(customer, account, now);
        if owner == self.own.address {
            let grant = self.grant(&req, now);
            self.apply_grant(&grant);
        } else {
            self.borders.peers.send(owner, &PeerMessage::TokenRequest(req));
        }
    }

    fn cached_owner(
        &self,
        customer: &CustomerName,
        account: &Account,
        now: BootInstant,
    ) -> SocketAddr {
        let epoch = self.peers.epoch(now);
        let mut cached = account.owner.borrow_mut();
        match *cached {
            Some((at, owner)) if at == epoch => owner,
            _ => {
                let owner = self.quota_owner(customer);
                *cached = Some((epoch, owner));
                owner
            }
        }
    }

    /// The instance that keeps the quota of `customer`, as far as this one knows.
    fn quota_owner(&self, customer: &CustomerName) -> SocketAddr {
        let members = self.members();
        // Others no longer count one that is_leaving.
        let is_leaving = self.is_leaving();
        let nearest = members
            .iter()
            .filter(|it| !is_leaving || it.id != self.own.id)
            .max_by_key(|it| homes::weight(customer.as_str(), &it.id));
        nearest.map_or(self.own.address, |it| it.address)
    }

    fn is_leaving(&self) -> bool {
        self.shutdown.phase() != Phase::Serving
    }

    /// Grants to the instance that asks, or passes the question on to the owner.
    pub(crate) fn answer_token_request(&self, req: &TokenRequest) {
        let owner = self.quota_owner(&req.customer);
        if owner == self.own.address {
            let grant = self.grant(req, self.borders.clock.boot_now());
            self.borders.peers.send(req.reply_to, &PeerMessage::TokenGrant(grant));
        } else if !req.is_passed_on {
            // Instances learn of each other at different moments.
            let forwarded = TokenRequest { is_passed_on: true, ..req.clone() };
            self.borders.peers.send(owner, &PeerMessage::TokenRequest(forwarded));
        }
    }

    /// Goes on with a quota that another instance kept before.
    pub(crate) fn apply_quota_handover(&self, handover: &QuotaHandover) {
        let limit = self.directory.catalogue().and_then(|it| it.limit(&handover.customer));
        if let Some(limit) = limit {
            let now = self.borders.clock.boot_now();
            self.limits.quotas.borrow_mut().take_over(handover, limit, now);
        }
    }

    fn grant(&self, req: &TokenRequest, now: BootInstant) -> TokenGrant {
        let since = self.hand_over_quotas(now);
        let limit = self.directory.catalogue().and_then(|it| it.limit(&req.customer));
        let Some(limit) = limit else {
            // A newer configuration than that of the instance that asks, or an older one.
            let customer = req.customer.clone();
            return TokenGrant { customer, tokens: 0, next_token_ms: 0, is_settling: true };
        };
        let part = f64::from(self.limits.part_percent.get()) / 100.0;
        self.limits.quotas.borrow_mut().grant(req, limit, since, part, now)
    }

    /// Hands over the quotas that other instances keep now; gives since when the members are what they are.
    pub(crate) fn hand_over_quotas(&self, now: BootInstant) -> BootInstant {
        let basis =
            OwnershipBasis { members: self.peers.epoch(now), is_leaving: self.is_leaving() };
        match self.limits.ownership.get() {
            Some((cached, since)) if cached == basis => since,
            _ => {
                self.limits.ownership.set(Some((basis, now)));
                self.limits.part_percent.set(self.peers.reachable_percent(now));
                let mut quotas = self.limits.quotas.borrow_mut();
                let closed = quotas.close(|it| self.quota_owner(it) == self.own.address);
                for handover in closed {
                    let owner = self.quota_owner(&handover.customer);
                    self.borders.peers.send(owner, &PeerMessage::QuotaHandover(handover));
                }
                now
            }
        }
    }

    /// Takes what a owner granted.
    pub(crate) fn apply_grant(&self, grant: &TokenGrant) {
        let account = self.limits.accounts.borrow().get(&grant.customer).cloned();
        let Some(account) = account else { return };
        let now = self.borders.clock.boot_now();
        account.leased.borrow_mut().take(grant, now);
        account.is_unfunded.set(grant.is_settling);
        account.requested_at.set(None);
        account.answered.notify(usize::MAX);
    }

    /// Notices changes of the members, and forgets customers that nobody hears of any more.
    pub(crate) fn maintain_limits(&self) {
        let now = self.borders.clock.boot_now();
        self.hand_over_quotas(now);
        self.limits.part_percent.set(self.peers.reachable_percent(now));
        let mut accounts = self.limits.accounts.borrow_mut();
        accounts.retain(|_, it| it.waiting.get() > 0 || !it.leased.borrow().is_idle(now));
    }
}
