//! The interfaces to the two ends of a forwarded session.

use futures::future::LocalBoxFuture;
use gullspar_border::PeerError;
use gullspar_statement::{CallerLink, CallerLinkError};

use crate::{RelayMessage, RelayReply};

/// A connection to a home, for one session.
pub trait HomeLink {
    /// Sends one message.
    fn send<'a>(
        &'a mut self,
        message: &'a RelayMessage,
    ) -> LocalBoxFuture<'a, Result<(), PeerError>>;

    /// The next reply; `None` when the home has closed the connection. Cancel-safe.
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<RelayReply>, PeerError>>;
}

/// A connection from an instance that forwards a caller's session.
pub trait RelayedLink: CallerLink {
    /// The first message, which opens or restores the session; `None` when the instance has disconnected. All others are
    /// read with [`CallerLink::next`].
    fn first(&mut self) -> LocalBoxFuture<'_, Result<Option<RelayMessage>, CallerLinkError>>;
}
