//! Where instances find each other when nobody they were told of answers.

use std::net::SocketAddr;

use futures::future::LocalBoxFuture;
use gullspar_model::InstanceId;
use quick_error::quick_error;

quick_error! {
    /// Why the registry could not be used; it may have taken effect.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RegistryError {
        /// No answer came, or a refusal.
        Unavailable(reason: String) {
            display("the registry can't be used: {reason}")
        }
    }
}

/// A list of instances' addresses that outlives them.
pub trait Registry {
    /// Enters an instance, or changes its address.
    fn enter<'a>(
        &'a self,
        id: &'a InstanceId,
        address: SocketAddr,
    ) -> LocalBoxFuture<'a, Result<(), RegistryError>>;

    /// All addresses, those of instances that are gone included.
    fn addresses(&self) -> LocalBoxFuture<'_, Result<Vec<SocketAddr>, RegistryError>>;
}
