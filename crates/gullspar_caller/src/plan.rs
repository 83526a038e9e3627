//! Requirements of a request: its target, its connection and what its answer waits for.

use gullspar_model::Access;

use crate::request::{Request, RequestEnd};
use crate::session_state::{SessionState, TransactionState};
use crate::statement::StatementKind;

/// Requirements of a request.
pub(crate) struct Plan {
    pub(crate) access: Access,
    /// Whether a replica may serve it.
    pub(crate) replica_allowed: bool,
    /// Whether its answer waits until a majority holds what it shows.
    pub(crate) acknowledge: bool,
    /// Whether it may make a change permanent.
    pub(crate) commits: bool,
    /// Whether the session keeps the connection after it.
    pub(crate) keeps_connection: bool,
    /// Whether it changes the session's settings.
    pub(crate) changes_settings: bool,
    /// Whether it sets the session's floor to a position that covers the caller's earlier writes.
    pub(crate) anchors_floor: bool,
}

impl Plan {
    /// Determines the requirements of a request, including those of the batch it belongs to.
    ///
    /// A batch commits at its Sync. A request that ends with a Flush neither commits nor waits to be
    /// acknowledged: a query for the log position would be answered in the middle of the batch.
    pub(crate) fn new(state: &mut SessionState, req: &Request) -> Plan {
        let mut plan = Plan::without_batch(state, req);
        let pending = state.batch_open && state.batch_commits;
        if req.end == RequestEnd::Flush {
            state.batch_commits = pending || plan.commits;
            plan.commits = false;
            plan.acknowledge = false;
            // The rest of the batch runs on the same connection and may write.
            plan.replica_allowed = false;
        } else {
            plan.commits |= pending;
            plan.acknowledge |= pending;
            state.batch_commits = false;
        }
        plan
    }

    /// Determines the requirements of a request on its own.
    fn without_batch(state: &SessionState, req: &Request) -> Plan {
        let in_replica_transaction =
            state.transaction == TransactionState::Open { on_primary: false };
        let mut plan = Plan {
            access: Access::Read,
            replica_allowed: true,
            acknowledge: true,
            commits: false,
            keeps_connection: state.pinned,
            changes_settings: false,
            anchors_floor: false,
        };
        let open = matches!(state.transaction, TransactionState::Open { .. });
        if req.statements.is_empty() {
            // Nothing runs. Describing a statement that is no read may need the primary's newer schema.
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
                    plan.changes_settings = true;
                }
                StatementKind::Pinning => {
                    plan.keeps_connection = true;
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
        if in_replica_transaction {
            plan.acknowledge = false;
            plan.commits = false;
        }
        if plan.access == Access::Write {
            plan.replica_allowed = false;
        } else if state.needs_anchor() && !open {
            // The caller may have written through another instance without keeping the token.
            plan.replica_allowed = false;
            plan.anchors_floor = true;
        }
        plan
    }
}
