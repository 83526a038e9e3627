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
    /// When each home last answered anything.
    heard_at: RefCell<HashMap<InstanceId, Instant>>,
}

impl LanePool {
    /// A pool that opens lanes through `lanes`.
    pub fn new(lanes: Rc<Lanes>) -> Rc<LanePool> {
        Rc::new(LanePool { lanes, idle: RefCell::default(), heard_at: RefCell::default() })
    }

    /// A lane to `home`.
    pub(crate) async fn take(
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

    /// Notes that `home` answered.
    pub(crate) fn heard(&self, home: &InstanceId, now: Instant) {
        let mut heard_at = self.heard_at.borrow_mut();
        match heard_at.get_mut(home) {
            Some(at) => *at = now,
            None => {
                heard_at.insert(home.clone(), now);
            }
        }
    }

    /// Whether `home` answered anything since `since`.
    pub(crate) fn heard_since(&self, home: &InstanceId, since: Instant) -> bool {
        self.heard_at.borrow().get(home).is_some_and(|it| *it >= since)
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
