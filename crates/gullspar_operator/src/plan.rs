//! What the system would change to fulfil an intent.

use gullspar_border::ObjectVersion;
use gullspar_model::{ServiceObject, record};
use quick_error::quick_error;

use crate::{Change, Intent};

record! {
    /// A plan. It stands by itself: any instance can carry it out, and none keeps it.
    pub struct Plan {
        /// Tells this plan from another for the same wish.
        pub id: String,
        pub intent: Intent,
        /// The version that the plan was made against; 0 for a service that isn't there.
        pub based_on: ObjectVersion,
        pub changes: Vec<Change>,
        /// The configuration after the change.
        pub result: Box<ServiceObject>,
    }
}

quick_error! {
    /// Why there is no plan.
    #[derive(Debug)]
    pub enum PlanError {
        /// The intent can't be fulfilled.
        Findings(findings: Vec<String>) {
            display("{}", findings.join("; "))
        }
        /// The platform did not tell the present configuration.
        Platform(err: gullspar_border::PlatformError) {
            from()
            display("{err}")
        }
    }
}
