//! The changes that fulfil an intent.

use gullspar_border::ObjectVersion;
use gullspar_model::{ServiceObject, record};
use quick_error::quick_error;

use crate::{Change, Intent};

record! {
    /// The changes that fulfil an intent. Plans are not stored: a plan is complete, and any instance can carry it out.
    pub struct Plan {
        /// Identifies the plan, also among plans for the same intent.
        pub id: String,
        pub intent: Intent,
        /// The version of the configuration that the plan was made for; 0 if the service doesn't exist.
        pub based_on: ObjectVersion,
        pub changes: Vec<Change>,
        /// The configuration after the changes.
        pub result: Box<ServiceObject>,
    }
}

quick_error! {
    /// Why an intent could not be planned.
    #[derive(Debug)]
    pub enum PlanError {
        /// The intent can't be fulfilled, for all these reasons.
        Findings(findings: Vec<String>) {
            display("{}", findings.join("; "))
        }
        /// The current configuration could not be read from the platform.
        Platform(err: gullspar_border::PlatformError) {
            from()
            display("{err}")
        }
    }
}
