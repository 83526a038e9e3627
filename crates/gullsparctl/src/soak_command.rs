//! The command that runs the fault soak.

use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use gullspar_soak::{Breach, Report, SignalReport, SoakError, SoakPlan, soak, soak_signals};

use crate::client::CommandError;

/// Runs the seeds one after the other.
///
/// # Errors
///
/// Fails if a seed breaks a promise or serves nothing after its faults.
pub(crate) fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or_default();
    let path = |name: &str| args.get_one::<PathBuf>(name).cloned().unwrap_or_default();
    let mut failed = Vec::new();
    for seed in number("seed")..number("seed") + number("count") {
        let plan = SoakPlan {
            program: path("program"),
            folder: path("folder").join(format!("seed-{seed}")),
            seed,
            instances: number("instances") as usize,
            fault_period: Duration::from_secs(number("seconds")),
            customers: args.get_flag("customers"),
            replication: args.get_flag("replication"),
        };
        let runtime =
            compio::runtime::Runtime::new().map_err(|err| CommandError::Text(err.to_string()))?;
        let failure = |err: SoakError| CommandError::Text(err.to_string());
        let passed = match args.get_flag("signals") {
            true => print_signal_report(&runtime.block_on(soak_signals(&plan)).map_err(failure)?),
            false => print_report(&runtime.block_on(soak(&plan)).map_err(failure)?),
        };
        if !passed {
            failed.push(seed.to_string());
        }
    }
    if failed.is_empty() {
        return Ok(());
    }
    Err(CommandError::Text(format!("seeds that failed: {}", failed.join(", "))))
}

/// Prints a summary of one seed; returns whether it passed.
fn print_report(report: &Report) -> bool {
    let summary = format!(
        "{} faults, {} written, {} not kept, {} unknown, {} lost as allowed, {} reads, {} written afterwards, \
         {} promotions, {} of them late{}",
        report.faults.len(),
        report.done,
        report.not_kept,
        report.unknown,
        report.allowed_losses,
        report.reads,
        report.done_after_faults,
        report.promotions,
        report.late_orders,
        if report.is_synchronous { ", synchronous" } else { "" },
    );
    let has_recovered = report.done_after_faults > 0;
    print_result(report.seed, &summary, &report.faults, &report.breaches, has_recovered)
}

/// Like [`print_report`], for a run with signals.
fn print_signal_report(report: &SignalReport) -> bool {
    let summary = format!(
        "{} series of signals, {} requests served, {} failed, {} connections closed by shutdowns, \
         {} callers gave up in pauses, {} served afterwards",
        report.faults.len(),
        report.served,
        report.failed,
        report.closed_by_shutdowns,
        report.gave_up_in_pauses,
        report.served_after_faults,
    );
    let has_recovered = report.served_after_faults > 0;
    print_result(report.seed, &summary, &report.faults, &report.breaches, has_recovered)
}

/// Prints the summary of a seed, and its faults and breaches if it failed; returns whether it passed.
fn print_result(
    seed: u64,
    summary: &str,
    faults: &[String],
    breaches: &[Breach],
    has_recovered: bool,
) -> bool {
    let passed = breaches.is_empty() && has_recovered;
    println!("seed {seed}: {}; {summary}", if passed { "passed" } else { "FAILED" });
    if !passed {
        faults.iter().for_each(|it| println!("  {it}"));
        breaches.iter().for_each(|it| println!("  broken: {}: {}", it.promise, it.text));
    }
    passed
}
