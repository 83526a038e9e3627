//! What a coordinator answers.

use gullspar_border::BootInstant;
use gullspar_model::{GroupName, InstanceId, record};

use super::{Decision, timing};

record! {
    /// A coordinator's verdict, with its inputs.
    ///
    /// Without `answers`, it only asks the receiver to report.
    pub struct RotationVerdict {
        pub from: InstanceId,
        /// By the sender's clock; distinguishes newer verdicts from older ones of the same coordinator.
        pub sent_at: BootInstant,
        /// When the receiver, by its own clock, sent the report that this answers.
        pub answers: Option<BootInstant>,
        pub decision: Decision,
        /// Number of instances that report that they are isolated.
        pub isolated: u32,
        /// Number of instances that report.
        pub reported: u32,
        /// The recent use of groups that can be served.
        pub servable: u64,
        /// The recent use of groups with a home among the reporting instances.
        pub used: u64,
        /// Groups whose leader no reporting instance reaches; empty if there are too many of them.
        pub unservable: Vec<GroupName>,
        /// Whether the next report to the sender must contain the uses.
        pub needs_uses: bool,
    }
}

impl RotationVerdict {
    /// Until when the verdict is valid, by the receiver's clock; `None` if it answers no report.
    pub fn valid_until(&self) -> Option<BootInstant> {
        self.answers.map(|it| it.plus(timing::VERDICT_TTL))
    }

    /// The share of the use that can be served, in percent; `None` without any use.
    pub fn servable_percent(&self) -> Option<u64> {
        (100 * self.servable).checked_div(self.used)
    }
}
