//! Giving a group another leader when its own has failed or leaves.

use std::rc::Rc;
use std::time::Instant;

use gullspar_border::within;
use gullspar_model::{InstanceId, MemberName};

use crate::fleet::homes;
use crate::groups::candidate::Candidate;
use crate::groups::failover_timing::{
    FAILED_PAUSE, LEADERLESS_FOR, LOOK_EVERY, ORDER_TRIES, TAKES_EFFECT_WITHIN, TURN,
};
use crate::groups::group::Group;
use crate::{
    Ballot, Borders, Claim, ClaimError, FencingToken, PeerTable, Phase, PromoteError, Shutdown,
    Verdict,
};

/// Why a group needs another leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The platform no longer lists it.
    Gone,
    /// It announced that it will go.
    Leaves,
    /// Most instances get no answer from it.
    Dark,
    /// Members answer, and none leads.
    NoLeader,
}

/// Watches over one group's leadership.
pub(crate) struct Keeper {
    pub(crate) borders: Borders,
    pub(crate) own: InstanceId,
    pub(crate) peers: Rc<PeerTable>,
    pub(crate) group: Rc<Group>,
    pub(crate) shutdown: Rc<Shutdown>,
    /// Until then this instance has not looked long enough to judge.
    pub(crate) settle_until: Instant,
}

impl Keeper {
    /// Looks and acts until the process ends.
    pub(crate) async fn run(self) {
        let clock = Rc::clone(&self.borders.clock);
        let mut since: Option<(Cause, Instant)> = None;
        loop {
            let changed = self.group.listen();
            // Either way it is looked at again.
            let _ = within(&*clock, clock.now() + LOOK_EVERY, changed).await;
            if self.group.is_ended() {
                return;
            }
            let Some(cause) = self.cause() else {
                since = None;
                continue;
            };
            let began = match since {
                Some((known, began)) if known == cause => began,
                _ => {
                    since = Some((cause, clock.now()));
                    clock.now()
                }
            };
            if clock.now() >= began + TURN * self.rank() && self.may_act() {
                self.replace(cause, began).await;
            }
        }
    }

    /// Why another leader is needed now, if it is.
    fn cause(&self) -> Option<Cause> {
        let now = self.borders.clock.now();
        let leaving = self.shutdown.phase() != Phase::Serving;
        // Cut off with some others, it would take its side of the cut for the whole.
        let cut_off = self.peers.is_isolated(self.borders.clock.boot_now());
        if now < self.settle_until || leaving || cut_off {
            return None;
        }
        let leader = self.group.leader();
        let Some(leader) = leader else {
            let long = now >= self.group.leaderless_since() + LEADERLESS_FOR;
            let reachable = self.group.targets().iter().any(|it| it.was_heard() && !it.is_dark());
            let boot_now = self.borders.clock.boot_now();
            let led = self.peers.views.is_leader_seen_by_peers(&self.group.name, boot_now);
            return (long && reachable && !led && self.agreed(None)).then_some(Cause::NoLeader);
        };
        match self.group.target(&leader.member) {
            None => Some(Cause::Gone),
            Some(target) if target.is_dark() => {
                self.agreed(Some(&leader.member)).then_some(Cause::Dark)
            }
            Some(target) if target.spec().leaving => Some(Cause::Leaves),
            Some(_) => None,
        }
    }

    fn agreed(&self, leader: Option<&MemberName>) -> bool {
        let now = self.borders.clock.boot_now();
        let ballot = Ballot {
            counted: self.peers.views.counted_for(&self.group.name, now),
            against: 1 + self.peers.views.count_against_leader(&self.group.name, leader, now),
        };
        ballot.verdict() == Verdict::Replace
    }

    /// Whether no other instance is in the middle of promoting here.
    fn may_act(&self) -> bool {
        let now = self.borders.clock.boot_now();
        // One on its way out may be in the middle of a promotion as well.
        self.group.claims().may_act(&self.own, now, |it| self.peers.is_running(it, now))
    }

    /// This instance's place in the order in which instances act for this group: whoever acted last
    /// comes first, the others by a hash that spreads the groups over them.
    fn rank(&self) -> u32 {
        let now = self.borders.clock.boot_now();
        let mut alive = self.peers.views.monitoring_ids(&self.group.name, now);
        alive.push(self.own.clone());
        let last = self.group.claims().holder().cloned();
        alive.sort_by_key(|it| {
            (Some(it) != last.as_ref(), homes::weight(self.group.name.as_str(), it))
        });
        alive.iter().position(|it| *it == self.own).unwrap_or(0) as u32
    }

    async fn replace(&self, cause: Cause, began: Instant) {
        let clock = Rc::clone(&self.borders.clock);
        let standing = match self.borders.claims.standing(&self.group.name).await {
            Ok(standing) => standing,
            Err(err) => return self.failed("reading the claim", &err.to_string()).await,
        };
        let before = standing.as_ref().and_then(|it| it.claim.as_ref());
        let Some(candidate) = self.candidate(cause, began, before).await else {
            clock.sleep_until(clock.now() + LOOK_EVERY).await;
            return;
        };
        let over = standing.as_ref().map(|it| it.token);
        if let (Some(token), Some(claim)) = (over, before) {
            self.group.claims().saw(token, claim.holder.clone(), clock.boot_now());
            if !self.may_act() {
                log::info!(group = self.group.name.as_str(), holder = claim.holder.as_str(), token = token.0; "G0761 an instance that lives holds the claim; it is waited for");
                return;
            }
        }
        let claim = Claim {
            holder: self.own.clone(),
            member: candidate.member.clone(),
            nonce: format!("{:016x}", self.borders.entropy.next_u64()),
            over_term: self.group.newest_term(),
        };
        log::info!(group = self.group.name.as_str(), member = claim.member.as_str(), cause:? = cause, point:? = candidate.point, leader:? = self.group.newest_reading().map(|it| it.point); "G0715 a group needs another leader");
        let Some(token) = self.obtain(&claim, over).await else { return };
        if self.cause().is_none() {
            log::info!(group = self.group.name.as_str(); "G0716 the leader is back; nothing is ordered");
            return;
        }
        let ordered = self.order(&claim, token).await;
        self.note_act(token);
        match ordered {
            Ok(()) => {
                self.borders.stats.promotion("ordered");
                self.count_rolled_back(&candidate);
                log::info!(group = self.group.name.as_str(), member = claim.member.as_str(), token = token.0; "G0717 a promotion is ordered");
                self.wait_for(&claim.member).await;
            }
            Err(PromoteError::NoAnswer(reason)) => {
                self.borders.stats.promotion("unanswered");
                // It may be carried out yet, and more than once does no harm.
                log::warn!(group = self.group.name.as_str(), token = token.0, reason = reason.as_str(); "G0718 a promotion was not answered");
                self.wait_for(&claim.member).await;
            }
            Err(err) => {
                self.borders.stats.promotion("refused");
                self.failed("promoting", &err.to_string()).await;
            }
        }
    }

    /// Orders the promotion, again with the same token while no answer comes.
    ///
    /// Twice carried out it changes nothing, and one that is carried out seconds late is void once a higher token
    /// was used. Waited for in vain, a lost order would leave its group without a leader for the time in
    /// which it might yet show, and the next claim.
    async fn order(&self, claim: &Claim, token: FencingToken) -> Result<(), PromoteError> {
        let mut tries = 1;
        loop {
            self.note_act(token);
            let ordered = self.borders.promoter.promote(&self.group.name, claim, token).await;
            let Err(PromoteError::NoAnswer(reason)) = &ordered else { return ordered };
            // The leader may show, or another instance may act, in the meantime.
            if tries == ORDER_TRIES || self.cause().is_none() || !self.may_act() {
                return ordered;
            }
            log::info!(group = self.group.name.as_str(), token = token.0, reason = reason.as_str(), tries = tries; "G0759 a promotion that was not answered is ordered again");
            tries += 1;
        }
    }

    /// Notes that this instance acts with `token`; told to the others, who wait for a while after each act.
    fn note_act(&self, token: FencingToken) {
        self.group.claims().note(token, self.own.clone(), self.borders.clock.boot_now());
    }

    /// Counts the commits that the old leader acknowledged and its successor was not seen to have.
    fn count_rolled_back(&self, candidate: &Candidate) {
        let (Some(had), Some(has)) = (self.group.newest_reading(), candidate.point) else { return };
        let missing = had.point.position.0.saturating_sub(has.position.0);
        if had.point.term == has.term && missing > 0 {
            log::warn!(group = self.group.name.as_str(), commits = missing; "G0744 a failover may undo acknowledged commits");
            self.borders.stats.rolled_back(missing);
        }
    }

    /// Obtains the claim; `None` if another instance has it now.
    async fn obtain(&self, claim: &Claim, over: Option<FencingToken>) -> Option<FencingToken> {
        let name = &self.group.name;
        match self.borders.claims.claim(name, claim.clone(), over).await {
            Ok(token) => Some(token),
            Err(ClaimError::Taken(token)) => {
                log::info!(group = name.as_str(), token = token.0; "G0719 another instance promotes");
                self.wait_for_any().await;
                None
            }
            Err(ClaimError::NoAnswer(_)) => match self.borders.claims.standing(name).await {
                Ok(Some(found)) if found.claim.as_ref() == Some(claim) => Some(found.token),
                Ok(_) => None,
                Err(err) => {
                    self.failed("reading the claim back", &err.to_string()).await;
                    None
                }
            },
            Err(err) => {
                self.failed("claiming", &err.to_string()).await;
                None
            }
        }
    }

    async fn failed(&self, what: &str, reason: &str) {
        log::warn!(group = self.group.name.as_str(), what = what, reason = reason; "G0720 replacing a leader failed");
        let clock = &self.borders.clock;
        clock.sleep_until(clock.now() + FAILED_PAUSE).await;
    }

    /// Waits until `member` leads, but not for ever.
    async fn wait_for(&self, member: &MemberName) {
        self.wait_until(|| self.group.is_leader(member)).await;
    }

    /// Waits until another instance's promotion shows, but not for ever.
    async fn wait_for_any(&self) {
        self.wait_until(|| self.cause().is_none()).await;
    }

    async fn wait_until(&self, reached: impl Fn() -> bool) {
        let clock = &self.borders.clock;
        let deadline = clock.now() + TAKES_EFFECT_WITHIN;
        while clock.now() < deadline && !reached() {
            self.group.check();
            clock.sleep_until(clock.now() + LOOK_EVERY).await;
        }
    }
}
