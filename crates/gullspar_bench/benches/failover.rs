//! How long writes can't land when a primary fails, at both deployments' sizes.
//!
//! `cargo bench -p gullspar_bench --bench failover` takes about ten minutes; `RUNS=3` makes it short.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use gullspar_bench::{Bounds, Deployment, Percentiles};
use gullspar_lab::{
    FaultChange, History, Lab, RequestOutcome, TargetFault, Violations, Workload, WorkloadSettings,
};

/// Time after a fault within which the gap is looked for.
const WINDOW: Duration = Duration::from_secs(4);

/// The failures that are measured.
const FAILURES: [&str; 3] = ["stopped", "hung", "cut off"];

fn main() -> ExitCode {
    let runs = std::env::var("RUNS").ok().and_then(|it| it.parse().ok()).unwrap_or(20);
    // One case only, as `ONLY="kahurangi cut off"`.
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
    let strict = ["coordinator", "technician"]
        .into_iter()
        .find(|it| service.callers.keys().any(|caller| caller.as_str() == *it));
    let user = strict.map_or(user, str::to_owned);
    let group = service.group.to_string();
    let mut gaps = Percentiles::default();
    let mut all = History::default();
    let mut worst = Duration::ZERO;
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
        let old = lab.primary(&group).map(|it| format!("{group}/{it}")).unwrap_or_default();
        let from = Instant::now();
        set(&lab, &old, failure, true);
        std::thread::sleep(WINDOW);
        set(&lab, &old, failure, false);
        std::thread::sleep(Duration::from_millis(500));
        let history = load.stop();
        let gap = history.longest_gap(from, from + WINDOW);
        gaps.add(gap);
        worst = worst.max(gap);
        all.merge(history);
        std::thread::sleep(Duration::from_millis(700));
    }
    let total = all.writes.len();
    let unknown = all.count(RequestOutcome::Unknown);
    let promotions = lab.term(&group) - first_term;
    println!(
        "{:<11} {failure:<8} {runs:>4} {:>11.0} {:>11.0} {total:>7} {unknown:>8} {promotions:>11}",
        deployment.name,
        gaps.at(0.5),
        worst.as_secs_f64() * 1000.0
    );
    let what = format!("{} {failure}", deployment.name);
    bounds.at_most(&format!("{what}: median gap in s"), gaps.at(0.5) / 1000.0, 1.0);
    bounds.at_most(&format!("{what}: worst gap in s"), worst.as_secs_f64(), 2.5);
    bounds.at_most(&format!("{what}: share unknown"), unknown as f64 / total.max(1) as f64, 0.005);
    bounds.at_most(
        &format!("{what}: promotions a failure"),
        promotions as f64 / f64::from(runs),
        1.0,
    );
    let violations = all.check(&lab.ledger(&group));
    let broken = violations != Violations::default();
    bounds.at_most(
        &format!("{what}: runs with a broken promise"),
        f64::from(u8::from(broken)),
        0.0,
    );
}

fn set(lab: &Lab, target: &str, failure: &str, on: bool) {
    let fault = match (on, failure) {
        (false, _) => TargetFault::None,
        (true, "hung") => TargetFault::Hung,
        (true, _) => TargetFault::Stopped,
    };
    if failure != "cut off" {
        lab.faults.apply(FaultChange::Target { target: target.to_owned(), fault });
        return;
    }
    let place =
        lab.addresses.targets.iter().find(|it| format!("{}/{}", it.group, it.member) == target);
    if let Some(place) = place {
        let data_centre = place.data_centre.clone();
        lab.faults.apply(FaultChange::Isolate { data_centre, cut: on });
    }
}
