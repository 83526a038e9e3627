//! Copies a primary's log to a replica, its lag later.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gullspar_model::{MemberName, MemberRole};

use super::Members;
use super::log_record::LogRecord;
use crate::Faults;
use crate::faults::TargetFault;

/// How often a replica looks again when nothing wakes it; also bounds how late a cut is noticed.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Keeps member `name` following for as long as the task lives.
pub(crate) async fn run(name: MemberName, members: Members, faults: Arc<Faults>) {
    let Some(own) = members.get(&name) else { return };
    loop {
        let primary = own.borrow().following.clone();
        let Some(primary) = primary.and_then(|it| members.get(&it)) else {
            let changed = own.borrow().changed.listen();
            let _ = compio::time::timeout(LOOK_AGAIN, changed).await;
            continue;
        };
        let changed = primary.borrow().changed.listen();
        let linked = {
            let (own, primary) = (own.borrow(), primary.borrow());
            !faults.is_cut(&own.settings.data_centre, &primary.settings.data_centre)
                && faults.target(&own.target) == TargetFault::None
                && faults.target(&primary.target) != TargetFault::Stopped
                && faults.target(&primary.target) != TargetFault::Hung
        };
        if !linked {
            compio::time::sleep(LOOK_AGAIN).await;
            continue;
        }
        let lag = Duration::from_millis(faults.lag_ms().unwrap_or(own.borrow().lag_ms));
        let next = next_record(&own.borrow(), &primary.borrow());
        match next {
            Some(record) if record.committed_at + lag <= Instant::now() => {
                // Between two records a client's open transaction must not see the change.
                let lock = Arc::clone(&own.borrow().lock);
                let _guard = lock.lock_arc().await;
                let mut own = own.borrow_mut();
                if next_record(&own, &primary.borrow()).as_ref() == Some(&record) {
                    own.apply(record);
                }
            }
            Some(record) => compio::time::sleep_until(record.committed_at + lag).await,
            None => {
                let _ = compio::time::timeout(LOOK_AGAIN, changed).await;
            }
        }
    }
}

/// The record that `own` lacks next, while the two are of one term.
///
/// A primary that was fenced accepts no more writes and still hands out what it has.
fn next_record(own: &super::Member, primary: &super::Member) -> Option<LogRecord> {
    let joined = own.role == MemberRole::Replica
        && primary.role != MemberRole::Replica
        && own.term == primary.term;
    if !joined {
        return None;
    }
    primary.log.get(own.log.len()).cloned()
}
