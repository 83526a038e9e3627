//! The instance that promotes stands still after each step, and goes on where it was.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::sync::Mutex;
use std::time::Duration;

use gullspar_lab::{FaultChange, TargetFault, Workload};
use gullspar_model::switches::pause_promotion_after;
use support::{LabUnderTest, assert_sound, writers};
use test_case::test_case;

/// The pause is set for the whole process, so the cases run one after the other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Symptom: two primaries acknowledge, or none is found, after the instance that was promoting was
/// paused.
/// Events: the primary stops; the promoting instance stands still for 2.5 s after the given step while
/// the others may act; it wakes and carries on with what it knew.
/// Cause to guard against: a step that trusts what was true before the pause.
#[test_case(0; "after its claim")]
#[test_case(1; "after fencing")]
#[test_case(2; "after the promotion")]
#[test_case(3; "after recording it")]
fn a_promoter_that_stands_still_does_no_harm(step: u32) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(|it| it.into_inner());
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
    assert_sound(&lab, &load.stop());
}
