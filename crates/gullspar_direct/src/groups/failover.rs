//! Replaces the leader of a group when it has failed or is leaving.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use gullspar_border::within;
use gullspar_model::{InstanceId, MemberName, Term};

use crate::fleet::homes;
use crate::groups::candidate::Candidate;
use crate::groups::claim_reading::ClaimReading;
use crate::groups::failover_timing::{
    CALM_CHECK_INTERVAL, CHECK_INTERVAL, LEADERLESS_TIMEOUT, MAX_ORDER_ATTEMPTS, PROMOTION_TIMEOUT,
    RETRY_DELAY, SERVED_RETRY_DELAY, TRANSFER_RETRY_DELAY, TURN_DELAY, VERDICT_LOG_INTERVAL,
};
use crate::groups::group::Group;
use crate::groups::settlement::Preparation;
use crate::{
    Borders, Claim, ClaimError, FencingToken, PeerTable, Phase, PromoteError, Shutdown,
    TransferCause, TransferJudge, Verdict, VoteTally,
};

/// Why a group needs another leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailoverCause {
    /// The platform no longer lists the leader.
    Gone,
    /// The leader has announced that it will leave.
    Leaves,
    /// At least half of the instances get no answer from the leader.
    Dark,
    /// Members answer, and none of them leads.
    NoLeader,
    /// The leader answers and serves its group badly.
    Transfer(TransferCause),
    /// The leader of a synchronous group answers, and an order may still promote another member.
    Unsettled,
}

impl FailoverCause {
    /// The label of the cause in metrics.
    fn label(self) -> &'static str {
        match self {
            FailoverCause::Gone => "gone",
            FailoverCause::Leaves => "leaves",
            FailoverCause::Dark => "dark",
            FailoverCause::NoLeader => "no_leader",
            FailoverCause::Transfer(TransferCause::Lagging) => "lagging",
            FailoverCause::Transfer(TransferCause::Impaired) => "impaired",
            FailoverCause::Unsettled => "unsettled",
        }
    }

    fn is_transfer(self) -> bool {
        matches!(self, FailoverCause::Transfer(_))
    }
}

/// Monitors the leader of one group and promotes another member when it is needed.
pub(crate) struct FailoverCoordinator {
    pub(crate) borders: Borders,
    pub(crate) own: InstanceId,
    pub(crate) peers: Rc<PeerTable>,
    pub(crate) group: Rc<Group>,
    pub(crate) shutdown: Rc<Shutdown>,
    /// When the group has been observed for long enough to decide on a failover.
    pub(crate) settle_until: Instant,
    pub(crate) judge: RefCell<TransferJudge>,
}

impl FailoverCoordinator {
    /// Checks the group at intervals and after each change, until the group is ended.
    pub(crate) async fn run(self) {
        let clock = Rc::clone(&self.borders.clock);
        let mut pending: Option<(FailoverCause, Instant)> = None;
        let mut next_verdict_log: Option<Instant> = None;
        let mut claim_reading = ClaimReading::default();
        loop {
            let changed = self.group.listen();
            claim_reading.run_if_due(&self).await;
            // The check follows whether or not something changed.
            let is_calm = self.group.responsive_leader().is_some_and(|it| !it.spec().leaving)
                && !self.has_leader_reports()
                && !self.needs_settlement();
            let interval = if is_calm { CALM_CHECK_INTERVAL } else { CHECK_INTERVAL };
            let _ = within(&*clock, clock.now() + interval, changed).await;
            if self.group.is_ended() {
                return;
            }
            let Some(cause) = self.failover_cause() else {
                pending = None;
                continue;
            };
            let began = match pending {
                Some((known, began)) if known == cause => began,
                _ => {
                    pending = Some((cause, clock.now()));
                    if next_verdict_log.is_none_or(|it| clock.now() >= it) {
                        next_verdict_log = Some(clock.now() + VERDICT_LOG_INTERVAL);
                        self.log_transfer_verdict();
                    }
                    clock.now()
                }
            };
            if clock.now() >= began + TURN_DELAY * self.rank() && self.can_act() {
                self.replace_leader(cause, began).await;
            }
        }
    }

    /// Why the group needs another leader now; `None` if it needs none.
    pub(crate) fn failover_cause(&self) -> Option<FailoverCause> {
        let now = self.borders.clock.now();
        let is_leaving = self.shutdown.phase() != Phase::Serving;
        // In a minority partition the views of the reachable instances are not those of the majority.
        let is_isolated = self.peers.is_isolated(self.borders.clock.boot_now());
        if now < self.settle_until || is_leaving || is_isolated {
            return None;
        }
        let leader = self.group.leader();
        let Some(leader) = leader else {
            let timed_out = now >= self.group.leaderless_since() + LEADERLESS_TIMEOUT;
            let is_reachable =
                self.group.targets().iter().any(|it| it.has_responded() && !it.is_unresponsive());
            let boot_now = self.borders.clock.boot_now();
            let has_leader = self.peers.views.is_leader_seen_by_peers(&self.group.name, boot_now);
            return (timed_out && is_reachable && !has_leader && self.is_agreed(None))
                .then_some(FailoverCause::NoLeader);
        };
        match self.group.target(&leader.member) {
            None => Some(FailoverCause::Gone),
            Some(target) if target.is_unresponsive() => {
                self.is_agreed(Some(&leader.member)).then_some(FailoverCause::Dark)
            }
            Some(target) if target.spec().leaving => Some(FailoverCause::Leaves),
            Some(_) => {
                let transfer = self.transfer_verdict().map(|it| FailoverCause::Transfer(it.cause));
                transfer.or(self.needs_settlement().then_some(FailoverCause::Unsettled))
            }
        }
    }

    /// Whether enough instances report that `leader` does not work, or that no member leads.
    fn is_agreed(&self, leader: Option<&MemberName>) -> bool {
        let now = self.borders.clock.boot_now();
        let tally = VoteTally {
            counted: self.peers.views.counted_for(&self.group.name, now),
            against: 1 + self.peers.views.count_against_leader(&self.group.name, leader, now),
        };
        tally.verdict() == Verdict::Replace
    }

    /// Whether no other instance is promoting a member of this group.
    pub(crate) fn can_act(&self) -> bool {
        let now = self.borders.clock.boot_now();
        // An instance that is leaving may still be completing a promotion.
        self.group.claims().can_act(&self.own, now, |it| self.peers.is_running(it, now))
    }

    /// This instance's rank in the order in which instances act for this group: the holder of the newest claim
    /// first, then the others by a hash that spreads the groups over the instances.
    fn rank(&self) -> u32 {
        let now = self.borders.clock.boot_now();
        let mut ranking = self.peers.views.monitoring_ids(&self.group.name, now);
        ranking.push(self.own.clone());
        let holder = self.group.claims().holder().cloned();
        ranking.sort_by_key(|it| {
            (Some(it) != holder.as_ref(), homes::weight(self.group.name.as_str(), it.as_str()))
        });
        ranking.iter().position(|it| *it == self.own).unwrap_or(0) as u32
    }

    /// Selects a candidate, obtains the claim and orders the promotion.
    async fn replace_leader(&self, cause: FailoverCause, began: Instant) {
        let clock = Rc::clone(&self.borders.clock);
        // Replicas that have not received everything may not for seconds. Until then the store is not asked.
        let successor = if cause.is_transfer() { self.select_successor().await } else { None };
        if cause.is_transfer() && successor.is_none() {
            clock.sleep_until(clock.now() + TRANSFER_RETRY_DELAY).await;
            return;
        }
        let current = match self.borders.claims.current(&self.group.name).await {
            Ok(current) => current,
            Err(err) => {
                return self.back_off(cause, "reading the claim", &err.to_string()).await;
            }
        };
        let previous = current.as_ref().and_then(|it| it.claim.as_ref());
        let candidate = match (successor, cause) {
            (Some(successor), _) => Some(successor),
            (None, FailoverCause::Unsettled) => None,
            (None, _) => self.select_candidate(cause, began, previous).await,
        };
        let (cause, mut candidate) = match (candidate, self.present_leader()) {
            (Some(candidate), _) => (cause, candidate),
            (None, Some(leader)) if self.needs_settlement() => (FailoverCause::Unsettled, leader),
            (None, _) => {
                clock.sleep_until(clock.now() + CHECK_INTERVAL).await;
                return;
            }
        };
        let over = current.as_ref().map(|it| it.token);
        self.record_current_claim(current.as_ref());
        if let (Some(token), Some(claim)) = (over, previous)
            && !self.can_act()
        {
            log::info!(group = self.group.name.as_str(), holder = claim.holder.as_str(), token = token.0; "G0761 a running instance holds the claim; waiting for it to act");
            return;
        }
        if cause == FailoverCause::Unsettled && self.group.is_settled() {
            return;
        }
        let had_open_claim = self.group.claims().has_open_claim();
        let mut claim = self.new_claim(cause, &candidate);
        if cause == FailoverCause::Unsettled {
            log::info!(group = self.group.name.as_str(), member = claim.member.as_str(); "G0796 an order may still promote another member; the present leader is ordered, so that it can't");
        } else {
            log::info!(group = self.group.name.as_str(), member = claim.member.as_str(), cause:? = cause, point:? = candidate.point, leader:? = self.group.newest_position_sample().map(|it| it.point); "G0715 a group needs another leader");
        }
        let Some(mut token) = self.obtain_claim(cause, &claim, over).await else { return };
        loop {
            match self.prepare_order(cause, &candidate, previous, token).await {
                Preparation::Ready => break,
                Preparation::Claim(chosen) => {
                    candidate = chosen;
                    claim = self.new_claim(cause, &candidate);
                    let claimed = self.obtain_claim(cause, &claim, Some(token)).await;
                    let Some(claimed) = claimed else { return };
                    token = claimed;
                }
                Preparation::GivenUp => {
                    if !had_open_claim {
                        self.group.record_unused(token);
                    }
                    return;
                }
            }
        }
        let ordered = self.order_promotion(cause, &claim, token).await;
        // While an act is recent, commits are confirmed only by all members. If the answer was late and the member leads
        // already, that would hold back its commits.
        if !self.group.is_leader(&claim.member) {
            self.record_act(token);
        }
        let may_take_effect = matches!(ordered, Ok(()) | Err(PromoteError::NoAnswer(_)));
        if cause.is_transfer() && may_take_effect {
            self.group.record_transfer(clock.boot_now());
        }
        match ordered {
            Ok(()) => {
                self.borders.stats.promotion("ordered");
                self.borders.stats.promotion_cause(cause.label());
                if !cause.is_transfer() && !self.group.is_synchronous() {
                    self.count_rolled_back(&candidate);
                }
                log::info!(group = self.group.name.as_str(), member = claim.member.as_str(), token = token.0; "G0717 a promotion has been ordered");
                self.wait_for_leader(&claim.member).await;
                if self.group.is_leader(&claim.member) {
                    // The platform refuses all orders with a lower token from now on, and one that is carried out again
                    // with this token changes nothing.
                    self.group.record_settled(token, claim.member.clone());
                }
            }
            Err(PromoteError::NoAnswer(reason)) => {
                self.borders.stats.promotion("unanswered");
                self.borders.stats.promotion_cause(cause.label());
                // The order may still be carried out. A repeated order has no further effect.
                log::warn!(group = self.group.name.as_str(), token = token.0, reason = reason.as_str(); "G0718 the platform did not answer the order of a promotion");
                self.wait_until(|| {
                    self.group.is_leader(&claim.member)
                        || self.failover_cause() == Some(FailoverCause::Unsettled)
                })
                .await;
            }
            Err(err) => {
                self.borders.stats.promotion("refused");
                self.back_off(cause, "promoting", &err.to_string()).await;
            }
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
