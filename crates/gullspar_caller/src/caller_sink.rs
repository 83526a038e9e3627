//! Forwards answers to the caller.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_target::FrameSink;
use gullspar_wire::{Channel, Frame, WireError, target};

/// Answers are buffered up to this size before they are sent, in bytes.
const FLUSH_BYTES: usize = 8 * 1024;

/// Writes an answer to the caller's channel.
pub(crate) struct CallerSink<'c> {
    channel: &'c mut Channel,
    /// Whether any part of an answer was queued for the caller; the request can't be retried then.
    pub(crate) started: bool,
    /// Whether the target answered with an error.
    pub(crate) saw_error: bool,
}

impl<'c> CallerSink<'c> {
    pub(crate) fn new(channel: &'c mut Channel) -> CallerSink<'c> {
        CallerSink { channel, started: false, saw_error: false }
    }
}

impl FrameSink for CallerSink<'_> {
    fn push<'a>(&'a mut self, bytes: &'a [u8]) -> LocalBoxFuture<'a, Result<(), WireError>> {
        async move {
            if bytes.is_empty() {
                return Ok(());
            }
            self.started = true;
            self.saw_error |= Frame::contains_kind(bytes, target::ERROR);
            self.channel.queue(bytes);
            if self.channel.queued() >= FLUSH_BYTES {
                self.channel.flush().await?;
            }
            Ok(())
        }
        .boxed_local()
    }
}
