//! The borders of a lab's instances: the real ones behind the lab's network.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::{
    Clock, Dialer, Link, ObjectVersion, PeerError, PeerReply, PeerRequest, Peers, Platform,
    PlatformError, PlatformInstance, StoredObject, WatchReply, within,
};
use gullspar_fleet::Borders;
use gullspar_model::DataCentre;

use crate::Network;

/// How long a call to the platform waits for a cut link before it fails.
const PLATFORM_ANSWERS_WITHIN: Duration = Duration::from_millis(500);

/// Puts the lab's network between an instance in `data_centre` and everything else.
pub(crate) fn behind_network(
    inner: Borders,
    data_centre: &DataCentre,
    network: &Arc<Network>,
) -> Borders {
    let side = Side { own: data_centre.clone(), network: Arc::clone(network) };
    let clock = Rc::clone(&inner.clock);
    Borders {
        dialer: Rc::new(LabDialer {
            inner: inner.dialer,
            clock: Rc::clone(&clock),
            side: side.clone(),
        }),
        peers: Rc::new(LabPeers {
            inner: inner.peers,
            clock: Rc::clone(&clock),
            side: side.clone(),
        }),
        platform: Rc::new(LabPlatform { inner: inner.platform, clock: Rc::clone(&clock), side }),
        entropy: inner.entropy,
        clock,
    }
}

/// One side of the network.
#[derive(Clone)]
struct Side {
    own: DataCentre,
    network: Arc<Network>,
}

impl Side {
    fn is_cut(&self, other: &DataCentre) -> bool {
        self.network.faults.is_cut(&self.own, other)
    }

    /// Waits for as long as packets between here and `other` are lost.
    async fn wait_joined(&self, other: &DataCentre) {
        loop {
            let changed = self.network.faults.listen();
            if !self.is_cut(other) {
                return;
            }
            changed.await;
        }
    }
}

struct LabDialer {
    inner: Rc<dyn Dialer>,
    clock: Rc<dyn Clock>,
    side: Side,
}

impl Dialer for LabDialer {
    fn dial(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, io::Result<Box<dyn Link>>> {
        let (inner, clock, side) =
            (Rc::clone(&self.inner), Rc::clone(&self.clock), self.side.clone());
        async move {
            let other = side.network.data_centre_of(address).unwrap_or_else(|| side.own.clone());
            if side.is_cut(&other) {
                clock.sleep_until(deadline).await;
                return Err(io::ErrorKind::TimedOut.into());
            }
            let delay = side.network.round_trip(&side.own, &other);
            clock.sleep_until(clock.now() + delay).await;
            let link = inner.dial(address, deadline).await?;
            let link: Box<dyn Link> = Box::new(LabLink { inner: link, clock, side, other, delay });
            Ok(link)
        }
        .boxed_local()
    }
}

/// A link whose traffic is counted. Between data centres the whole round trip is waited for when
/// sending.
struct LabLink {
    inner: Box<dyn Link>,
    clock: Rc<dyn Clock>,
    side: Side,
    other: DataCentre,
    delay: Duration,
}

impl Link for LabLink {
    fn send(&mut self, buf: BytesMut) -> LocalBoxFuture<'_, io::Result<BytesMut>> {
        async move {
            self.side.network.links.add(buf.len());
            if !self.delay.is_zero() {
                self.clock.sleep_until(self.clock.now() + self.delay).await;
                self.side.wait_joined(&self.other).await;
            }
            self.inner.send(buf).await
        }
        .boxed_local()
    }

    fn recv(&mut self, buf: BytesMut) -> LocalBoxFuture<'_, io::Result<BytesMut>> {
        async move {
            let before = buf.len();
            let result = self.inner.recv(buf).await;
            if let Ok(buf) = &result {
                self.side.network.links.add(buf.len() - before);
            }
            if !self.delay.is_zero() {
                self.side.wait_joined(&self.other).await;
            }
            result
        }
        .boxed_local()
    }

    fn close_write(&mut self) -> LocalBoxFuture<'_, io::Result<()>> {
        self.inner.close_write()
    }

    fn is_quiet(&self) -> bool {
        self.inner.is_quiet()
    }
}

/// Bytes of a call or its answer, with what tarpc and the frame add.
fn wire_size(message: &impl serde::Serialize) -> usize {
    /// Measured on tarpc 0.38 with postcard: frame length, request id, deadline and trace context.
    const ENVELOPE: usize = 48;
    postcard::to_allocvec(message).map_or(0, |it| it.len()) + ENVELOPE
}

struct LabPeers {
    inner: Rc<dyn Peers>,
    clock: Rc<dyn Clock>,
    side: Side,
}

impl Peers for LabPeers {
    fn call(
        &self,
        to: SocketAddr,
        req: PeerRequest,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<PeerReply, PeerError>> {
        let (inner, clock, side) =
            (Rc::clone(&self.inner), Rc::clone(&self.clock), self.side.clone());
        async move {
            let other = side.network.data_centre_of(to).unwrap_or_else(|| side.own.clone());
            if side.is_cut(&other) {
                clock.sleep_until(deadline).await;
                return Err(PeerError::NoAnswer("the link is cut".to_owned()));
            }
            let delay = side.network.round_trip(&side.own, &other);
            clock.sleep_until(clock.now() + delay).await;
            side.network.peers.add(wire_size(&req));
            let result = inner.call(to, req, deadline).await;
            if let Ok(reply) = &result {
                side.network.peers.add(wire_size(reply));
            }
            if side.is_cut(&other) {
                return Err(PeerError::NoAnswer("the link is cut".to_owned()));
            }
            result
        }
        .boxed_local()
    }
}

struct LabPlatform {
    inner: Rc<dyn Platform>,
    clock: Rc<dyn Clock>,
    side: Side,
}

impl LabPlatform {
    /// Holds a call up as a cut link does: it goes on if the link is joined in time, as TCP sends again
    /// what was lost, and fails late and without a word otherwise.
    async fn check(&self) -> Result<(), PlatformError> {
        let Side { own, network } = &self.side;
        let deadline = self.clock.now() + PLATFORM_ANSWERS_WITHIN;
        loop {
            let changed = network.faults.listen();
            if !network.faults.is_platform_cut(own) {
                return Ok(());
            }
            if within(&*self.clock, deadline, changed).await.is_err() {
                return Err(PlatformError::NoAnswer("the link is cut".to_owned()));
            }
        }
    }
}

impl Platform for LabPlatform {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<StoredObject>, PlatformError>> {
        async move {
            self.check().await?;
            self.inner.get(key).await
        }
        .boxed_local()
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: ObjectVersion,
        value: String,
    ) -> LocalBoxFuture<'a, Result<ObjectVersion, PlatformError>> {
        async move {
            self.check().await?;
            self.inner.put(key, expected, value).await
        }
        .boxed_local()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'a, Result<WatchReply, PlatformError>> {
        async move {
            self.check().await?;
            let reply = self.inner.watch(prefix, revision, wait_ms).await;
            self.check().await?;
            reply
        }
        .boxed_local()
    }

    fn instances(&self) -> LocalBoxFuture<'_, Result<Vec<PlatformInstance>, PlatformError>> {
        async move {
            self.check().await?;
            self.inner.instances().await
        }
        .boxed_local()
    }
}
