//! The customers of a configuration, with their keys and limits.

use std::collections::BTreeMap;

use gullspar_model::{CustomerName, record};

use crate::{KeyFingerprint, RateLimit};

record! {
    /// Maps keys to the customers that hold them, and customers to their limits.
    #[derive(Default)]
    pub struct Customers {
        holders: BTreeMap<KeyFingerprint, CustomerName>,
        limits: BTreeMap<CustomerName, Option<RateLimit>>,
    }
}

impl Customers {
    /// Adds a customer. Without a `limit` its operations aren't limited.
    pub fn add(
        &mut self,
        name: CustomerName,
        keys: impl IntoIterator<Item = KeyFingerprint>,
        limit: Option<RateLimit>,
    ) {
        self.holders.extend(keys.into_iter().map(|it| (it, name.clone())));
        self.limits.insert(name, limit);
    }

    /// The customer that holds `key`; `None` if the key is unknown.
    pub fn holder(&self, key: &KeyFingerprint) -> Option<&CustomerName> {
        self.holders.get(key)
    }

    /// The limit of `customer`; `None` if it has none or is unknown.
    pub fn limit(&self, customer: &CustomerName) -> Option<RateLimit> {
        self.limits.get(customer).copied().flatten()
    }

    /// The number of customers.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Whether there are no customers.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }
}
