//! What a request needs: which target, which connection, and what its answer must wait for.

use gullspar_model::Access;

use crate::request::{Request, RequestEnd};
use crate::session_state::{SessionState, TransactionState};
use crate::statement::StatementKind;

/// What a request needs.
pub(crate) struct Plan {
    pub(crate) access: Access,
    /// Whether a replica may serve it.
    pub(crate) replica_allowed: bool,
    /// Whether its answer waits until a majority holds what it shows.
    pub(crate) acknowledge: bool,
    /// Whether it may make a change permanent.
    pub(crate) commits: bool,
    /// Whether the session keeps its connection after it.
    pub(crate) keep: bool,
    /// Whether it changes the session's settings.
    pub(crate) dirties: bool,
    /// Whether the session learns its floor by it.
    pub(crate) anchors: bool,
}

impl Plan {
    /// What a request needs, with regard to the batch that it is part of.
    ///
    /// A Flush shows what ran so far, and only the batch's Sync commits it; asked for its position
    /// before that, the target would answer in the middle of the batch.
    pub(crate) fn new(state: &mut SessionState, req: &Request) -> Plan {
        let mut plan = Plan::alone(state, req);
        let pending = state.batch_open && state.batch_commits;
        if req.end == RequestEnd::Flush {
            state.batch_commits = pending || plan.commits;
            plan.commits = false;
            plan.acknowledge = false;
            // What follows in the batch may write, and must run on the same connection.
            plan.replica_allowed = false;
        } else {
            plan.commits |= pending;
            plan.acknowledge |= pending;
            state.batch_commits = false;
        }
        plan
    }

    fn alone(state: &SessionState, req: &Request) -> Plan {
        let on_replica = state.transaction == TransactionState::Open { on_primary: false };
        let mut plan = Plan {
            access: Access::Read,
            replica_allowed: true,
            acknowledge: true,
            commits: false,
            keep: state.pinned,
            dirties: false,
            anchors: false,
        };
        let open = matches!(state.transaction, TransactionState::Open { .. });
        if req.statements.is_empty() {
            // Nothing runs; what is only described may need the primary's newer schema.
            plan.replica_allowed = req.described.iter().all(|it| it.is_read());
            plan.acknowledge = false;
            return plan;
        }
        let single = req.statements.len() == 1;
        for statement in &req.statements {
            match &statement.kind {
                StatementKind::Data(Access::Read) => {}
                StatementKind::Begin { read_only } if single => {
                    plan.acknowledge = false;
                    plan.replica_allowed = *read_only;
                    plan.access = if *read_only { Access::Read } else { Access::Write };
                    return plan;
                }
                StatementKind::Set | StatementKind::Reset if single => {
                    plan.acknowledge = false;
                    plan.dirties = true;
                }
                StatementKind::Pinning => {
                    plan.keep = true;
                    plan.access = Access::Write;
                    plan.commits = !open;
                }
                StatementKind::Data(Access::Write) => {
                    plan.access = Access::Write;
                    plan.commits |= !open;
                }
                StatementKind::RollBack if single => {}
                _ => {
                    plan.access = Access::Write;
                    plan.commits = true;
                }
            }
        }
        if open && !plan.commits {
            plan.acknowledge = false;
        }
        if on_replica {
            plan.acknowledge = false;
            plan.commits = false;
        }
        if plan.access == Access::Write {
            plan.replica_allowed = false;
        } else if state.needs_anchor() && !open {
            // The caller may have written through another instance and kept no token.
            plan.replica_allowed = false;
            plan.anchors = true;
        }
        plan
    }
}
