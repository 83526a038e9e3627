//! Pool of idle lanes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use gullspar_model::{InstanceId, InstanceRecord};
use gullspar_target::{Lane, Lanes};
use gullspar_wire::WireError;

/// Maximum number of idle lanes per home.
const MAX_IDLE_LANES: usize = 64;

/// Lanes shared by all sessions of this instance, by home.
///
/// Sharing bounds the number of lanes by the statements in flight instead of the connected callers,
/// since each lane takes memory at both ends.
pub struct LanePool {
    lanes: Rc<Lanes>,
    idle: RefCell<HashMap<InstanceId, Vec<Box<dyn Lane>>>>,
    /// Time of each home's last answer.
    last_answer_at: RefCell<HashMap<InstanceId, Instant>>,
}

impl LanePool {
    /// Creates a pool that opens lanes through `lanes`.
    pub fn new(lanes: Rc<Lanes>) -> Rc<LanePool> {
        Rc::new(LanePool { lanes, idle: RefCell::default(), last_answer_at: RefCell::default() })
    }

    /// Returns an idle lane to `home`, or opens one.
    pub(crate) async fn acquire(
        &self,
        home: &InstanceRecord,
        deadline: Instant,
    ) -> Result<Box<dyn Lane>, WireError> {
        let idle = self.idle.borrow_mut().get_mut(&home.id).and_then(Vec::pop);
        match idle.filter(|it| it.is_usable()) {
            Some(lane) => Ok(lane),
            None => self.lanes.open(home, deadline).await,
        }
    }

    /// Records that `home` answered at `now`.
    pub(crate) fn record_answer(&self, home: &InstanceId, now: Instant) {
        let mut last_answer_at = self.last_answer_at.borrow_mut();
        match last_answer_at.get_mut(home) {
            Some(at) => *at = now,
            None => {
                last_answer_at.insert(home.clone(), now);
            }
        }
    }

    /// Whether `home` has answered at `since` or later.
    pub(crate) fn has_answered_since(&self, home: &InstanceId, since: Instant) -> bool {
        self.last_answer_at.borrow().get(home).is_some_and(|it| *it >= since)
    }

    /// Returns a lane without an open transaction to the pool; surplus lanes are closed.
    pub(crate) fn release(&self, home: &InstanceId, lane: Box<dyn Lane>) {
        let mut idle = self.idle.borrow_mut();
        let lanes = idle.entry(home.clone()).or_default();
        if lanes.len() < MAX_IDLE_LANES {
            lanes.push(lane);
        }
    }
}
