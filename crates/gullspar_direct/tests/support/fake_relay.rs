//! A session forwarded between two instances over channels.

use std::rc::Rc;

use futures::channel::mpsc;
use futures::future::LocalBoxFuture;
use futures::{FutureExt, StreamExt};
use gullspar_border::PeerError;
use gullspar_direct::{HomeLink, RelayMessage, RelayReply, RelayedLink};
use gullspar_statement::{Answer, CallerLink, CallerLinkError, CallerMessage};

use super::fake_peers::Path;

/// One direction of a session. While its path is silent, what was sent is delivered late, as by TCP.
struct Receiver<T> {
    rx: mpsc::UnboundedReceiver<T>,
    path: Rc<Path>,
    /// What arrived at the end of the path, with `None` as the end of the session.
    held: Option<Option<T>>,
}

impl<T> Receiver<T> {
    fn new(rx: mpsc::UnboundedReceiver<T>, path: &Rc<Path>) -> Receiver<T> {
        Receiver { rx, path: Rc::clone(path), held: None }
    }

    async fn next(&mut self) -> Option<T> {
        if self.held.is_none() {
            self.held = Some(self.rx.next().await);
        }
        self.path.wait_until_connected().await;
        self.held.take().flatten()
    }
}

/// The end at the instance that the caller is connected to.
pub struct FakeHomeLink {
    tx: mpsc::UnboundedSender<RelayMessage>,
    rx: Receiver<RelayReply>,
}

/// The end at the home.
pub struct FakeRelayedCaller {
    tx: mpsc::UnboundedSender<RelayReply>,
    rx: Receiver<RelayMessage>,
}

/// The two ends of a session that is forwarded over `path`.
pub fn pair(path: Path) -> (FakeHomeLink, FakeRelayedCaller) {
    let path = Rc::new(path);
    let (to_home, from_relay) = mpsc::unbounded();
    let (to_relay, from_home) = mpsc::unbounded();
    let home = FakeHomeLink { tx: to_home, rx: Receiver::new(from_home, &path) };
    (home, FakeRelayedCaller { tx: to_relay, rx: Receiver::new(from_relay, &path) })
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
                Some(RelayMessage::Restore(_)) => panic!("the session is already open"),
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

impl RelayedLink for FakeRelayedCaller {
    fn first(&mut self) -> LocalBoxFuture<'_, Result<Option<RelayMessage>, CallerLinkError>> {
        async move {
            let first = self.rx.next().await;
            let is_unknown = matches!(first, Some(RelayMessage::Restore(_)));
            Ok(first.filter(|_| !is_unknown || !self.rx.path.ends_at_older_build()))
        }
        .boxed_local()
    }
}
