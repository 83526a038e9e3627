//! The configuration of all services, and the list of targets.

use std::collections::BTreeMap;

use gullspar_customer::{Customers, KeyFingerprint, RateLimit};
use gullspar_model::{CustomerName, GroupName, Revision, ServiceName, record};
use gullspar_statement::TargetSpec;

use crate::Freshness;

record! {
    /// How the statements of one service are served.
    pub struct Route {
        pub group: GroupName,
        pub freshness: Freshness,
        /// Timeout of one statement, in milliseconds.
        pub statement_ms: u64,
        /// The service's latency objective for a whole operation, in milliseconds.
        pub objective_ms: u64,
        /// 0 is served first.
        pub priority: u8,
        /// Whether callers must hold the key of a customer.
        pub needs_key: bool,
    }
}

record! {
    /// Limits that apply to each member of a group.
    #[derive(Copy)]
    pub struct GroupLimits {
        /// Maximum number of connections to one member, from all instances together.
        pub connections: u32,
        /// Replicas that must have received a commit before a member acknowledges it; 0 if it waits for none.
        pub sync_replicas: u32,
    }
}

record! {
    /// One version of the configuration of all services.
    pub struct Catalogue {
        pub version: u64,
        pub routes: BTreeMap<ServiceName, Route>,
        pub groups: BTreeMap<GroupName, GroupLimits>,
        /// Time after which an idle transaction is rolled back, in milliseconds; 0 disables the timeout.
        pub transaction_idle_ms: u64,
        /// `None` if callers have no keys at all.
        pub customers: Option<Customers>,
    }
}

impl Catalogue {
    /// The customer that a session with `key` on `route` belongs to, if any.
    ///
    /// # Errors
    ///
    /// Fails if the route needs a key and `key` belongs to no customer.
    pub(crate) fn identify(
        &self,
        route: &Route,
        key: Option<&KeyFingerprint>,
    ) -> Result<Option<CustomerName>, UnknownKey> {
        let Some(customers) = &self.customers else { return Ok(None) };
        let holder = key.and_then(|it| customers.holder(it)).cloned();
        if holder.is_none() && route.needs_key { Err(UnknownKey) } else { Ok(holder) }
    }

    /// The rate limit of `customer`; `None` if there is none.
    pub(crate) fn limit(&self, customer: &CustomerName) -> Option<RateLimit> {
        self.customers.as_ref()?.limit(customer)
    }
}

/// The key belongs to no customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnknownKey;

record! {
    /// The targets that the platform lists.
    pub struct TargetList {
        /// Grows with each change in the platform's store.
        pub revision: Revision,
        pub targets: Vec<TargetSpec>,
    }
}
