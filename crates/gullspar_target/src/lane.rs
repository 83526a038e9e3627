//! The way from a caller's session to a target's connection, on this instance or another.

use std::rc::Rc;
use std::time::Instant;

use bytes::BytesMut;
use futures::future::LocalBoxFuture;
use gullspar_fleet::Fleet;
use gullspar_model::Outcome;
use gullspar_wire::{LaneUnit, WireError};

use crate::{LocalLane, Pools, RemoteLane};

/// A unit of work: its head and the messages that the caller sent.
#[derive(Clone, Debug)]
pub struct Unit {
    pub head: LaneUnit,
    pub payload: BytesMut,
}

/// Takes what a target answers.
pub trait FrameSink {
    /// Passes whole messages on; fails when the receiver has gone.
    fn push<'a>(&'a mut self, bytes: &'a [u8]) -> LocalBoxFuture<'a, Result<(), WireError>>;
}

/// The lane itself broke, so that nothing is known of what it carried.
#[derive(Debug)]
pub struct LaneError {
    /// Whether the unit may have reached the home.
    pub sent: bool,
    pub source: WireError,
}

/// Cancels what a lane is running at the moment of the call.
pub type Canceller = Rc<dyn Fn()>;

/// Carries units to one target, one after the other.
///
/// A transaction stays on its lane from the first statement to the last.
pub trait Lane {
    /// Runs a unit; what the target answers goes to `sink` as it comes.
    fn run<'a>(
        &'a mut self,
        unit: &'a Unit,
        sink: &'a mut dyn FrameSink,
    ) -> LocalBoxFuture<'a, Result<Outcome, LaneError>>;

    /// Asks the home for a sign of life before something is sent whose outcome must be known.
    fn is_responsive(&mut self, deadline: Instant) -> LocalBoxFuture<'_, bool>;

    /// Whether the lane may still be used.
    fn is_usable(&self) -> bool;

    /// Asks the target to cancel what the lane is running.
    fn canceller(&self) -> Canceller;
}

/// Opens lanes.
pub struct Lanes {
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) pools: Rc<Pools>,
    pub(crate) secret: String,
}

impl Lanes {
    /// Lanes from this instance, which greets others with `secret`.
    pub fn new(fleet: Rc<Fleet>, pools: Rc<Pools>, secret: String) -> Rc<Lanes> {
        Rc::new(Lanes { fleet, pools, secret })
    }

    /// The pools of this instance.
    pub fn pools(&self) -> &Rc<Pools> {
        &self.pools
    }

    /// Opens a lane to `home`.
    pub async fn open(
        &self,
        home: &gullspar_model::InstanceRecord,
        deadline: Instant,
    ) -> Result<Box<dyn Lane>, WireError> {
        if home.id == self.fleet.id() {
            return Ok(Box::new(LocalLane::new(Rc::clone(&self.pools))));
        }
        let lane = RemoteLane::open(&self.fleet, home, &self.secret, deadline).await?;
        Ok(Box::new(lane))
    }
}
