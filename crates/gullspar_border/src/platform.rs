//! Interface of the platform's object store.

use futures::future::LocalBoxFuture;
use gullspar_model::{InstanceId, record, value};
use quick_error::quick_error;

value! {
    /// The version of an object; 0 if the object does not exist.
    #[derive(Default)]
    pub struct ObjectVersion(pub u64);
}

record! {
    /// An object as stored on the platform.
    pub struct StoredObject {
        pub key: String,
        pub version: ObjectVersion,
        /// The value as JSON text.
        pub value: String,
    }
}

record! {
    /// The answer to a watch.
    pub struct WatchReply {
        /// The revision to pass to the next watch.
        pub revision: u64,
        /// The objects under the prefix that changed after the requested revision.
        pub changed: Vec<StoredObject>,
    }
}

record! {
    /// An entry of the platform's list of instances, which may be out of date.
    pub struct PlatformInstance {
        pub id: InstanceId,
        /// The address on which the instance accepts calls of other instances.
        pub peer: std::net::SocketAddr,
        pub leaving: bool,
    }
}

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlatformError {
        /// The object is not at the expected version; the call had no effect.
        Conflict(actual: ObjectVersion) {
            display("the object is at version {}", actual.0)
        }
        /// The platform refused the call; it had no effect.
        Refused(reason: String) {
            display("the platform refused: {reason}")
        }
        /// No answer was received. The call may have taken effect; read the object to find out.
        NoAnswer(reason: String) {
            display("no answer from the platform: {reason}")
        }
    }
}

/// The platform's store of configuration, status and the project's own objects.
pub trait Platform {
    /// Reads one object.
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<StoredObject>, PlatformError>>;

    /// Writes an object if it is at version `expected`; returns the new version.
    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: ObjectVersion,
        value: String,
    ) -> LocalBoxFuture<'a, Result<ObjectVersion, PlatformError>>;

    /// Waits up to `wait_ms` milliseconds for changes under `prefix` after `revision`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'a, Result<WatchReply, PlatformError>>;

    /// Lists the instances that are running or leaving.
    fn instances(&self) -> LocalBoxFuture<'_, Result<Vec<PlatformInstance>, PlatformError>>;
}
