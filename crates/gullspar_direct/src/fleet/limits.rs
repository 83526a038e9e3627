//! Enforces customers' limits across all instances.
//!
//! One instance, chosen by rendezvous hashing, owns a customer's quota and grants tokens to the
//! instances that serve the customer's sessions. See `docs/design/customers.md` for what happens
//! while the owner is unreachable.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use gullspar_border::{BootInstant, within};
use gullspar_customer::{
    ConsumeOutcome, LeasedTokens, OwnedQuotas, QuotaHandover, TokenGrant, TokenRequest,
};
use gullspar_membership::Reach;
use gullspar_model::{CustomerName, NotRun};

use crate::fleet::homes;
use crate::fleet::peer_table::Epoch;
use crate::{PeerMessage, Phase, Proxy};

/// How long a quota's owner may take to answer before it is asked again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);

/// Number of unanswered requests after which operations run in the grace period.
const MAX_UNANSWERED: u32 = 2;

/// A customer's tokens at this instance.
struct Account {
    leased: RefCell<LeasedTokens>,
    /// Number of operations that wait for tokens.
    waiting: Cell<u32>,
    requested_at: Cell<Option<BootInstant>>,
    /// The owner does not answer or does not grant tokens yet; operations don't wait for it.
    is_unfunded: Cell<bool>,
    owner: RefCell<Option<(Epoch, SocketAddr)>>,
    answered: Event,
}

/// Counts an operation as waiting until it is dropped, also when its caller leaves meanwhile.
struct WaitingOperation(Rc<Account>);

impl WaitingOperation {
    fn of(account: &Rc<Account>) -> WaitingOperation {
        account.waiting.set(account.waiting.get() + 1);
        WaitingOperation(Rc::clone(account))
    }
}

impl Drop for WaitingOperation {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

/// The inputs that determine which instance owns which quota.
#[derive(Clone, Copy, PartialEq, Eq)]
struct OwnershipBasis {
    members: Epoch,
    /// This instance is shutting down and owns no quotas any more.
    is_leaving: bool,
}

/// The quotas that this instance owns, and the accounts of the customers that it serves.
#[derive(Default)]
pub(crate) struct Limits {
    quotas: RefCell<OwnedQuotas>,
    accounts: RefCell<BTreeMap<CustomerName, Rc<Account>>>,
    /// The inputs of the current ownership, and since when it applies.
    ownership: Cell<Option<(OwnershipBasis, BootInstant)>>,
    /// How much of the fleet this instance grants tokens for.
    reach: Cell<Option<Reach>>,
}

impl Proxy {
    /// Consumes one token of `customer` for an operation that is about to run.
    ///
    /// # Errors
    ///
    /// Returns [`NotRun::OverLimit`] if the customer is at its limit; the operation must not run
    /// then.
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
            let outcome = account.leased.borrow_mut().consume(now);
            match outcome {
                ConsumeOutcome::Granted => {
                    if account.leased.borrow().is_running_low(now) {
                        self.request_tokens(customer, &account, now);
                    }
                    return Ok(());
                }
                ConsumeOutcome::Exhausted { retry_after } => {
                    return Err(self.over_limit(customer, retry_after));
                }
                ConsumeOutcome::NeedsGrant => {}
            }
            if unanswered == MAX_UNANSWERED {
                account.is_unfunded.set(true);
            }
            if account.is_unfunded.get() {
                self.request_tokens(customer, &account, now);
                return self.run_in_grace_period(customer, &account, now);
            }
            let answered = account.answered.listen();
            let _waiting = WaitingOperation::of(&account);
            self.request_tokens(customer, &account, now);
            let until = (self.borders.clock.now() + REQUEST_TIMEOUT).min(deadline);
            // If this instance is the owner, its grant has been applied already.
            if account.requested_at.get().is_some()
                && within(&*self.borders.clock, until, answered).await.is_err()
            {
                unanswered += 1;
                account.requested_at.set(None);
            }
        }
    }

    /// Consumes a token for a retry of an operation, without waiting for one.
    pub(crate) fn consume_retry_token(&self, customer: Option<&CustomerName>) {
        if let Some(account) =
            customer.and_then(|it| self.limits.accounts.borrow().get(it).cloned())
        {
            account.leased.borrow_mut().consume_if_available();
        }
    }

    fn run_in_grace_period(
        &self,
        customer: &CustomerName,
        account: &Account,
        now: BootInstant,
    ) -> Result<(), NotRun> {
        if account.leased.borrow_mut().consume_in_grace_period(now) {
            self.borders.stats.ran_in_grace_period();
            return Ok(());
        }
        Err(self.over_limit(customer, REQUEST_TIMEOUT))
    }

    fn over_limit(&self, customer: &CustomerName, retry_after: Duration) -> NotRun {
        let retry_after_ms = retry_after.as_millis() as u64;
        log::info!(customer = customer.as_str(), retry_after_ms = retry_after_ms; "G0767 operation refused: the customer is at its limit");
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

    /// Requests tokens from the owner unless a request is pending.
    fn request_tokens(&self, customer: &CustomerName, account: &Account, now: BootInstant) {
        let requested_at = account.requested_at.get();
        if requested_at.is_some_and(|at| now.since(at) < REQUEST_TIMEOUT) {
            return;
        }
        account.requested_at.set(Some(now));
        let wanted = account.leased.borrow().tokens_to_request(account.waiting.get().max(1), now);
        let req = TokenRequest {
            customer: customer.clone(),
            wanted,
            reply_to: self.own.address,
            is_forwarded: false,
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

    /// The owner of the quota of `customer`, by this instance's list of members.
    fn quota_owner(&self, customer: &CustomerName) -> SocketAddr {
        let members = self.members();
        // Other instances no longer count an instance that is leaving.
        let is_leaving = self.is_leaving();
        let nearest = members
            .iter()
            .filter(|it| !is_leaving || it.id != self.own.id)
            .max_by_key(|it| homes::weight(customer.as_str(), it.id.as_str()));
        nearest.map_or(self.own.address, |it| it.address)
    }

    fn is_leaving(&self) -> bool {
        self.shutdown.phase() != Phase::Serving
    }

    /// Grants tokens to the requesting instance, or forwards the request to the quota's owner.
    pub(crate) fn answer_token_request(&self, req: &TokenRequest) {
        let owner = self.quota_owner(&req.customer);
        if owner == self.own.address {
            let grant = self.grant(req, self.borders.clock.boot_now());
            self.borders.peers.send(req.reply_to, &PeerMessage::TokenGrant(grant));
        } else if !req.is_forwarded {
            // Instances learn of membership changes at different times; a request is forwarded only
            // once.
            let forwarded = TokenRequest { is_forwarded: true, ..req.clone() };
            self.borders.peers.send(owner, &PeerMessage::TokenRequest(forwarded));
        }
    }

    /// Takes over a quota from its previous owner.
    pub(crate) fn apply_quota_handover(&self, handover: &QuotaHandover) {
        let limit = self.directory.catalogue().and_then(|it| it.limit(&handover.customer));
        if let Some(limit) = limit {
            let now = self.borders.clock.boot_now();
            self.limits.quotas.borrow_mut().apply_handover(handover, limit, now);
        }
    }

    fn grant(&self, req: &TokenRequest, now: BootInstant) -> TokenGrant {
        let since = self.hand_over_quotas(now);
        let limit = self.directory.catalogue().and_then(|it| it.limit(&req.customer));
        let Some(limit) = limit else {
            // The requesting instance uses another version of the configuration.
            let customer = req.customer.clone();
            return TokenGrant { customer, tokens: 0, next_token_ms: 0, is_settling: true };
        };
        let reach = self.limits.reach.get().unwrap_or_else(|| self.peers.reach());
        self.limits.quotas.borrow_mut().grant(req, limit, since, reach, now)
    }

    /// Hands over the quotas that other instances own now; returns since when the current ownership
    /// applies.
    pub(crate) fn hand_over_quotas(&self, now: BootInstant) -> BootInstant {
        let basis =
            OwnershipBasis { members: self.peers.epoch(now), is_leaving: self.is_leaving() };
        match self.limits.ownership.get() {
            Some((cached, since)) if cached == basis => since,
            _ => {
                self.limits.ownership.set(Some((basis, now)));
                self.limits.reach.set(Some(self.peers.reach()));
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

    /// Adds the tokens that an owner granted.
    pub(crate) fn apply_grant(&self, grant: &TokenGrant) {
        let account = self.limits.accounts.borrow().get(&grant.customer).cloned();
        let Some(account) = account else { return };
        let now = self.borders.clock.boot_now();
        account.leased.borrow_mut().apply_grant(grant, now);
        account.is_unfunded.set(grant.is_settling);
        account.requested_at.set(None);
        account.answered.notify(usize::MAX);
    }

    /// Updates quota ownership and removes the accounts of idle customers.
    pub(crate) fn maintain_limits(&self) {
        let now = self.borders.clock.boot_now();
        self.hand_over_quotas(now);
        self.limits.reach.set(Some(self.peers.reach()));
        let mut accounts = self.limits.accounts.borrow_mut();
        accounts.retain(|_, it| it.waiting.get() > 0 || !it.leased.borrow().is_idle(now));
    }
}
