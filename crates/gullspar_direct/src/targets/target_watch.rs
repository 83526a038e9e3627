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
pub(crate) enum Check {
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
            Check::Answered => {
                if target.is_dark() {
                    log::info!(member = target.member().as_str(); "G0708 a target answers again");
                }
                let was_troubled = target.has_misses();
                target.heard(borders.clock.boot_now());
                if was_troubled {
                    group.notify();
                }
            }
            Check::Missed => {
                if target.missed() {
                    log::warn!(member = target.member().as_str(); "G0709 a target does not answer");
                    borders.stats.target_unresponsive();
                    target.pool.drop_idle();
                    group.record_unresponsive(borders.clock.boot_now());
                }
            }
            Check::Full => group.record_connection_limit(borders.clock.now()),
            Check::InUse => {}
        }
        target.pool.drop_surplus();
        let woken = group.listen_check_request();
        let until = borders.clock.now() + pause(&group, &target, &check);
        // Whichever comes first, the next check follows.
        let _ = within(&*borders.clock, until, woken).await;
    }
}

fn pause(group: &Group, target: &Target, check: &Check) -> Duration {
    if matches!(check, Check::Full) {
        FULL_PAUSE
    } else if group.responsive_leader().is_none() || target.has_misses() {
        TROUBLED_EVERY
    } else if group.is_leader(&target.member()) {
        LEADER_EVERY
    } else {
        REPLICA_EVERY
    }
}

/// Asks the target once whether it leads and where its log ends, unless statements in use tell as much.
pub(crate) async fn check(borders: &Borders, group: &Group, target: &Target) -> Check {
    let overdue = !target.heard_since(borders.clock.boot_now().minus(OVERDUE_AFTER));
    ask(borders, group, target, overdue).await
}

/// Whether the target says now that it leads.
pub(crate) async fn leads(borders: &Borders, group: &Group, target: &Target) -> bool {
    let answered = matches!(ask(borders, group, target, true).await, Check::Answered);
    answered && group.is_leader(&target.member())
}

async fn ask(borders: &Borders, group: &Group, target: &Target, even_if_busy: bool) -> Check {
    let clock = &borders.clock;
    let spec = target.spec();
    let deadline = clock.now() + OPEN_WITHIN;
    let mut lease = match target.pool.take_for_check(&spec, even_if_busy, deadline).await {
        None => return Check::InUse,
        Some(Ok(lease)) => lease,
        Some(Err(NotRun::Overloaded { .. })) => return Check::Full,
        Some(Err(_)) => return Check::Missed,
    };
    let Some(connection) = lease.connection() else { return Check::Missed };
    let begun = clock.boot_now();
    let deadline = clock.now() + ANSWER_WITHIN;
    // Only a member that leads at this moment opens a plain transaction.
    let commands = vec![TargetCommand::Begin, TargetCommand::RollBack];
    let Ok(Ok(answers)) = within(&**clock, deadline, connection.exchange(commands)).await else {
        return Check::Missed;
    };
    let Some(first) = answers.first() else { return Check::Missed };
    target.note_point(first.point);
    match (&first.result, first.point) {
        (Ok(_), Some(point)) => group.record_leader(&spec.member, point, begun),
        (Err(failure), _) if failure.code == FailureCode::ReadOnly => {
            group.record_not_leader(&spec.member, clock.now());
        }
        _ => {}
    }
    if answers.last().is_some_and(|it| it.status == TransactionStatus::Idle) {
        lease.give_back();
    }
    Check::Answered
}
