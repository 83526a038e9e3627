//! The SQL functions that read a member's terms and log position, and fence, promote or redirect it.
//!
//! `docs/design/target-contract.md` specifies them for real databases.

use std::time::{Duration, Instant};

use gullspar_model::{FenceDecision, LogPosition, MemberName, MemberRole, MemberStatus, Term};

use super::Members;
use super::sql_result::{SqlColumn, SqlResult};
use crate::group::session::SqlError;
use crate::group::session::value::{SqlValue, type_id};

/// A call of one of the control functions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ControlCall {
    /// Returns once the status differs from the known values, or after `wait_ms`.
    Status { known_term: Term, known_fence: Term, known_position: LogPosition, wait_ms: u64 },
    /// Refuses all terms below `term` from now on.
    Fence { term: Term },
    /// Makes the member the primary of `term`.
    Promote { term: Term },
    /// Makes the member a replica of `primary` in `term`.
    Follow { term: Term, primary: MemberName },
}

const PREFIX: &str = "SELECT group_";

impl ControlCall {
    /// Parses a call; `None` if the statement is not one of a control function.
    pub(crate) fn parse(sql: &str) -> Option<ControlCall> {
        let call = sql.trim().trim_end_matches(';').strip_prefix(PREFIX)?;
        let (name, rest) = call.split_once('(')?;
        let inner = rest.strip_suffix(')')?;
        let arguments: Vec<&str> =
            inner.split(',').map(|it| it.trim().trim_matches('\'')).collect();
        let number = |index: usize| arguments.get(index)?.parse::<u64>().ok();
        match name {
            "status" => Some(ControlCall::Status {
                known_term: Term(number(0)?),
                known_fence: Term(number(1)?),
                known_position: LogPosition(number(2)?),
                wait_ms: number(3)?,
            }),
            "fence" => Some(ControlCall::Fence { term: Term(number(0)?) }),
            "promote" => Some(ControlCall::Promote { term: Term(number(0)?) }),
            "follow" => Some(ControlCall::Follow {
                term: Term(number(0)?),
                primary: MemberName::new(arguments.get(1)?),
            }),
            _ => None,
        }
    }

    /// Runs the call on member `name`.
    pub(crate) async fn run(
        self,
        name: &MemberName,
        members: &Members,
    ) -> Result<SqlResult, SqlError> {
        let Some(member) = members.get(name) else {
            return Err(SqlError::new("XX000", "no such member"));
        };
        match self {
            ControlCall::Status { known_term, known_fence, known_position, wait_ms } => {
                let deadline = Instant::now() + Duration::from_millis(wait_ms);
                loop {
                    let changed = member.borrow().changed.listen();
                    let status = member.borrow().status();
                    let has_changed = status.term != known_term
                        || status.position > known_position
                        || status.fence != known_fence;
                    if has_changed || Instant::now() >= deadline {
                        return Ok(status_row(status));
                    }
                    let _ = compio::time::timeout_at(deadline, changed).await;
                }
            }
            ControlCall::Fence { term } => match member.borrow_mut().fence(term) {
                FenceDecision::Fenced => {}
                FenceDecision::Refused { fence } => {
                    let text = format!("already fenced at term {}", fence.0);
                    return Err(SqlError::new("55000", text));
                }
            },
            ControlCall::Promote { term } => {
                let delay = Duration::from_millis(member.borrow().promotion_ms);
                compio::time::sleep(delay).await;
                if !member.borrow_mut().promote(term) {
                    return Err(SqlError::new("55000", "not fenced at that term"));
                }
            }
            ControlCall::Follow { term, primary } => {
                let Some(other) = members.get(&primary) else {
                    return Err(SqlError::new("42704", "no such primary"));
                };
                if std::rc::Rc::ptr_eq(other, member) {
                    return Err(SqlError::new("55000", "a member can't follow itself"));
                }
                let is_leader = {
                    let other = other.borrow();
                    other.role == MemberRole::Primary && other.term == term
                };
                if !is_leader || !member.borrow_mut().follow(term, &primary, &other.borrow().log) {
                    return Err(SqlError::new("55000", "that primary can't be followed"));
                }
            }
        }
        let status = member.borrow().status();
        Ok(status_row(status))
    }
}

fn status_row(status: MemberStatus) -> SqlResult {
    let role = match status.role {
        MemberRole::Primary => "primary",
        MemberRole::Replica => "replica",
        MemberRole::Detached => "detached",
    };
    let row = format!(
        "({role},{},{},{},{})",
        status.term.0, status.fence.0, status.last_record_term.0, status.position.0
    );
    SqlResult {
        columns: vec![SqlColumn { name: "status".to_owned(), type_id: type_id::TEXT }],
        rows: vec![vec![SqlValue::Text(row)]],
        tag: "SELECT 1".to_owned(),
    }
}
