//! Everything outside, as this package meets it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use futures::future::LocalBoxFuture;
use gullspar_border::{Clock, Entropy, PeerError};
use gullspar_statement::TargetDialer;

use crate::{
    Claims, ForwardedSession, HomeLink, PeerMessage, Promoter, Registry, Snapshot, SnapshotRequest,
    Stats,
};

/// The ways to other instances.
pub trait PeerChannel {
    /// Sends a message that may get lost.
    fn send(&self, to: SocketAddr, message: &PeerMessage);

    /// Asks an instance for what it goes by.
    fn fetch(
        &self,
        from: SocketAddr,
        req: SnapshotRequest,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<Snapshot, PeerError>>;

    /// Opens a session of a caller at the instance at `to`.
    fn open_session(
        &self,
        to: SocketAddr,
        forwarded: ForwardedSession,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<Box<dyn HomeLink>, PeerError>>;
}

/// The borders of one instance.
#[derive(Clone)]
pub struct Borders {
    pub clock: Rc<dyn Clock>,
    pub entropy: Rc<dyn Entropy>,
    pub dialer: Rc<dyn TargetDialer>,
    pub claims: Rc<dyn Claims>,
    pub promoter: Rc<dyn Promoter>,
    pub peers: Rc<dyn PeerChannel>,
    pub registry: Rc<dyn Registry>,
    pub stats: Rc<Stats>,
}
