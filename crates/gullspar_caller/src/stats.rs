//! Counts of requests by service and class.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use gullspar_border::OutcomeCount;
use gullspar_model::{CallerClass, Outcome, ServiceName};

/// What a request was, for counting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    ReplicaRead,
    PrimaryRead,
    Write,
}

#[derive(PartialEq, Eq, Hash)]
struct StatsKey {
    service: ServiceName,
    class: String,
}

/// Requests of this instance since it started.
#[derive(Default)]
pub struct CallerStats {
    counts: RefCell<HashMap<StatsKey, OutcomeCount>>,
}

impl CallerStats {
    /// Counts one request.
    pub(crate) fn count(
        &self,
        service: &ServiceName,
        class_name: &str,
        class: &CallerClass,
        kind: RequestKind,
        outcome: &Outcome,
        took: Duration,
    ) {
        let key = StatsKey { service: service.clone(), class: class_name.to_owned() };
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(key).or_insert_with(|| empty(service, class_name));
        count.objective_ppm = class.objective_ppm;
        match outcome {
            Outcome::Done { .. } if took > Duration::from_millis(class.deadline_ms) => {
                count.late += 1;
            }
            Outcome::Done { .. } => count.done += 1,
            Outcome::NotRun(_) => count.not_run += 1,
            Outcome::Unknown(_) => count.unknown += 1,
        }
        match kind {
            RequestKind::ReplicaRead => count.replica_reads += 1,
            RequestKind::PrimaryRead => count.primary_reads += 1,
            RequestKind::Write => count.writes += 1,
        }
    }

    /// All counts.
    pub fn report(&self) -> Vec<OutcomeCount> {
        self.counts.borrow().values().cloned().collect()
    }
}

fn empty(service: &ServiceName, class: &str) -> OutcomeCount {
    OutcomeCount {
        service: service.to_string(),
        class: class.to_owned(),
        objective_ppm: 0,
        done: 0,
        late: 0,
        not_run: 0,
        unknown: 0,
        replica_reads: 0,
        primary_reads: 0,
        writes: 0,
    }
}
