//! State of a session that lasts between requests.

use std::rc::Rc;
use std::time::Duration;

use gullspar_model::{
    CallerClass, CallerName, Consistency, Guard, InstanceId, LogPoint, MemberName, ServiceName,
    ServiceObject,
};
use gullspar_target::Lane;

/// Whether a transaction is open, and where.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransactionState {
    Idle,
    Open {
        on_primary: bool,
    },
    /// It failed on the target, or was lost; only COMMIT or ROLLBACK is accepted.
    Failed {
        on_target: bool,
    },
}

/// A lane reserved for this session, because of an open transaction or session state.
pub(crate) struct HeldLane {
    pub(crate) home: InstanceId,
    pub(crate) lane: Box<dyn Lane>,
    pub(crate) on_primary: bool,
    pub(crate) member: MemberName,
}

/// A session's identity, its floor and its transaction.
pub(crate) struct SessionState {
    pub(crate) service: ServiceName,
    pub(crate) object: Rc<ServiceObject>,
    pub(crate) caller: CallerName,
    pub(crate) class_name: String,
    pub(crate) class: CallerClass,
    /// Log position that reads must have reached.
    pub(crate) floor: Option<LogPoint>,
    /// Whether the floor covers everything that the caller wrote before this session.
    pub(crate) anchored: bool,
    pub(crate) max_age_ms: Option<u64>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) request_key: Option<String>,
    /// SET statements of the session, replayed on each connection that serves it.
    pub(crate) settings: Vec<String>,
    pub(crate) transaction: TransactionState,
    /// Whether the session keeps its connection until it ends.
    pub(crate) pinned: bool,
    /// Whether a batch was flushed and its Sync is still to come.
    pub(crate) batch_open: bool,
    /// Whether the open batch made changes that its Sync will commit.
    pub(crate) batch_commits: bool,
    pub(crate) held: Option<HeldLane>,
}

impl SessionState {
    /// Maximum age of the data that reads accept, in milliseconds.
    pub(crate) fn age_limit_ms(&self) -> Option<u64> {
        let class = match self.class.consistency {
            Consistency::MaxAgeMs(limit) => Some(limit),
            Consistency::ReadYourWrites | Consistency::AnyAge => None,
        };
        match (class, self.max_age_ms) {
            (Some(class), Some(session)) => Some(class.min(session)),
            (class, session) => class.or(session),
        }
    }

    /// Whether the next read must first set a floor that covers the caller's earlier writes.
    pub(crate) fn needs_anchor(&self) -> bool {
        self.class.consistency == Consistency::ReadYourWrites
            && !self.anchored
            && Guard::Anchor.is_enabled()
    }

    /// Time within which a request must be answered.
    pub(crate) fn time_limit(&self) -> Duration {
        let class = self.class.deadline_ms;
        Duration::from_millis(self.deadline_ms.map_or(class, |session| session.min(class)))
    }

    /// Raises the floor to `point`; it is never lowered.
    pub(crate) fn raise_floor(&mut self, point: LogPoint) {
        self.floor = Some(self.floor.map_or(point, |it| it.max(point)));
    }

    /// Whether the next request must use the held lane.
    pub(crate) fn needs_held_lane(&self) -> bool {
        self.held.is_some()
            && (self.pinned
                || self.batch_open
                || matches!(
                    self.transaction,
                    TransactionState::Open { .. } | TransactionState::Failed { on_target: true }
                ))
    }
}
