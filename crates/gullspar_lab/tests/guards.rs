//! Runs scenarios with and without a guard: the violation must occur only when the guard is off. This
//! proves that each check can fail.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::sync::Mutex;
use std::time::Duration;

use gullspar_border::{ConfigEntry, ObjectVersion};
use gullspar_fleet::ConfigStore;
use gullspar_lab::{FaultChange, History, TargetFault, Workload, WorkloadSettings};
use gullspar_model::{CallerName, Guard, LogPoint, Token, TokenKey};
use support::{LabUnderTest, run, writers};
use test_case::test_case;

/// Guards are switched off for the whole process, so scenarios must not run in parallel.
static SERIAL: Mutex<()> = Mutex::new(());

#[test_case(Guard::MajorityHolds, acknowledged_writes_are_lost; "a majority holds what is acknowledged")]
#[test_case(Guard::LongestLog, acknowledged_writes_are_lost_with_a_short_log; "the longest log is promoted")]
#[test_case(Guard::Floor, own_writes_are_missed_with_a_token; "reads wait for their floor")]
#[test_case(Guard::Anchor, own_writes_are_missed_without_a_token; "a roaming session is anchored")]
#[test_case(Guard::RequestKey, a_request_runs_twice; "a request key is looked up")]
#[test_case(Guard::FreshCall, a_healthy_primary_is_deposed; "a fresh call must fail")]
#[test_case(Guard::UpwardOnly, old_configuration_is_applied; "configuration is applied upward only")]
#[test_case(Guard::TokenSignature, a_token_of_another_caller_is_accepted; "a token is bound to its caller")]
fn a_violation_occurs_only_without_its_guard(guard: Guard, is_violated: fn() -> bool) {
    let _serial = SERIAL.lock().unwrap_or_else(|it| it.into_inner());
    assert!(!is_violated(), "violation although {guard:?} is on");
    let _switched_off = guard.switch_off();
    assert!(is_violated(), "no violation although {guard:?} is off");
}

fn load(lab: &LabUnderTest, read_back: bool, carry_token: bool) -> Workload {
    let pause = Duration::from_millis(2);
    Workload::start(WorkloadSettings { read_back, carry_token, pause, callers: 4, ..writers(lab) })
}

fn set(lab: &LabUnderTest, target: &str, fault: TargetFault) {
    lab.lab.faults.apply(FaultChange::Target { target: target.to_owned(), fault });
}

fn loses_acknowledged_writes(lab: &LabUnderTest, history: &History) -> bool {
    !history.check(&lab.lab.ledger("core")).lost.is_empty()
}

fn acknowledged_writes_are_lost() -> bool {
    let lab = LabUnderTest::with(|settings| settings.lag_ms = 100);
    let writes = load(&lab, false, false);
    std::thread::sleep(Duration::from_millis(800));
    let old = lab.primary();
    set(&lab, &old, TargetFault::Stopped);
    lab.wait_for("new primary", || lab.primary() != old);
    std::thread::sleep(Duration::from_millis(300));
    loses_acknowledged_writes(&lab, &writes.stop())
}

fn acknowledged_writes_are_lost_with_a_short_log() -> bool {
    let lab = LabUnderTest::small();
    let old = lab.primary();
    let behind = ["core/m1", "core/m2", "core/m3"].into_iter().find(|it| *it != old).unwrap();
    let writes = load(&lab, false, false);
    std::thread::sleep(Duration::from_millis(300));
    set(&lab, behind, TargetFault::Stopped);
    std::thread::sleep(Duration::from_millis(500));
    // The primary stops first, so that the member with the shorter log can't catch up.
    set(&lab, &old, TargetFault::Stopped);
    set(&lab, behind, TargetFault::None);
    lab.wait_for("new primary", || lab.primary() != old);
    std::thread::sleep(Duration::from_millis(300));
    loses_acknowledged_writes(&lab, &writes.stop())
}

fn own_writes_are_missed_with_a_token() -> bool {
    misses_own_writes(true)
}

fn own_writes_are_missed_without_a_token() -> bool {
    misses_own_writes(false)
}

/// One replica confirms writes at once, the other is partitioned from the primary, and reads go to both.
fn misses_own_writes(carry_token: bool) -> bool {
    let lab = LabUnderTest::small();
    let primary = lab.primary();
    let behind = ["core/m1", "core/m2", "core/m3"].into_iter().find(|it| *it != primary).unwrap();
    let data_centre_of = |target: &str| {
        let member = target.trim_start_matches("core/");
        let found = lab.lab.targets("core").find(|it| it.member.as_str() == member).unwrap();
        found.data_centre.clone()
    };
    // A replica that is partitioned only from the primary keeps serving reads of its old data.
    let (between, and) = (data_centre_of(&primary), data_centre_of(behind));
    lab.lab.faults.apply(FaultChange::Cut { between, and, cut: true });
    let load = load(&lab, true, carry_token);
    std::thread::sleep(Duration::from_millis(1500));
    !load.stop().stale.is_empty()
}

fn a_request_runs_twice() -> bool {
    let lab = LabUnderTest::small();
    run(async {
        for index in 0..2 {
            let mut client = lab.connect(index, "strict").await;
            client.query("/* gullspar key=k */ INSERT INTO ledger VALUES ('x')").await.unwrap();
        }
    });
    lab.lab.ledger("core").len() > 1
}

fn a_healthy_primary_is_deposed() -> bool {
    let lab = LabUnderTest::small();
    let primary = lab.primary();
    let isolated =
        lab.lab.targets("core").find(|it| !primary.ends_with(it.member.as_str())).unwrap();
    let data_centre = isolated.data_centre.clone();
    let before = lab.term();
    for _ in 0..6 {
        for cut in [true, false] {
            let data_centre = data_centre.clone();
            lab.lab.faults.apply(FaultChange::Isolate { data_centre, cut });
            std::thread::sleep(Duration::from_millis(if cut { 2200 } else { 900 }));
        }
        if lab.term() > before {
            return true;
        }
    }
    false
}

fn old_configuration_is_applied() -> bool {
    let store = ConfigStore::default();
    let entry = |version| ConfigEntry {
        key: "gullspar/groups/core".to_owned(),
        version: ObjectVersion(version),
        value: serde_json::to_string(&gullspar_model::GroupObject::unclaimed()).unwrap(),
    };
    store.apply(&entry(2));
    store.apply(&entry(1));
    store.version("gullspar/groups/core") == ObjectVersion(1)
}

fn a_token_of_another_caller_is_accepted() -> bool {
    let key = TokenKey::new("secret");
    let token = Token { group: "core".into(), point: LogPoint::new(1, 2) };
    let sealed = key.issue(&token, &CallerName::new("one"));
    key.verify(&sealed, &CallerName::new("other")).is_ok()
}
