//! The configuration of all services, and the targets that are there.

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
        /// Time that one statement may take, in milliseconds.
        pub statement_ms: u64,
        /// Time within which callers want a whole operation answered, in milliseconds.
        pub objective_ms: u64,
        /// 0 goes first.
        pub priority: u8,
        /// Whether callers must hold the key of a customer.
        pub needs_key: bool,
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
        /// `None` where callers have no keys at all.
        pub customers: Option<Customers>,
    }
}

impl Catalogue {
    /// The customer that a session with `key` on `route` belongs to, if any.
    ///
    /// # Errors
    ///
    /// Fails where the route needs a key and `key` is not that of a customer.
    pub(crate) fn identify(
        &self,
        route: &Route,
        key: Option<&KeyFingerprint>,
    ) -> Result<Option<CustomerName>, UnknownKey> {
        let Some(customers) = &self.customers else { return Ok(None) };
        let holder = key.and_then(|it| customers.holder(it)).cloned();
        if holder.is_none() && route.needs_key { Err(UnknownKey) } else { Ok(holder) }
    }

    /// How many operations of `customer` may run; `None` for any number.
    pub(crate) fn limit(&self, customer: &CustomerName) -> Option<RateLimit> {
        self.customers.as_ref()?.limit(customer)
    }
}

/// No customer holds the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnknownKey;

record! {
    /// The targets that the platform lists.
    pub struct TargetList {
        /// Grows with each change at the platform.
        pub revision: Revision,
        pub targets: Vec<TargetSpec>,
    }
}
