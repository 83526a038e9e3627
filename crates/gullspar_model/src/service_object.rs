//! The platform's object for a service, which holds its whole configuration.

use std::collections::BTreeMap;

use crate::{CallerClass, CallerName, GroupSpec};

crate::record! {
    /// An account, its class and its password verifier.
    #[serde(deny_unknown_fields)]
    pub struct CallerSpec {
        pub class: String,
        /// Salted password for SCRAM-SHA-256, as `iterations:salt:hash` with both parts in hex.
        pub verifier: String,
    }
}

crate::record! {
    /// The configuration that an instance needs to serve a service.
    ///
    /// It is a single object, so that a conditional update changes all of it at once and no change is ever applied
    /// in part; see `docs/design/configuration.md`.
    #[serde(deny_unknown_fields)]
    pub struct ServiceObject {
        pub group: GroupSpec,
        pub classes: BTreeMap<String, CallerClass>,
        pub callers: BTreeMap<CallerName, CallerSpec>,
        /// The id of the plan whose confirmation wrote this version. Distinguishes a lost answer from a lost
        /// update.
        #[serde(default)]
        pub written_by: String,
    }
}

impl ServiceObject {
    /// Key prefix of service objects on the platform.
    pub const PREFIX: &'static str = "gullspar/services/";

    /// Returns the class of the account `caller`.
    pub fn class_of(&self, caller: &CallerName) -> Option<&CallerClass> {
        let spec = self.callers.get(caller)?;
        self.classes.get(&spec.class)
    }
}
