//! How long writes are unavailable when a primary fails, for both deployments.
//!
//! `cargo bench -p gullspar_bench --bench failover` takes about ten minutes. `RUNS=3` reduces the runs per case.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use gullspar_bench::{Bounds, Deployment, Percentiles};
use gullspar_lab::{
    FaultChange, History, Lab, RequestOutcome, TargetFault, Violations, Workload, WorkloadSettings,
};

/// How long a failure lasts. The gap in writes is measured in this time.
const WINDOW: Duration = Duration::from_secs(4);

/// Failures of the primary.
const FAILURES: [&str; 3] = ["stopped", "hung", "cut off"];

fn main() -> ExitCode {
    let runs = std::env::var("RUNS").ok().and_then(|it| it.parse().ok()).unwrap_or(20);
    // `ONLY="kahurangi cut off"` measures a single case.
    let only = std::env::var("ONLY").ok();
    let mut bounds = Bounds::default();
    println!("deployment  failure  runs  gap p50 ms  gap max ms  writes  unknown  promotions");
    for deployment in [Deployment::MIDSHIRE, Deployment::KAHURANGI] {
        for failure in FAILURES {
            let case = format!("{} {failure}", deployment.name);
            if only.as_ref().is_some_and(|it| *it != case) {
                continue;
            }
            measure(deployment, failure, runs, &mut bounds);
        }
    }
    bounds.finish()
}

fn measure(deployment: Deployment, failure: &str, runs: u32, bounds: &mut Bounds) {
    let lab = Deployment::start(deployment.settings());
    let service = lab.services()[0].clone();
    let user = service.callers.keys().next().map(ToString::to_string).unwrap_or_default();
    let strict_user = ["coordinator", "technician"]
        .into_iter()
        .find(|it| service.callers.keys().any(|caller| caller.as_str() == *it));
    let user = strict_user.map_or(user, str::to_owned);
    let group = service.group.to_string();
    let mut gaps = Percentiles::default();
    let mut combined = History::default();
    let mut longest_gap = Duration::ZERO;
    let first_term = lab.term(&group);
    for run in 0..runs {
        let load = Workload::start(WorkloadSettings {
            addresses: lab.instances.iter().map(|it| it.addresses.caller).collect(),
            service: service.service.to_string(),
            user: user.clone(),
            callers: 9,
            pause: Duration::from_millis(2),
            read_back: false,
            carry_token: false,
            keyed: false,
            prefix: format!("r{run}-"),
        });
        std::thread::sleep(Duration::from_millis(500));
        let primary = lab.primary(&group).map(|it| format!("{group}/{it}")).unwrap_or_default();
        let failed_at = Instant::now();
        set_failure(&lab, &primary, failure, true);
        std::thread::sleep(WINDOW);
        set_failure(&lab, &primary, failure, false);
        std::thread::sleep(Duration::from_millis(500));
        let history = load.stop();
        let gap = history.longest_gap(failed_at, failed_at + WINDOW);
        gaps.add(gap);
        longest_gap = longest_gap.max(gap);
        combined.merge(history);
        std::thread::sleep(Duration::from_millis(700));
    }
    let write_count = combined.writes.len();
    let unknown = combined.count(RequestOutcome::Unknown);
    let promotions = lab.term(&group) - first_term;
    println!(
        "{:<11} {failure:<8} {runs:>4} {:>11.0} {:>11.0} {write_count:>7} {unknown:>8} {promotions:>11}",
        deployment.name,
        gaps.quantile_ms(0.5),
        longest_gap.as_secs_f64() * 1000.0
    );
    let case = format!("{} {failure}", deployment.name);
    bounds.at_most(&format!("{case}: median gap in s"), gaps.quantile_ms(0.5) / 1000.0, 1.0);
    bounds.at_most(&format!("{case}: worst gap in s"), longest_gap.as_secs_f64(), 2.5);
    bounds.at_most(
        &format!("{case}: share unknown"),
        unknown as f64 / write_count.max(1) as f64,
        0.005,
    );
    bounds.at_most(
        &format!("{case}: promotions a failure"),
        promotions as f64 / f64::from(runs),
        1.0,
    );
    let violations = combined.check(&lab.ledger(&group));
    let has_violations = violations != Violations::default();
    bounds.at_most(
        &format!("{case}: runs with a broken promise"),
        f64::from(u8::from(has_violations)),
        0.0,
    );
}

fn set_failure(lab: &Lab, target: &str, failure: &str, is_active: bool) {
    let fault = match (is_active, failure) {
        (false, _) => TargetFault::None,
        (true, "hung") => TargetFault::Hung,
        (true, _) => TargetFault::Stopped,
    };
    if failure != "cut off" {
        lab.faults.apply(FaultChange::Target { target: target.to_owned(), fault });
        return;
    }
    let address =
        lab.addresses.targets.iter().find(|it| format!("{}/{}", it.group, it.member) == target);
    if let Some(address) = address {
        let data_centre = address.data_centre.clone();
        lab.faults.apply(FaultChange::Isolate { data_centre, cut: is_active });
    }
}
