//! Asks a target for the end of the log that it has received.

use std::time::{Duration, Instant};

use gullspar_border::{Clock, within};
use gullspar_model::LogPoint;
use gullspar_statement::TargetCommand;

use crate::groups::failover_timing::POINT_QUERY_TIMEOUT;
use crate::groups::group::Group;
use crate::targets::target::Target;

/// Delay before a query that the target refused is repeated. The query takes a slot, which is soon free on a replica
/// that serves no reads.
const REPEAT_DELAY: Duration = Duration::from_millis(20);

/// Whether a target answers queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryResult {
    /// The end of the log that the target has received.
    Answered(LogPoint),
    /// The target answered without the position, for example because it was busy.
    Refused,
    /// The target could not be asked, or did not answer.
    Silent,
}

/// Asks `target` until it tells what it has received, at most until `deadline`, and records the answer.
pub(crate) async fn query(
    clock: &dyn Clock,
    group: &Group,
    target: &Target,
    deadline: Instant,
) -> QueryResult {
    let mut result = QueryResult::Silent;
    while clock.now() < deadline {
        let attempt_until = (clock.now() + POINT_QUERY_TIMEOUT).min(deadline);
        let asked = within(clock, attempt_until, query_once(group, target, attempt_until)).await;
        match asked.unwrap_or(QueryResult::Silent) {
            answered @ QueryResult::Answered(_) => return answered,
            QueryResult::Refused => result = QueryResult::Refused,
            QueryResult::Silent => {}
        }
        clock.sleep_until((clock.now() + REPEAT_DELAY).min(deadline)).await;
    }
    result
}

async fn query_once(group: &Group, target: &Target, deadline: Instant) -> QueryResult {
    let leadership = group.leadership();
    // Uses an existing connection: a target at its connection limit refuses a new one.
    let lease = target.pool.acquire_for_check(&target.spec(), true, deadline).await;
    let Some(Ok(mut lease)) = lease else { return QueryResult::Silent };
    let Some(connection) = lease.connection() else { return QueryResult::Silent };
    let Ok(answers) = connection.exchange(vec![TargetCommand::ReceivedPoint]).await else {
        return QueryResult::Silent;
    };
    lease.return_to_pool();
    let point = answers.first().filter(|it| it.result.is_ok()).and_then(|it| it.point);
    let Some(point) = point else { return QueryResult::Refused };
    // Members drop what a new leader lacks, so the answer is kept only if the leader is the same as before.
    if group.leadership() == leadership {
        target.record_received(point);
    }
    QueryResult::Answered(point)
}
