//! Primaries that fail, in every way that the brief names, under callers that write all the time.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::time::Duration;

use gullspar_lab::{FaultChange, History, TargetFault, Verdict, Workload, WorkloadSettings};
use support::{LabUnderTest, run};
use test_case::test_case;

fn workload(lab: &LabUnderTest) -> WorkloadSettings {
    WorkloadSettings {
        addresses: lab.caller_addresses(),
        service: "tours".to_owned(),
        user: "strict".to_owned(),
        callers: 6,
        pause: Duration::from_millis(5),
        read_back: true,
        carry_token: true,
        keyed: false,
        prefix: String::new(),
    }
}

fn set(lab: &LabUnderTest, target: &str, fault: TargetFault) {
    lab.lab.faults.apply(FaultChange::Target { target: target.to_owned(), fault });
}

/// Checks a history against the ledger and that the run did something.
fn assert_sound(lab: &LabUnderTest, history: &History) {
    let found = run(lab.ledger());
    let violations = history.check(&found);
    assert!(violations.is_empty(), "{violations:?}");
    assert!(history.count(Verdict::Done) > 20, "too little ran: {}", history.writes.len());
}

/// Symptom: writes stop, or acknowledged ones vanish, when a primary fails.
/// Events: callers write; the primary stops, hangs or loses its data centre's links; another is
/// promoted; the old one comes back with writes that nobody acknowledged.
/// Cause to guard against: acknowledging before a majority holds a write, or promoting a member that
/// lacks one.
#[test_case("stopped")]
#[test_case("hung")]
#[test_case("cut off")]
fn no_acknowledged_write_is_lost_when_the_primary_is(how: &str) {
    let lab = LabUnderTest::small();
    let load = Workload::start(workload(&lab));
    std::thread::sleep(Duration::from_millis(500));
    let old = lab.primary();
    let data_centre = lab.lab.targets("core").find(|it| old.ends_with(it.member.as_str())).unwrap();
    let data_centre = data_centre.data_centre.clone();
    let isolate = |cut| FaultChange::Isolate { data_centre: data_centre.clone(), cut };
    match how {
        "stopped" => set(&lab, &old, TargetFault::Stopped),
        "hung" => set(&lab, &old, TargetFault::Hung),
        _ => lab.lab.faults.apply(isolate(true)),
    }
    lab.wait_for("new primary", || lab.primary() != old);
    std::thread::sleep(Duration::from_millis(800));
    match how {
        "cut off" => lab.lab.faults.apply(isolate(false)),
        _ => set(&lab, &old, TargetFault::None),
    }
    std::thread::sleep(Duration::from_millis(1200));
    let history = load.stop();
    assert_sound(&lab, &history);
}

/// Symptom: an acknowledged write vanishes although one failover went well.
/// Events: the second primary fails while the first one is only just coming back.
/// Cause to guard against: counting a member's old tail as part of the new term's log.
#[test]
fn two_failovers_in_a_row_lose_nothing() {
    let lab = LabUnderTest::small();
    let load = Workload::start(workload(&lab));
    std::thread::sleep(Duration::from_millis(400));
    let first = lab.primary();
    set(&lab, &first, TargetFault::Stopped);
    lab.wait_for("second primary", || lab.primary() != first);
    let second = lab.primary();
    set(&lab, &first, TargetFault::None);
    std::thread::sleep(Duration::from_millis(300));
    set(&lab, &second, TargetFault::Stopped);
    lab.wait_for("third primary", || lab.primary() != second);
    set(&lab, &second, TargetFault::None);
    std::thread::sleep(Duration::from_millis(800));
    let history = load.stop();
    assert_sound(&lab, &history);
}

/// Symptom: a healthy primary is deposed, or a write doubled, after an instance stood still.
/// Events: an instance that holds the primary is paused for longer than any failure takes to be
/// noticed, while others may act, and then goes on where it was.
/// Cause to guard against: taking one's own pause for the others' silence, or acting on what was
/// true before the pause.
#[test]
fn an_instance_that_was_paused_does_no_harm_on_waking() {
    let lab = LabUnderTest::small();
    let load = Workload::start(workload(&lab));
    std::thread::sleep(Duration::from_millis(400));
    for instance in &lab.lab.instances {
        instance.pause(Duration::from_millis(900));
        std::thread::sleep(Duration::from_millis(1100));
    }
    let history = load.stop();
    assert_sound(&lab, &history);
}

/// Symptom: the primary changes although it answers.
/// Events: replicas lag by 300 ms and the primary takes 100 ms longer for each statement.
/// Cause to guard against: judging a member by its work instead of by its answers.
#[test]
fn a_slow_primary_with_lagging_replicas_is_not_deposed() {
    let lab = LabUnderTest::small();
    let before = lab.primary();
    lab.lab.faults.apply(FaultChange::ReplicationLag { lag_ms: 300 });
    set(&lab, &before, TargetFault::Slow(100));
    let load = Workload::start(workload(&lab));
    std::thread::sleep(Duration::from_secs(4));
    let history = load.stop();
    assert_eq!(lab.primary(), before);
    assert_sound(&lab, &history);
}

/// Symptom: writes stop for as long as the platform is away.
/// Events: the platform is out; callers go on writing and reading; then a primary fails as well, and
/// only that failover waits for the platform.
#[test]
fn a_platform_outage_stops_promotions_only() {
    let lab = LabUnderTest::small();
    lab.lab.faults.apply(FaultChange::PlatformOut { out: true });
    let load = Workload::start(workload(&lab));
    std::thread::sleep(Duration::from_millis(1500));
    let history = load.stop();
    assert_eq!(history.count(Verdict::Done), history.writes.len());
    let old = lab.primary();
    set(&lab, &old, TargetFault::Stopped);
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(lab.primary(), old);
    lab.lab.faults.apply(FaultChange::PlatformOut { out: false });
    lab.wait_for("new primary", || lab.primary() != old);
    assert_sound(&lab, &history);
}

/// Symptom: a term is claimed again and again, or by two at once.
/// Events: the platform carries out the claim and the record of a promotion, and both answers are
/// lost.
/// Cause to guard against: taking a lost answer for a lost update.
#[test]
fn a_promotion_survives_lost_answers_of_the_platform() {
    let lab = LabUnderTest::small();
    let load = Workload::start(workload(&lab));
    std::thread::sleep(Duration::from_millis(300));
    let old = lab.primary();
    lab.lab.faults.apply(FaultChange::PlatformLosesAnswers { count: 2 });
    set(&lab, &old, TargetFault::Stopped);
    lab.wait_for("new primary", || lab.primary() != old);
    set(&lab, &old, TargetFault::None);
    std::thread::sleep(Duration::from_millis(500));
    let history = load.stop();
    assert_sound(&lab, &history);
    assert_eq!(lab.term(), 2, "one failover takes one term");
}

/// Symptom: a booking lands twice after a failover.
/// Events: callers mark their writes with keys; the primary stops while they write; gullspar itself
/// repeats what ended unknown.
#[test]
fn requests_with_a_key_run_at_most_once_through_a_failover() {
    let lab = LabUnderTest::small();
    let load = Workload::start(WorkloadSettings { keyed: true, ..workload(&lab) });
    std::thread::sleep(Duration::from_millis(400));
    let old = lab.primary();
    set(&lab, &old, TargetFault::Stopped);
    lab.wait_for("new primary", || lab.primary() != old);
    std::thread::sleep(Duration::from_millis(800));
    let history = load.stop();
    assert_sound(&lab, &history);
    assert_eq!(history.count(Verdict::Unknown), 0, "a key lets every outcome be known");
}

/// Symptom: nobody leads a group after the instance that was promoting died.
/// Events: the primary stops; a claim is found on the platform that nobody will finish.
/// Cause to guard against: waiting for a claimant that is gone.
#[test]
fn an_abandoned_claim_is_taken_over() {
    let lab = LabUnderTest::small();
    let old = lab.primary();
    let key = "gullspar/groups/core";
    let mut object = lab.lab.store.get(key).unwrap();
    object.value["claimed"] = 2.into();
    object.value["claim"] = "an instance that died".into();
    lab.lab.store.put(key, object.version, object.value).unwrap();
    set(&lab, &old, TargetFault::Stopped);
    lab.wait_for("new primary", || lab.primary() != old);
    assert_eq!(lab.term(), 3, "the abandoned term is passed over");
}

/// Symptom: a member that leaves goes on getting work.
/// Events: the primary is configured to leave; a replica that has all of its log takes over; nothing
/// that callers were told changes.
#[test]
fn a_leaving_primary_hands_over_without_a_failed_write() {
    let lab = LabUnderTest::small();
    let load = Workload::start(workload(&lab));
    std::thread::sleep(Duration::from_millis(400));
    let old = lab.primary();
    let key = "gullspar/services/tours";
    let mut object = lab.lab.store.get(key).unwrap();
    for member in object.value["group"]["members"].as_array_mut().unwrap() {
        if old.ends_with(member["name"].as_str().unwrap()) {
            member["leaving"] = true.into();
        }
    }
    lab.lab.store.put(key, object.version, object.value).unwrap();
    lab.wait_for("new primary", || lab.primary() != old);
    std::thread::sleep(Duration::from_millis(500));
    let before = lab.statements(&old);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(lab.statements(&old), before, "a member that has left gets no work");
    let history = load.stop();
    assert_sound(&lab, &history);
    assert_eq!(history.count(Verdict::Unknown), 0);
}
