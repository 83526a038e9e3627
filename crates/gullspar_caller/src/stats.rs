//! Request counts by service and caller class.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{BurnSeries, Clock, OutcomeCount};
use gullspar_model::{CallerClass, Outcome, ServiceName, TargetKey};

use crate::minute_ring::MinuteRing;

/// The kinds of request that are counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    ReplicaRead,
    PrimaryRead,
    Write,
}

/// A finished request, as it is counted.
pub(crate) struct FinishedRequest<'r> {
    pub(crate) service: &'r ServiceName,
    pub(crate) class_name: &'r str,
    pub(crate) class: &'r CallerClass,
    pub(crate) kind: RequestKind,
    pub(crate) outcome: &'r Outcome,
    pub(crate) took: Duration,
    /// The target of the last attempt.
    pub(crate) target: Option<&'r TargetKey>,
}

struct ClassStats {
    total: OutcomeCount,
    ring: MinuteRing,
}

/// Counts the requests of this instance since it started.
pub struct CallerStats {
    clock: Rc<dyn Clock>,
    started: Instant,
    classes: RefCell<HashMap<ServiceName, HashMap<String, ClassStats>>>,
}

impl CallerStats {
    /// Creates empty counts that start now.
    pub fn new(clock: Rc<dyn Clock>) -> Rc<CallerStats> {
        let started = clock.now();
        Rc::new(CallerStats { clock, started, classes: RefCell::default() })
    }

    /// Minutes passed since the start.
    fn minute(&self) -> u64 {
        self.clock.now().saturating_duration_since(self.started).as_secs() / 60
    }

    /// Counts one request.
    pub(crate) fn record(&self, request: &FinishedRequest<'_>) {
        let minute = self.minute();
        let mut classes = self.classes.borrow_mut();
        if !classes.contains_key(request.service) {
            classes.insert(request.service.clone(), HashMap::new());
        }
        let Some(service) = classes.get_mut(request.service) else { return };
        if !service.contains_key(request.class_name) {
            service.insert(request.class_name.to_owned(), ClassStats::new(request));
        }
        if let Some(stats) = service.get_mut(request.class_name) {
            stats.record(request, minute);
        }
    }

    /// Totals since the start, by service and class.
    pub fn report(&self) -> Vec<OutcomeCount> {
        let classes = self.classes.borrow();
        classes.values().flat_map(HashMap::values).map(|it| it.total.clone()).collect()
    }

    /// Counts by minute and recent failures, by service and class.
    pub fn burn(&self) -> Vec<BurnSeries> {
        let minute = self.minute();
        let classes = self.classes.borrow();
        let series = classes.values().flat_map(HashMap::values).map(|it| BurnSeries {
            service: it.total.service.clone(),
            class: it.total.class.clone(),
            objective_ppm: it.total.objective_ppm,
            minutes: it.ring.minutes(minute),
            blames: it.ring.failures(minute),
        });
        series.collect()
    }
}

impl ClassStats {
    fn new(request: &FinishedRequest<'_>) -> ClassStats {
        let total = OutcomeCount::empty(request.service.as_str(), request.class_name);
        ClassStats { total, ring: MinuteRing::default() }
    }

    fn record(&mut self, request: &FinishedRequest<'_>, minute: u64) {
        let total = &mut self.total;
        total.objective_ppm = request.class.objective_ppm;
        let current = self.ring.at(minute);
        let reason = match request.outcome {
            Outcome::Done { .. }
                if request.took > Duration::from_millis(request.class.deadline_ms) =>
            {
                total.late += 1;
                current.late += 1;
                Some("answered late")
            }
            Outcome::Done { .. } => {
                total.done += 1;
                current.good += 1;
                None
            }
            Outcome::NotRun(reason) => {
                total.not_run += 1;
                current.not_run += 1;
                Some(reason.text())
            }
            Outcome::Unknown(reason) => {
                total.unknown += 1;
                current.unknown += 1;
                Some(reason.text())
            }
        };
        if let Some(reason) = reason {
            self.ring.record_failure(minute, request.target, reason);
        }
        match request.kind {
            RequestKind::ReplicaRead => total.replica_reads += 1,
            RequestKind::PrimaryRead => total.primary_reads += 1,
            RequestKind::Write => total.writes += 1,
        }
    }
}
