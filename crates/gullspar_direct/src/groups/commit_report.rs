//! What homes tell each other about commits and claims of synchronous groups.

use gullspar_model::{GroupName, InstanceId, record};

use crate::FencingToken;

record! {
    /// One home's report about a synchronous group.
    pub struct CommitReport {
        pub group: GroupName,
        /// The newest claim that the sender knows to be settled.
        pub settled: Option<FencingToken>,
    }
}

record! {
    /// The reports of one home; each replaces its earlier one about the same group.
    pub struct CommitReports {
        pub from: InstanceId,
        pub reports: Vec<CommitReport>,
    }
}
