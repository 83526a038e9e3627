//! Exchanges reports about leaders that serve their groups badly with the other homes of these groups.

use std::time::Duration;

use gullspar_border::BootInstant;

use crate::{LeaderReport, LeaderReports, PeerMessage, Proxy};

/// Minimum time between two messages with reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of reports in a message; a report takes about 60 bytes.
const MAX_REPORTS: usize = 16;

impl Proxy {
    /// Sends reports to the homes that share the groups, if there is anything to report and the last reports, sent at
    /// `last_sent_at`, are old enough. A transfer that was ordered since then is reported at once.
    pub(crate) fn send_leader_reports(&self, last_sent_at: &mut Option<BootInstant>) {
        let now = self.borders.clock.boot_now();
        let since_last = last_sent_at.map(|it| now.since(it));
        let groups = self.groups();
        let has_new_transfer = groups
            .iter()
            .filter_map(|it| it.transferred_ago(now))
            .any(|ago| since_last.is_some_and(|it| ago < it));
        if since_last.is_some_and(|it| it < REPORT_INTERVAL) && !has_new_transfer {
            return;
        }
        *last_sent_at = Some(now);
        let mut reports: Vec<LeaderReport> = Vec::new();
        for group in groups {
            let report = group.leader_report(now).or_else(|| group.retraction(&self.own.id, now));
            if let Some(report) = report {
                group.record_report(self.own.id.clone(), report.clone(), now);
                reports.push(report);
            }
        }
        if reports.is_empty() {
            return;
        }
        reports.sort_by_key(|it| std::cmp::Reverse(it.lost_per_s));
        self.send_group_reports(
            &reports,
            |it| &it.group,
            |it| {
                let reports = it.iter().take(MAX_REPORTS).cloned().collect();
                let message = LeaderReports { from: self.own.id.clone(), reports };
                vec![PeerMessage::LeaderReports(message)]
            },
        );
    }

    /// Records the reports of another home. Those of instances that don't monitor the group are ignored.
    pub(crate) fn apply_leader_reports(&self, reports: LeaderReports) {
        let now = self.borders.clock.boot_now();
        for report in reports.reports.into_iter().take(MAX_REPORTS) {
            let Some(group) = self.group(&report.group) else { continue };
            if self.peers.views.voting_ids(&group.name, now).contains(&reports.from) {
                group.record_report(reports.from.clone(), report, now);
            }
        }
    }
}
