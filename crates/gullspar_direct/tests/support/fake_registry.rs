//! The registry of instances in memory.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_direct::{Registry, RegistryError};
use gullspar_model::InstanceId;

/// Entries that nothing removes.
#[derive(Default)]
pub struct FakeRegistry {
    entries: RefCell<BTreeMap<InstanceId, SocketAddr>>,
}

impl Registry for FakeRegistry {
    fn enter<'a>(
        &'a self,
        id: &'a InstanceId,
        address: SocketAddr,
    ) -> LocalBoxFuture<'a, Result<(), RegistryError>> {
        self.entries.borrow_mut().insert(id.clone(), address);
        async { Ok(()) }.boxed_local()
    }

    fn addresses(&self) -> LocalBoxFuture<'_, Result<Vec<SocketAddr>, RegistryError>> {
        let addresses = self.entries.borrow().values().copied().collect();
        async move { Ok(addresses) }.boxed_local()
    }
}
