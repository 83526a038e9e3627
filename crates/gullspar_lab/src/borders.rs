//! Wraps the borders of an instance so that its traffic passes the lab's network.

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

/// How long a call to the platform waits for a cut link to be restored before it fails.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(500);

/// Adds the lab's delays and cuts to all traffic of an instance in `data_centre`.
pub(crate) fn with_network(
    inner: Borders,
    data_centre: &DataCentre,
    network: &Arc<Network>,
) -> Borders {
    let local_end = LocalEnd { data_centre: data_centre.clone(), network: Arc::clone(network) };
    let clock = Rc::clone(&inner.clock);
    Borders {
        dialer: Rc::new(LabDialer {
            inner: inner.dialer,
            clock: Rc::clone(&clock),
            local_end: local_end.clone(),
        }),
        peers: Rc::new(LabPeers {
            inner: inner.peers,
            clock: Rc::clone(&clock),
            local_end: local_end.clone(),
        }),
        platform: Rc::new(LabPlatform {
            inner: inner.platform,
            clock: Rc::clone(&clock),
            local_end,
        }),
        entropy: inner.entropy,
        clock,
    }
}

/// The instance's end of the lab's network.
#[derive(Clone)]
struct LocalEnd {
    data_centre: DataCentre,
    network: Arc<Network>,
}

impl LocalEnd {
    fn is_cut(&self, remote: &DataCentre) -> bool {
        self.network.faults.is_cut(&self.data_centre, remote)
    }

    /// Waits while the link to `remote` is cut.
    async fn wait_until_linked(&self, remote: &DataCentre) {
        loop {
            let changed = self.network.faults.listen();
            if !self.is_cut(remote) {
                return;
            }
            changed.await;
        }
    }
}

struct LabDialer {
    inner: Rc<dyn Dialer>,
    clock: Rc<dyn Clock>,
    local_end: LocalEnd,
}

impl Dialer for LabDialer {
    fn dial(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, io::Result<Box<dyn Link>>> {
        let (inner, clock, local_end) =
            (Rc::clone(&self.inner), Rc::clone(&self.clock), self.local_end.clone());
        async move {
            let remote = local_end
                .network
                .data_centre_of(address)
                .unwrap_or_else(|| local_end.data_centre.clone());
            if local_end.is_cut(&remote) {
                clock.sleep_until(deadline).await;
                return Err(io::ErrorKind::TimedOut.into());
            }
            let delay = local_end.network.round_trip(&local_end.data_centre, &remote);
            clock.sleep_until(clock.now() + delay).await;
            let link = inner.dial(address, deadline).await?;
            let link: Box<dyn Link> =
                Box::new(LabLink { inner: link, clock, local_end, remote, delay });
            Ok(link)
        }
        .boxed_local()
    }
}

/// A link whose traffic is counted. Sending to another data centre is delayed by a whole round trip,
/// receiving isn't.
struct LabLink {
    inner: Box<dyn Link>,
    clock: Rc<dyn Clock>,
    local_end: LocalEnd,
    remote: DataCentre,
    delay: Duration,
}

impl Link for LabLink {
    fn send(&mut self, buf: BytesMut) -> LocalBoxFuture<'_, io::Result<BytesMut>> {
        async move {
            self.local_end.network.links.add(buf.len());
            if !self.delay.is_zero() {
                self.clock.sleep_until(self.clock.now() + self.delay).await;
                self.local_end.wait_until_linked(&self.remote).await;
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
                self.local_end.network.links.add(buf.len() - before);
            }
            if !self.delay.is_zero() {
                self.local_end.wait_until_linked(&self.remote).await;
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

/// Size of a call or its answer in bytes, including the overhead of tarpc and the frame.
fn wire_size(message: &impl serde::Serialize) -> usize {
    /// Bytes of frame length, request id, deadline and trace context (tarpc 0.38 with postcard).
    const ENVELOPE_BYTES: usize = 48;
    postcard::to_allocvec(message).map_or(0, |it| it.len()) + ENVELOPE_BYTES
}

struct LabPeers {
    inner: Rc<dyn Peers>,
    clock: Rc<dyn Clock>,
    local_end: LocalEnd,
}

impl Peers for LabPeers {
    fn call(
        &self,
        to: SocketAddr,
        req: PeerRequest,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<PeerReply, PeerError>> {
        let (inner, clock, local_end) =
            (Rc::clone(&self.inner), Rc::clone(&self.clock), self.local_end.clone());
        async move {
            let remote = local_end
                .network
                .data_centre_of(to)
                .unwrap_or_else(|| local_end.data_centre.clone());
            if local_end.is_cut(&remote) {
                clock.sleep_until(deadline).await;
                return Err(PeerError::NoAnswer("the link is cut".to_owned()));
            }
            let delay = local_end.network.round_trip(&local_end.data_centre, &remote);
            clock.sleep_until(clock.now() + delay).await;
            local_end.network.peers.add(wire_size(&req));
            let result = inner.call(to, req, deadline).await;
            if let Ok(reply) = &result {
                local_end.network.peers.add(wire_size(reply));
            }
            if local_end.is_cut(&remote) {
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
    local_end: LocalEnd,
}

impl LabPlatform {
    /// Delays a call while the link to the platform is cut. The call continues if the link is restored
    /// within `PLATFORM_TIMEOUT`, as TCP would retransmit, and fails without an answer otherwise.
    async fn wait_until_linked(&self) -> Result<(), PlatformError> {
        let LocalEnd { data_centre, network } = &self.local_end;
        let deadline = self.clock.now() + PLATFORM_TIMEOUT;
        loop {
            let changed = network.faults.listen();
            if !network.faults.is_platform_cut(data_centre) {
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
            self.wait_until_linked().await?;
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
            self.wait_until_linked().await?;
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
            self.wait_until_linked().await?;
            let reply = self.inner.watch(prefix, revision, wait_ms).await;
            self.wait_until_linked().await?;
            reply
        }
        .boxed_local()
    }

    fn instances(&self) -> LocalBoxFuture<'_, Result<Vec<PlatformInstance>, PlatformError>> {
        async move {
            self.wait_until_linked().await?;
            self.inner.instances().await
        }
        .boxed_local()
    }
}
