//! Short seeded runs of the fault soak with the real program.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::path::{Path, PathBuf};
use std::time::Duration;

use gullspar_soak::{SoakPlan, soak};
use test_case::test_case;

fn plan(seed: u64, fault_period: Duration) -> SoakPlan {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let program = PathBuf::from(env!("CARGO_BIN_EXE_gullspar"));
    SoakPlan { program, folder, seed, instances: 3, fault_period, customers: false }
}

/// Processes whose command line names a file in `folder`.
fn processes_of(folder: &Path) -> usize {
    let folder = format!("{}/", folder.display());
    let processes = std::fs::read_dir("/proc").unwrap().flatten();
    let lines = processes.flat_map(|it| std::fs::read(it.path().join("cmdline")));
    lines.filter(|it| String::from_utf8_lossy(it).contains(&folder)).count()
}

/// Symptom: instances of a run that failed still run an hour later, beside whatever is measured then.
/// Events: a test fails after its run; tasks of the run live on with the list of its instances.
/// Cause: instances ended only with the last holder of that list.
#[test]
fn no_instance_outlives_its_run() {
    let plan = plan(2, Duration::from_millis(300));
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(soak(&plan)).unwrap();
    // The runtime and its tasks are still there.
    assert_eq!(processes_of(&plan.folder), 0);
}

/// Runs one seed and fails on any broken promise, or if nothing is served afterwards.
///
/// Seed 101 failed once: a caller of the soak went on after a refused BEGIN, so that its writes ran alone
/// and were counted as a transaction that is not kept.
#[test_case(1; "a seed without a finding")]
///
/// Seed 138 failed once: a write was acknowledged by its leader alone 80 ms after another member had been
/// promoted without it; the leader is asked now whether it still leads. It failed again when a leader that
/// led acknowledged alone just before the promotion, which docs/promises.md allows and the soak now counts.
#[test_case(138; "a leader superseded while replicas can't be asked")]
///
/// Seed 25567 failed once: a write that was not answered in time reached its leader when that was back, after its
/// caller had written again; the check took the lower value for the older one. It goes by the log's order now.
#[test_case(25567; "a write whose outcome is unknown takes effect late")]
#[test_case(101; "a BEGIN that is refused while the instances start")]
fn seeds_break_no_promise(seed: u64) {
    let plan = plan(seed, Duration::from_secs(6));
    let runtime = compio::runtime::Runtime::new().unwrap();
    let report = runtime.block_on(soak(&plan)).unwrap();
    assert_eq!(report.breaches, [], "{report:#?}");
    assert!(report.done_after_faults > 0, "nothing is served after the faults: {report:#?}");
}

/// Guards against keys that are served under another customer's name, and against what a store that comes back from an
/// older copy undoes.
#[test]
fn customers_and_restored_stores_break_no_promise() {
    let plan = SoakPlan { customers: true, ..plan(41, Duration::from_secs(6)) };
    let runtime = compio::runtime::Runtime::new().unwrap();
    let report = runtime.block_on(soak(&plan)).unwrap();
    assert_eq!(report.breaches, [], "{report:#?}");
    assert!(report.faults.iter().any(|it| it.contains("Drill")), "{report:#?}");
    assert!(report.done_after_faults > 0, "nothing is served after the faults: {report:#?}");
}
