//! Where instances find each other when nobody they were told of answers.

use futures::future::LocalBoxFuture;
use quick_error::quick_error;

use crate::Member;

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

/// A list of instances that outlives them.
pub trait Registry {
    /// Enters an instance, or replaces what stands there of it.
    fn register<'a>(&'a self, member: &'a Member) -> LocalBoxFuture<'a, Result<(), RegistryError>>;

    /// The newest era of the store behind it that any of its answers to this instance told.
    fn era(&self) -> u64;

    /// All entries, those of instances that are gone included.
    fn entries(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, RegistryError>>;
}
