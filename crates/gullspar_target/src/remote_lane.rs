//! A lane to a target whose connections another instance holds.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::{PeerRequest, within};
use gullspar_fleet::Fleet;
use gullspar_model::{InstanceRecord, Outcome, Unknown};
use gullspar_wire::{Channel, Frame, LaneFrame, WireError};

use crate::lane::{Canceller, FrameSink, Lane, LaneError, Unit};

/// Time after a unit's deadline in which its home may still answer.
///
/// The home enforces the deadline; this only bounds the wait for a home that has failed.
const HOME_GRACE_PERIOD: Duration = Duration::from_millis(300);

/// Runs units over a connection to the target's home.
pub struct RemoteLane {
    fleet: Rc<Fleet>,
    channel: Channel,
    peer: std::net::SocketAddr,
    /// Number that the home assigned to this lane; identifies it in cancel requests.
    number: Rc<Cell<u64>>,
}

impl RemoteLane {
    /// Connects to `home` and authenticates with `secret`.
    pub(crate) async fn open(
        fleet: &Rc<Fleet>,
        home: &InstanceRecord,
        secret: &str,
        deadline: Instant,
    ) -> Result<RemoteLane, WireError> {
        let borders = fleet.borders();
        let link = borders.dialer.dial(home.lane, deadline).await?;
        let mut channel = Channel::new(link, Channel::DEFAULT_LIMIT);
        channel.queue(LaneFrame::hello(secret).bytes());
        let hello = async {
            channel.flush().await?;
            channel.next().await
        };
        let timed_out = |_| WireError::Io(std::io::ErrorKind::TimedOut.into());
        let answer = within(&*borders.clock, deadline, hello).await.map_err(timed_out)??;
        let number = LaneFrame::decode::<u64>(&answer)?;
        Ok(RemoteLane {
            fleet: Rc::clone(fleet),
            channel,
            peer: home.peer,
            number: Rc::new(Cell::new(number)),
        })
    }

    async fn exchange(
        &mut self,
        unit: &Unit,
        sink: &mut dyn FrameSink,
    ) -> Result<Outcome, LaneError> {
        let unsent = |source| LaneError { sent: false, source };
        let lost = |source| LaneError { sent: true, source };
        let head = LaneFrame::unit(&unit.head).map_err(unsent)?;
        self.channel.queue(head.bytes());
        self.channel.queue(&unit.payload);
        self.channel.flush().await.map_err(lost)?;
        loop {
            let frame = self.channel.next().await.map_err(lost)?;
            if frame.kind() == LaneFrame::OUTCOME {
                return LaneFrame::decode(&frame).map_err(lost);
            }
            self.forward(frame, sink).await.map_err(lost)?;
        }
    }

    async fn forward(&mut self, frame: Frame, sink: &mut dyn FrameSink) -> Result<(), WireError> {
        sink.push(frame.bytes()).await
    }
}

impl Lane for RemoteLane {
    fn run<'a>(
        &'a mut self,
        unit: &'a Unit,
        sink: &'a mut dyn FrameSink,
    ) -> LocalBoxFuture<'a, Result<Outcome, LaneError>> {
        async move {
            let clock = Rc::clone(&self.fleet.borders().clock);
            let deadline =
                clock.now() + Duration::from_millis(unit.head.remaining_ms) + HOME_GRACE_PERIOD;
            within(&*clock, deadline, self.exchange(unit, sink))
                .await
                .unwrap_or(Ok(Outcome::Unknown(Unknown::DeadlinePassed)))
        }
        .boxed_local()
    }

    fn is_responsive(&mut self, deadline: Instant) -> LocalBoxFuture<'_, bool> {
        async move {
            let clock = Rc::clone(&self.fleet.borders().clock);
            let echo = async {
                self.channel.queue(Frame::new(LaneFrame::ECHO, &[]).bytes());
                self.channel.flush().await?;
                self.channel.next().await
            };
            let answer = within(&*clock, deadline, echo).await;
            matches!(answer, Ok(Ok(frame)) if frame.kind() == LaneFrame::ECHO)
        }
        .boxed_local()
    }

    fn is_usable(&self) -> bool {
        self.channel.is_quiet()
    }

    fn canceller(&self) -> Canceller {
        let fleet = Rc::clone(&self.fleet);
        let number = Rc::clone(&self.number);
        let peer = self.peer;
        Rc::new(move || {
            let borders = fleet.borders();
            let deadline = borders.clock.now() + Duration::from_secs(1);
            let req = PeerRequest::CancelLane { lane: number.get() };
            let call = borders.peers.call(peer, req, deadline);
            // A cancel request is best effort; if it is lost, the statement keeps running.
            compio::runtime::spawn(async move { drop(call.await) }).detach();
        })
    }
}
