//! A transport wrapper that lets tarpc close a framed connection.

use std::pin::Pin;
use std::task::{Context, Poll};

use futures::{Sink, Stream};

/// Delegates to the framed connection inside; once closing has begun, a flush continues the close.
///
/// tarpc flushes a transport that it has begun to close, and compio's framed connections panic on
/// that ("`Framed` is closing, cannot flush").
pub(crate) struct ClosingTransport<T> {
    inner: T,
    closing: bool,
}

impl<T> ClosingTransport<T> {
    pub(crate) fn new(inner: T) -> ClosingTransport<T> {
        ClosingTransport { inner, closing: false }
    }
}

impl<T: Stream + Unpin> Stream for ClosingTransport<T> {
    type Item = T::Item;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<T::Item>> {
        Pin::new(&mut self.inner).poll_next(cx)
    }
}

impl<T: Sink<I> + Unpin, I> Sink<I> for ClosingTransport<T> {
    type Error = T::Error;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), T::Error>> {
        Pin::new(&mut self.inner).poll_ready(cx)
    }

    fn start_send(mut self: Pin<&mut Self>, item: I) -> Result<(), T::Error> {
        Pin::new(&mut self.inner).start_send(item)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), T::Error>> {
        if self.closing {
            return self.poll_close(cx);
        }
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), T::Error>> {
        self.closing = true;
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
