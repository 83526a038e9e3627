//! A link over TCP.

use std::io;

use bytes::BytesMut;
use compio::BufResult;
use compio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use compio::net::TcpStream;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::Link;

/// One TCP connection.
pub struct TcpLink {
    stream: TcpStream,
}

impl TcpLink {
    /// Wraps a connected stream and sends small messages at once.
    pub fn new(stream: TcpStream) -> TcpLink {
        // Without it a small answer may wait 40 ms for the acknowledgement of the one before.
        // A stream that refuses the option still works, only slower.
        let _ = stream.set_nodelay(true);
        TcpLink { stream }
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
            let BufResult(result, buf) = self.stream.append(buf).await;
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
