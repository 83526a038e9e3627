//! The configuration of all services, and the targets that are there.

use std::collections::BTreeMap;

use gullspar_model::{GroupName, ServiceName, record};
use gullspar_statement::TargetSpec;

use crate::Freshness;

record! {
    /// How the statements of one service are served.
    pub struct Route {
        pub group: GroupName,
        pub freshness: Freshness,
        /// Time that one statement may take, in milliseconds.
        pub statement_ms: u64,
        /// Time within which callers want a whole operation answered, in milliseconds.
        pub objective_ms: u64,
        /// 0 goes first.
        pub priority: u8,
    }
}

record! {
    /// What each member of a group allows.
    #[derive(Copy)]
    pub struct GroupLimits {
        /// Connections to one member from all instances together.
        pub connections: u32,
    }
}

record! {
    /// All services in one version.
    pub struct Catalogue {
        pub version: u64,
        pub routes: BTreeMap<ServiceName, Route>,
        pub groups: BTreeMap<GroupName, GroupLimits>,
        /// Milliseconds after which a transaction that stands still is rolled back.
        pub transaction_idle_ms: u64,
    }
}

record! {
    /// The targets that the platform lists.
    pub struct TargetList {
        /// Grows with each change at the platform.
        pub revision: u64,
        pub targets: Vec<TargetSpec>,
    }
}
