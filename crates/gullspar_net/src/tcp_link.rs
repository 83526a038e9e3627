//! Links over TCP.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use compio::BufResult;
use compio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use compio::net::TcpStream;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::Link;

/// How long sent bytes may stay unacknowledged before the system closes the connection.
///
/// Detects an unresponsive peer; without it the system retransmits for about 15 minutes. Targets
/// use the same timeout for silent connections.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3000);

/// Idle time before the first keepalive probe, and the time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the connection is closed.
const MAX_UNANSWERED_PROBES: u32 = 3;

/// A TCP connection.
pub struct TcpLink {
    stream: TcpStream,
    /// A read whose future was dropped before completion; it owns the buffer and receives the data.
    pending_read: Option<LocalBoxFuture<'static, BufResult<usize, BytesMut>>>,
}

impl TcpLink {
    /// Wraps a connected stream, disables Nagle's algorithm and enables keepalive probes.
    pub fn new(stream: TcpStream) -> TcpLink {
        // Without `nodelay` a small answer may wait 40 ms for the previous one's acknowledgement.
        // If an option can't be set, the stream works, but answers or detects failures more slowly.
        let _ = stream.set_nodelay(true);
        let keepalive = socket2::TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(MAX_UNANSWERED_PROBES);
        let _ = socket2::SockRef::from(&stream).set_tcp_keepalive(&keepalive);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        TcpLink { stream, pending_read: None }
    }
}

impl Link for TcpLink {
    fn send(&mut self, buf: BytesMut) -> LocalBoxFuture<'_, io::Result<BytesMut>> {
        async move {
            let BufResult(result, mut buf) = self.stream.write_all(buf).await;
            result?;
            buf.clear();
            Ok(buf)
        }
        .boxed_local()
    }

    fn recv(&mut self, buf: BytesMut) -> LocalBoxFuture<'_, io::Result<BytesMut>> {
        async move {
            let mut stream = self.stream.clone();
            let pending_read = self
                .pending_read
                .get_or_insert_with(|| async move { stream.append(buf).await }.boxed_local());
            let BufResult(result, buf) = pending_read.await;
            self.pending_read = None;
            result?;
            Ok(buf)
        }
        .boxed_local()
    }

    fn close_write(&mut self) -> LocalBoxFuture<'_, io::Result<()>> {
        async move { self.stream.shutdown().await }.boxed_local()
    }

    fn is_quiet(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock)
    }
}
