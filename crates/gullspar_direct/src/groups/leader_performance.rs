//! What callers lose at the leader of a group, as seen here and as other homes report it.

use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::{InstanceId, MemberName};

use crate::groups::group::Group;
use crate::groups::leader_load::RequestEnd;
use crate::groups::usual_durations::StatementKind;
use crate::targets::target::Target;
use crate::{LeaderReport, PositionSample};

/// A replica lags if it lacks what the leader had this long ago.
///
/// Replicas usually lag by less than half a second, their positions are known with a delay of 0.1 to 0.4 s, and reads
/// from replicas need data that is at least 1.5 s old.
const LAG_LIMIT: Duration = Duration::from_secs(1);

/// How long a transfer is reported even if there is nothing else to report; covers several lost reports.
const TRANSFER_REPORT_PERIOD: Duration = Duration::from_secs(2);

/// A report that makes the last transfer younger by less than this is about the same transfer. The time that reports are in
/// transit makes it look younger each time it is passed on.
const SAME_TRANSFER_PERIOD: Duration = Duration::from_secs(5);

impl Group {
    /// Records a request whose last attempt was on `member`. It is displaced if replicas could have served it.
    pub(crate) fn record_request(
        &self,
        member: &MemberName,
        end: RequestEnd,
        is_displaced: bool,
        now: BootInstant,
    ) {
        if self.is_leader(member) {
            self.leader_load.borrow_mut().record_request(end, is_displaced, now);
        }
    }

    /// Records a statement that `member` answered after `took`.
    pub(crate) fn record_run(
        &self,
        member: &MemberName,
        kind: StatementKind,
        took: Duration,
        now: BootInstant,
    ) {
        let ratio = self.usual_durations.borrow_mut().record(kind, took);
        let on_leader = self.is_leader(member);
        self.leader_load.borrow_mut().runs_mut(on_leader).record_answer(ratio, now);
    }

    /// Records a statement that `member` refused as congested, or failed or did not answer.
    pub(crate) fn record_failed_run(
        &self,
        member: &MemberName,
        is_refused: bool,
        now: BootInstant,
    ) {
        let on_leader = self.is_leader(member);
        self.leader_load.borrow_mut().runs_mut(on_leader).record_failure(is_refused, now);
    }

    /// What this instance reports about the current leader; `None` if there is nothing to report.
    pub(crate) fn leader_report(&self, now: BootInstant) -> Option<LeaderReport> {
        let leader = self.leader()?.member;
        let load = *self.leader_load.borrow();
        let transferred_ago = self.transferred_ago(now);
        let (is_lagging, is_impaired) = (self.are_replicas_lagging(now), load.is_impaired(now));
        let is_transferred = transferred_ago.is_some_and(|it| it < TRANSFER_REPORT_PERIOD);
        (is_lagging || is_impaired || is_transferred).then(|| LeaderReport {
            group: self.name.clone(),
            leader,
            is_lagging,
            is_impaired,
            requests_per_s: load.requests_per_s(now).round() as u32,
            lost_per_s: load.lost_per_s(now).round() as u32,
            displaced_per_s: load.displaced_per_s(now).round() as u32,
            transferred_ms_ago: transferred_ago
                .map(|it| u32::try_from(it.as_millis()).unwrap_or(u32::MAX)),
        })
    }

    /// The report that ends this instance's last one, if that is still valid and reported trouble that has ended.
    pub(crate) fn retraction(&self, own: &InstanceId, now: BootInstant) -> Option<LeaderReport> {
        let reports = self.leader_reports.borrow();
        let (_, last) = reports.valid(now).find(|(from, _)| *from == own)?;
        let had_trouble = last.is_lagging || last.is_impaired;
        had_trouble.then(|| LeaderReport { is_lagging: false, is_impaired: false, ..last.clone() })
    }

    /// Whether a replica lacks what the leader had [`LAG_LIMIT`] ago.
    pub(crate) fn is_lagging(&self, target: &Target, now: BootInstant) -> bool {
        let sample = self.position_samples.borrow().newest_before(now.minus(LAG_LIMIT));
        let lacks = |it: PositionSample| target.point() < Some(it.point);
        sample.is_some_and(lacks) && !self.is_leader(&target.member())
    }

    /// Whether each replica that answers lacks what the leader had [`LAG_LIMIT`] ago.
    fn are_replicas_lagging(&self, now: BootInstant) -> bool {
        let replicas = self.staying_replicas();
        !replicas.is_empty() && replicas.iter().all(|it| self.is_lagging(it, now))
    }

    /// Records a report about the leader, of this or another instance.
    pub(crate) fn record_report(&self, from: InstanceId, report: LeaderReport, now: BootInstant) {
        if let Some(ms) = report.transferred_ms_ago {
            let at = now.minus(Duration::from_millis(u64::from(ms)));
            if self.transferred_at.get().is_none_or(|it| at > it.plus(SAME_TRANSFER_PERIOD)) {
                self.transferred_at.set(Some(at));
            }
        }
        if self.leader_reports.borrow_mut().record(from, report, now) {
            self.notify();
        }
    }

    /// The valid reports about the current leader, each with its sender.
    pub(crate) fn leader_reports(&self, now: BootInstant) -> Vec<(InstanceId, LeaderReport)> {
        let reports = self.leader_reports.borrow();
        let current = reports.valid(now).filter(|(_, it)| self.is_leader(&it.leader));
        current.map(|(from, it)| (from.clone(), it.clone())).collect()
    }

    /// Records that this instance ordered a transfer, and wakes the task that reports it.
    pub(crate) fn record_transfer(&self, now: BootInstant) {
        self.transferred_at.set(Some(now));
        self.notify();
    }

    /// How long ago the last transfer known was ordered.
    pub(crate) fn transferred_ago(&self, now: BootInstant) -> Option<Duration> {
        Some(now.since(self.transferred_at.get()?))
    }
}
