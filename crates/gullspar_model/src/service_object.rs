//! The platform's object for a service: its whole configuration.

use std::collections::BTreeMap;

use crate::{CallerClass, CallerName, GroupSpec};

crate::record! {
    /// An account and the class it belongs to.
    #[serde(deny_unknown_fields)]
    pub struct CallerSpec {
        pub class: String,
        /// Salted password for SCRAM-SHA-256, as `iterations:salt:hash` with both parts in hex.
        pub verifier: String,
    }
}

crate::record! {
    /// Everything that an instance needs to know to serve a service.
    ///
    /// One object, so that one conditional update changes it whole: there is no half-applied
    /// configuration to resume, see `docs/design/configuration.md`.
    #[serde(deny_unknown_fields)]
    pub struct ServiceObject {
        pub group: GroupSpec,
        pub classes: BTreeMap<String, CallerClass>,
        pub callers: BTreeMap<CallerName, CallerSpec>,
        /// The id of the plan whose confirmation wrote this version; tells a lost answer from a
        /// lost update.
        #[serde(default)]
        pub written_by: String,
    }
}

impl ServiceObject {
    /// Key prefix of service objects on the platform.
    pub const PREFIX: &'static str = "gullspar/services/";

    /// The class of the account `caller`.
    pub fn class_of(&self, caller: &CallerName) -> Option<&CallerClass> {
        let spec = self.callers.get(caller)?;
        self.classes.get(&spec.class)
    }
}
