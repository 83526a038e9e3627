//! Makes sure that no order of a promotion is carried out any more once its group needs no other leader.
//!
//! An order without an answer may be carried out seconds later. The reasons and the order of steps are in
//! `docs/design/promotion.md`.

use gullspar_model::InstanceId;

use crate::groups::candidate::Candidate;
use crate::groups::failover::{FailoverCause, FailoverCoordinator};
use crate::groups::failover_timing::{CHECK_INTERVAL, FAILOVER_PREPARATION_TIMEOUT};
use crate::{Claim, ClaimTracker, CurrentClaim, FencingToken};

impl FailoverCoordinator {
    /// Whether the leader of a synchronous group answers, and an order may still make another member the leader.
    pub(crate) fn needs_settlement(&self) -> bool {
        self.group.is_synchronous()
            && !self.group.is_settled()
            && self.group.responsive_leader().is_some()
    }

    /// The leader of the group, as the member of a claim; `None` if it does not answer.
    pub(crate) fn present_leader(&self) -> Option<Candidate> {
        let leader = self.group.responsive_leader()?;
        Some(Candidate { member: leader.member(), point: leader.point() })
    }

    /// Records what the store holds as the claim of the group.
    pub(crate) fn record_current_claim(&self, current: Option<&CurrentClaim>) {
        let Some(CurrentClaim { token, claim }) = current else {
            self.group.update_settlement(|it| it.record_settled(ClaimTracker::UNCLAIMED));
            return;
        };
        // An object that is no claim was written by nobody who gives orders.
        let holder: InstanceId = claim.as_ref().map_or(self.own.clone(), |it| it.holder.clone());
        let now = self.borders.clock.boot_now();
        self.group.claims().record_observed(*token, holder, now);
        if claim.as_ref().is_some_and(|it| self.group.target(&it.member).is_none()) {
            self.group.claims().record_unlisted_member();
        }
    }

    /// Prepares the order of a promotion of `candidate` under the claim with `token`.
    pub(crate) async fn prepare_order(
        &self,
        cause: FailoverCause,
        candidate: &Candidate,
        previous: Option<&Claim>,
        token: FencingToken,
    ) -> Preparation {
        let is_ready = match cause {
            FailoverCause::Unsettled => true,
            FailoverCause::Transfer(_) => {
                self.prepare_transfer(cause, &candidate.member, token).await
            }
            _ if !self.group.is_synchronous() => true,
            FailoverCause::Leaves => self.prepare_transfer(cause, &candidate.member, token).await,
            _ => match self.prepare_failover(cause, previous, token).await {
                Some(chosen) if chosen.member != candidate.member => {
                    return Preparation::Claim(chosen);
                }
                chosen => chosen.is_some(),
            },
        };
        if is_ready && !self.is_needed(cause) {
            log::info!(group = self.group.name.as_str(); "G0716 no other leader is needed any more; no promotion is ordered");
            return Preparation::GivenUp;
        }
        if is_ready { Preparation::Ready } else { Preparation::GivenUp }
    }

    /// Makes sure that no home acknowledges a commit any more that the next leader lacks; returns the member to promote.
    async fn prepare_failover(
        &self,
        cause: FailoverCause,
        previous: Option<&Claim>,
        token: FencingToken,
    ) -> Option<Candidate> {
        let clock = &self.borders.clock;
        let deadline = clock.now() + FAILOVER_PREPARATION_TIMEOUT;
        // From now on, this instance and those that learn of the claim hold commits back.
        self.record_act(token);
        let mut reason = "not_all_homes_informed";
        if self.wait_until_informed(token, deadline).await {
            let mut is_first = true;
            reason = "no_candidate";
            while clock.now() < deadline {
                if !self.is_needed(cause) {
                    reason = "recovered";
                    break;
                }
                let chosen = self.select_complete_successor(previous, token, is_first).await;
                if chosen.is_some() {
                    return chosen;
                }
                is_first = false;
                clock.sleep_until(clock.now() + CHECK_INTERVAL).await;
            }
        }
        log::warn!(group = self.group.name.as_str(), token = token.0, reason = reason; "G0798 a failover is given up before its order");
        None
    }
}

/// How the preparation of an order ended.
pub(crate) enum Preparation {
    /// The order may be sent.
    Ready,
    /// Another member must be promoted, and claimed before.
    Claim(Candidate),
    GivenUp,
}
