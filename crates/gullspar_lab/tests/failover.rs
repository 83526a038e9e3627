//! Failures of primaries, links, instances and the platform while callers write.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::time::{Duration, Instant};

use gullspar_lab::{FaultChange, RequestOutcome, TargetFault, Workload, WorkloadSettings};
use gullspar_model::DataCentre;
use support::{LabUnderTest, assert_consistent, run, writers};
use test_case::test_case;

/// Writers that read each write back at another instance.
fn workload(lab: &LabUnderTest) -> WorkloadSettings {
    WorkloadSettings { read_back: true, carry_token: true, ..writers(lab) }
}

fn set(lab: &LabUnderTest, target: &str, fault: TargetFault) {
    lab.lab.faults.apply(FaultChange::Target { target: target.to_owned(), fault });
}

/// Guards against acknowledging a write before a majority holds it, and against promoting a member that
/// lacks an acknowledged write. The old primary returns with unacknowledged writes.
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
    assert_consistent(&lab, &history);
}

/// The second primary fails while the first one is still rejoining. Guards against counting a member's
/// diverged records as part of the new term's log.
#[test]
fn two_failovers_in_a_row_lose_no_acknowledged_write() {
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
    assert_consistent(&lab, &history);
}

/// Each instance is paused for longer than failure detection takes. Guards against an instance that
/// mistakes its own pause for silence of others, or acts on outdated state afterwards.
#[test]
fn paused_instances_violate_no_guarantee() {
    let lab = LabUnderTest::small();
    let load = Workload::start(workload(&lab));
    std::thread::sleep(Duration::from_millis(400));
    for instance in &lab.lab.instances {
        instance.pause(Duration::from_millis(900));
        std::thread::sleep(Duration::from_millis(1100));
    }
    let history = load.stop();
    assert_consistent(&lab, &history);
}

/// Slow statements and replication lag must not count as failures of the primary, which still answers
/// status checks.
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
    assert_consistent(&lab, &history);
}

/// While the platform is unavailable, reads and writes must continue; only a failover waits until it is
/// available again.
#[test]
fn a_platform_outage_delays_only_promotions() {
    let lab = LabUnderTest::small();
    lab.lab.faults.apply(FaultChange::PlatformOut { out: true });
    let load = Workload::start(workload(&lab));
    std::thread::sleep(Duration::from_millis(1500));
    let history = load.stop();
    assert_eq!(history.count(RequestOutcome::Done), history.writes.len());
    let old = lab.primary();
    set(&lab, &old, TargetFault::Stopped);
    std::thread::sleep(Duration::from_millis(1500));
    assert_eq!(lab.primary(), old);
    lab.lab.faults.apply(FaultChange::PlatformOut { out: false });
    lab.wait_for("new primary", || lab.primary() != old);
    assert_consistent(&lab, &history);
}

/// The platform carries out the claim and the record of a promotion, but both answers are lost. Guards
/// against treating a lost answer as a failed update, which would claim further terms.
#[test]
fn a_promotion_completes_when_platform_answers_are_lost() {
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
    assert_consistent(&lab, &history);
    assert_eq!(lab.term(), 2, "one failover takes one term");
}

/// Guards against a write that runs twice when an instance retries it after an unknown outcome.
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
    assert_consistent(&lab, &history);
    assert_eq!(
        history.count(RequestOutcome::Unknown),
        0,
        "every write with a key has a known outcome"
    );
}

/// Guards against a group that stays leaderless because the holder of the current claim has died.
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
    assert_eq!(lab.term(), 3, "the abandoned term is skipped");
}

/// When the primary is configured to leave, a replica with its whole log must take over without failed
/// writes, and the old primary must get no more statements.
#[test]
fn a_leaving_primary_is_replaced_without_a_failed_write() {
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
    assert_eq!(lab.statements(&old), before, "a member that has left gets no statements");
    let history = load.stop();
    assert_consistent(&lab, &history);
    assert_eq!(history.count(RequestOutcome::Unknown), 0);
}

fn data_centre_of(lab: &LabUnderTest, target: &str) -> DataCentre {
    let found = lab.lab.targets("core").find(|it| target.ends_with(it.member.as_str()));
    found.unwrap().data_centre.clone()
}

/// The link between the primary's data centre and one replica's is cut, permanently or repeatedly, while
/// the third data centre reaches both. Guards against deposing a primary that most instances reach.
#[test_case(false; "permanently cut")]
#[test_case(true; "flapping")]
fn a_cut_link_to_one_replica_does_not_depose_the_primary(flapping: bool) {
    let lab = LabUnderTest::small();
    let primary = lab.primary();
    let replica = ["core/m1", "core/m2", "core/m3"].into_iter().find(|it| *it != primary).unwrap();
    let (between, and) = (data_centre_of(&lab, &primary), data_centre_of(&lab, replica));
    let before = lab.term();
    let load = Workload::start(writers(&lab));
    for turn in 0..12 {
        let cut = !flapping || turn % 2 == 0;
        let (between, and) = (between.clone(), and.clone());
        lab.lab.faults.apply(FaultChange::Cut { between, and, cut });
        std::thread::sleep(Duration::from_millis(250));
    }
    lab.lab.faults.apply(FaultChange::Cut { between, and, cut: false });
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(lab.term(), before);
    assert_consistent(&lab, &load.stop());
}

/// Callers in a partitioned data centre must get reads from its replica, but no data older than they
/// accept and no writes.
#[test]
fn a_partitioned_data_centre_serves_reads_within_their_age_and_refuses_writes() {
    let lab = LabUnderTest::small();
    let primary = data_centre_of(&lab, &lab.primary());
    let index =
        lab.lab.instances.iter().position(|it| it.addresses.data_centre != primary).unwrap();
    let data_centre = lab.lab.instances[index].addresses.data_centre.clone();
    run(async {
        let mut any = lab.connect(index, "any").await;
        let mut tolerant = lab.connect(index, "tolerant").await;
        let mut strict = lab.connect(index, "strict").await;
        let read = "SELECT id FROM doors";
        for client in [&mut any, &mut tolerant, &mut strict] {
            assert_eq!(client.query(read).await.unwrap().outcome(), RequestOutcome::Done);
        }
        lab.lab.faults.apply(FaultChange::Isolate { data_centre: data_centre.clone(), cut: true });
        compio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(tolerant.query(read).await.unwrap().outcome(), RequestOutcome::Done);
        let refused = strict.query("INSERT INTO ledger VALUES ('x')").await.unwrap();
        assert_eq!(refused.outcome(), RequestOutcome::NotRun);
        // By now the data may be older than the 2 s that the tolerant class accepts.
        compio::time::sleep(Duration::from_millis(800)).await;
        assert_eq!(tolerant.query(read).await.unwrap().outcome(), RequestOutcome::NotRun);
        assert_eq!(any.query(read).await.unwrap().outcome(), RequestOutcome::Done);
        lab.lab.faults.apply(FaultChange::Isolate { data_centre, cut: false });
        compio::time::sleep(Duration::from_millis(2500)).await;
        assert_eq!(tolerant.query(read).await.unwrap().outcome(), RequestOutcome::Done);
        assert!(lab.ledger().await.is_empty());
    });
}

/// In a partitioned data centre the remaining instance becomes home of replicas that it can't reach.
/// Guards against a read that waits until its deadline for a connection to such a replica instead of
/// using the local one.
#[test]
fn a_read_does_not_wait_for_an_unreachable_replica() {
    // With one instance in each data centre, the remaining one becomes home of all targets.
    let lab = LabUnderTest::with(|settings| settings.instances.truncate(3));
    let primary = data_centre_of(&lab, &lab.primary());
    let index =
        lab.lab.instances.iter().position(|it| it.addresses.data_centre != primary).unwrap();
    let data_centre = lab.lab.instances[index].addresses.data_centre.clone();
    let members = ["core/m1", "core/m2", "core/m3"];
    let local_replica =
        members.into_iter().find(|it| data_centre_of(&lab, it) == data_centre).unwrap();
    run(async {
        let mut any = lab.connect(index, "any").await;
        let read = "SELECT id FROM doors";
        set(&lab, local_replica, TargetFault::Slow(100));
        for _ in 0..10 {
            assert_eq!(any.query(read).await.unwrap().outcome(), RequestOutcome::Done);
        }
        set(&lab, local_replica, TargetFault::None);
        lab.lab.faults.apply(FaultChange::Isolate { data_centre: data_centre.clone(), cut: true });
        // Longer than silent instances stay in the member table.
        compio::time::sleep(Duration::from_millis(3000)).await;
        let started = Instant::now();
        let answer = any.query(read).await.unwrap();
        let elapsed = started.elapsed();
        assert_eq!(answer.outcome(), RequestOutcome::Done, "{:?} after {elapsed:?}", answer.error);
        assert!(elapsed < Duration::from_millis(1000), "answered after {elapsed:?}");
    });
}

/// Guards against sending reads to a replica after it was configured to leave.
#[test]
fn a_leaving_replica_gets_no_new_reads() {
    let lab = LabUnderTest::small();
    let primary = lab.primary();
    let replica = ["core/m1", "core/m2", "core/m3"].into_iter().find(|it| *it != primary).unwrap();
    let key = "gullspar/services/tours";
    let mut object = lab.lab.store.get(key).unwrap();
    for member in object.value["group"]["members"].as_array_mut().unwrap() {
        if replica.ends_with(member["name"].as_str().unwrap()) {
            member["leaving"] = true.into();
        }
    }
    lab.lab.store.put(key, object.version, object.value).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    let before = lab.statements(replica);
    run(async {
        for index in 0..lab.lab.instances.len() {
            let mut client = lab.connect(index, "tolerant").await;
            for _ in 0..20 {
                let read = client.query("SELECT id FROM doors").await.unwrap();
                assert_eq!(read.outcome(), RequestOutcome::Done);
            }
        }
    });
    assert_eq!(lab.statements(replica), before);
}

/// The primary's data centre is partitioned and another primary is promoted. Callers there must not get
/// data from the superseded primary that is older than the maximum age of their class.
#[test]
fn a_superseded_primary_serves_no_reads_beyond_their_maximum_age() {
    let lab = LabUnderTest::small();
    let data_centre = data_centre_of(&lab, &lab.primary());
    let index = lab.lab.instances.iter().position(|it| it.addresses.data_centre == data_centre);
    run(async {
        let mut tolerant = lab.connect(index.unwrap(), "tolerant").await;
        let read = "SELECT id FROM doors";
        assert_eq!(tolerant.query(read).await.unwrap().outcome(), RequestOutcome::Done);
        lab.lab.faults.apply(FaultChange::Isolate { data_centre: data_centre.clone(), cut: true });
        compio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(tolerant.query(read).await.unwrap().outcome(), RequestOutcome::Done);
        compio::time::sleep(Duration::from_millis(2000)).await;
        assert_eq!(tolerant.query(read).await.unwrap().outcome(), RequestOutcome::NotRun);
        lab.lab.faults.apply(FaultChange::Isolate { data_centre, cut: false });
        compio::time::sleep(Duration::from_millis(2500)).await;
        assert_eq!(tolerant.query(read).await.unwrap().outcome(), RequestOutcome::Done);
    });
}
