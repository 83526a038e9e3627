//! Metrics as Prometheus reads them.

use std::fmt::Write;

use gullspar_border::InstanceReport;

/// Writes an instance's report as Prometheus text.
pub(crate) fn prometheus(report: &InstanceReport) -> String {
    let mut page = String::new();
    gauge(&mut page, "gullspar_callers", "Callers connected.", "", report.callers);
    gauge(
        &mut page,
        "gullspar_live_instances",
        "Instances that take work.",
        "",
        report.live_instances,
    );
    page.push_str("# HELP gullspar_requests_total Requests by outcome.\n");
    page.push_str("# TYPE gullspar_requests_total counter\n");
    for it in &report.outcomes {
        let outcomes = [
            ("done", it.done),
            ("late", it.late),
            ("not_run", it.not_run),
            ("unknown", it.unknown),
        ];
        for (outcome, count) in outcomes {
            let labels =
                format!("service=\"{}\",class=\"{}\",outcome=\"{outcome}\"", it.service, it.class);
            line(&mut page, "gullspar_requests_total", &labels, count);
        }
    }
    page.push_str("# HELP gullspar_reads_total Reads by the part of their target.\n");
    page.push_str("# TYPE gullspar_reads_total counter\n");
    for it in &report.outcomes {
        for (role, count) in [("replica", it.replica_reads), ("primary", it.primary_reads)] {
            let labels =
                format!("service=\"{}\",class=\"{}\",role=\"{role}\"", it.service, it.class);
            line(&mut page, "gullspar_reads_total", &labels, count);
        }
    }
    for it in report.members.iter().filter(|it| it.home) {
        let labels = format!("group=\"{}\",member=\"{}\"", it.group, it.member);
        line(&mut page, "gullspar_target_connections", &labels, it.connections.into());
        line(&mut page, "gullspar_target_queued", &labels, it.queued.into());
    }
    page
}

fn gauge(page: &mut String, name: &str, help: &str, labels: &str, value: u64) {
    // Writing to a string can't fail.
    let _ = writeln!(page, "# HELP {name} {help}\n# TYPE {name} gauge");
    line(page, name, labels, value);
}

fn line(page: &mut String, name: &str, labels: &str, value: u64) {
    let labels = if labels.is_empty() { String::new() } else { format!("{{{labels}}}") };
    let _ = writeln!(page, "{name}{labels} {value}");
}
