//! Deciding that a primary has failed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use gullspar_border::{PeerReply, PeerRequest, PrimaryView};
use gullspar_model::{
    GroupObject, Guard, InstanceId, InstanceRecord, MemberRole, MemberStatus, TargetKey,
};

use crate::{GroupWatch, Leader, Promotion, TargetControl};

/// How often the state of a group is judged.
const JUDGE_EVERY: Duration = Duration::from_millis(50);

/// A longer gap between two looks means that this process was paused.
const PAUSED: Duration = Duration::from_millis(300);

/// How long the others may take to tell how they see a primary.
const VIEWS_WITHIN: Duration = Duration::from_millis(150);

/// Pause after a promotion that did not succeed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Why a group needs another primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// Nobody has led the group yet.
    NoPrimary,
    /// The primary does not answer.
    Silent,
    /// The primary answers, but does not lead the term any more.
    Deposed,
    /// Somebody claimed a term and did not finish.
    AbandonedClaim,
    /// The primary is configured to leave.
    Leaving,
}

impl GroupWatch {
    /// Judges the group until the watch ends, and promotes when that is needed.
    pub(crate) async fn judge(self: Rc<Self>) {
        let mut last = self.now();
        let mut needed_since: Option<Instant> = None;
        while !self.ended.get() {
            let now = self.now();
            if now > last + PAUSED {
                // What looks like everybody's silence was our own: judged on it, a paused instance
                // would depose a healthy primary the moment it wakes.
                log::info!(
                    "G0206 this instance was paused, silence of {} is discounted",
                    self.name
                );
                self.was_paused();
                needed_since = None;
            }
            last = now;
            match self.need() {
                None => needed_since = None,
                Some(need) => {
                    let since = *needed_since.get_or_insert(now);
                    if now >= since + self.patience(need) && self.others_agree(need).await {
                        self.promote(need).await;
                        needed_since = None;
                        // The next look must not take the promotion for a pause.
                        last = self.now();
                    }
                }
            }
            let next = self.now() + JUDGE_EVERY;
            self.borders().clock.sleep_until(next).await;
        }
    }

    fn need(&self) -> Option<Need> {
        let group = self.fleet.config.group(&self.name);
        let object = group.as_ref().map(|it| Rc::clone(&it.object));
        let claimed_ahead = object.as_ref().is_some_and(|it| it.claimed > it.term);
        if object.as_ref().is_some_and(|it| self.is_being_promoted(it)) {
            return None;
        }
        let Some(leader) = self.leader() else {
            return Some(if claimed_ahead { Need::AbandonedClaim } else { Need::NoPrimary });
        };
        if self.view_of_primary(leader.term) == PrimaryView::Failed {
            return Some(Need::Silent);
        }
        let status = self.view(&leader.member).and_then(|it| it.status);
        if status.is_some_and(|it| !it.is_primary_in(leader.term)) {
            return Some(Need::Deposed);
        }
        if claimed_ahead && object.is_some_and(|it| it.claimed > leader.term) {
            return Some(Need::AbandonedClaim);
        }
        self.leaving_can_be_replaced(&leader).then_some(Need::Leaving)
    }

    /// Whether another instance claimed a term so lately that it is probably at work.
    ///
    /// Without this check every instance that sees the failure claims on top of the others' claims,
    /// each claim fences the members that the one before was about to promote, and none succeeds.
    fn is_being_promoted(&self, object: &GroupObject) -> bool {
        if object.claimed <= object.term || object.claim.starts_with(self.fleet.id().as_str()) {
            return false;
        }
        let now = self.now();
        let (term, seen_at) = self.claim_seen.get();
        if term != object.claimed {
            self.claim_seen.set((object.claimed, now));
            return true;
        }
        now < seen_at + self.timing.claim_abandoned_after
    }

    fn leaving_can_be_replaced(&self, leader: &Leader) -> bool {
        let spec = self.spec();
        let leaving = spec.member(&leader.member).is_none_or(|it| it.leaving);
        let views = self.views.borrow();
        let able = spec.members.iter().filter(|it| !it.leaving).any(|it| {
            let status = views.get(&it.name).and_then(|it| it.status);
            status.is_some_and(|it| it.role == MemberRole::Replica && it.is_active_in(leader.term))
        });
        leaving && able
    }

    /// How long a need must last before this instance acts.
    ///
    /// The instances that hold members take turns, so that two claims at once are rare; safety does
    /// not depend on it.
    fn patience(&self, need: Need) -> Duration {
        let base = match need {
            Need::Silent => Duration::ZERO,
            Need::Leaving | Need::NoPrimary => 2 * JUDGE_EVERY,
            Need::Deposed => self.timing.failed_after,
            Need::AbandonedClaim => self.timing.step_timeout,
        };
        base + self.timing.claim_turn_delay * self.turn()
    }

    fn turn(&self) -> u32 {
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

    /// Whether the homes of a majority of members see the primary as failed, and it still does not
    /// answer a fresh call.
    ///
    /// One instance's broken link must not depose a primary that everybody else reaches. An instance
    /// whose data centre was cut off believes all others dead and itself the home of everything;
    /// without the fresh call it would depose the primary the moment the links are back.
    async fn others_agree(&self, need: Need) -> bool {
        if need == Need::Deposed {
            return self.is_deposed_for_sure().await;
        }
        if need != Need::Silent {
            return true;
        }
        let Some(leader) = self.leader() else { return false };
        if !Guard::FreshCall.is_enabled() {
            let deadline = self.now() + VIEWS_WITHIN;
            return self.majority_agrees(&leader, deadline).await;
        }
        if !self.majority_reachable() {
            return false;
        }
        let deadline = self.now() + VIEWS_WITHIN;
        let (answer, agreed) = futures::join!(
            self.answers_now(&leader, deadline),
            self.majority_agrees(&leader, deadline)
        );
        agreed && answer.is_none() && self.need() == Some(Need::Silent)
    }

    /// Whether the primary itself says in a fresh call that it does not lead.
    ///
    /// An instance that was cut off learns of a new term before it hears from that term's primary; what
    /// it last saw of that member is the replica of before. Acting on it would depose a primary that
    /// everybody else sees leading.
    async fn is_deposed_for_sure(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let deadline = self.now() + VIEWS_WITHIN;
        let answer = self.answers_now(&leader, deadline).await;
        answer.is_some_and(|it| !it.is_primary_in(leader.term))
            && self.need() == Some(Need::Deposed)
    }

    async fn answers_now(&self, leader: &Leader, deadline: Instant) -> Option<MemberStatus> {
        let spec = self.spec();
        let member = spec.member(&leader.member)?;
        let borders = self.borders();
        let clock = Rc::clone(&borders.clock);
        let opened = TargetControl::open(&*borders.dialer, clock, member.address, deadline).await;
        let mut control = opened.ok()?;
        let asked_at = self.now();
        let status = control.status(None, false, 0, deadline).await.ok()?;
        self.heard(&leader.member, status, asked_at);
        Some(status)
    }

    async fn majority_agrees(&self, leader: &Leader, deadline: Instant) -> bool {
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

    async fn promote(self: &Rc<Self>, need: Need) {
        log::warn!("G0207 {} needs another primary: {need:?}", self.name);
        let base = self.leader().map_or(GroupObject::unclaimed().term, |it| it.term);
        let graceful = matches!(need, Need::Leaving);
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
                log::warn!("G0209 promoting in {} failed: {err}", self.name);
                let pause = gullspar_border::jittered(&*self.borders().entropy, RETRY_PAUSE);
                let deadline = self.now() + pause;
                self.borders().clock.sleep_until(deadline).await;
            }
        }
    }
}
