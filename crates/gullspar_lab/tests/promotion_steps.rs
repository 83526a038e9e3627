//! Pauses the failover coordinator after each step of a promotion.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::sync::Mutex;
use std::time::Duration;

use gullspar_lab::{FaultChange, TargetFault, Workload};
use gullspar_model::switches::pause_promotion_after;
use support::{LabUnderTest, assert_consistent, writers};
use test_case::test_case;

/// The pause is set for the whole process, so the cases must not run in parallel.
static SERIAL: Mutex<()> = Mutex::new(());

/// The coordinator is paused for 2.5 s while other instances may act. Guards against a step that relies
/// on state from before the pause, which could lead to two primaries or none.
#[test_case(0; "after its claim")]
#[test_case(1; "after fencing")]
#[test_case(2; "after the promotion")]
#[test_case(3; "after recording it")]
fn a_paused_failover_coordinator_violates_no_guarantee(step: u32) {
    let _serial = SERIAL.lock().unwrap_or_else(|it| it.into_inner());
    let lab = LabUnderTest::small();
    let load = Workload::start(writers(&lab));
    std::thread::sleep(Duration::from_millis(400));
    let old = lab.primary();
    pause_promotion_after(step);
    let set = |fault| lab.lab.faults.apply(FaultChange::Target { target: old.clone(), fault });
    set(TargetFault::Stopped);
    lab.wait_for("new primary", || lab.primary() != old);
    std::thread::sleep(Duration::from_millis(3500));
    set(TargetFault::None);
    std::thread::sleep(Duration::from_millis(1000));
    assert_consistent(&lab, &load.stop());
}
