//! Serves lanes that other instances open to this one, the home of their targets.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::Link;
use gullspar_wire::{Channel, Frame, LaneFrame, LaneUnit, WireError};

use crate::lane::{Canceller, FrameSink, Lane, Unit};
use crate::{LocalLane, Pools};

/// The lanes that other instances have open to this one.
#[derive(Default)]
pub struct ActiveLanes {
    next_number: Cell<u64>,
    cancellers: RefCell<HashMap<u64, Canceller>>,
}

impl ActiveLanes {
    /// Cancels the unit that lane `number` is running, if any.
    pub fn cancel(&self, number: u64) {
        let canceller = self.cancellers.borrow().get(&number).cloned();
        if let Some(cancel) = canceller {
            cancel();
        }
    }

    /// Number of open lanes.
    pub fn len(&self) -> usize {
        self.cancellers.borrow().len()
    }

    /// Whether no lane is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Serves one lane until the other instance closes it.
///
/// The other instance must authenticate with `secret`.
pub async fn serve_lane(
    link: Box<dyn Link>,
    pools: Rc<Pools>,
    active: Rc<ActiveLanes>,
    secret: String,
) {
    let mut channel = Channel::new(link, Channel::DEFAULT_LIMIT);
    let number = active.next_number.get();
    active.next_number.set(number + 1);
    match serve(&mut channel, &pools, &active, number, &secret).await {
        Ok(()) | Err(WireError::Closed) => {}
        Err(err) => log::debug!("G0304 lane {number} ended: {err}"),
    }
    active.cancellers.borrow_mut().remove(&number);
}

async fn serve(
    channel: &mut Channel,
    pools: &Rc<Pools>,
    active: &ActiveLanes,
    number: u64,
    secret: &str,
) -> Result<(), WireError> {
    let hello = channel.next().await?;
    if hello.kind() != LaneFrame::HELLO || hello.body() != secret.as_bytes() {
        log::warn!("G0305 a lane was refused: its first message does not carry the lane secret");
        return Ok(());
    }
    channel.queue(LaneFrame::hello_answer(number)?.bytes());
    channel.flush().await?;
    let mut lane = LocalLane::new(Rc::clone(pools));
    active.cancellers.borrow_mut().insert(number, lane.canceller());
    loop {
        channel.wait_readable().await?;
        let frame = channel.next().await?;
        if frame.kind() == LaneFrame::ECHO {
            channel.queue(frame.bytes());
            channel.flush().await?;
            continue;
        }
        if frame.kind() != LaneFrame::UNIT {
            return Err(WireError::Malformed("expected a unit on a lane".to_owned()));
        }
        let head: LaneUnit = LaneFrame::decode(&frame)?;
        let payload = channel.next_raw(head.payload as usize).await?;
        let unit = Unit { head, payload };
        let outcome = {
            let mut sink = ChannelSink { channel };
            match lane.run(&unit, &mut sink).await {
                Ok(outcome) => outcome,
                Err(err) => return Err(err.source),
            }
        };
        let message: Frame = LaneFrame::outcome(&outcome)?;
        channel.queue(message.bytes());
        channel.flush().await?;
    }
}

/// Buffered answers of at least this size are sent, in bytes.
const FLUSH_THRESHOLD_BYTES: usize = 8 * 1024;

/// Forwards a target's answer to the other instance.
struct ChannelSink<'c> {
    channel: &'c mut Channel,
}

impl FrameSink for ChannelSink<'_> {
    fn push<'a>(&'a mut self, bytes: &'a [u8]) -> LocalBoxFuture<'a, Result<(), WireError>> {
        async move {
            self.channel.queue(bytes);
            if self.channel.queued() >= FLUSH_THRESHOLD_BYTES {
                self.channel.flush().await?;
            }
            Ok(())
        }
        .boxed_local()
    }
}
