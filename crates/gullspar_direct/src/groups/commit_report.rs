//! What homes tell each other about commits and claims of synchronous groups.

use std::collections::BTreeMap;

use gullspar_model::{GroupName, InstanceId, LogPoint, record};

use crate::{FencingToken, NewestAcknowledged, Settlement};

record! {
    /// One home's report about a synchronous group.
    pub struct CommitReport {
        pub group: GroupName,
        /// The newest claim that the sender knows of.
        pub claim: Option<FencingToken>,
        /// The newest settlement that the sender knows of.
        pub settled: Option<Settlement>,
        /// The newest commit that the sender has acknowledged.
        pub acknowledged: Option<LogPoint>,
        /// Whether that covers all that was acknowledged under the sender's id. An instance that has just started doesn't know
        /// what it acknowledged before.
        pub is_complete: bool,
    }
}

record! {
    /// The reports of one home; each replaces its earlier one about the same group.
    pub struct CommitReports {
        pub from: InstanceId,
        pub reports: Vec<CommitReport>,
    }
}

impl CommitReport {
    /// Whether the sender has learnt since `old` of a claim or of its settlement.
    pub(crate) fn has_news_since(&self, old: &CommitReport) -> bool {
        (self.claim, &self.settled) != (old.claim, &old.settled)
    }
}

/// The newest report of each home about one group.
#[derive(Debug, Default)]
pub(crate) struct ReceivedCommitReports {
    reports: BTreeMap<InstanceId, CommitReport>,
    /// The newest commit of any report, including those of instances that no longer run.
    newest: Option<LogPoint>,
}

impl ReceivedCommitReports {
    pub(crate) fn record(&mut self, from: InstanceId, report: CommitReport) {
        self.newest = self.newest.max(report.acknowledged);
        self.reports.insert(from, report);
    }

    /// The newest commit that this instance, whose report is `own`, or one of `others` has acknowledged. It is complete if all
    /// of them have reported since they know of the claim with `token`.
    pub(crate) fn newest_acknowledged(
        &mut self,
        own: &CommitReport,
        others: &[InstanceId],
        token: FencingToken,
    ) -> NewestAcknowledged {
        self.reports.retain(|from, _| others.contains(from));
        let is_complete =
            |it: &CommitReport| it.is_complete && it.claim.is_some_and(|known| known >= token);
        let has_reported = |it: &InstanceId| self.reports.get(it).is_some_and(is_complete);
        NewestAcknowledged {
            point: self.newest.max(own.acknowledged),
            is_complete: is_complete(own) && others.iter().all(has_reported),
        }
    }
}
