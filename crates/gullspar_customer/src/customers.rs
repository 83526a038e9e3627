//! All customers of a configuration.

use std::collections::BTreeMap;

use gullspar_model::{CustomerName, record};

use crate::{KeyFingerprint, RateLimit};

record! {
    /// Whose each key is, and each customer's limit.
    #[derive(Default)]
    pub struct Customers {
        holders: BTreeMap<KeyFingerprint, CustomerName>,
        limits: BTreeMap<CustomerName, Option<RateLimit>>,
    }
}

impl Customers {
    /// Adds a customer; without a limit it may have any number of operations run.
    pub fn add(
        &mut self,
        name: CustomerName,
        keys: impl IntoIterator<Item = KeyFingerprint>,
        limit: Option<RateLimit>,
    ) {
        self.holders.extend(keys.into_iter().map(|it| (it, name.clone())));
        self.limits.insert(name, limit);
    }

    /// The customer that holds `key`.
    pub fn holder(&self, key: &KeyFingerprint) -> Option<&CustomerName> {
        self.holders.get(key)
    }

    /// The limit of `customer`; `None` if it has none or is not known.
    pub fn limit(&self, customer: &CustomerName) -> Option<RateLimit> {
        self.limits.get(customer).copied().flatten()
    }

    /// How many customers there are.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Whether there is no customer.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }
}
