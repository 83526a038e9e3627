//! Detects that a group needs another primary, and starts the promotion.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use gullspar_border::{PeerReply, PeerRequest, PrimaryView};
use gullspar_model::{
    GroupObject, Guard, InstanceId, InstanceRecord, MemberRole, MemberStatus, TargetKey,
};

use crate::{GroupWatch, Leader, Promotion, TargetControl};

/// Interval between checks of a group.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A longer gap between two checks means that this process was paused.
const PAUSED_AFTER: Duration = Duration::from_millis(300);

/// How long other instances and the primary may take to answer before a promotion.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay after a failed promotion.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Why a group needs another primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PromotionReason {
    /// The group has never had a primary.
    NoPrimary,
    /// The primary does not answer.
    Silent,
    /// The primary answers, but no longer leads its term.
    Deposed,
    /// An instance claimed a term and did not complete the promotion.
    AbandonedClaim,
    /// The primary is configured to leave.
    Leaving,
}

impl GroupWatch {
    /// Checks the group at intervals until the watch ends, and promotes a member when it is needed.
    pub(crate) async fn monitor_primary(self: Rc<Self>) {
        let mut last_check = self.now();
        let mut needed_since: Option<Instant> = None;
        while !self.ended.get() {
            let now = self.now();
            if now > last_check + PAUSED_AFTER {
                // During the pause all members seemed silent. An instance that acted on it would depose a healthy
                // primary as soon as it runs again.
                log::info!(
                    "G0206 this instance was paused; the silence of {} during the pause is discounted",
                    self.name
                );
                self.discount_silence();
                needed_since = None;
            }
            last_check = now;
            match self.promotion_reason() {
                None => needed_since = None,
                Some(reason) => {
                    let since = *needed_since.get_or_insert(now);
                    if now >= since + self.claim_delay(reason) && self.is_confirmed(reason).await {
                        self.promote(reason).await;
                        needed_since = None;
                        // The time that the promotion took must not count as a pause.
                        last_check = self.now();
                    }
                }
            }
            let next_check = self.now() + CHECK_INTERVAL;
            self.borders().clock.sleep_until(next_check).await;
        }
    }

    /// Why the group needs another primary now; `None` if it needs none or one is being promoted.
    fn promotion_reason(&self) -> Option<PromotionReason> {
        let group = self.fleet.config.group(&self.name);
        let object = group.as_ref().map(|it| Rc::clone(&it.object));
        let has_open_claim = object.as_ref().is_some_and(|it| it.claimed > it.term);
        if object.as_ref().is_some_and(|it| self.is_being_promoted(it)) {
            return None;
        }
        let Some(leader) = self.leader() else {
            return Some(if has_open_claim {
                PromotionReason::AbandonedClaim
            } else {
                PromotionReason::NoPrimary
            });
        };
        if self.view_of_primary(leader.term) == PrimaryView::Failed {
            return Some(PromotionReason::Silent);
        }
        let status = self.view(&leader.member).and_then(|it| it.status);
        if status.is_some_and(|it| !it.is_primary_in(leader.term)) {
            return Some(PromotionReason::Deposed);
        }
        if has_open_claim && object.is_some_and(|it| it.claimed > leader.term) {
            return Some(PromotionReason::AbandonedClaim);
        }
        self.can_replace_leaving(&leader).then_some(PromotionReason::Leaving)
    }

    /// Whether another instance has claimed a term so recently that it is probably promoting. Records when each claim
    /// was first seen.
    ///
    /// Without this check each instance that detects the failure would add a claim of its own. Each claim fences the
    /// members that the previous claimant was about to promote, so that no promotion succeeds.
    fn is_being_promoted(&self, object: &GroupObject) -> bool {
        if object.claimed <= object.term || object.claim.is_by(&self.fleet.id()) {
            return false;
        }
        let now = self.now();
        let (term, seen_at) = self.last_claim.get();
        if term != object.claimed {
            self.last_claim.set((object.claimed, now));
            return true;
        }
        now < seen_at + self.timing.claim_abandoned_after
    }

    /// Whether `leader` is leaving or was removed, and a replica that stays is active in its term.
    fn can_replace_leaving(&self, leader: &Leader) -> bool {
        let spec = self.spec();
        let is_leaving = spec.member(&leader.member).is_none_or(|it| it.leaving);
        let views = self.views.borrow();
        let has_successor = spec.members.iter().filter(|it| !it.leaving).any(|it| {
            let status = views.get(&it.name).and_then(|it| it.status);
            status.is_some_and(|it| it.role == MemberRole::Replica && it.is_active_in(leader.term))
        });
        is_leaving && has_successor
    }

    /// How long a reason must persist before this instance claims.
    ///
    /// The delay grows with the instance's rank, which makes simultaneous claims rare; safety does not depend on it.
    fn claim_delay(&self, reason: PromotionReason) -> Duration {
        let base = match reason {
            PromotionReason::Silent => Duration::ZERO,
            PromotionReason::Leaving | PromotionReason::NoPrimary => 2 * CHECK_INTERVAL,
            PromotionReason::Deposed => self.timing.failed_after,
            PromotionReason::AbandonedClaim => self.timing.step_timeout,
        };
        base + self.timing.claim_turn_delay * self.claim_rank()
    }

    /// This instance's rank among the homes of the group's members, in an order that differs by group.
    fn claim_rank(&self) -> u32 {
        let mut homes: Vec<InstanceId> =
            self.member_homes().iter().map(|it| it.id.clone()).collect();
        homes.dedup();
        homes.sort_by_cached_key(|it| gullspar_fleet::weight(self.name.as_str(), it.as_str()));
        homes.dedup();
        let own = self.fleet.id();
        homes.iter().position(|it| *it == own).unwrap_or(homes.len()) as u32
    }

    /// The home of each member, in the order of the members.
    pub(crate) fn member_homes(&self) -> Vec<Rc<InstanceRecord>> {
        let spec = self.spec();
        let homes = spec.members.iter().filter_map(|it| {
            let key = TargetKey::new(&self.name, &it.name);
            self.fleet.home(&key, &it.data_centre)
        });
        homes.collect()
    }

    /// Whether a promotion for `reason` may begin. A silent primary is replaced only if a majority of members answers
    /// this instance, the homes of a majority see the primary as failed, and the primary does not answer another call.
    ///
    /// One instance's broken link must not depose a primary that all others reach. An instance whose data centre
    /// was partitioned considers all others dead and itself the home of every member; without the call it would
    /// depose the primary as soon as the partition ends.
    async fn is_confirmed(&self, reason: PromotionReason) -> bool {
        if reason == PromotionReason::Deposed {
            return self.is_confirmed_deposed().await;
        }
        if reason != PromotionReason::Silent {
            return true;
        }
        let Some(leader) = self.leader() else { return false };
        if !Guard::FreshCall.is_enabled() {
            let deadline = self.now() + CONFIRMATION_TIMEOUT;
            return self.has_agreeing_majority(&leader, deadline).await;
        }
        if !self.is_majority_reachable() {
            return false;
        }
        let deadline = self.now() + CONFIRMATION_TIMEOUT;
        let (status, is_agreed) = futures::join!(
            self.query_leader(&leader, deadline),
            self.has_agreeing_majority(&leader, deadline)
        );
        is_agreed && status.is_none() && self.promotion_reason() == Some(PromotionReason::Silent)
    }

    /// Whether the primary itself, asked once more, answers that it does not lead.
    ///
    /// An instance that was partitioned may learn of a new term before that term's primary answers, and still has
    /// the primary's old status as a replica. Acting on it would depose a working primary.
    async fn is_confirmed_deposed(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let deadline = self.now() + CONFIRMATION_TIMEOUT;
        let status = self.query_leader(&leader, deadline).await;
        status.is_some_and(|it| !it.is_primary_in(leader.term))
            && self.promotion_reason() == Some(PromotionReason::Deposed)
    }

    /// Asks the leader for its status on a new connection; `None` if it does not answer in time.
    async fn query_leader(&self, leader: &Leader, deadline: Instant) -> Option<MemberStatus> {
        let spec = self.spec();
        let member = spec.member(&leader.member)?;
        let borders = self.borders();
        let clock = Rc::clone(&borders.clock);
        let opened = TargetControl::open(&*borders.dialer, clock, member.address, deadline).await;
        let mut control = opened.ok()?;
        let asked_at = self.now();
        let status = control.status(None, false, 0, deadline).await.ok()?;
        self.record_response(&leader.member, status, asked_at);
        Some(status)
    }

    /// Whether the homes of a majority of members see `leader` as failed.
    async fn has_agreeing_majority(&self, leader: &Leader, deadline: Instant) -> bool {
        let homes = self.member_homes();
        let own = self.fleet.id();
        let majority = self.spec.borrow().majority();
        let votes_of = |id: &InstanceId| homes.iter().filter(|it| it.id == *id).count();
        let mut votes = votes_of(&own);
        let mut asked: Vec<&Rc<InstanceRecord>> = homes.iter().filter(|it| it.id != own).collect();
        asked.sort_by(|one, other| one.id.cmp(&other.id));
        asked.dedup_by(|one, other| one.id == other.id);
        let mut calls: FuturesUnordered<_> = asked
            .into_iter()
            .map(|home| async move {
                let req =
                    PeerRequest::ViewOfPrimary { group: self.name.clone(), term: leader.term };
                let reply = self.borders().peers.call(home.peer, req, deadline).await;
                (home, matches!(reply, Ok(PeerReply::View(PrimaryView::Failed))))
            })
            .collect();
        while votes < majority
            && let Some((home, failed)) = calls.next().await
        {
            votes += if failed { votes_of(&home.id) } else { 0 };
        }
        votes >= majority
    }

    async fn promote(self: &Rc<Self>, reason: PromotionReason) {
        log::warn!("G0207 {} needs another primary: {reason:?}", self.name);
        let base = self.leader().map_or(GroupObject::unclaimed().term, |it| it.term);
        let graceful = matches!(reason, PromotionReason::Leaving);
        match Promotion::new(Rc::clone(self)).run(base, graceful).await {
            Ok(leader) => {
                log::warn!(
                    "G0208 {} is led by {} in term {}",
                    self.name,
                    leader.member,
                    leader.term.0
                );
            }
            Err(err) => {
                log::warn!("G0209 the promotion of a member of {} failed: {err}", self.name);
                let delay = gullspar_border::jittered(&*self.borders().entropy, RETRY_DELAY);
                let deadline = self.now() + delay;
                self.borders().clock.sleep_until(deadline).await;
            }
        }
    }
}
