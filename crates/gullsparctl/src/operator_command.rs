//! Commands that call the operator API of an instance.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;
use gullspar_operator::Status;

use crate::client::{self, CommandError};

/// Runs the command `name` and prints its result.
pub(crate) fn run(name: &str, args: &ArgMatches) -> Result<(), CommandError> {
    let address = address(args)?;
    let text = match name {
        "plan" => client::post(address, "/v1/plans", &client::read(&file(args))?)?,
        "confirm" => client::post(address, "/v1/confirm", &client::read(&file(args))?)?,
        _ => {
            let text = client::get(address, "/v1/status")?;
            if args.get_flag("json") { text } else { format_status(&text)? }
        }
    };
    println!("{}", text.trim_end());
    Ok(())
}

/// The operator address that was passed with `--at`.
pub(crate) fn address(args: &ArgMatches) -> Result<SocketAddr, CommandError> {
    let missing = || CommandError::Text("--at is missing".to_owned());
    args.get_one::<SocketAddr>("at").copied().ok_or_else(missing)
}

fn file(args: &ArgMatches) -> PathBuf {
    args.get_one::<PathBuf>("file").cloned().unwrap_or_default()
}

/// Formats a status, given as JSON, for a terminal.
fn format_status(json: &str) -> Result<String, CommandError> {
    let status: Status =
        serde_json::from_str(json).map_err(|err| CommandError::Text(err.to_string()))?;
    let mut lines = Vec::new();
    for it in &status.services {
        lines.push(format!(
            "service {}: version {} in force on {} of {} instances",
            it.service, it.version, it.in_force_on, it.instances
        ));
    }
    for it in &status.instances {
        let record = &it.record;
        let state = format!("{:?}", record.state).to_lowercase();
        let Some(report) = &it.report else {
            lines.push(format!("instance {} in {}: {state}", record.id, record.data_centre));
            continue;
        };
        lines.push(format!(
            "instance {} in {}: {state}, {} callers, sees {} instances",
            record.id, record.data_centre, report.callers, report.live_instances
        ));
        for member in report.members.iter().filter(|it| it.home) {
            let seen = member.status.map_or("not seen".to_owned(), |it| {
                format!("{:?} of term {} at {}", it.role, it.term.0, it.position.0).to_lowercase()
            });
            lines.push(format!(
                "  target {}/{}: {seen}, silent {} ms, age {}, {} connections, {} slots busy, {} queued",
                member.group,
                member.member,
                member.silent_ms.unwrap_or(0),
                member.age_ms.map_or("unknown".to_owned(), |it| format!("{it} ms")),
                member.connections,
                member.busy_slots,
                member.queued
            ));
        }
        for count in &report.outcomes {
            lines.push(format!(
                "  {}/{}: done {}, late {}, not run {}, unknown {}; reads {} on replicas, {} on primaries; writes {}",
                count.service,
                count.class,
                count.done,
                count.late,
                count.not_run,
                count.unknown,
                count.replica_reads,
                count.primary_reads,
                count.writes
            ));
        }
    }
    Ok(lines.join("\n"))
}
