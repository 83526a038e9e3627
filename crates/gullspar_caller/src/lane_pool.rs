//! Lanes that no session is using.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use gullspar_model::{InstanceId, InstanceRecord};
use gullspar_target::{Lane, Lanes};
use gullspar_wire::WireError;

/// Idle lanes kept to one home.
const IDLE_LIMIT: usize = 64;

/// Lanes shared by all sessions of this instance, by home.
///
/// A lane costs memory at both ends. Shared, their number follows the statements in flight and not
/// the callers connected.
pub struct LanePool {
    lanes: Rc<Lanes>,
    idle: RefCell<HashMap<InstanceId, Vec<Box<dyn Lane>>>>,
}

impl LanePool {
    /// A pool that opens lanes through `lanes`.
    pub fn new(lanes: Rc<Lanes>) -> Rc<LanePool> {
        Rc::new(LanePool { lanes, idle: RefCell::default() })
    }

    /// A lane to `home`.
    pub(crate) async fn take(
        &self,
        home: &InstanceRecord,
        deadline: Instant,
    ) -> Result<Box<dyn Lane>, WireError> {
        let idle = self.idle.borrow_mut().get_mut(&home.id).and_then(Vec::pop);
        match idle.filter(|it| it.is_sound()) {
            Some(lane) => Ok(lane),
            None => self.lanes.open(home, deadline).await,
        }
    }

    /// Gives back a lane that carries no transaction.
    pub(crate) fn give_back(&self, home: &InstanceId, lane: Box<dyn Lane>) {
        let mut idle = self.idle.borrow_mut();
        let lanes = idle.entry(home.clone()).or_default();
        if lanes.len() < IDLE_LIMIT {
            lanes.push(lane);
        }
    }
}
