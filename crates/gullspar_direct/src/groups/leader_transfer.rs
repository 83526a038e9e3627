//! Transfers the leader role from a leader that answers to a replica that has received everything.
//!
//! The order of steps and the reasons are in `docs/design/leader-transfer.md`.

use std::rc::Rc;
use std::time::Instant;

use futures::future;
use gullspar_model::{InstanceId, LogPoint, MemberName};

use crate::fleet::views::CONFIRMATION_TTL;
use crate::groups::candidate::Candidate;
use crate::groups::failover::{FailoverCause, FailoverCoordinator};
use crate::groups::failover_timing::{
    RECEIVED_POLL_INTERVAL, SUCCESSOR_QUERY_TIMEOUT, TRANSFER_POLL_INTERVAL,
    TRANSFER_PREPARATION_TIMEOUT,
};
use crate::targets::received_point;
use crate::targets::target::Target;
use crate::targets::target_watch;
use crate::{FencingToken, LeaderReport, TransferInputs, TransferVerdict};

impl FailoverCoordinator {
    /// Whether the leader role is worth transferring now.
    pub(crate) fn transfer_verdict(&self) -> Option<TransferVerdict> {
        let now = self.borders.clock.boot_now();
        let own = self.group.leader_report(now);
        let others = self.reports_of_others();
        let inputs = TransferInputs {
            counted: self.peers.views.counted_for(&self.group.name, now),
            own: own.as_ref(),
            others: &others,
            led_for: self.group.led_for(now),
            transferred_ago: self.group.transferred_ago(now),
        };
        self.judge.borrow_mut().judge(&inputs, self.borders.clock.now())
    }

    /// The valid reports of the other homes about the leader.
    fn reports_of_others(&self) -> Vec<LeaderReport> {
        let now = self.borders.clock.boot_now();
        let monitoring: Vec<InstanceId> = self.peers.views.voting_ids(&self.group.name, now);
        let received = self.group.leader_reports(now).into_iter();
        let others = received.filter(|(from, _)| *from != self.own && monitoring.contains(from));
        others.map(|(_, it)| it).collect()
    }

    /// Whether any home reports trouble with the leader.
    pub(crate) fn has_leader_reports(&self) -> bool {
        let reports = self.group.leader_reports(self.borders.clock.boot_now());
        reports.iter().any(|(_, it)| it.is_lagging || it.is_impaired)
    }

    pub(crate) fn log_transfer_verdict(&self) {
        if let Some(it) = self.transfer_verdict() {
            log::info!(group = self.group.name.as_str(), cause:? = it.cause, loss_of_staying = it.loss_of_staying, loss_of_transfer = it.loss_of_transfer, homes = it.supporters; "G0790 a transfer of the leader role is worth its cost");
        }
    }

    /// A replica that has received all that the leader had when the search began; `None` if none is known to have.
    pub(crate) async fn select_successor(&self) -> Option<Candidate> {
        let clock = &self.borders.clock;
        let deadline = clock.now() + SUCCESSOR_QUERY_TIMEOUT;
        let wanted = self.leader_end().await?;
        let targets: Vec<Rc<Target>> =
            self.group.targets().into_iter().filter(|it| self.can_succeed(it)).collect();
        let queries = targets.iter().map(|it| self.wait_until_received(it, wanted, deadline));
        let received = future::join_all(queries).await;
        let complete = targets.iter().zip(received).filter(|(_, is_complete)| *is_complete);
        // The one that has applied the most has the least left to apply before it leads.
        let complete = complete.max_by_key(|(target, _)| target.point());
        let Some((target, _)) = complete else {
            log::info!(group = self.group.name.as_str(), candidates = targets.len(), wanted:? = wanted; "G0791 no replica is known to have received all commits of a leader; it stays for now");
            self.borders.stats.transfer_given_up("no_candidate");
            return None;
        };
        Some(Candidate { member: target.member(), point: Some(wanted) })
    }

    /// Whether a target may take over the leader role.
    fn can_succeed(&self, target: &Target) -> bool {
        !self.group.is_leader(&target.member())
            && target.is_staying()
            && !target.is_avoided(self.borders.clock.now())
    }

    /// Makes sure that `candidate` has received all commits that were acknowledged or can still be. Returns whether the
    /// promotion can be ordered.
    pub(crate) async fn prepare_transfer(
        &self,
        cause: FailoverCause,
        candidate: &MemberName,
        token: FencingToken,
    ) -> bool {
        let deadline = self.borders.clock.now() + TRANSFER_PREPARATION_TIMEOUT;
        // From now on, this instance and those that learn of the claim hold commits back.
        self.record_act(token);
        let reason = if !self.wait_until_informed(token, deadline).await {
            "not_all_homes_informed"
        } else if !self.has_received_all(candidate, deadline).await {
            "candidate_incomplete"
        } else if self.failover_cause() != Some(cause) {
            "recovered"
        } else {
            return true;
        };
        log::warn!(group = self.group.name.as_str(), member = candidate.as_str(), token = token.0, reason = reason; "G0792 a transfer of the leader role is given up before its order");
        self.borders.stats.transfer_given_up(reason);
        false
    }

    /// Waits until no other instance can acknowledge a commit that only the leader has.
    pub(crate) async fn wait_until_informed(&self, token: FencingToken, deadline: Instant) -> bool {
        let clock = &self.borders.clock;
        let mut sufficient_since = None;
        while clock.now() < deadline && self.group.claims().token() == Some(token) {
            let now = clock.now();
            let spread = self.peers.views.claim_spread(&self.group.name, token, clock.boot_now());
            if spread.is_complete() {
                return true;
            }
            if spread.is_sufficient() {
                let since = *sufficient_since.get_or_insert(now);
                if now.saturating_duration_since(since) >= CONFIRMATION_TTL {
                    return true;
                }
            } else {
                sufficient_since = None;
            }
            clock.sleep_until(now + TRANSFER_POLL_INTERVAL).await;
        }
        false
    }

    /// Whether `candidate` has received all that the leader has now.
    async fn has_received_all(&self, candidate: &MemberName, deadline: Instant) -> bool {
        let Some(wanted) = self.leader_end().await else { return false };
        let target = self.group.target(candidate).filter(|it| self.can_succeed(it));
        let Some(target) = target else { return false };
        self.wait_until_received(&target, wanted, deadline).await && self.can_succeed(&target)
    }

    /// Asks the leader where its log ends; `None` if it does not answer as the leader.
    async fn leader_end(&self) -> Option<LogPoint> {
        let leader = self.group.responsive_leader()?;
        if !target_watch::is_leader_now(&self.borders, &self.group, &leader).await {
            return None;
        }
        let sampled = self.group.newest_position_sample().map(|it| it.point);
        leader.point().max(sampled)
    }

    /// Asks `target` until it has received the commit at `point`. Returns whether it has at `deadline`.
    async fn wait_until_received(
        &self,
        target: &Target,
        point: LogPoint,
        deadline: Instant,
    ) -> bool {
        let clock = &self.borders.clock;
        while !target.has_commit(point) && clock.now() < deadline {
            received_point::query(&**clock, &self.group, target, deadline).await;
            if !target.has_commit(point) {
                clock.sleep_until((clock.now() + RECEIVED_POLL_INTERVAL).min(deadline)).await;
            }
        }
        target.has_commit(point)
    }
}
