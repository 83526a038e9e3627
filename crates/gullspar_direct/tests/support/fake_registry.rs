//! A registry of instances in memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_direct::{Member, Registry, RegistryError};
use gullspar_model::InstanceId;

/// Keeps every entry for the whole test.
#[derive(Default)]
pub struct FakeRegistry {
    entries: RefCell<BTreeMap<InstanceId, Member>>,
    /// Calls get no answer.
    pub unresponsive: Cell<bool>,
    /// Number of calls of `register` that succeeded.
    pub registrations: Cell<u32>,
}

impl FakeRegistry {
    /// Adds an entry, as if the instance had registered before the test.
    pub fn insert(&self, member: Member) {
        self.entries.borrow_mut().insert(member.id.clone(), member);
    }
}

impl Registry for FakeRegistry {
    fn register<'a>(&'a self, member: &'a Member) -> LocalBoxFuture<'a, Result<(), RegistryError>> {
        if self.unresponsive.get() {
            return futures::future::pending().boxed_local();
        }
        self.registrations.set(self.registrations.get() + 1);
        self.insert(member.clone());
        async { Ok(()) }.boxed_local()
    }

    fn era(&self) -> u64 {
        0
    }

    fn entries(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, RegistryError>> {
        if self.unresponsive.get() {
            return futures::future::pending().boxed_local();
        }
        let entries = self.entries.borrow().values().cloned().collect();
        async move { Ok(entries) }.boxed_local()
    }
}
