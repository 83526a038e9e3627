//! Lanes carry units of work from a caller's session to a target, through this instance or another.

use std::rc::Rc;
use std::time::Instant;

use bytes::BytesMut;
use futures::future::LocalBoxFuture;
use gullspar_fleet::Fleet;
use gullspar_model::Outcome;
use gullspar_wire::{LaneUnit, WireError};

use crate::{LocalLane, Pools, RemoteLane};

/// A unit of work: a header and the messages that the caller sent.
#[derive(Clone, Debug)]
pub struct Unit {
    pub head: LaneUnit,
    pub payload: BytesMut,
}

/// Receives the messages that a target answers.
pub trait FrameSink {
    /// Forwards whole messages; fails if the receiver has disconnected.
    fn push<'a>(&'a mut self, bytes: &'a [u8]) -> LocalBoxFuture<'a, Result<(), WireError>>;
}

/// The lane failed while it carried a unit.
#[derive(Debug)]
pub struct LaneError {
    /// Whether the unit may have reached the home; if not, it did not run.
    pub sent: bool,
    pub source: WireError,
}

/// Cancels the unit that the lane is running at the time of the call.
pub type Canceller = Rc<dyn Fn()>;

/// Runs units on one target, one at a time.
///
/// All statements of a transaction run on the same lane.
pub trait Lane {
    /// Runs a unit and streams the target's answer to `sink`.
    fn run<'a>(
        &'a mut self,
        unit: &'a Unit,
        sink: &'a mut dyn FrameSink,
    ) -> LocalBoxFuture<'a, Result<Outcome, LaneError>>;

    /// Checks that the home answers by `deadline`; used before a unit whose outcome must be known.
    fn is_responsive(&mut self, deadline: Instant) -> LocalBoxFuture<'_, bool>;

    /// Whether the lane can run another unit.
    fn is_usable(&self) -> bool;

    /// Returns a function that asks the target to cancel the running unit.
    fn canceller(&self) -> Canceller;
}

/// Opens lanes to this instance or to others.
pub struct Lanes {
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) pools: Rc<Pools>,
    pub(crate) secret: String,
}

impl Lanes {
    /// Creates a factory whose lanes authenticate to other instances with `secret`.
    pub fn new(fleet: Rc<Fleet>, pools: Rc<Pools>, secret: String) -> Rc<Lanes> {
        Rc::new(Lanes { fleet, pools, secret })
    }

    /// Pools of the targets that this instance is home of.
    pub fn pools(&self) -> &Rc<Pools> {
        &self.pools
    }

    /// Opens a lane to `home`, which may be this instance.
    ///
    /// # Errors
    ///
    /// Fails if `home` can't be reached by `deadline` or refuses the secret.
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
