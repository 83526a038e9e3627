//! Metrics of an instance in the Prometheus text format.

use std::sync::{Arc, Mutex, PoisonError};

use gullspar_border::{InstanceReport, MemberReport, OutcomeCount};
use gullspar_telemetry::{MetricsError, MetricsRegistry};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Meter};

/// The report that the instruments observe. Unlike the instance's state, it may be read on any thread.
type Snapshot = Arc<Mutex<Option<InstanceReport>>>;

/// The instruments and the report that they observe.
pub(crate) struct Metrics {
    snapshot: Snapshot,
    registry: MetricsRegistry,
}

impl Metrics {
    /// Registers all instruments.
    pub(crate) fn new() -> Result<Metrics, MetricsError> {
        let registry = MetricsRegistry::new()?;
        let snapshot = Snapshot::default();
        register_instruments(&registry.meter(), &snapshot);
        Ok(Metrics { snapshot, registry })
    }

    /// Formats `report` as Prometheus text.
    pub(crate) fn page(&self, report: InstanceReport) -> Result<String, MetricsError> {
        *self.snapshot.lock().unwrap_or_else(PoisonError::into_inner) = Some(report);
        self.registry.page()
    }
}

fn register_instruments(meter: &Meter, snapshot: &Snapshot) {
    gauge(meter, snapshot, "gullspar_callers", "Callers connected.", |report, observe| {
        observe(report.callers, &[]);
    });
    gauge(
        meter,
        snapshot,
        "gullspar_live_instances",
        "Instances that accept work.",
        |report, observe| {
            observe(report.live_instances, &[]);
        },
    );
    gauge(
        meter,
        snapshot,
        "gullspar_target_connections",
        "Open connections to a target.",
        |report, observe| {
            for it in home_members(report) {
                observe(it.connections.into(), &target_attributes(it));
            }
        },
    );
    gauge(
        meter,
        snapshot,
        "gullspar_target_queued",
        "Requests waiting for a target.",
        |report, observe| {
            for it in home_members(report) {
                observe(it.queued.into(), &target_attributes(it));
            }
        },
    );
    gauge(
        meter,
        snapshot,
        "gullspar_target_age_ms",
        "Maximum age of a target's data, in milliseconds.",
        |report, observe| {
            for it in home_members(report) {
                if let Some(age_ms) = it.age_ms {
                    observe(age_ms, &target_attributes(it));
                }
            }
        },
    );
    let observed = Arc::clone(snapshot);
    meter
        .u64_observable_counter("gullspar_requests")
        .with_description("Requests by outcome.")
        .with_callback(move |out| with_report(&observed, |report| observe_requests(report, out)))
        .build();
    let observed = Arc::clone(snapshot);
    meter
        .u64_observable_counter("gullspar_reads")
        .with_description("Reads by the role of their target.")
        .with_callback(move |out| with_report(&observed, |report| observe_reads(report, out)))
        .build();
}

/// Records one value with its attributes.
type Observe<'o> = &'o dyn Fn(u64, &[KeyValue]);

fn gauge(
    meter: &Meter,
    snapshot: &Snapshot,
    name: &'static str,
    description: &'static str,
    read: impl Fn(&InstanceReport, Observe<'_>) + Send + Sync + 'static,
) {
    let snapshot = Arc::clone(snapshot);
    meter
        .u64_observable_gauge(name)
        .with_description(description)
        .with_callback(move |out| {
            with_report(&snapshot, |report| {
                read(report, &|value, attributes| out.observe(value, attributes));
            });
        })
        .build();
}

fn with_report(snapshot: &Snapshot, read: impl FnOnce(&InstanceReport)) {
    if let Some(report) = &*snapshot.lock().unwrap_or_else(PoisonError::into_inner) {
        read(report);
    }
}

/// The members whose connections this instance holds.
fn home_members(report: &InstanceReport) -> impl Iterator<Item = &MemberReport> {
    report.members.iter().filter(|it| it.home)
}

fn target_attributes(member: &MemberReport) -> [KeyValue; 2] {
    [
        KeyValue::new("group", member.group.to_string()),
        KeyValue::new("member", member.member.to_string()),
    ]
}

fn observe_requests(report: &InstanceReport, out: &dyn AsyncInstrument<u64>) {
    for it in &report.outcomes {
        let outcomes = [
            ("done", it.done),
            ("late", it.late),
            ("not_run", it.not_run),
            ("unknown", it.unknown),
        ];
        for (outcome, count) in outcomes {
            out.observe(count, &class_attributes(it, "outcome", outcome));
        }
    }
}

fn observe_reads(report: &InstanceReport, out: &dyn AsyncInstrument<u64>) {
    for it in &report.outcomes {
        for (role, count) in [("replica", it.replica_reads), ("primary", it.primary_reads)] {
            out.observe(count, &class_attributes(it, "role", role));
        }
    }
}

fn class_attributes(
    count: &OutcomeCount,
    name: &'static str,
    value: &'static str,
) -> [KeyValue; 3] {
    [
        KeyValue::new("service", count.service.clone()),
        KeyValue::new("class", count.class.clone()),
        KeyValue::new(name, value),
    ]
}
