//! Replaces the leader of a group: selects a member, obtains the claim, and orders its promotion.
//!
//! The order of steps and the reasons are in `docs/design/promotion.md`.

use std::time::Instant;

use gullspar_model::{MemberName, Term};

use crate::groups::candidate::Candidate;
use crate::groups::failover::{FailoverCause, FailoverCoordinator};
use crate::groups::failover_timing::{
    CHECK_INTERVAL, MAX_ORDER_ATTEMPTS, PROMOTION_TIMEOUT, RETRY_DELAY, SERVED_RETRY_DELAY,
    TRANSFER_RETRY_DELAY,
};
use crate::groups::settlement::Preparation;
use crate::{Claim, ClaimError, CurrentClaim, FencingToken, PromoteError, Settlement};

/// The member to order, and what the store held when it was selected.
struct Selection {
    cause: FailoverCause,
    candidate: Candidate,
    current: Option<CurrentClaim>,
}

impl FailoverCoordinator {
    /// Selects a candidate, obtains the claim and orders the promotion.
    pub(crate) async fn replace_leader(&self, cause: FailoverCause, began: Instant) {
        let Some(selection) = self.select_member(cause, began).await else { return };
        self.record_current_claim(selection.current.as_ref());
        if self.is_superfluous(&selection) {
            return;
        }
        let Some((claim, token)) = self.claim_and_prepare(&selection).await else { return };
        let ordered = self.order_promotion(selection.cause, &claim, token).await;
        self.complete_order(&selection, &claim, token, ordered).await;
    }

    /// Reads the claim and selects the member to order: a candidate, or the present leader if only its earlier orders have to be
    /// made void.
    async fn select_member(&self, cause: FailoverCause, began: Instant) -> Option<Selection> {
        let clock = &self.borders.clock;
        // Replicas that have not received everything may not for seconds. Until then the store is not asked.
        let successor = if cause.is_transfer() { self.select_successor().await } else { None };
        if cause.is_transfer() && successor.is_none() {
            clock.sleep_until(clock.now() + TRANSFER_RETRY_DELAY).await;
            return None;
        }
        let current = match self.borders.claims.current(&self.group.name).await {
            Ok(current) => current,
            Err(err) => {
                self.back_off(cause, "reading the claim", &err.to_string()).await;
                return None;
            }
        };
        let previous = current.as_ref().and_then(|it| it.claim.as_ref());
        let candidate = match (successor, cause) {
            (Some(successor), _) => Some(successor),
            (None, FailoverCause::Unsettled) => None,
            (None, _) => self.select_candidate(cause, began, previous).await,
        };
        match (candidate, self.present_leader()) {
            (Some(candidate), _) => Some(Selection { cause, candidate, current }),
            (None, Some(candidate)) if self.needs_settlement() => {
                Some(Selection { cause: FailoverCause::Unsettled, candidate, current })
            }
            (None, _) => {
                clock.sleep_until(clock.now() + CHECK_INTERVAL).await;
                None
            }
        }
    }

    /// Whether another instance must act, or nothing is open any more.
    fn is_superfluous(&self, selection: &Selection) -> bool {
        if let Some(CurrentClaim { token, claim: Some(claim) }) = &selection.current
            && !self.can_act()
        {
            log::info!(group = self.group.name.as_str(), holder = claim.holder.as_str(), token = token.0; "G0761 a running instance holds the claim; waiting for it to act");
            return true;
        }
        selection.cause == FailoverCause::Unsettled && self.group.is_settled()
    }

    /// Obtains the claim for the selected member, or for the one that has to be promoted instead once the other homes know of
    /// the claim. Returns the claim under which the order may be sent.
    async fn claim_and_prepare(&self, selection: &Selection) -> Option<(Claim, FencingToken)> {
        let Selection { cause, candidate, current } = selection;
        let previous = current.as_ref().and_then(|it| it.claim.as_ref());
        let had_open_claim = self.group.claims().has_open_claim();
        self.log_selection(*cause, candidate);
        let mut over = current.as_ref().map(|it| it.token);
        let mut candidate = candidate.clone();
        loop {
            let claim = self.new_claim(*cause, &candidate);
            let token = self.obtain_claim(*cause, &claim, over).await?;
            match self.prepare_order(*cause, &candidate, previous, token).await {
                Preparation::Ready => return Some((claim, token)),
                Preparation::Claim(chosen) => (candidate, over) = (chosen, Some(token)),
                Preparation::GivenUp => {
                    if !had_open_claim {
                        self.group.update_settlement(|it| it.record_unused(token));
                    }
                    return None;
                }
            }
        }
    }

    fn log_selection(&self, cause: FailoverCause, candidate: &Candidate) {
        let (group, member) = (self.group.name.as_str(), candidate.member.as_str());
        if cause == FailoverCause::Unsettled {
            log::info!(group = group, member = member; "G0796 an order may still promote another member; the present leader is ordered, so that it can't");
        } else {
            log::info!(group = group, member = member, cause:? = cause, point:? = candidate.point, leader:? = self.group.newest_position_sample().map(|it| it.point); "G0715 a group needs another leader");
        }
    }

    /// Orders the promotion, and repeats the order with the same token while no answer arrives.
    ///
    /// Repeating is safe: a second execution changes nothing, and a late one has no effect once a higher token was
    /// used. Without the repetition, a lost order would leave the group without a leader until the next claim.
    async fn order_promotion(
        &self,
        cause: FailoverCause,
        claim: &Claim,
        token: FencingToken,
    ) -> Result<(), PromoteError> {
        let mut attempts = 1;
        loop {
            self.record_act(token);
            let ordered = self.borders.promoter.promote(&self.group.name, claim, token).await;
            let Err(PromoteError::NoAnswer(reason)) = &ordered else { return ordered };
            // Meanwhile a leader may have answered, or another instance may have acted.
            if attempts == MAX_ORDER_ATTEMPTS || !self.is_needed(cause) || !self.can_act() {
                return ordered;
            }
            log::info!(group = self.group.name.as_str(), token = token.0, reason = reason.as_str(), tries = attempts; "G0759 the platform did not answer the order of a promotion; it is repeated");
            attempts += 1;
        }
    }

    /// Records how the order ended, and waits for its effect or for the next attempt.
    async fn complete_order(
        &self,
        selection: &Selection,
        claim: &Claim,
        token: FencingToken,
        ordered: Result<(), PromoteError>,
    ) {
        let cause = selection.cause;
        // While an act is recent, commits are confirmed only by all members. If the answer was late and the member leads
        // already, that would hold back its commits.
        if !self.group.is_leader(&claim.member) {
            self.record_act(token);
        }
        let may_take_effect = matches!(ordered, Ok(()) | Err(PromoteError::NoAnswer(_)));
        if may_take_effect {
            self.borders.stats.promotion_cause(cause.label());
        }
        if cause.is_transfer() && may_take_effect {
            self.group.record_transfer(self.borders.clock.boot_now());
        }
        match ordered {
            Ok(()) => {
                self.borders.stats.promotion("ordered");
                if !cause.is_transfer() && !self.group.is_synchronous() {
                    self.count_rolled_back(&selection.candidate);
                }
                log::info!(group = self.group.name.as_str(), member = claim.member.as_str(), token = token.0; "G0717 a promotion has been ordered");
                self.wait_for_leader(&claim.member).await;
                if self.group.is_leader(&claim.member) {
                    // The platform refuses all orders with a lower token from now on, and one that is carried out again
                    // with this token changes nothing.
                    let settlement = Settlement { token, leader: Some(claim.member.clone()) };
                    self.group.update_settlement(|it| it.record_settled(settlement));
                }
            }
            Err(PromoteError::NoAnswer(reason)) => {
                self.borders.stats.promotion("unanswered");
                // The order may still be carried out. A repeated order has no further effect.
                log::warn!(group = self.group.name.as_str(), token = token.0, reason = reason.as_str(); "G0718 the platform did not answer the order of a promotion");
                let is_synchronous = self.group.is_synchronous();
                let needs_settlement =
                    || is_synchronous && self.failover_cause() == Some(FailoverCause::Unsettled);
                self.wait_until(|| self.group.is_leader(&claim.member) || needs_settlement()).await;
            }
            Err(err) => {
                self.borders.stats.promotion("refused");
                self.back_off(cause, "promoting", &err.to_string()).await;
            }
        }
    }

    /// Whether an order is still needed that was begun because of `cause`. A leader that answers again needs no successor,
    /// although earlier orders may have to be made void.
    pub(crate) fn is_needed(&self, cause: FailoverCause) -> bool {
        let current = self.failover_cause();
        let is_settlement = |it: FailoverCause| it == FailoverCause::Unsettled;
        current.is_some_and(|it| is_settlement(it) == is_settlement(cause))
    }

    /// Records that this instance acts with `token`. Heartbeats report it to the others, which then wait for the
    /// lease to end.
    pub(crate) fn record_act(&self, token: FencingToken) {
        self.group.claims().record_act(token, self.own.clone(), self.borders.clock.boot_now());
        self.group.notify();
    }

    /// Counts the commits beyond the end of the candidate's log, which the promotion may roll back.
    fn count_rolled_back(&self, candidate: &Candidate) {
        let (Some(newest), Some(end)) = (self.group.newest_position_sample(), candidate.point)
        else {
            return;
        };
        let missing = newest.point.position.0.saturating_sub(end.position.0);
        if newest.point.term == end.term && missing > 0 {
            log::warn!(group = self.group.name.as_str(), commits = missing; "G0744 a failover may roll back acknowledged commits");
            self.borders.stats.rolled_back(missing);
        }
    }

    fn new_claim(&self, cause: FailoverCause, candidate: &Candidate) -> Claim {
        Claim {
            holder: self.own.clone(),
            member: candidate.member.clone(),
            nonce: format!("{:016x}", self.borders.entropy.next_u64()),
            over_term: self.superseded_term(cause),
        }
    }

    /// The newest term that an order because of `cause` supersedes. An order of the present leader begins no term, so
    /// later candidates need a log that reaches into the leader's own term.
    fn superseded_term(&self, cause: FailoverCause) -> Term {
        let newest = self.group.newest_term();
        if cause == FailoverCause::Unsettled { Term(newest.0.saturating_sub(1)) } else { newest }
    }

    /// Obtains the claim and returns its token; `None` if another instance holds it or the store failed.
    async fn obtain_claim(
        &self,
        cause: FailoverCause,
        claim: &Claim,
        over: Option<FencingToken>,
    ) -> Option<FencingToken> {
        let name = &self.group.name;
        match self.borders.claims.claim(name, claim.clone(), over).await {
            Ok(token) => Some(token),
            Err(ClaimError::Taken(token)) => {
                log::info!(group = name.as_str(), token = token.0; "G0719 another instance holds the claim and promotes");
                self.wait_for_recovery().await;
                None
            }
            Err(ClaimError::NoAnswer(_)) => match self.borders.claims.current(name).await {
                Ok(Some(found)) if found.claim.as_ref() == Some(claim) => Some(found.token),
                Ok(_) => None,
                Err(err) => {
                    self.back_off(cause, "reading the claim back", &err.to_string()).await;
                    None
                }
            },
            Err(err) => {
                self.back_off(cause, "claiming", &err.to_string()).await;
                None
            }
        }
    }

    /// Logs the failed step and waits before the next attempt.
    async fn back_off(&self, cause: FailoverCause, what: &str, reason: &str) {
        log::warn!(group = self.group.name.as_str(), what = what, reason = reason; "G0720 replacing a leader failed");
        let clock = &self.borders.clock;
        let is_served = cause.is_transfer() || cause == FailoverCause::Unsettled;
        let delay = if is_served { SERVED_RETRY_DELAY } else { RETRY_DELAY };
        clock.sleep_until(clock.now() + delay).await;
    }

    /// Waits until `member` leads, or until the promotion timeout.
    async fn wait_for_leader(&self, member: &MemberName) {
        self.wait_until(|| self.group.is_leader(member)).await;
    }

    /// Waits until no other leader is needed any more, or until the promotion timeout.
    async fn wait_for_recovery(&self) {
        self.wait_until(|| self.failover_cause().is_none()).await;
    }

    async fn wait_until(&self, is_reached: impl Fn() -> bool) {
        let clock = &self.borders.clock;
        let deadline = clock.now() + PROMOTION_TIMEOUT;
        while clock.now() < deadline && !is_reached() {
            self.group.request_check();
            clock.sleep_until(clock.now() + CHECK_INTERVAL).await;
        }
    }
}
