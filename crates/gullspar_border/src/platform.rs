//! The platform's object API.

use futures::future::LocalBoxFuture;
use gullspar_model::{InstanceId, record, value};
use quick_error::quick_error;

value! {
    /// The version of an object; 0 stands for an object that isn't there.
    #[derive(Default)]
    pub struct ObjectVersion(pub u64);
}

record! {
    /// An object as the platform holds it.
    pub struct StoredObject {
        pub key: String,
        pub version: ObjectVersion,
        /// The value as JSON text.
        pub value: String,
    }
}

record! {
    /// What a watch brought.
    pub struct WatchReply {
        /// Pass this to the next watch.
        pub revision: u64,
        /// The objects under the prefix that changed since the revision asked for.
        pub changed: Vec<StoredObject>,
    }
}

record! {
    /// An entry of the platform's list of instances, which lags behind reality.
    pub struct PlatformInstance {
        pub id: InstanceId,
        /// Where the instance answers other instances.
        pub peer: std::net::SocketAddr,
        pub leaving: bool,
    }
}

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlatformError {
        /// The version was not the expected one; the call had no effect.
        Conflict(actual: ObjectVersion) {
            display("the object is at version {}", actual.0)
        }
        /// The platform refused the call; it had no effect.
        Refused(reason: String) {
            display("the platform refused: {reason}")
        }
        /// No answer came: the call may have taken effect, and must be read back.
        NoAnswer(reason: String) {
            display("no answer from the platform: {reason}")
        }
    }
}

/// The platform's store of configuration, status and objects of our own kinds.
pub trait Platform {
    /// Reads one object.
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<StoredObject>, PlatformError>>;

    /// Writes an object if it is at `expected`; gives the new version.
    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: ObjectVersion,
        value: String,
    ) -> LocalBoxFuture<'a, Result<ObjectVersion, PlatformError>>;

    /// Waits up to `wait_ms` for changes under `prefix` after `revision`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'a, Result<WatchReply, PlatformError>>;

    /// Lists live and leaving instances.
    fn instances(&self) -> LocalBoxFuture<'_, Result<Vec<PlatformInstance>, PlatformError>>;
}
