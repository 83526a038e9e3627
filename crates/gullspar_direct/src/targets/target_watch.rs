//! Health checks of a target: whether it answers, whether it is the leader, and where its log ends.

use std::rc::Rc;
use std::time::Duration;

use gullspar_border::{BootInstant, within};
use gullspar_model::NotRun;
use gullspar_statement::{FailureCode, TargetCommand, TransactionStatus};

use crate::Borders;
use crate::groups::group::Group;
use crate::targets::target::Target;

/// Interval between checks of a leader; bounds the time to detect a failure and the age of position samples.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Interval between checks of a replica.
const REPLICA_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between checks of a replica that lags. Reads are sent to it again once a check shows that it has caught up.
const LAGGING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between checks while the group has no responsive leader or the target missed its last check.
const FAILING_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// How long a target may take to answer a check; answering needs no slot.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// How long opening a connection for a check may take, including its wait for a slot behind statements.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without an answer after which a check opens a connection of its own if statements use all others.
const OVERDUE_AFTER: Duration = Duration::from_millis(250);

/// Time without an answer to a check after which this applies as well while the group has no leader, although statements
/// are answered. Limits the connections that are opened for checks.
const LEADERLESS_OVERDUE_AFTER: Duration = Duration::from_millis(200);

/// Delay of the next check after a target refused a connection because it was congested or had too many connections.
const FULL_CHECK_DELAY: Duration = Duration::from_millis(200);

/// Result of one check.
pub(crate) enum CheckResult {
    Answered,
    Missed,
    /// The check was skipped: statements use all connections, and the target answered recently.
    InUse,
    /// The target answers, but accepts no more connections at present.
    Full,
}

/// Checks `target` at intervals until it is removed from its group.
pub(crate) async fn watch(borders: Borders, group: Rc<Group>, target: Rc<Target>) {
    while !target.removed.get() {
        let check = check(&borders, &group, &target).await;
        match check {
            CheckResult::Answered => {
                if target.is_unresponsive() {
                    log::info!(member = target.member().as_str(); "G0708 a target answers again");
                }
                let had_missed_checks = target.has_missed_checks();
                target.record_response(borders.clock.boot_now());
                if had_missed_checks {
                    group.notify();
                }
            }
            CheckResult::Missed => {
                if target.record_missed_check() {
                    log::warn!(member = target.member().as_str(); "G0709 a target became unresponsive");
                    borders.stats.target_unresponsive();
                    target.pool.close_idle();
                    group.record_unresponsive(borders.clock.boot_now());
                }
            }
            CheckResult::Full => group.record_connection_limit(borders.clock.now()),
            CheckResult::InUse => {}
        }
        target.pool.close_surplus();
        let woken = group.listen_check_request();
        let until =
            borders.clock.now() + check_interval(&group, &target, &check, borders.clock.boot_now());
        // Runs the next check after the interval, or when the group requests one.
        let _ = within(&*borders.clock, until, woken).await;
    }
}

fn check_interval(
    group: &Group,
    target: &Target,
    check: &CheckResult,
    now: BootInstant,
) -> Duration {
    if matches!(check, CheckResult::Full) {
        FULL_CHECK_DELAY
    } else if group.responsive_leader().is_none() || target.has_missed_checks() {
        FAILING_CHECK_INTERVAL
    } else if group.is_leader(&target.member()) {
        LEADER_CHECK_INTERVAL
    } else if group.is_lagging(target, now) {
        LAGGING_CHECK_INTERVAL
    } else {
        REPLICA_CHECK_INTERVAL
    }
}

/// Checks the target once, unless statements use all connections and the target answered recently.
pub(crate) async fn check(borders: &Borders, group: &Group, target: &Target) -> CheckResult {
    if group.leader().is_none() {
        // The target may be the new leader, which only a check shows, however busy it is with reads.
        target.pool.wait_for_idle().await;
    }
    let now = borders.clock.boot_now();
    let overdue = !target.has_responded_since(now.minus(OVERDUE_AFTER))
        || group.leader().is_none()
            && !target.has_answered_check_since(now.minus(LEADERLESS_OVERDUE_AFTER));
    run_check(borders, group, target, overdue).await
}

/// Checks whether the target is the leader at this moment.
pub(crate) async fn is_leader_now(borders: &Borders, group: &Group, target: &Target) -> bool {
    let answered = matches!(run_check(borders, group, target, true).await, CheckResult::Answered);
    answered && group.is_leader(&target.member())
}

async fn run_check(
    borders: &Borders,
    group: &Group,
    target: &Target,
    even_if_busy: bool,
) -> CheckResult {
    let clock = &borders.clock;
    let spec = target.spec();
    let deadline = clock.now() + OPEN_TIMEOUT;
    let mut lease = match target.pool.acquire_for_check(&spec, even_if_busy, deadline).await {
        None => return CheckResult::InUse,
        Some(Ok(lease)) => lease,
        Some(Err(NotRun::Overloaded { .. })) => return CheckResult::Full,
        Some(Err(_)) => return CheckResult::Missed,
    };
    let Some(connection) = lease.connection() else { return CheckResult::Missed };
    let requested_at = clock.boot_now();
    let deadline = clock.now() + ANSWER_TIMEOUT;
    // Only a member that leads at this moment opens a plain transaction.
    let commands = vec![TargetCommand::Begin, TargetCommand::RollBack];
    let Ok(Ok(answers)) = within(&**clock, deadline, connection.exchange(commands)).await else {
        return CheckResult::Missed;
    };
    let Some(first) = answers.first() else { return CheckResult::Missed };
    target.record_point(first.point);
    target.record_answered_check(clock.boot_now());
    match (&first.result, first.point) {
        (Ok(_), Some(point)) => {
            let undone = group.record_leader(&spec.member, point, requested_at);
            borders.stats.rolled_back_acknowledged(undone as u64);
        }
        (Err(failure), _) if failure.code == FailureCode::ReadOnly => {
            group.record_not_leader(&spec.member, clock.now(), clock.boot_now());
        }
        _ => {}
    }
    if answers.last().is_some_and(|it| it.status == TransactionStatus::Idle) {
        lease.return_to_pool();
    }
    CheckResult::Answered
}
