//! Copies a primary's log to a replica after the replication lag.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gullspar_model::{MemberName, MemberRole};

use super::Members;
use super::log_record::LogRecord;
use crate::Faults;
use crate::faults::TargetFault;

/// How often a replica checks for changes that it isn't notified of, such as a cut or restored link.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Replicates to member `name` from the primary that it follows, until the task is dropped.
pub(crate) async fn run(name: MemberName, members: Members, faults: Arc<Faults>) {
    let Some(own) = members.get(&name) else { return };
    loop {
        let primary = own.borrow().following.clone();
        let Some(primary) = primary.and_then(|it| members.get(&it)) else {
            let changed = own.borrow().changed.listen();
            let _ = compio::time::timeout(POLL_INTERVAL, changed).await;
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
            compio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        let lag = Duration::from_millis(faults.lag_ms().unwrap_or(own.borrow().lag_ms));
        let next = next_record(&own.borrow(), &primary.borrow());
        match next {
            Some(record) if record.committed_at + lag <= Instant::now() => {
                // Waits for an open transaction to end, since it must not see changes from outside.
                let lock = Arc::clone(&own.borrow().lock);
                let _guard = lock.lock_arc().await;
                let mut own = own.borrow_mut();
                if next_record(&own, &primary.borrow()).as_ref() == Some(&record) {
                    own.apply(record);
                }
            }
            Some(record) => compio::time::sleep_until(record.committed_at + lag).await,
            None => {
                let _ = compio::time::timeout(POLL_INTERVAL, changed).await;
            }
        }
    }
}

/// The next record that `own` lacks; `None` if it has all or the members are in different terms.
///
/// A fenced primary accepts no writes, but still serves the records that it has.
fn next_record(own: &super::Member, primary: &super::Member) -> Option<LogRecord> {
    let can_replicate = own.role == MemberRole::Replica
        && primary.role != MemberRole::Replica
        && own.term == primary.term;
    if !can_replicate {
        return None;
    }
    primary.log.get(own.log.len()).cloned()
}
