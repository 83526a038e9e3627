//! Interfaces to everything outside this crate.

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

/// Communication with other instances.
pub trait PeerChannel {
    /// Sends a message without a guarantee of delivery.
    fn send(&self, to: SocketAddr, message: &PeerMessage);

    /// Fetches the newer parts of an instance's configuration and list of targets.
    fn fetch(
        &self,
        from: SocketAddr,
        req: SnapshotRequest,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<Snapshot, PeerError>>;

    /// Opens a caller's session at the instance at `to`. The session's messages are forwarded over the returned link.
    fn open_session(
        &self,
        to: SocketAddr,
        forwarded: ForwardedSession,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<Box<dyn HomeLink>, PeerError>>;
}

/// The external dependencies of one instance.
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
