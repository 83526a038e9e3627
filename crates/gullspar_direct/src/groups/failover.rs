//! Decides whether a group needs another leader, and which instance acts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use gullspar_border::within;
use gullspar_model::{InstanceId, MemberName};

use crate::fleet::homes;
use crate::groups::claim_reading::ClaimReading;
use crate::groups::failover_timing::{
    CALM_CHECK_INTERVAL, CHECK_INTERVAL, LEADERLESS_TIMEOUT, TURN_DELAY, VERDICT_LOG_INTERVAL,
};
use crate::groups::group::Group;
use crate::{
    Borders, PeerTable, Phase, Shutdown, TransferCause, TransferJudge, Verdict, VoteTally,
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
    pub(crate) fn label(self) -> &'static str {
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

    pub(crate) fn is_transfer(self) -> bool {
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

    /// Why the group needs another leader now; `None` if it needs none, or if this instance does not decide about it.
    pub(crate) fn failover_cause(&self) -> Option<FailoverCause> {
        let now = self.borders.clock.now();
        if !self.peers.views.is_own_vote_counted(&self.group.name) {
            return None;
        }
        let is_leaving = self.shutdown.phase() != Phase::Serving;
        // In a minority partition the views of the reachable instances are not those of the majority.
        let is_isolated = self.peers.is_isolated(self.borders.clock.boot_now());
        if now < self.settle_until || is_leaving || is_isolated {
            return None;
        }
        let leader = self.group.leader();
        let Some(leader) = leader else {
            let timed_out = now >= self.group.leaderless_since() + LEADERLESS_TIMEOUT;
            let is_reachable = self.group.targets().iter().any(|it| it.is_answering());
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
        let mut ranking = self.peers.views.voting_ids(&self.group.name, now);
        ranking.push(self.own.clone());
        let holder = self.group.claims().holder().cloned();
        ranking.sort_by_key(|it| {
            (Some(it) != holder.as_ref(), homes::weight(self.group.name.as_str(), it.as_str()))
        });
        ranking.iter().position(|it| *it == self.own).unwrap_or(0) as u32
    }
}
