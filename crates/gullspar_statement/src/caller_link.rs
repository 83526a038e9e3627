//! The side of callers.

use std::io;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_customer::KeyFingerprint;
use gullspar_model::{RequestId, ServiceName, record};
use quick_error::quick_error;

use crate::{Answer, Statement};

record! {
    /// What a caller sends.
    pub enum CallerMessage {
        /// Opens the session; the key itself is not kept.
        Open { service: ServiceName, key: Option<KeyFingerprint> },
        Statement(Statement),
        /// A statement that could not be understood; the session goes on.
        Malformed { id: RequestId, reason: String },
        /// Ends the session.
        Close,
    }
}

quick_error! {
    /// Why nothing more comes from a caller.
    #[derive(Debug)]
    pub enum CallerLinkError {
        /// The connection broke.
        Broken(err: io::Error) {
            from()
            source(err)
            display("the caller's connection broke: {err}")
        }
        /// What came is no message at all, so that nothing after it can be trusted.
        Unreadable(reason: &'static str) {
            display("unreadable: {reason}")
        }
    }
}

/// One caller's connection.
pub trait CallerLink {
    /// The next message; `None` when the caller has gone. A call that is dropped loses nothing.
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<CallerMessage>, CallerLinkError>>;

    /// Sends one answer.
    fn reply<'a>(
        &'a mut self,
        answer: &'a Answer,
    ) -> LocalBoxFuture<'a, Result<(), CallerLinkError>>;

    /// Whether nothing that the caller sent waits to be read.
    fn is_quiet(&self) -> bool;

    /// Asks the other side to end the session, where it can be asked; `false` where it can't, and the
    /// session is simply closed.
    fn request_end(&mut self) -> LocalBoxFuture<'_, Result<bool, CallerLinkError>> {
        async { Ok(false) }.boxed_local()
    }
}
