//! A link over TCP.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use compio::BufResult;
use compio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use compio::net::TcpStream;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::Link;

/// How long sent bytes may stay unacknowledged before the system gives the connection up.
///
/// Guards against a peer that went dark or a connection that went silent: without it a write looks
/// sent for a quarter of an hour. Three seconds is what targets allow a silent connection as well.
const UNACKNOWLEDGED_FOR: Duration = Duration::from_millis(3000);

/// Silence after which an idle connection is probed, and the time between probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection is given up.
const PROBES: u32 = 3;

/// One TCP connection.
pub struct TcpLink {
    stream: TcpStream,
    /// A read that was given up half way; it still owns its buffer and what arrives in it.
    reading: Option<LocalBoxFuture<'static, BufResult<usize, BytesMut>>>,
}

impl TcpLink {
    /// Wraps a connected stream, sends small messages at once and notices a peer that went dark.
    pub fn new(stream: TcpStream) -> TcpLink {
        // Without it a small answer may wait 40 ms for the acknowledgement of the one before.
        // A stream that refuses an option still works, only slower to answer or to notice a loss.
        let _ = stream.set_nodelay(true);
        let keepalive = socket2::TcpKeepalive::new()
            .with_time(PROBE_EVERY)
            .with_interval(PROBE_EVERY)
            .with_retries(PROBES);
        let _ = socket2::SockRef::from(&stream).set_tcp_keepalive(&keepalive);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_FOR));
        TcpLink { stream, reading: None }
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
            let reading = self
                .reading
                .get_or_insert_with(|| async move { stream.append(buf).await }.boxed_local());
            let BufResult(result, buf) = reading.await;
            self.reading = None;
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
