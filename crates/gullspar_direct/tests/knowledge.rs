//! What an instance knows and how it is brought up to date.

mod support;

use std::time::{Duration, Instant};

use gullspar_border::BootInstant;
use gullspar_direct::{
    ClaimReport, ClaimTracker, Directory, FencingToken, PositionSample, PositionSamples,
    TargetList, Verdict, VoteTally,
};
use gullspar_model::{InstanceId, LogPoint, Revision};
use gullspar_statement::TargetSpec;
use support::{FakeGroup, GROUP, World, catalogue, pause, run, wait_until};
use test_case::test_case;

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000 + ms * 1000)
}

fn reading(ms: u64, term: u64, position: u64) -> PositionSample {
    PositionSample { requested_at: at(ms), point: LogPoint::new(term, position) }
}

/// The oldest reading within the allowed age asks the least of a replica and still covers everything.
#[test]
fn the_oldest_reading_within_the_age_is_taken() {
    let mut readings = PositionSamples::default();
    for step in 0..10 {
        readings.add(reading(step * 100, 1, step));
    }
    let found = readings.oldest_within(at(1000), Duration::from_millis(450));
    assert_eq!(found, Some(reading(600, 1, 6)));
    assert_eq!(readings.oldest_within(at(1000), Duration::from_millis(50)), None);
    assert_eq!(readings.newest(), Some(reading(900, 1, 9)));
}

/// Symptom: after a failover every replica is behind for ever.
/// Cause: a position of the old term, whose commits were rolled back, was asked of the new log.
#[test]
fn readings_of_an_older_term_are_dropped() {
    let mut readings = PositionSamples::default();
    readings.add(reading(0, 1, 90));
    readings.add(reading(100, 2, 80));
    readings.add(reading(150, 1, 91));
    let found = readings.oldest_within(at(200), Duration::from_secs(1));
    assert_eq!(found, Some(reading(100, 2, 80)));
}

/// A reading that arrives late stands where it was begun.
#[test]
fn late_readings_are_sorted_in() {
    let mut readings = PositionSamples::default();
    readings.add(reading(200, 1, 5));
    readings.add(reading(100, 1, 3));
    let found = readings.oldest_within(at(250), Duration::from_millis(160));
    assert_eq!(found, Some(reading(100, 1, 3)));
}

/// Symptom: removed routes come back for a moment.
/// Cause: answers arrive in any order, and a late one was put in force.
#[test]
fn configurations_only_move_forward() {
    let directory = Directory::default();
    assert!(directory.apply_catalogue(catalogue(5)));
    assert!(!directory.apply_catalogue(catalogue(5)));
    assert!(!directory.apply_catalogue(catalogue(4)));
    assert!(directory.apply_catalogue(catalogue(9)));
    assert_eq!(directory.version(), 9);
}

/// Symptom: all targets vanish when the platform's store comes back.
/// Events: entries lapse while it is away, and are made anew within two seconds of its return.
/// Cause: a missing entry was taken for a target that is gone at once.
#[test]
fn a_target_whose_entry_lapsed_is_kept_for_a_while() {
    let directory = Directory::default();
    let now = Instant::now();
    let targets = FakeGroup::new(GROUP, 3).specs();
    directory
        .apply_targets(TargetList { revision: Revision::new(0, 1), targets: targets.clone() }, now);
    directory.apply_targets(
        TargetList { revision: Revision::new(0, 2), targets: targets[1..].to_vec() },
        now,
    );
    assert_eq!(directory.targets().len(), 3);
    assert_eq!(directory.target_list().targets.len(), 2, "others are told what is listed");
    directory.remove_expired(now + Duration::from_secs(2));
    assert_eq!(directory.targets().len(), 3);
    directory.remove_expired(now + Duration::from_secs(3));
    assert_eq!(directory.targets().len(), 2);
}

/// A target that said it leaves has left when it is no longer listed, and its address may be another's.
#[test]
fn a_leaving_target_is_dropped_with_its_entry() {
    let directory = Directory::default();
    let now = Instant::now();
    let mut targets = FakeGroup::new(GROUP, 2).specs();
    targets[0].leaving = true;
    directory
        .apply_targets(TargetList { revision: Revision::new(0, 1), targets: targets.clone() }, now);
    directory.apply_targets(
        TargetList { revision: Revision::new(0, 2), targets: targets[1..].to_vec() },
        now,
    );
    assert_eq!(directory.targets().len(), 1);
}

/// Symptom: a target that started again is taken for what it was before.
/// Events: it registers under the name that it had, with a count that begins anew; what it wrote before its
/// end arrives after that, or another writer puts an old entry back.
/// Cause: the last write was taken for the newest word of the target.
#[test]
fn of_two_entries_of_one_target_the_later_start_counts_and_then_the_later_beat() {
    let directory = Directory::default();
    let now = Instant::now();
    let mut revision = 0;
    let mut list = |started_ms: Option<u64>, beat: u64, slots: u32, now: Instant| {
        revision += 1;
        let mut targets = FakeGroup::new(GROUP, 1).specs();
        targets[0] = TargetSpec { started_ms, beat, slots, ..targets[0].clone() };
        directory.apply_targets(TargetList { revision: Revision::new(0, revision), targets }, now);
        directory.remove_expired(now);
        directory.targets().first().map(|it| it.slots)
    };
    assert_eq!(list(Some(1000), 7, 1, now), Some(1));
    assert_eq!(list(Some(1000), 6, 2, now), Some(1), "an older beat");
    assert_eq!(list(Some(2000), 1, 3, now), Some(3), "a later start counts from the beginning");
    assert_eq!(list(Some(1000), 9, 4, now), Some(3), "an earlier start");
    let lapsed = now + Duration::from_secs(3);
    assert_eq!(list(Some(1000), 9, 4, lapsed), None, "the target itself says nothing any more");
    assert_eq!(list(None, 5, 5, lapsed), Some(5));
    assert_eq!(list(None, 1, 6, lapsed), Some(6), "without a start a lower beat tells nothing");
}

#[test]
fn an_older_list_of_targets_changes_nothing() {
    let directory = Directory::default();
    let targets = FakeGroup::new(GROUP, 2).specs();
    directory.apply_targets(TargetList { revision: Revision::new(0, 5), targets }, Instant::now());
    assert!(!directory.apply_targets(
        TargetList { revision: Revision::new(0, 4), targets: vec![] },
        Instant::now()
    ));
    assert_eq!(directory.targets().len(), 2);
}

#[test_case(1, 1, Verdict::Replace; "alone")]
#[test_case(3, 1, Verdict::Wait; "one of three")]
#[test_case(3, 2, Verdict::Replace; "two of three")]
#[test_case(8, 4, Verdict::Replace; "half")]
#[test_case(9, 4, Verdict::Wait; "less than half")]
fn a_leader_is_replaced_when_half_can_not_use_it(counted: usize, against: usize, verdict: Verdict) {
    assert_eq!(VoteTally { counted, against }.verdict(), verdict);
}

/// Symptom: two instances promote in one group by turns.
#[test]
fn the_last_holder_is_alone_while_it_lives() {
    let mut book = ClaimTracker::new(Duration::from_secs(3));
    let (one, other) = ("one".into(), "other".into());
    assert!(book.can_act(&one, at(0), |_| true), "nobody acted yet");
    book.record_act(FencingToken(7), "one".into(), at(0));
    assert!(book.can_act(&one, at(10), |_| true));
    assert!(!book.can_act(&other, at(10), |_| true));
    assert!(book.can_act(&other, at(10), |_| false), "the holder is gone");
    assert!(book.can_act(&other, at(3000), |_| true), "its lease is over");
    book.record_act(FencingToken(7), "one".into(), at(2000));
    assert!(!book.can_act(&other, at(3000), |_| true), "it acted again");
}

/// A note that was long on its way makes a claim look younger, never older, and an old one changes nothing.
#[test]
fn notes_of_claims_only_move_forward() {
    let mut book = ClaimTracker::new(Duration::from_secs(3));
    let note =
        |token, age_ms| ClaimReport { token: FencingToken(token), holder: "one".into(), age_ms };
    let (holder, other) = ("one".into(), "other".into());
    book.apply_report(&note(7, 500), &holder, at(1000));
    assert_eq!(book.report(at(1000)), Some(note(7, 500)));
    book.apply_report(&note(6, 0), &holder, at(1000));
    book.apply_report(&note(7, 0), &other, at(1200));
    assert_eq!(book.report(at(1200)), Some(note(7, 700)));
    book.apply_report(&note(7, 600), &holder, at(1200));
    assert_eq!(book.report(at(1200)), Some(note(7, 600)), "it has acted again");
    book.apply_report(&note(7, 900), &holder, at(1200));
    assert_eq!(book.report(at(1200)), Some(note(7, 600)), "an older note of it");
}

/// A claim that is read again was not made again.
#[test]
fn a_claim_that_is_known_gets_no_younger_by_a_look() {
    let mut book = ClaimTracker::new(Duration::from_secs(3));
    let other = "other".into();
    book.record_observed(FencingToken(7), "one".into(), at(0));
    assert!(!book.can_act(&other, at(1000), |_| true), "it may have been made just now");
    book.record_observed(FencingToken(7), "one".into(), at(2000));
    assert!(book.can_act(&other, at(3000), |_| true));
    book.record_observed(FencingToken(8), "one".into(), at(3000));
    assert!(!book.can_act(&other, at(3100), |_| true), "another claim");
}

/// Symptom: an instance that the store turns away serves by the configuration of yesterday.
/// Events: a change reaches the others; this instance hears nothing from the store.
/// Cause: configuration came from the store alone.
#[test]
fn configuration_and_targets_come_from_other_instances_too() {
    run(async {
        let world = World::new();
        let one = world.instance(1);
        let other = world.instance(2);
        one.directory.apply_catalogue(catalogue(7));
        wait_until(1500, "the configuration is there", || other.directory.version() == 7).await;
        one.record_store_answer();
        world.group.mark_leaving(1);
        world.apply_target_list(&one, 9);
        wait_until(1500, "the targets are there", || {
            other.directory.target_revision() == Revision::new(0, 9)
        })
        .await;
        assert!(other.directory.targets().iter().any(|it| it.leaving));
    });
}

/// An instance that reaches the store itself does not take lists from others.
#[test]
fn an_instance_in_touch_with_the_store_goes_by_it() {
    run(async {
        let world = World::new();
        let one = world.instance(1);
        let other = world.instance(2);
        one.record_store_answer();
        other.record_store_answer();
        world.apply_target_list(&one, 9);
        pause(800).await;
        assert_eq!(other.directory.target_revision(), Revision::new(0, 1));
    });
}

/// Symptom: one instance of many serves as if it were alone, and refuses a fifth of its callers.
/// Events: all instances that its settings name are gone; nobody knows of it, and it of nobody.
/// Cause: instances found each other by their settings alone.
#[test]
fn an_instance_whose_seeds_are_gone_finds_the_others() {
    run(async {
        let world = World::new();
        let one = world.instance(1);
        let lost = world.instance_with_seed(7, 99);
        let known = |of: &std::rc::Rc<gullspar_direct::Proxy>| {
            of.peers.members(world.clock.boot_now()).len()
        };
        wait_until(4000, "they know each other", || known(&lost) == 1 && known(&one) == 1).await;
    });
}

/// Guards against targets that are used again since the store came back from a copy in which they still stand.
#[test]
fn a_target_that_is_back_with_an_older_copy_is_doubted_until_it_writes_again() {
    let directory = Directory::default();
    let now = Instant::now();
    let all = FakeGroup::new(GROUP, 3).specs();
    let list = |era, number, targets: &[TargetSpec]| TargetList {
        revision: Revision::new(era, number),
        targets: targets.to_vec(),
    };
    directory.apply_targets(list(1, 90, &all[..2]), now);
    assert!(
        directory.apply_targets(list(2, 50, &all), now),
        "a later era goes before a higher number"
    );
    assert_eq!(directory.targets().len(), 2, "the third has left");
    let mut newer = all.clone();
    newer[2].beat += 1;
    directory.apply_targets(list(2, 51, &newer), now + Duration::from_millis(900));
    assert_eq!(directory.targets().len(), 3, "it lives");
    assert!(!directory.apply_targets(list(1, 99, &all[..1]), now), "an earlier era tells nothing");

    let other = Directory::default();
    other.apply_targets(list(1, 90, &all[..2]), now);
    other.apply_targets(list(2, 50, &all), now);
    other.remove_expired(now + Duration::from_millis(1900));
    assert_eq!(other.targets().len(), 2, "it is still doubted");
    other.remove_expired(now + Duration::from_millis(2100));
    assert_eq!(other.targets().len(), 3, "it is listed for longer than those that left");

    let third = Directory::default();
    third.apply_targets(list(1, 90, &all[..2]), now);
    third.apply_targets(list(2, 50, &all), now);
    third.apply_targets(list(2, 51, &all[..2]), now + Duration::from_millis(1500));
    third.remove_expired(now + Duration::from_millis(2100));
    assert_eq!(third.targets().len(), 2, "it had left");
}

/// Guards against a turn inside the lease of a holder whose claim the copy lacks.
#[test]
fn a_holder_whose_claim_was_lost_stays_alone_for_its_lease() {
    let (lost, restored, own) = ("lost".into(), "restored".into(), "own".into());
    let at = |ms: u64| BootInstant(1_000_000_000 + ms * 1000);
    let mut book = ClaimTracker::new(Duration::from_millis(1500));
    book.record_act(FencingToken(90), InstanceId::clone(&lost), at(1000));
    let token_after = FencingToken((1 << 40) + 50);
    book.record_observed(token_after, InstanceId::clone(&restored), at(1200));
    let lives = |id: &InstanceId| *id == lost;
    assert!(!book.can_act(&own, at(2400), lives));
    assert!(book.can_act(&own, at(2600), lives));
    assert!(book.can_act(&own, at(2400), |_| false), "whoever is gone is not waited for");
}
