//! The decision on a data centre's rotation, without a network.
//!
//! The load: the callers of a data centre whose instances detect a partition at different times and reach different
//! leaders.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod side;

use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_direct::rotation::{
    Decision, GroupStatus, GroupUse, Participant, RotationVerdict, Ruling, Tally, timing,
};
use gullspar_model::GroupName;
use side::{Instance, Side};
use test_case::test_case;

const GROUPS: usize = 8;

/// Number of homes of each group in the data centre.
const HOMES: usize = 2;

/// When instances detect a partition, in milliseconds after its start, as in the simulation of the membership.
const FIRST_DETECTION_MS: u64 = 570;
const DETECTION_SPREAD_MS: u64 = 160;

/// When all instances must have left rotation.
const LEAVE_TIMEOUT_MS: u64 = 1250;

/// Maximum time between the first and the last instance that changes.
const MAX_SPREAD_MS: u64 = 1000;

const FOREVER: u64 = u64::MAX;

fn group(number: usize) -> GroupName {
    GroupName::new(format!("group{number:07}"))
}

fn status(number: usize, has_leader: bool) -> GroupStatus {
    GroupStatus { group: group(number), has_leader, sample_age_ms: Some(600) }
}

fn group_use(number: usize, max_age_ms: Option<u32>, count: u32) -> GroupUse {
    GroupUse { group: group(number), max_age_ms, count }
}

/// A data centre of `size` instances that is partitioned at time 0. Its callers use all groups equally; the leaders of
/// the first `led` of them are in it. The first instances are homes, each of one group.
fn partitioned(size: usize, led: usize, seed: u64) -> Side {
    let mut side = Side::new(size, seed);
    for number in 0..size {
        let detected = FIRST_DETECTION_MS + side.below(DETECTION_SPREAD_MS);
        let instance = &mut side.instances[number];
        instance.isolated = Some((detected, FOREVER));
        instance.uses = (0..GROUPS).map(|it| group_use(it, None, 10)).collect();
        if number < GROUPS * HOMES {
            let own = number % GROUPS;
            instance.statuses = vec![status(own, own < led)];
            instance.leaves_alone = own >= led;
        }
    }
    side
}

/// Asserts that all instances of `side` left together and in time, and that none has returned.
fn assert_left_together(side: &Side) {
    let up = side.instances.iter().filter(|it| it.is_up);
    let changes: Vec<&Vec<u64>> = up.map(|it| &it.changes).collect();
    assert!(changes.iter().all(|it| it.len() == 1), "{changes:?}");
    let left = || changes.iter().map(|it| it[0]);
    let (first, last) = (left().min().unwrap(), left().max().unwrap());
    println!("{} instances left between {first} and {last} ms", changes.len());
    assert!(last < LEAVE_TIMEOUT_MS && last - first < MAX_SPREAD_MS, "{first} to {last} ms");
}

/// Guards against a data centre whose instances leave rotation at different times, or not at all, because homes reach
/// different leaders. The sizes are the data centres of fleets of 153, 164 and 2,169 instances, and a larger one.
#[test_case(51)]
#[test_case(55)]
#[test_case(90)]
#[test_case(164)]
fn a_data_centre_leaves_together(size: usize) {
    for seed in 1..=5 {
        let mut side = partitioned(size, 3, seed);
        side.run_until(2000);
        assert_left_together(&side);
    }
}

/// Guards against a data centre that leaves although it can serve most of what its callers use.
#[test]
fn a_data_centre_that_serves_its_callers_stays() {
    let mut side = partitioned(51, 5, 1);
    side.run_until(4000);
    assert!(side.instances.iter().all(|it| it.changes.is_empty()));
}

/// Guards against instances that miss the verdict: they must get a later one, and an outdated one must have no effect.
#[test_case(200, 0, 0; "lost")]
#[test_case(0, 500, 150; "late")]
#[test_case(100, 200, 3000; "lost and outdated")]
fn lost_and_late_messages_do_not_divide_a_data_centre(lost: u64, late: u64, late_by_ms: u64) {
    for seed in 1..=5 {
        let mut side = partitioned(51, 3, seed);
        side.instances.iter_mut().for_each(|it| it.leaves_alone = true);
        (side.loss_permille, side.late_permille, side.late_by_ms) = (lost, late, late_by_ms);
        side.run_until(4000);
        assert_left_together(&side);
    }
}

/// Guards against a data centre that is left without a verdict when its coordinator dies.
#[test_case(500; "before the partition is detected")]
#[test_case(650; "while it decides")]
#[test_case(1000; "after its verdict")]
fn the_next_coordinator_takes_over(dies_at_ms: u64) {
    for seed in 1..=5 {
        let mut side = partitioned(51, 3, seed);
        side.run_until(dies_at_ms);
        let first = side.first_coordinator();
        side.instances[first].is_up = false;
        side.run_until(5000);
        assert_left_together(&side);
        let has_verdict = |it: &Instance| matches!(it.ruling, Ruling::Verdict(_));
        assert!(side.instances.iter().filter(|it| it.is_up).all(has_verdict));
    }
}

/// Guards against single isolated instances that wait for a verdict, and against messages from instances that are not
/// isolated.
#[test]
fn single_isolated_instances_decide_alone() {
    let mut side = partitioned(51, 3, 1);
    for (number, instance) in side.instances.iter_mut().enumerate() {
        if [5, 20, 40].contains(&number) {
            instance.side = 1 + number as u32;
            instance.leaves_alone = true;
        } else {
            instance.isolated = None;
        }
    }
    side.run_until(4000);
    for (number, instance) in side.instances.iter().enumerate() {
        match instance.side {
            0 => assert_eq!((instance.sent, instance.changes.len()), (0, 0), "{number}"),
            _ => assert!(instance.changes[0] < LEAVE_TIMEOUT_MS, "{:?}", instance.changes),
        }
    }
}

/// Guards against instances that leave rotation although their side reaches all targets: a partition through all data
/// centres leaves 35% of the instances on one side. Without a verdict, those that are no home would leave.
#[test]
fn a_side_of_a_data_centre_that_reaches_all_leaders_stays() {
    for seed in 1..=5 {
        let mut side = partitioned(51, GROUPS, seed);
        for (number, instance) in side.instances.iter_mut().enumerate() {
            if number % 3 == 0 {
                (instance.side, instance.leaves_alone) = (1, instance.statuses.is_empty());
            } else {
                instance.isolated = None;
            }
        }
        side.run_until(4000);
        let changes = || side.instances.iter().map(|it| (it.isolated.map(|it| it.0), &it.changes));
        assert!(
            changes().all(|it| it.1.is_empty()),
            "seed {seed}: {:?}",
            changes().collect::<Vec<_>>()
        );
        let mut minority = side.instances.iter().filter(|it| it.side == 1);
        assert!(minority.all(|it| matches!(it.ruling, Ruling::Verdict(_))), "seed {seed}");
    }
}

/// Guards against a data centre that starts behind a partition and of which some instances become ready: no use is known,
/// and each group counts the same.
#[test_case(3, Decision::Leave)]
#[test_case(5, Decision::Stay)]
fn a_start_behind_a_partition_has_one_verdict(led: usize, expected: Decision) {
    let mut side = partitioned(51, led, 1);
    side.instances.iter_mut().for_each(|it| it.uses.clear());
    side.run_until(LEAVE_TIMEOUT_MS);
    let is_expected =
        |it: &Instance| matches!(&it.ruling, Ruling::Verdict(it) if it.decision == expected);
    assert!(side.instances.iter().all(is_expected));
}

/// Guards against instances that return one by one after a partition, or return and leave again.
#[test]
fn a_data_centre_returns_together() {
    let mut side = partitioned(51, 3, 1);
    for number in 0..side.instances.len() {
        let ends = 5000 + side.below(400);
        let isolated = &mut side.instances[number].isolated;
        *isolated = isolated.map(|(from, _)| (from, ends));
    }
    side.run_until(5600);
    for number in 0..GROUPS * HOMES {
        side.instances[number].statuses[0].has_leader = true;
    }
    side.run_until(9000);
    assert!(side.instances.iter().all(|it| it.changes.len() == 2));
    let returned = || side.instances.iter().map(|it| it.changes[1]);
    let (first, last) = (returned().min().unwrap(), returned().max().unwrap());
    println!("returned between {first} and {last} ms");
    assert!(first >= 6000 && last < 7000 && last - first < 100, "{first} to {last} ms");
    let sent: u64 = side.instances.iter().map(|it| it.sent).sum();
    side.run_until(12_000);
    assert_eq!(side.instances.iter().map(|it| it.sent).sum::<u64>(), sent, "nothing is sent");
}

/// Guards against a data centre that leaves and returns again and again while leaders come and go.
#[test]
fn a_share_that_varies_does_not_move_callers_back_and_forth() {
    let mut side = partitioned(51, 3, 1);
    for round in 0..20u64 {
        side.run_until(2000 + round * 400);
        let is_more = round % 2 == 0;
        for number in 0..GROUPS * HOMES {
            let own = number % GROUPS;
            side.instances[number].statuses = vec![status(own, own < if is_more { 6 } else { 3 })];
        }
    }
    assert!(side.instances.iter().all(|it| it.changes.len() == 1));
}

/// Guards against costs that callers pay for: reports and verdicts of a whole data centre must stay small.
#[test_case(51, 8; "of a fleet of 153")]
#[test_case(55, 8; "of a fleet of 164")]
#[test_case(90, 64; "of a fleet of 2169")]
fn the_exchange_is_bounded(size: usize, used: usize) {
    let mut side = partitioned(size, 3, 1);
    for instance in &mut side.instances {
        instance.uses = (0..used).map(|it| group_use(it, None, 100)).collect();
    }
    side.run_until(2000);
    let before: Vec<(u64, u64)> =
        side.instances.iter().map(|it| (it.sent, it.sent_bytes)).collect();
    let first: u64 = before.iter().map(|it| it.1).max().unwrap();
    side.run_until(12_000);
    let per_second = side.instances.iter().zip(&before);
    let mut per_second: Vec<(u64, u64)> = per_second
        .map(|(it, old)| ((it.sent_bytes - old.1) / 10, (it.sent - old.0) / 10))
        .collect();
    per_second.sort_unstable();
    let (median, most) = (per_second[size / 2], per_second[size - 1]);
    println!("{size} instances: {median:?} bytes and datagrams a second, coordinators {most:?}");
    println!("{size} instances: at most {first} bytes from one instance in the first 2 s");
    assert!(median.0 < 1500 && most.0 < 50_000, "{median:?} {most:?}");
}

const NOW: BootInstant = BootInstant(1_000_000_000);

fn verdict(from: &str, decision: Decision, at: BootInstant) -> RotationVerdict {
    RotationVerdict {
        from: from.into(),
        sent_at: at,
        answers: Some(at),
        decision,
        isolated: 2,
        reported: 3,
        servable: 0,
        used: 1,
        unservable: Vec::new(),
        needs_uses: false,
    }
}

fn decision(participant: &mut Participant, now: BootInstant) -> Decision {
    match participant.ruling(true, 3, now) {
        Ruling::Verdict(it) => it.decision,
        _ => Decision::Undecided,
    }
}

/// Guards against instances that follow different coordinators while two of them decide.
#[test]
fn of_two_verdicts_that_of_the_first_coordinator_applies() {
    let side = Side::new(3, 1);
    let near: Vec<_> = side.instances.iter().map(|it| it.member.clone()).collect();
    let mut participant = Participant::default();
    let due = participant.check(true, &near, NOW);
    let [first, second] = [0, 1].map(|it| due[it].0.id.clone());
    let later = NOW.plus(Duration::from_millis(400));
    participant.handle_verdict(verdict(second.as_str(), Decision::Leave, later), later);
    assert_eq!(decision(&mut participant, later), Decision::Leave);
    participant.handle_verdict(verdict(first.as_str(), Decision::Stay, NOW), later);
    assert_eq!(decision(&mut participant, later), Decision::Stay);
    let expired = NOW.plus(timing::VERDICT_TTL);
    assert_eq!(decision(&mut participant, expired), Decision::Leave, "the first one has expired");
}

/// Guards against an instance with all its contacts that is taken out of rotation by a small isolated part of its data
/// centre, and against one that stays although most of its data centre leaves.
#[test_case(3, Decision::Leave; "most are isolated")]
#[test_case(4, Decision::Undecided; "half are isolated")]
fn an_instance_that_is_not_isolated_follows_the_majority(near: usize, expected: Decision) {
    let mut participant = Participant::default();
    let side = Side::new(near, 1);
    let members: Vec<_> = side.instances.iter().map(|it| it.member.clone()).collect();
    let asking = members[1].id.as_str();
    assert!(participant.handle_verdict(verdict(asking, Decision::Leave, NOW), NOW), "it reports");
    let due = participant.check(false, &members, NOW);
    assert_eq!(due.iter().map(|it| it.0.id.as_str()).collect::<Vec<_>>(), [asking]);
    participant.handle_verdict(verdict(asking, Decision::Leave, NOW), NOW);
    let decision = match participant.ruling(false, near, NOW) {
        Ruling::Verdict(it) => it.decision,
        _ => Decision::Undecided,
    };
    assert_eq!(decision, expected);
}

/// Guards against a group that counts as servable because its data is recent now, though it will not be when callers are
/// sent elsewhere, and against a group without a home here that decides the verdict.
#[test_case(Some(1500), 0; "the sample expires too soon")]
#[test_case(Some(6000), 10; "the sample stays recent")]
#[test_case(None, 0; "the leader is needed")]
fn reads_count_as_servable_while_the_sample_is_recent(max_age_ms: Option<u32>, servable: u64) {
    let statuses = [status(0, false)];
    let uses = [group_use(0, max_age_ms, 10), group_use(1, None, 1000)];
    let tally = Tally::new(&uses, statuses.iter().map(|it| (it, Duration::ZERO)));
    assert_eq!((tally.servable, tally.used), (servable, 10));
    assert_eq!(tally.unservable, [group(0)]);
}
