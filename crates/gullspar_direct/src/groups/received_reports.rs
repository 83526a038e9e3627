//! The recent reports of homes about one group's leader.

use std::collections::BTreeMap;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::InstanceId;

use crate::LeaderReport;

/// How long a report is valid. Tolerates one lost report.
const REPORT_TTL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct ReceivedReport {
    report: LeaderReport,
    at: BootInstant,
}

/// The newest report of each home.
#[derive(Debug, Default)]
pub(crate) struct ReceivedReports {
    reports: BTreeMap<InstanceId, ReceivedReport>,
}

impl ReceivedReports {
    /// Records a report that arrived at `now`. Returns whether it is the only valid one.
    pub(crate) fn record(
        &mut self,
        from: InstanceId,
        report: LeaderReport,
        now: BootInstant,
    ) -> bool {
        self.reports.retain(|_, it| now.since(it.at) < REPORT_TTL);
        let is_first = self.reports.is_empty();
        self.reports.insert(from, ReceivedReport { report, at: now });
        is_first
    }

    /// The valid reports, each with its sender.
    pub(crate) fn valid(
        &self,
        now: BootInstant,
    ) -> impl Iterator<Item = (&InstanceId, &LeaderReport)> {
        let is_valid = move |it: &(&InstanceId, &ReceivedReport)| now.since(it.1.at) < REPORT_TTL;
        self.reports.iter().filter(is_valid).map(|(from, it)| (from, &it.report))
    }
}
