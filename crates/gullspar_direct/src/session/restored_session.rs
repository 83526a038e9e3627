//! The state of a session that moves to another instance.

use gullspar_customer::KeyFingerprint;
use gullspar_model::{LogPoint, ServiceName, record};

use crate::SessionValues;

record! {
    /// The opening of a session, and what its statements have changed since.
    pub struct RestoredSession {
        pub service: ServiceName,
        pub key: Option<KeyFingerprint>,
        pub values: SessionValues,
        /// The position of the session's newest own commit.
        pub own_commit: Option<LogPoint>,
        /// Whether the first statement that needs a target is a read that was already sent to another home.
        pub repeats_read: bool,
    }
}
