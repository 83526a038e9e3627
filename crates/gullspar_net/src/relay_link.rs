//! Forwarded sessions between instances, as length-prefixed messages over TCP.

use std::net::SocketAddr;

use compio::net::TcpStream;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::PeerError;
use gullspar_direct::{ForwardedSession, HomeLink, RelayMessage, RelayReply, RelayedLink};
use gullspar_statement::{Answer, CallerLink, CallerLinkError, CallerMessage};

use crate::TcpLink;
use crate::framed::{Framed, Hello};

/// A connection to a home, for one forwarded session.
pub(crate) struct TcpHomeLink {
    framed: Framed,
}

impl TcpHomeLink {
    /// Connects to the instance at `to` and opens the session there.
    pub(crate) async fn open(
        to: SocketAddr,
        session: ForwardedSession,
    ) -> Result<TcpHomeLink, PeerError> {
        let stream = TcpStream::connect(to).await.map_err(PeerError::no_answer)?;
        let mut framed = Framed::new(TcpLink::new(stream));
        framed.write(&Hello::Session(session)).await?;
        Ok(TcpHomeLink { framed })
    }
}

impl HomeLink for TcpHomeLink {
    fn send<'a>(
        &'a mut self,
        message: &'a RelayMessage,
    ) -> LocalBoxFuture<'a, Result<(), PeerError>> {
        async move { self.framed.write(message).await }.boxed_local()
    }

    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<RelayReply>, PeerError>> {
        async move { self.framed.read().await }.boxed_local()
    }
}

/// A caller that is connected to another instance.
pub(crate) struct RelayedCaller {
    pub(crate) framed: Framed,
}

impl CallerLink for RelayedCaller {
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<CallerMessage>, CallerLinkError>> {
        async move {
            match self.framed.read().await.map_err(broken)? {
                Some(RelayMessage::Caller(message)) => Ok(Some(message)),
                Some(RelayMessage::Ended) | None => Ok(None),
                Some(RelayMessage::Restore(_)) => {
                    Err(broken(PeerError::no_answer("the session is already open")))
                }
            }
        }
        .boxed_local()
    }

    fn reply<'a>(
        &'a mut self,
        answer: &'a Answer,
    ) -> LocalBoxFuture<'a, Result<(), CallerLinkError>> {
        async move {
            let reply = RelayReply::Answer(answer.clone());
            self.framed.write(&reply).await.map_err(broken)
        }
        .boxed_local()
    }

    fn is_quiet(&self) -> bool {
        self.framed.is_quiet()
    }

    fn request_end(&mut self) -> LocalBoxFuture<'_, Result<bool, CallerLinkError>> {
        async move {
            self.framed.write(&RelayReply::Ending).await.map_err(broken)?;
            Ok(true)
        }
        .boxed_local()
    }
}

impl RelayedLink for RelayedCaller {
    fn first(&mut self) -> LocalBoxFuture<'_, Result<Option<RelayMessage>, CallerLinkError>> {
        async move { self.framed.read().await.map_err(broken) }.boxed_local()
    }
}

fn broken(err: PeerError) -> CallerLinkError {
    CallerLinkError::Broken(std::io::Error::other(err.to_string()))
}
