//! An instance's report for operators.

use gullspar_model::{DataCentre, InstanceId, record};

use crate::{ConfigEntry, MemberReport, OutcomeCount};

record! {
    /// The state of an instance, as it reports it to operators.
    pub struct InstanceReport {
        pub id: InstanceId,
        pub data_centre: DataCentre,
        pub callers: u64,
        pub live_instances: u64,
        pub configuration: Vec<ConfigEntry>,
        pub members: Vec<MemberReport>,
        pub outcomes: Vec<OutcomeCount>,
    }
}
