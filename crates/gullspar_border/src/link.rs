//! Byte streams to targets and to other instances.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::BytesMut;
use futures::future::LocalBoxFuture;

/// One connected byte stream.
pub trait Link {
    /// Sends all of `buf` and gives it back empty, so that its memory is used again.
    fn send(&mut self, buf: BytesMut) -> LocalBoxFuture<'_, io::Result<BytesMut>>;

    /// Appends what arrives next to `buf`; an unchanged `buf` means that the other side closed.
    ///
    /// A future dropped half way goes on inside the link: the next call takes it up, gives the buffer
    /// of the first call, and drops its own, which must therefore be empty.
    fn recv(&mut self, buf: BytesMut) -> LocalBoxFuture<'_, io::Result<BytesMut>>;

    /// Ends our direction; the other side reads the end of the stream after what was sent.
    fn close_write(&mut self) -> LocalBoxFuture<'_, io::Result<()>>;

    /// Whether nothing has arrived, the end of the stream included, at this moment.
    ///
    /// A connection that the other side closed while it lay idle is noticed here, before a write is
    /// sent on it whose outcome would be unknown.
    fn is_quiet(&self) -> bool;
}

/// Opens links to targets and to the lanes of other instances.
pub trait Dialer {
    /// Connects to `address`, giving up at `deadline`.
    fn dial(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, io::Result<Box<dyn Link>>>;
}
