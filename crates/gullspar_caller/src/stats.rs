//! Counts of requests by service and class.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{BurnSeries, Clock, OutcomeCount};
use gullspar_model::{CallerClass, Outcome, ServiceName, TargetKey};

use crate::minute_ring::MinuteRing;

/// What a request was, for counting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    ReplicaRead,
    PrimaryRead,
    Write,
}

/// A request that ended.
pub(crate) struct Counted<'r> {
    pub(crate) service: &'r ServiceName,
    pub(crate) class_name: &'r str,
    pub(crate) class: &'r CallerClass,
    pub(crate) kind: RequestKind,
    pub(crate) outcome: &'r Outcome,
    pub(crate) took: Duration,
    /// The target that it was last tried at.
    pub(crate) target: Option<&'r TargetKey>,
}

struct ClassStats {
    total: OutcomeCount,
    ring: MinuteRing,
}

/// Requests of this instance since it started.
pub struct CallerStats {
    clock: Rc<dyn Clock>,
    started: Instant,
    classes: RefCell<HashMap<ServiceName, HashMap<String, ClassStats>>>,
}

impl CallerStats {
    /// No requests so far.
    pub fn new(clock: Rc<dyn Clock>) -> Rc<CallerStats> {
        let started = clock.now();
        Rc::new(CallerStats { clock, started, classes: RefCell::default() })
    }

    /// The minute that it is, counted from the start.
    fn minute(&self) -> u64 {
        self.clock.now().saturating_duration_since(self.started).as_secs() / 60
    }

    /// Counts one request.
    pub(crate) fn count(&self, counted: &Counted<'_>) {
        let minute = self.minute();
        let mut classes = self.classes.borrow_mut();
        if !classes.contains_key(counted.service) {
            classes.insert(counted.service.clone(), HashMap::new());
        }
        let Some(service) = classes.get_mut(counted.service) else { return };
        if !service.contains_key(counted.class_name) {
            service.insert(counted.class_name.to_owned(), ClassStats::new(counted));
        }
        if let Some(stats) = service.get_mut(counted.class_name) {
            stats.count(counted, minute);
        }
    }

    /// All counts.
    pub fn report(&self) -> Vec<OutcomeCount> {
        let classes = self.classes.borrow();
        classes.values().flat_map(HashMap::values).map(|it| it.total.clone()).collect()
    }

    /// Requests by minute.
    pub fn burn(&self) -> Vec<BurnSeries> {
        let minute = self.minute();
        let classes = self.classes.borrow();
        let series = classes.values().flat_map(HashMap::values).map(|it| BurnSeries {
            service: it.total.service.clone(),
            class: it.total.class.clone(),
            objective_ppm: it.total.objective_ppm,
            minutes: it.ring.minutes(minute),
            blames: it.ring.blames(minute),
        });
        series.collect()
    }
}

impl ClassStats {
    fn new(counted: &Counted<'_>) -> ClassStats {
        let total = OutcomeCount::empty(counted.service.as_str(), counted.class_name);
        ClassStats { total, ring: MinuteRing::default() }
    }

    fn count(&mut self, counted: &Counted<'_>, minute: u64) {
        let total = &mut self.total;
        total.objective_ppm = counted.class.objective_ppm;
        let now = self.ring.at(minute);
        let reason = match counted.outcome {
            Outcome::Done { .. }
                if counted.took > Duration::from_millis(counted.class.deadline_ms) =>
            {
                total.late += 1;
                now.late += 1;
                Some("answered late")
            }
            Outcome::Done { .. } => {
                total.done += 1;
                now.good += 1;
                None
            }
            Outcome::NotRun(reason) => {
                total.not_run += 1;
                now.not_run += 1;
                Some(reason.text())
            }
            Outcome::Unknown(reason) => {
                total.unknown += 1;
                now.unknown += 1;
                Some(reason.text())
            }
        };
        if let Some(reason) = reason {
            self.ring.blame(minute, counted.target, reason);
        }
        match counted.kind {
            RequestKind::ReplicaRead => total.replica_reads += 1,
            RequestKind::PrimaryRead => total.primary_reads += 1,
            RequestKind::Write => total.writes += 1,
        }
    }
}
