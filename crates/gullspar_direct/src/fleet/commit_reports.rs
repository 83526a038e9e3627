//! Exchanges reports about synchronous groups with the other homes of these groups.

use std::collections::BTreeMap;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::GroupName;

use crate::{CommitReport, CommitReports, PeerMessage, Proxy};

/// Interval at which unchanged reports are repeated, for instances that have just started and for lost datagrams.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of reports in a message; a report takes about 50 bytes.
const MAX_REPORTS: usize = 20;

/// The reports that were sent last.
#[derive(Default)]
pub(crate) struct SentCommitReports {
    at: Option<BootInstant>,
    reports: BTreeMap<GroupName, CommitReport>,
}

impl Proxy {
    /// Sends reports about synchronous groups to the homes that share them: those that have changed, and at intervals all.
    pub(crate) fn send_commit_reports(&self, sent: &mut SentCommitReports) {
        let now = self.borders.clock.boot_now();
        let is_due = sent.at.is_none_or(|it| now.since(it) >= REPEAT_INTERVAL);
        let groups = self.groups();
        let synchronous = groups.iter().filter(|it| it.is_synchronous());
        let reports: Vec<CommitReport> = synchronous.map(|it| it.commit_report(now)).collect();
        let is_new = |it: &&CommitReport| {
            is_due || sent.reports.get(&it.group).is_none_or(|old| it.has_news_since(old))
        };
        let due: Vec<CommitReport> = reports.iter().filter(is_new).cloned().collect();
        if !due.is_empty() {
            self.send_group_reports(&due, |it| &it.group, |it| self.encode_commit_reports(it));
        }
        if is_due {
            sent.at = Some(now);
        }
        sent.reports = reports.into_iter().map(|it| (it.group.clone(), it)).collect();
    }

    fn encode_commit_reports(&self, reports: &[CommitReport]) -> Vec<PeerMessage> {
        let message = |it: &[CommitReport]| {
            let reports = CommitReports { from: self.own.id.clone(), reports: it.to_vec() };
            PeerMessage::CommitReports(reports)
        };
        reports.chunks(MAX_REPORTS).map(message).collect()
    }

    /// Applies the reports of another home.
    pub(crate) fn apply_commit_reports(&self, reports: CommitReports) {
        for report in reports.reports.into_iter().take(MAX_REPORTS) {
            if let Some(group) = self.group(&report.group) {
                group.apply_commit_report(reports.from.clone(), report);
            }
        }
    }
}
