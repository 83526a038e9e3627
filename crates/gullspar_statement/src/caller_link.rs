//! The interface to a caller's connection.

use std::io;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_customer::KeyFingerprint;
use gullspar_model::{RequestId, ServiceName, record};
use quick_error::quick_error;

use crate::{Answer, Statement};

record! {
    /// A message from a caller.
    pub enum CallerMessage {
        /// Opens the session; only the fingerprint of the key is kept.
        Open { service: ServiceName, key: Option<KeyFingerprint> },
        Statement(Statement),
        /// A statement that could not be parsed; the session continues.
        Malformed { id: RequestId, reason: String },
        /// Ends the session.
        Close,
    }
}

quick_error! {
    /// Why no more messages can be read from a caller.
    #[derive(Debug)]
    pub enum CallerLinkError {
        /// The connection broke.
        Broken(err: io::Error) {
            from()
            source(err)
            display("the caller's connection broke: {err}")
        }
        /// The data is not a valid message, so nothing after it can be parsed either.
        Unreadable(reason: &'static str) {
            display("unreadable message from the caller: {reason}")
        }
    }
}

/// One caller's connection.
pub trait CallerLink {
    /// The next message; `None` when the caller has disconnected. Cancel-safe.
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<CallerMessage>, CallerLinkError>>;

    /// Sends one answer.
    fn reply<'a>(
        &'a mut self,
        answer: &'a Answer,
    ) -> LocalBoxFuture<'a, Result<(), CallerLinkError>>;

    /// Whether no message from the caller waits to be read.
    fn is_quiet(&self) -> bool;

    /// Asks the other side to end the session. Returns `false` if the protocol can't do that and the session is just
    /// closed.
    fn request_end(&mut self) -> LocalBoxFuture<'_, Result<bool, CallerLinkError>> {
        async { Ok(false) }.boxed_local()
    }
}
