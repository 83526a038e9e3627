//! Metrics of one instance.

use std::time::Duration;

use gullspar_model::Access;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

use gullspar_statement::{Failure, FailureCode};

use crate::PartitionState;
use crate::session::session_end::EndReason;
use crate::session::trace::Trace;

/// Bucket bounds of the latency histograms, in seconds; they cover the services' latency objectives of 0.1 to 0.8.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// The instruments that record the metrics.
pub struct Stats {
    statements: Counter<u64>,
    statement_seconds: Histogram<f64>,
    permit_wait_seconds: Histogram<f64>,
    transactions_lost: Counter<u64>,
    promotions: Counter<u64>,
    promotion_causes: Counter<u64>,
    transfers_given_up: Counter<u64>,
    unresponsive_targets: Counter<u64>,
    rolled_back_points: Counter<u64>,
    rolled_back_acknowledged: Counter<u64>,
    acknowledged_alone: Counter<u64>,
    keys_refused: Counter<u64>,
    limited: Counter<u64>,
    in_grace_period: Counter<u64>,
    connections: Counter<u64>,
    unresponsive_homes: Counter<u64>,
    lost_homes: Counter<u64>,
    openings_refused: Counter<u64>,
    sessions_ended: Counter<u64>,
    rotation_changes: Counter<u64>,
    rotation_messages: Counter<u64>,
    sessions: Gauge<u64>,
    configuration: Gauge<u64>,
    partitioned: Gauge<u64>,
    leaderless: Gauge<u64>,
    verdict: Gauge<u64>,
    servable_percent: Gauge<u64>,
    instances: Gauge<u64>,
    store_silent: Gauge<u64>,
}

/// Values of the gauges, which are recorded at intervals.
pub(crate) struct GaugeValues {
    pub(crate) sessions: u64,
    pub(crate) configuration: u64,
    pub(crate) is_partitioned: bool,
    pub(crate) leaderless: u64,
    /// The verdict on rotation: 1 to stay, 2 to leave, 0 for none.
    pub(crate) verdict: u64,
    pub(crate) servable_percent: u64,
    pub(crate) instances: u64,
    /// Time since the store's last answer, in milliseconds; `None` if it never answered.
    pub(crate) store_silent_ms: Option<u64>,
}

impl Stats {
    /// Creates all instruments with `meter`.
    pub fn new(meter: &Meter) -> Stats {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        let histogram = |name: &'static str, text: &'static str| {
            let builder = meter.f64_histogram(name).with_description(text);
            builder.with_boundaries(LATENCY_BOUNDS_S.to_vec()).with_unit("s").build()
        };
        Stats {
            statements: counter(
                "gullspar_statements",
                "Statements answered, by access, role of the target and outcome.",
            ),
            statement_seconds: histogram(
                "gullspar_statement_duration",
                "Time from a statement's arrival to its answer.",
            ),
            permit_wait_seconds: histogram(
                "gullspar_place_wait",
                "Time that statements waited for a permit to run on a target.",
            ),
            transactions_lost: counter(
                "gullspar_transactions_lost",
                "Transactions whose connection was lost.",
            ),
            promotions: counter("gullspar_promotions", "Promotions ordered, by result."),
            promotion_causes: counter(
                "gullspar_promotion_causes",
                "Promotions that the platform accepted or did not answer, by cause.",
            ),
            transfers_given_up: counter(
                "gullspar_transfers_given_up",
                "Transfers of a leader role that were called for and not ordered, by reason.",
            ),
            unresponsive_targets: counter(
                "gullspar_targets_dark",
                "Times that a target became unresponsive.",
            ),
            rolled_back_points: counter(
                "gullspar_rolled_back_commits",
                "Commits that a failover may have undone: those between the end of the new leader's \
                 log and the newest position sample of the old leader.",
            ),
            rolled_back_acknowledged: counter(
                "gullspar_rolled_back_acknowledged_commits",
                "Commits acknowledged by this instance that the next leader is known to lack.",
            ),
            acknowledged_alone: counter(
                "gullspar_acknowledged_alone",
                "Commits acknowledged without confirmation that a replica has them.",
            ),
            keys_refused: counter(
                "gullspar_keys_refused",
                "Sessions and statements refused because the key belongs to no customer.",
            ),
            limited: counter(
                "gullspar_limited_operations",
                "Operations refused because their customer is at its limit.",
            ),
            in_grace_period: counter(
                "gullspar_operations_in_grace",
                "Operations run in the grace period, while the quota owner of their customer granted \
                 nothing.",
            ),
            connections: counter(
                "gullspar_target_connections",
                "Connections to targets, by event: opened, refused, or closed for another customer.",
            ),
            unresponsive_homes: counter(
                "gullspar_unresponsive_homes",
                "Times that a home became unresponsive to this instance.",
            ),
            lost_homes: counter(
                "gullspar_lost_homes",
                "Forwarded sessions with a transaction or statements whose home was lost, and idle ones that moved, by \
                 outcome: moved, here, rolled_back, unknown, timed_out or not_run.",
            ),
            openings_refused: counter(
                "gullspar_openings_refused",
                "Sessions refused when they were opened, because of a partition or a shutdown, by the \
                 instance's partition state.",
            ),
            sessions_ended: counter(
                "gullspar_sessions_ended",
                "Sessions of callers connected to this instance that have ended, by reason.",
            ),
            rotation_changes: counter(
                "gullspar_rotation_changes",
                "Times that this instance left rotation or returned because of a partition, by what it \
                 decided by.",
            ),
            rotation_messages: counter(
                "gullspar_rotation_messages",
                "Reports and verdicts on rotation sent.",
            ),
            sessions: gauge("gullspar_sessions", "Callers connected."),
            configuration: gauge(
                "gullspar_configuration_version",
                "Version of the configuration in force.",
            ),
            partitioned: gauge("gullspar_cut_off", "1 while this instance is partitioned."),
            leaderless: gauge("gullspar_groups_without_leader", "Groups without a usable leader."),
            verdict: gauge(
                "gullspar_rotation_verdict",
                "Verdict on the rotation of this data centre: 1 to stay, 2 to leave, 0 for none.",
            ),
            servable_percent: gauge(
                "gullspar_servable_percent",
                "Share of the callers' use that can be served in this data centre, by the verdict; 100 \
                 without one.",
            ),
            instances: gauge("gullspar_instances", "Live instances, including this one."),
            store_silent: gauge(
                "gullspar_store_silent_ms",
                "Milliseconds since the last answer of the platform's store.",
            ),
        }
    }

    pub(crate) fn statement(
        &self,
        access: Access,
        trace: &Trace,
        result: Result<(), &Failure>,
        took: Duration,
    ) {
        let access = KeyValue::new("access", access_label(access));
        let part = KeyValue::new("part", if trace.on_leader { "leader" } else { "replica" });
        let outcome =
            KeyValue::new("outcome", result.err().map_or("done", |it| outcome_label(&it.code)));
        self.statement_seconds.record(took.as_secs_f64(), &[access.clone(), part.clone()]);
        self.statements.add(1, &[access, part, outcome]);
    }

    pub(crate) fn permit_wait(&self, waited: Duration) {
        self.permit_wait_seconds.record(waited.as_secs_f64(), &[]);
    }

    pub(crate) fn transaction_lost(&self) {
        self.transactions_lost.add(1, &[]);
    }

    pub(crate) fn promotion(&self, result: &'static str) {
        self.promotions.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a promotion that may take effect.
    pub(crate) fn promotion_cause(&self, cause: &'static str) {
        self.promotion_causes.add(1, &[KeyValue::new("cause", cause)]);
    }

    pub(crate) fn transfer_given_up(&self, reason: &'static str) {
        self.transfers_given_up.add(1, &[KeyValue::new("reason", reason)]);
    }

    pub(crate) fn target_unresponsive(&self) {
        self.unresponsive_targets.add(1, &[]);
    }

    pub(crate) fn rolled_back(&self, commits: u64) {
        self.rolled_back_points.add(commits, &[]);
    }

    pub(crate) fn rolled_back_acknowledged(&self, commits: u64) {
        self.rolled_back_acknowledged.add(commits, &[]);
    }

    pub(crate) fn acknowledged_alone(&self) {
        self.acknowledged_alone.add(1, &[]);
    }

    pub(crate) fn key_refused(&self) {
        self.keys_refused.add(1, &[]);
    }

    pub(crate) fn limited(&self) {
        self.limited.add(1, &[]);
    }

    pub(crate) fn ran_in_grace_period(&self) {
        self.in_grace_period.add(1, &[]);
    }

    pub(crate) fn connection(&self, event: &'static str) {
        self.connections.add(1, &[KeyValue::new("event", event)]);
    }

    pub(crate) fn home_unresponsive(&self) {
        self.unresponsive_homes.add(1, &[]);
    }

    pub(crate) fn home_lost(&self, outcome: &'static str) {
        self.lost_homes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn opening_refused(&self, state: PartitionState) {
        let state = match state {
            PartitionState::Connected => "in_rotation",
            PartitionState::Partitioned => "leaving_rotation",
            PartitionState::OutOfRotation => "out_of_rotation",
        };
        self.openings_refused.add(1, &[KeyValue::new("state", state)]);
    }

    pub(crate) fn session_ended(&self, reason: EndReason) {
        self.sessions_ended.add(1, &[KeyValue::new("reason", reason.name())]);
    }

    pub(crate) fn rotation_change(&self, change: &'static str, by: &'static str) {
        self.rotation_changes.add(1, &[KeyValue::new("change", change), KeyValue::new("by", by)]);
    }

    pub(crate) fn rotation_message(&self, kind: &'static str) {
        self.rotation_messages.add(1, &[KeyValue::new("kind", kind)]);
    }

    pub(crate) fn record_gauges(&self, values: &GaugeValues) {
        self.sessions.record(values.sessions, &[]);
        self.configuration.record(values.configuration, &[]);
        self.partitioned.record(u64::from(values.is_partitioned), &[]);
        self.leaderless.record(values.leaderless, &[]);
        self.verdict.record(values.verdict, &[]);
        self.servable_percent.record(values.servable_percent, &[]);
        self.instances.record(values.instances, &[]);
        if let Some(silent_ms) = values.store_silent_ms {
            self.store_silent.record(silent_ms, &[]);
        }
    }
}

fn access_label(access: Access) -> &'static str {
    match access {
        Access::Read => "read",
        Access::Write => "write",
    }
}

fn outcome_label(code: &FailureCode) -> &'static str {
    match code {
        FailureCode::Congested | FailureCode::TooManyConnections => "not_run",
        FailureCode::RolledBack => "rolled_back",
        FailureCode::Unknown => "unknown",
        FailureCode::TimedOut => "timed_out",
        FailureCode::Failed => "failed",
        _ => "refused",
    }
}
