//! Tracks the claims of a group, so that only one instance promotes at a time.

use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::{InstanceId, MemberName, record};

use crate::FencingToken;

record! {
    /// The newest claim that an instance knows of, as sent to other instances.
    pub struct ClaimReport {
        pub token: FencingToken,
        pub holder: InstanceId,
        /// How long ago the holder acted, in milliseconds. A delayed report makes the claim look younger than
        /// it is, which only makes other instances wait longer.
        pub age_ms: u64,
    }
}

record! {
    /// A claim after which no order, under it or under an older one, makes another member than `leader` the leader.
    pub struct Settlement {
        pub token: FencingToken,
        /// `None` if no order was ever sent for the group.
        pub leader: Option<MemberName>,
    }
}

/// The claims that this instance knows of for one group.
#[derive(Clone, Debug)]
pub struct ClaimTracker {
    lease: Duration,
    newest: Option<KnownClaim>,
    /// Of the claims that were the newest before, the one whose holder acted last. Its lease may still be running.
    ///
    /// A store that is restored from an older copy loses claims and may grant a new one while the holder of a
    /// lost claim is still active.
    previous: Option<KnownClaim>,
    /// The newest claim that is known to be settled; `None` until the store or another instance has told of one.
    settled: Option<Settlement>,
    /// When the oldest claim that is not known to be settled became known.
    unsettled_since: Option<BootInstant>,
    /// Whether an order may still promote a member that is not listed.
    has_lost_successor: bool,
}

#[derive(Clone, Debug)]
struct KnownClaim {
    token: FencingToken,
    holder: InstanceId,
    acted_at: BootInstant,
}

impl ClaimTracker {
    /// What holds where the store has never held a claim.
    pub const UNCLAIMED: Settlement = Settlement { token: FencingToken(0), leader: None };

    /// Creates an empty tracker. For `lease` after a holder has acted, no other instance may act unless the holder
    /// no longer runs.
    pub fn new(lease: Duration) -> ClaimTracker {
        ClaimTracker {
            lease,
            newest: None,
            previous: None,
            settled: None,
            unsettled_since: None,
            has_lost_successor: false,
        }
    }

    /// Records that the store held this claim at `at`.
    ///
    /// A claim that is new here may have just been made, so it counts as an act of its holder. Reading a known
    /// claim again does not: otherwise each read would renew the holder's lease.
    pub fn record_observed(&mut self, token: FencingToken, holder: InstanceId, at: BootInstant) {
        if self.newest.as_ref().is_none_or(|it| it.token < token) {
            self.record_act(token, holder, at);
        }
    }

    /// Records that `holder` acted with `token` at `at`.
    pub fn record_act(&mut self, token: FencingToken, holder: InstanceId, at: BootInstant) {
        let is_open = self.settled.as_ref().is_none_or(|it| it.token < token);
        if is_open && self.unsettled_since.is_none() {
            self.unsettled_since = Some(at);
        }
        match &mut self.newest {
            Some(claim) if claim.token > token => {}
            Some(claim) if claim.token == token => claim.acted_at = claim.acted_at.max(at),
            _ => {
                let newest = KnownClaim { token, holder, acted_at: at };
                let replaced = self.newest.replace(newest);
                let acted_last = |it: &KnownClaim| {
                    self.previous.as_ref().is_none_or(|old| it.acted_at >= old.acted_at)
                };
                if replaced.as_ref().is_some_and(acted_last) {
                    self.previous = replaced;
                }
            }
        }
    }

    /// Records a settlement, unless a newer one is known.
    pub fn record_settled(&mut self, settlement: Settlement) {
        if self.settled.as_ref().is_none_or(|it| it.token <= settlement.token) {
            self.settled = Some(settlement);
        }
        if !self.has_open_claim() {
            self.unsettled_since = None;
            self.has_lost_successor = false;
        }
    }

    /// Records that a member is not listed, or not any more. If a claim is open, an order may still promote it.
    pub fn record_unlisted_member(&mut self) {
        self.has_lost_successor |= self.has_open_claim();
    }

    /// Whether an order may still promote a member that is not listed, so that nothing is known about its log.
    pub fn has_lost_successor(&self) -> bool {
        self.has_lost_successor
    }

    /// Records that no order was sent under the claim with `token`, and that it was made when no claim was open.
    pub fn record_unused(&mut self, token: FencingToken) {
        let leader = self.settled.as_ref().and_then(|it| it.leader.clone());
        self.record_settled(Settlement { token, leader });
    }

    /// The newest settlement known.
    pub fn settled(&self) -> Option<&Settlement> {
        self.settled.as_ref()
    }

    /// Whether orders under a claim may be carried out later. Until the first news of a claim this is unknown, and the
    /// answer is `true`.
    pub fn has_open_claim(&self) -> bool {
        let newest = self.newest.as_ref().map(|it| it.token);
        self.settled.as_ref().is_none_or(|it| newest > Some(it.token))
    }

    /// Whether no order can make another member than `leader` the leader. That is not so if another one leads than the newest
    /// settlement names: an order of that one, carried out again, would have an effect.
    pub fn is_settled(&self, leader: Option<&MemberName>) -> bool {
        let expected = self.settled.as_ref().and_then(|it| it.leader.as_ref());
        !self.has_open_claim() && expected.is_none_or(|it| Some(it) == leader)
    }

    /// Whether a claim is open, and became known after `instant`.
    pub fn is_unsettled_since(&self, instant: BootInstant) -> bool {
        self.has_open_claim() && self.unsettled_since.is_some_and(|it| it >= instant)
    }

    /// Applies a report that the instance `from` sent and that arrived at `now`.
    ///
    /// For a known claim, only reports from its holder count: a report's age omits the time that the report was in
    /// transit, so a claim would appear younger with each instance that forwards it.
    pub fn apply_report(&mut self, report: &ClaimReport, from: &InstanceId, now: BootInstant) {
        let is_known = self.newest.as_ref().is_some_and(|it| it.token >= report.token);
        if !is_known || report.holder == *from {
            let acted_at = now.minus(Duration::from_millis(report.age_ms));
            self.record_act(report.token, report.holder.clone(), acted_at);
        }
    }

    /// The report to send to other instances at `now`; `None` if no claim is known.
    pub fn report(&self, now: BootInstant) -> Option<ClaimReport> {
        let newest = self.newest.as_ref()?;
        let age_ms = now.since(newest.acted_at).as_millis() as u64;
        Some(ClaimReport { token: newest.token, holder: newest.holder.clone(), age_ms })
    }

    /// Whether the holder of the newest claim acted after `at`.
    pub fn has_act_after(&self, at: BootInstant) -> bool {
        self.newest.as_ref().is_some_and(|it| it.acted_at > at)
    }

    /// The token of the newest claim.
    pub fn token(&self) -> Option<FencingToken> {
        self.newest.as_ref().map(|it| it.token)
    }

    /// The holder of the newest claim.
    pub fn holder(&self) -> Option<&InstanceId> {
        self.newest.as_ref().map(|it| &it.holder)
    }

    /// Whether the instance `own` may act at `now`.
    ///
    /// Two instances that promote alternately undo each other's promotions, and the group changes its leader
    /// several times in a row. So only the last holder may act until its lease ends or it no longer runs.
    pub fn can_act(
        &self,
        own: &InstanceId,
        now: BootInstant,
        is_running: impl Fn(&InstanceId) -> bool,
    ) -> bool {
        let allows = |it: &KnownClaim| {
            it.holder == *own || !is_running(&it.holder) || now.since(it.acted_at) >= self.lease
        };
        [&self.newest, &self.previous].into_iter().flatten().all(allows)
    }
}
