//! Primaries that fail, in every way that the brief names, under callers that write all the time.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::time::{Duration, Instant};

use gullspar_lab::{FaultChange, RequestOutcome, TargetFault, Workload, WorkloadSettings};
use gullspar_model::DataCentre;
use support::{LabUnderTest, assert_sound, run, writers};
use test_case::test_case;

/// Writers whose every write is read back at another instance.
fn workload(lab: &LabUnderTest) -> WorkloadSettings {
    WorkloadSettings { read_back: true, carry_token: true, ..writers(lab) }
}

fn set(lab: &LabUnderTest, target: &str, fault: TargetFault) {
    lab.lab.faults.apply(FaultChange::Target { target: target.to_owned(), fault });
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
    assert_eq!(history.count(RequestOutcome::Done), history.writes.len());
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
    assert_eq!(history.count(RequestOutcome::Unknown), 0, "a key lets every outcome be known");
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
    assert_eq!(history.count(RequestOutcome::Unknown), 0);
}

fn place(lab: &LabUnderTest, target: &str) -> DataCentre {
    let found = lab.lab.targets("core").find(|it| target.ends_with(it.member.as_str()));
    found.unwrap().data_centre.clone()
}

/// Symptom: a primary that most instances reach is deposed.
/// Events: the link between the primary's data centre and one replica's breaks, in one case for good, in
/// the other on and off; the third data centre reaches both.
/// Cause to guard against: one instance's broken link counting as everybody's.
#[test_case(false; "broken for good")]
#[test_case(true; "flapping")]
fn a_link_broken_on_one_side_deposes_nobody(flapping: bool) {
    let lab = LabUnderTest::small();
    let primary = lab.primary();
    let replica = ["core/m1", "core/m2", "core/m3"].into_iter().find(|it| *it != primary).unwrap();
    let (between, and) = (place(&lab, &primary), place(&lab, replica));
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
    assert_sound(&lab, &load.stop());
}

/// Symptom: callers in a cut-off data centre get nothing, or data older than they accept.
/// Events: a replica's data centre is cut off from all others and from the platform; callers there read
/// and write.
#[test]
fn a_cut_off_data_centre_serves_reads_up_to_their_age_and_refuses_writes() {
    let lab = LabUnderTest::small();
    let primary = place(&lab, &lab.primary());
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
        // By now the data may be older than the two seconds that the tolerant class accepts.
        compio::time::sleep(Duration::from_millis(800)).await;
        assert_eq!(tolerant.query(read).await.unwrap().outcome(), RequestOutcome::NotRun);
        assert_eq!(any.query(read).await.unwrap().outcome(), RequestOutcome::Done);
        lab.lab.faults.apply(FaultChange::Isolate { data_centre, cut: false });
        compio::time::sleep(Duration::from_millis(2500)).await;
        assert_eq!(tolerant.query(read).await.unwrap().outcome(), RequestOutcome::Done);
        assert!(lab.ledger().await.is_empty());
    });
}

/// Symptom: a caller that accepts any age waits out its deadline and is refused, although a replica at
/// hand could answer.
/// Events: the replica at hand was slow for a while, so that reads went to another data centre's. Then
/// their own data centre is cut off and forgets the instances beyond the cut; of those that are left one
/// becomes the home of the replica out of reach, and a read is sent to that one first.
/// Cause: the home dialled the replica, which it had not heard for seconds, for as long as the caller had
/// time, and left none for the replica at hand.
#[test]
fn a_read_does_not_wait_for_a_replica_that_its_home_no_longer_hears() {
    // With one instance in each data centre, the one that is left is home of everything.
    let lab = LabUnderTest::with(|settings| settings.instances.truncate(3));
    let primary = place(&lab, &lab.primary());
    let index =
        lab.lab.instances.iter().position(|it| it.addresses.data_centre != primary).unwrap();
    let data_centre = lab.lab.instances[index].addresses.data_centre.clone();
    let members = ["core/m1", "core/m2", "core/m3"];
    let near = members.into_iter().find(|it| place(&lab, it) == data_centre).unwrap();
    run(async {
        let mut any = lab.connect(index, "any").await;
        let read = "SELECT id FROM doors";
        set(&lab, near, TargetFault::Slow(100));
        for _ in 0..10 {
            assert_eq!(any.query(read).await.unwrap().outcome(), RequestOutcome::Done);
        }
        set(&lab, near, TargetFault::None);
        lab.lab.faults.apply(FaultChange::Isolate { data_centre: data_centre.clone(), cut: true });
        // Longer than an instance that is not heard of is remembered.
        compio::time::sleep(Duration::from_millis(3000)).await;
        let asked = Instant::now();
        let answer = any.query(read).await.unwrap();
        let took = asked.elapsed();
        assert_eq!(answer.outcome(), RequestOutcome::Done, "{:?} after {took:?}", answer.error);
        assert!(took < Duration::from_millis(1000), "answered after {took:?}");
    });
}

/// Symptom: a replica that leaves goes on getting reads.
/// Events: it is configured to leave while tolerant callers read all the time.
#[test]
fn a_leaving_replica_gets_no_new_work() {
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

/// Symptom: callers read data from a time before a failover, of any age, and are told it is fresh.
/// Events: the primary's data centre is cut off and another primary is promoted elsewhere; callers in the
/// cut-off data centre, whose home still sees the old primary lead, read with a stated age.
/// Cause to guard against: taking a primary's data for fresh because it is the primary's.
#[test]
fn a_superseded_primary_serves_no_reads_beyond_their_age() {
    let lab = LabUnderTest::small();
    let data_centre = place(&lab, &lab.primary());
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
