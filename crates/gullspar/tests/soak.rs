//! Short runs of the fault soak with fixed seeds and the real program.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::path::{Path, PathBuf};
use std::time::Duration;

use gullspar_soak::{SoakPlan, soak, soak_signals};
use test_case::test_case;

fn plan(seed: u64, fault_period: Duration) -> SoakPlan {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let program = PathBuf::from(env!("CARGO_BIN_EXE_gullspar"));
    SoakPlan {
        program,
        folder,
        seed,
        instances: 3,
        fault_period,
        customers: false,
        replication: false,
    }
}

/// Number of processes whose command line contains a path in `folder`.
fn count_processes(folder: &Path) -> usize {
    let folder = format!("{}/", folder.display());
    let processes = std::fs::read_dir("/proc").unwrap().flatten();
    let lines = processes.flat_map(|it| std::fs::read(it.path().join("cmdline")));
    lines.filter(|it| String::from_utf8_lossy(it).contains(&folder)).count()
}

/// Guards against instances that keep running after a failed run, because a task of the run still
/// holds the list of instances.
#[test]
fn all_instances_end_with_their_run() {
    let plan = plan(2, Duration::from_millis(300));
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(soak(&plan)).unwrap();
    // The runtime has not been dropped, so tasks of the run may still exist.
    assert_eq!(count_processes(&plan.folder), 0);
}

/// Runs one seed; fails on a broken promise, or if nothing is served after the faults.
///
/// - Seed 138 guards against a leader that acknowledges a write alone after another member has been promoted, and
///   against a check that fails on a write acknowledged alone just before a promotion, which `docs/promises.md` allows.
/// - Seed 25567 guards against a check that orders writes by their values instead of by the log, although a write
///   without an answer may take effect after a later write of its caller.
/// - Seed 101 guards against a caller of the soak that continues after a refused `BEGIN`, so that its separate writes
///   are checked as one transaction.
#[test_case(1; "a seed without a finding")]
#[test_case(138; "a leader superseded while replicas can't be asked")]
#[test_case(25567; "a write whose outcome is unknown takes effect late")]
#[test_case(101; "a BEGIN that is refused while the instances start")]
fn seeds_break_no_promise(seed: u64) {
    let plan = plan(seed, Duration::from_secs(6));
    let runtime = compio::runtime::Runtime::new().unwrap();
    let report = runtime.block_on(soak(&plan)).unwrap();
    assert_eq!(report.breaches, [], "{report:#?}");
    assert!(report.done_after_faults > 0, "nothing is served after the faults: {report:#?}");
}

/// Guards against requests that are served for the wrong customer, and against promises that are broken after the
/// store was restored from an older copy and has lost recent changes.
#[test]
fn customers_and_restored_stores_break_no_promise() {
    let plan = SoakPlan { customers: true, ..plan(41, Duration::from_secs(6)) };
    let runtime = compio::runtime::Runtime::new().unwrap();
    let report = runtime.block_on(soak(&plan)).unwrap();
    assert_eq!(report.breaches, [], "{report:#?}");
    assert!(report.faults.iter().any(|it| it.contains("Drill")), "{report:#?}");
    assert!(report.done_after_faults > 0, "nothing is served after the faults: {report:#?}");
}

/// Guards against promotions that undo acknowledged commits of a group whose members wait for a replica: by an order that is
/// carried out late, or because only a leaving replica had them.
#[test_case(302, &["DarkLeader", "Deaf", "Replacement", "PauseClaimant"]; "claimants that are stopped")]
#[test_case(404, &["DarkLeader", "Deaf", "Replacement"]; "commits that only a leaving replica has")]
fn strict_replication_loses_no_acknowledged_commit(seed: u64, faults: &[&str]) {
    let plan = SoakPlan { replication: true, ..plan(seed, Duration::from_secs(10)) };
    let runtime = compio::runtime::Runtime::new().unwrap();
    let report = runtime.block_on(soak(&plan)).unwrap();
    assert_eq!(report.breaches, [], "{report:#?}");
    assert!(report.is_synchronous, "{report:#?}");
    for fault in faults {
        assert!(report.faults.iter().any(|it| it.contains(*fault)), "no {fault}: {report:#?}");
    }
    assert!(report.done_after_faults > 0, "nothing is served after the faults: {report:#?}");
}

/// Guards against signals that end a process, stop it from serving or close connections: while it reads settings that are
/// pipes or half written, while it is paused, while it shuts down, and several at once.
#[test_case(1; "a process ended, or stopped by a pipe")]
#[test_case(5; "all instances stopped by pipes")]
fn signals_of_operators_disturb_no_caller(seed: u64) {
    let mut plan = plan(seed, Duration::from_secs(12));
    plan.folder = plan.folder.with_file_name(format!("signals-{seed}"));
    let runtime = compio::runtime::Runtime::new().unwrap();
    let report = runtime.block_on(soak_signals(&plan)).unwrap();
    assert_eq!(report.breaches, [], "{report:#?}");
    assert!(report.served_after_faults > 0, "nothing is served after the signals: {report:#?}");
}
