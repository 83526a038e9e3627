//! Byte streams to targets and to other instances.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::BytesMut;
use futures::future::LocalBoxFuture;

/// One connected byte stream.
pub trait Link {
    /// Sends all of `buf` and returns it empty, so that its memory can be reused.
    fn send(&mut self, buf: BytesMut) -> LocalBoxFuture<'_, io::Result<BytesMut>>;

    /// Appends the bytes received next to `buf`; if it is unchanged, the other side has closed the stream.
    ///
    /// Dropping the future does not cancel the read. The next call continues it, returns the buffer of the
    /// first call and drops its own, which must therefore be empty.
    fn recv(&mut self, buf: BytesMut) -> LocalBoxFuture<'_, io::Result<BytesMut>>;

    /// Closes the sending direction; the other side reads the end of the stream after all data sent.
    fn close_write(&mut self) -> LocalBoxFuture<'_, io::Result<()>>;

    /// Whether neither data nor the end of the stream is waiting to be read.
    ///
    /// Detects an idle connection that the other side has closed, before a write is sent on it whose outcome
    /// would be unknown.
    fn is_quiet(&self) -> bool;
}

/// Opens links to targets and to the lanes of other instances.
pub trait Dialer {
    /// Connects to `address`; fails at `deadline`.
    fn dial(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, io::Result<Box<dyn Link>>>;
}
