//! Client for the control functions of a target; see `docs/design/target-contract.md`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use gullspar_border::{Clock, Dialer, within};
use gullspar_model::{LogPosition, MemberName, MemberRole, MemberStatus, Term};
use gullspar_wire::{QueryClient, QueryRow, WireError};
use quick_error::quick_error;

quick_error! {
    /// Why a control call failed.
    #[derive(Debug)]
    pub enum TargetError {
        /// The connection broke, or the target's messages can't be read.
        Unreachable(reason: String) {
            display("the target can't be reached: {reason}")
        }
        /// Opening a connection failed other than by timeout, as it does while the target is stopped.
        ConnectionRefused(reason: String) {
            display("the target refuses connections: {reason}")
        }
        /// The target did not answer in time.
        Silent {
            display("the target did not answer in time")
        }
        /// The target answered with an error.
        Refused(reason: String) {
            display("the target refused: {reason}")
        }
    }
}

impl From<WireError> for TargetError {
    fn from(err: WireError) -> TargetError {
        match err {
            WireError::Server(report) => TargetError::Refused(report.message),
            other => TargetError::Unreachable(other.to_string()),
        }
    }
}

/// The query for a target's status that is answered without waiting for a change.
pub const STATUS_QUERY: &str = "SELECT group_status(0, 0, 0, 0)";

/// A control connection to one target.
pub struct TargetControl {
    client: QueryClient,
    clock: Rc<dyn Clock>,
}

impl TargetControl {
    /// The account that control connections use.
    pub const USER: &'static str = "gullspar_control";

    /// Opens a control connection.
    pub async fn open(
        dialer: &dyn Dialer,
        clock: Rc<dyn Clock>,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<TargetControl, TargetError> {
        let link = dialer.dial(address, deadline).await.map_err(|err| match err.kind() {
            std::io::ErrorKind::TimedOut => TargetError::Silent,
            _ => TargetError::ConnectionRefused(err.to_string()),
        })?;
        let start = QueryClient::start(link, TargetControl::USER, "postgres");
        let started = within(&*clock, deadline, start).await.map_err(|_| TargetError::Silent)?;
        let client = started.map_err(|err| match err {
            WireError::Closed | WireError::Io(_) => TargetError::ConnectionRefused(err.to_string()),
            other => other.into(),
        })?;
        Ok(TargetControl { client, clock })
    }

    /// Waits for a status that differs from `known`, for at most `wait_ms` milliseconds.
    ///
    /// Without a `known` status the target answers at once. A changed position counts as a difference only with
    /// `wake_on_position`.
    pub async fn status(
        &mut self,
        known: Option<MemberStatus>,
        wake_on_position: bool,
        wait_ms: u64,
        deadline: Instant,
    ) -> Result<MemberStatus, TargetError> {
        /// A position that no log reaches, so that a changed position does not end the wait.
        const UNREACHABLE_POSITION: u64 = i64::MAX as u64;
        let sql = match known {
            None => STATUS_QUERY.to_owned(),
            Some(known) => {
                let position =
                    if wake_on_position { known.position.0 } else { UNREACHABLE_POSITION };
                format!(
                    "SELECT group_status({}, {}, {position}, {wait_ms})",
                    known.term.0, known.fence.0
                )
            }
        };
        self.call(&sql, deadline).await
    }

    /// Makes the target refuse all terms below `term`, and returns its status after that.
    pub async fn fence(
        &mut self,
        term: Term,
        deadline: Instant,
    ) -> Result<MemberStatus, TargetError> {
        self.call(&format!("SELECT group_fence({})", term.0), deadline).await
    }

    /// Makes the target the primary of the term that it was fenced at.
    pub async fn promote(
        &mut self,
        term: Term,
        deadline: Instant,
    ) -> Result<MemberStatus, TargetError> {
        self.call(&format!("SELECT group_promote({})", term.0), deadline).await
    }

    /// Makes the target follow the primary of a term and drop records that the primary does not have.
    pub async fn follow(
        &mut self,
        term: Term,
        primary: &MemberName,
        deadline: Instant,
    ) -> Result<MemberStatus, TargetError> {
        let sql = format!("SELECT group_follow({}, '{primary}')", term.0);
        self.call(&sql, deadline).await
    }

    async fn call(&mut self, sql: &str, deadline: Instant) -> Result<MemberStatus, TargetError> {
        let clock = Rc::clone(&self.clock);
        let rows = within(&*clock, deadline, self.client.query(sql))
            .await
            .map_err(|_| TargetError::Silent)??;
        let row = rows.first().and_then(parse_status);
        row.ok_or_else(|| TargetError::Refused("the status could not be parsed".to_owned()))
    }
}

/// Parses the row that every control function returns: one composite value such as `(primary,3,3,3,417)`, with
/// role, term, fence, term of the last record and position. `None` if the row has another form.
pub fn parse_status(row: &QueryRow) -> Option<MemberStatus> {
    let text = row.first()?.as_deref()?.strip_prefix('(')?.strip_suffix(')')?;
    let mut fields = text.split(',');
    let role = match fields.next()? {
        "primary" => MemberRole::Primary,
        "replica" => MemberRole::Replica,
        "detached" => MemberRole::Detached,
        _ => return None,
    };
    let mut number = || fields.next()?.parse::<u64>().ok();
    Some(MemberStatus {
        role,
        term: Term(number()?),
        fence: Term(number()?),
        last_record_term: Term(number()?),
        position: LogPosition(number()?),
    })
}
