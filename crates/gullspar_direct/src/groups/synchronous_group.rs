//! What a group knows about commits and claims if it must lose no acknowledged commit.

use gullspar_border::BootInstant;
use gullspar_membership::DEAD_COUNTED_PERIOD;
use gullspar_model::{InstanceId, LogPoint};

use crate::groups::commit_report::CommitReport;
use crate::groups::group::Group;
use crate::groups::successors::Successors;
use crate::{ClaimTracker, FencingToken, NewestAcknowledged};

impl Group {
    pub(crate) fn is_synchronous(&self) -> bool {
        self.is_synchronous.get()
    }

    pub(crate) fn set_synchronous(&self, is_synchronous: bool) {
        if self.is_synchronous.replace(is_synchronous) != is_synchronous {
            log::info!(group = self.name.as_str(), synchronous = is_synchronous; "G0794 a group's commits must be received by a replica, or need not any more");
            self.notify();
        }
    }

    /// Whether no order to promote a member can make another one the leader any more, as far as this instance knows.
    pub(crate) fn is_settled(&self) -> bool {
        let leader = self.leader.borrow();
        self.claims.borrow().is_settled(leader.as_ref().map(|it| &it.member))
    }

    /// Records news about the settlement of claims, and wakes what waits for it.
    pub(crate) fn update_settlement(&self, update: impl FnOnce(&mut ClaimTracker)) {
        let mut claims = self.claims.borrow_mut();
        let (was_open, known) = (claims.has_open_claim(), claims.settled().cloned());
        update(&mut claims);
        let (is_open, settled) = (claims.has_open_claim(), claims.settled().cloned());
        drop(claims);
        if was_open && !is_open && self.is_synchronous() {
            log::info!(group = self.name.as_str(), settled:? = settled; "G0795 no earlier order can change a group's leader any more");
            self.notify_progress();
        }
        if settled != known {
            self.notify();
        }
    }

    /// What this instance reports to the other homes about claims and commits.
    pub(crate) fn commit_report(&self, now: BootInstant) -> CommitReport {
        let claims = self.claims.borrow();
        CommitReport {
            group: self.name.clone(),
            claim: claims.token(),
            settled: claims.settled().cloned(),
            acknowledged: self.acknowledged.borrow().newest(),
            is_complete: now.since(self.served_since) >= DEAD_COUNTED_PERIOD,
        }
    }

    /// Applies a report of another home.
    pub(crate) fn apply_commit_report(&self, from: InstanceId, report: CommitReport) {
        if let Some(settlement) = report.settled.clone() {
            self.update_settlement(|it| it.record_settled(settlement));
        }
        self.commit_reports.borrow_mut().record(from, report);
    }

    /// The newest commit that this instance or one of `others` has acknowledged, as far as they know of the claim with
    /// `token`.
    pub(crate) fn newest_acknowledged(
        &self,
        others: &[InstanceId],
        token: FencingToken,
        now: BootInstant,
    ) -> NewestAcknowledged {
        let own = self.commit_report(now);
        self.commit_reports.borrow_mut().newest_acknowledged(&own, others, token)
    }

    /// Records that no replica has received the commit at `point` in time.
    pub(crate) fn record_stalled(&self, point: LogPoint) {
        self.stalled_at.set(self.stalled_at.get().max(Some(point)));
    }

    /// Whether no replica receives what the leader commits, so that another commit could not be acknowledged either.
    pub(crate) fn is_stalled(&self, successors: &Successors) -> bool {
        let Some(point) = self.stalled_at.get() else { return false };
        let leader = self.leader().and_then(|it| self.target(&it.member));
        let is_on_leader = leader.is_some_and(|it| it.has_commit(point));
        let is_stalled = is_on_leader && !successors.have(point);
        if !is_stalled {
            self.stalled_at.set(None);
        }
        is_stalled
    }
}
