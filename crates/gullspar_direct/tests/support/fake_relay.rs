//! A session forwarded between two instances over channels.

use futures::channel::mpsc;
use futures::future::LocalBoxFuture;
use futures::{FutureExt, StreamExt};
use gullspar_border::PeerError;
use gullspar_direct::{HomeLink, RelayMessage, RelayReply};
use gullspar_statement::{Answer, CallerLink, CallerLinkError, CallerMessage};

/// The end at the instance that the caller is connected to.
pub struct FakeHomeLink {
    tx: mpsc::UnboundedSender<RelayMessage>,
    rx: mpsc::UnboundedReceiver<RelayReply>,
}

/// The end at the home.
pub struct FakeRelayedCaller {
    tx: mpsc::UnboundedSender<RelayReply>,
    rx: mpsc::UnboundedReceiver<RelayMessage>,
}

/// The two ends of a forwarded session.
pub fn pair() -> (FakeHomeLink, FakeRelayedCaller) {
    let (to_home, from_relay) = mpsc::unbounded();
    let (to_relay, from_home) = mpsc::unbounded();
    let home = FakeHomeLink { tx: to_home, rx: from_home };
    (home, FakeRelayedCaller { tx: to_relay, rx: from_relay })
}

impl HomeLink for FakeHomeLink {
    fn send<'a>(
        &'a mut self,
        message: &'a RelayMessage,
    ) -> LocalBoxFuture<'a, Result<(), PeerError>> {
        let sent = self.tx.unbounded_send(message.clone());
        let result = sent.map_err(|err| PeerError::NoAnswer(err.to_string()));
        async move { result }.boxed_local()
    }

    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<RelayReply>, PeerError>> {
        async move { Ok(self.rx.next().await) }.boxed_local()
    }
}

impl CallerLink for FakeRelayedCaller {
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<CallerMessage>, CallerLinkError>> {
        async move {
            match self.rx.next().await {
                Some(RelayMessage::Caller(message)) => Ok(Some(message)),
                Some(RelayMessage::Ended) | None => Ok(None),
            }
        }
        .boxed_local()
    }

    fn reply<'a>(
        &'a mut self,
        answer: &'a Answer,
    ) -> LocalBoxFuture<'a, Result<(), CallerLinkError>> {
        // If the other end is closed, the next read reports it.
        let _ = self.tx.unbounded_send(RelayReply::Answer(answer.clone()));
        async { Ok(()) }.boxed_local()
    }

    fn is_quiet(&self) -> bool {
        true
    }

    fn request_end(&mut self) -> LocalBoxFuture<'_, Result<bool, CallerLinkError>> {
        let _ = self.tx.unbounded_send(RelayReply::Ending);
        async { Ok(true) }.boxed_local()
    }
}
