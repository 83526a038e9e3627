//! The registry, through which instances find each other at startup, and later while they know no
//! others.

use futures::future::LocalBoxFuture;
use quick_error::quick_error;

use crate::Member;

quick_error! {
    /// A failed request to the registry; it may have taken effect nevertheless.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RegistryError {
        /// The registry did not answer or refused the request.
        Unavailable(reason: String) {
            display("registry unavailable: {reason}")
        }
    }
}

/// A persistent list of the fleet's instances.
pub trait Registry {
    /// Registers an instance, replacing its previous entry.
    fn register<'a>(&'a self, member: &'a Member) -> LocalBoxFuture<'a, Result<(), RegistryError>>;

    /// The newest era of the store behind the registry, as reported by its answers to this
    /// instance.
    fn era(&self) -> u64;

    /// All entries, including those of instances that no longer run.
    fn entries(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, RegistryError>>;
}
