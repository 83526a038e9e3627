//! Watching one target: whether it answers, whether it leads, and where its log ends.

use std::rc::Rc;
use std::time::Duration;

use gullspar_border::within;
use gullspar_model::NotRun;
use gullspar_statement::{FailureCode, TargetCommand, TransactionStatus};

use crate::Borders;
use crate::groups::group::Group;
use crate::targets::target::Target;

/// Between two checks of a leader; sets how soon a failure shows and how old readings get.
const LEADER_EVERY: Duration = Duration::from_millis(150);

/// Between two checks of a replica.
const REPLICA_EVERY: Duration = Duration::from_millis(400);

/// Between two checks while the group has no leader or the target just missed one.
const TROUBLED_EVERY: Duration = Duration::from_millis(40);

/// How long a target may take to answer a check; it answers in 0.5 to 2 ms without taking a slot.
const ANSWER_WITHIN: Duration = Duration::from_millis(200);

/// How long opening the connection for checks may take; it queues for a slot behind statements.
const OPEN_WITHIN: Duration = Duration::from_millis(300);

/// Silence after which a target is checked on a connection of its own although statements use all others.
const OVERDUE_AFTER: Duration = Duration::from_millis(250);

/// Pause after a target refused the connection because it has too many.
const FULL_PAUSE: Duration = Duration::from_millis(200);

/// What one check brought.
pub(crate) enum CheckResult {
    Answered,
    Missed,
    /// Statements use all connections, and were answered lately.
    InUse,
    /// It answers, but takes no connection now.
    Full,
}

/// Watches `target` until it is removed from its group.
pub(crate) async fn watch(borders: Borders, group: Rc<Group>, target: Rc<Target>) {
    while !target.removed.get() {
        let check = check(&borders, &group, &target).await;
        match check {
            CheckResult::Answered => {
                if target.is_unresponsive() {
                    log::info!(member = target.member().as_str(); "G0708 a target answers again");
                }
                let was_troubled = target.has_missed_checks();
                target.record_response(borders.clock.boot_now());
                if was_troubled {
                    group.notify();
                }
            }
            CheckResult::Missed => {
                if target.record_missed_check() {
                    log::warn!(member = target.member().as_str(); "G0709 a target does not answer");
                    borders.stats.target_dark();
                    target.pool.close_idle();
                    group.note_dark(borders.clock.boot_now());
                }
            }
            CheckResult::Full => group.note_full(borders.clock.now()),
            CheckResult::InUse => {}
        }
        target.pool.close_surplus();
        let woken = group.listen_check();
        let until = borders.clock.now() + pause(&group, &target, &check);
        // Whichever comes first, the next check follows.
        let _ = within(&*borders.clock, until, woken).await;
    }
}

fn pause(group: &Group, target: &Target, check: &CheckResult) -> Duration {
    if matches!(check, CheckResult::Full) {
        FULL_PAUSE
    } else if group.working_leader().is_none() || target.has_missed_checks() {
        TROUBLED_EVERY
    } else if group.is_leader(&target.member()) {
        LEADER_EVERY
    } else {
        REPLICA_EVERY
    }
}

/// Asks the target once whether it leads and where its log ends, unless statements in use tell as much.
pub(crate) async fn check(borders: &Borders, group: &Group, target: &Target) -> CheckResult {
    let overdue = !target.has_responded_since(borders.clock.boot_now().minus(OVERDUE_AFTER));
    ask(borders, group, target, overdue).await
}

/// Whether the target says now that it leads.
pub(crate) async fn is_leader_now(borders: &Borders, group: &Group, target: &Target) -> bool {
    let answered = matches!(ask(borders, group, target, true).await, CheckResult::Answered);
    answered && group.is_leader(&target.member())
}

async fn ask(borders: &Borders, group: &Group, target: &Target, even_if_busy: bool) -> CheckResult {
    let clock = &borders.clock;
    let spec = target.spec();
    let deadline = clock.now() + OPEN_WITHIN;
    let mut lease = match target.pool.acquire_for_check(&spec, even_if_busy, deadline).await {
        None => return CheckResult::InUse,
        Some(Ok(lease)) => lease,
        Some(Err(NotRun::Overloaded { .. })) => return CheckResult::Full,
        Some(Err(_)) => return CheckResult::Missed,
    };
    let Some(connection) = lease.connection() else { return CheckResult::Missed };
    let begun = clock.boot_now();
    let deadline = clock.now() + ANSWER_WITHIN;
    // Only a member that leads at this moment opens a plain transaction.
    let commands = vec![TargetCommand::Begin, TargetCommand::RollBack];
    let Ok(Ok(answers)) = within(&**clock, deadline, connection.exchange(commands)).await else {
        return CheckResult::Missed;
    };
    let Some(first) = answers.first() else { return CheckResult::Missed };
    target.record_point(first.point);
    match (&first.result, first.point) {
        (Ok(_), Some(point)) => group.leads(&spec.member, point, begun),
        (Err(failure), _) if failure.code == FailureCode::ReadOnly => {
            group.does_not_lead(&spec.member, clock.now());
        }
        _ => {}
    }
    if answers.last().is_some_and(|it| it.status == TransactionStatus::Idle) {
        lease.return_to_pool();
    }
    CheckResult::Answered
}
