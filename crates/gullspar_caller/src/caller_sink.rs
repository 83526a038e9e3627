//! Passes answers to the caller.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_target::FrameSink;
use gullspar_wire::{Channel, Frame, WireError, target};

/// Answers gather up to this size before they are sent, in bytes.
const GATHER: usize = 8 * 1024;

/// The caller's side of an answer.
pub(crate) struct CallerSink<'c> {
    channel: &'c mut Channel,
    /// Whether the caller has been given anything, so that the request can't be tried again.
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
            self.saw_error |= Frame::any(bytes, target::ERROR);
            self.channel.queue(bytes);
            if self.channel.queued() >= GATHER {
                self.channel.flush().await?;
            }
            Ok(())
        }
        .boxed_local()
    }
}
