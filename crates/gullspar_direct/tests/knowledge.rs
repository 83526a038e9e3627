//! Position samples, the directory, votes and claims: what an instance knows, and how it receives updates.

mod support;

use std::time::{Duration, Instant};

use gullspar_border::BootInstant;
use gullspar_direct::{
    ClaimReport, ClaimTracker, Directory, FencingToken, PositionSample, PositionSamples,
    Settlement, TargetList, Verdict, VoteTally,
};
use gullspar_model::{InstanceId, LogPoint, Revision};
use gullspar_statement::TargetSpec;
use support::{FakeGroup, GROUP, World, catalogue, pause, run, wait_until};
use test_case::test_case;

fn at(ms: u64) -> BootInstant {
    BootInstant(1_000_000 + ms * 1000)
}

fn sample(ms: u64, term: u64, position: u64) -> PositionSample {
    PositionSample { requested_at: at(ms), point: LogPoint::new(term, position) }
}

/// Guards against reads that require a newer log position from a replica than their maximum age calls for.
#[test]
fn the_oldest_sample_within_the_age_is_used() {
    let mut samples = PositionSamples::default();
    for step in 0..10 {
        samples.add(sample(step * 100, 1, step));
    }
    let found = samples.oldest_within(at(1000), Duration::from_millis(450));
    assert_eq!(found, Some(sample(600, 1, 6)));
    assert_eq!(samples.oldest_within(at(1000), Duration::from_millis(50)), None);
    assert_eq!(samples.newest(), Some(sample(900, 1, 9)));
}

/// Guards against replicas that count as behind forever after a failover, because they are compared with a
/// position of the old term.
#[test]
fn samples_of_an_older_term_are_dropped() {
    let mut samples = PositionSamples::default();
    samples.add(sample(0, 1, 90));
    samples.add(sample(100, 2, 80));
    samples.add(sample(150, 1, 91));
    let found = samples.oldest_within(at(200), Duration::from_secs(1));
    assert_eq!(found, Some(sample(100, 2, 80)));
}

/// A sample that arrives late is ordered by the time of its request.
#[test]
fn late_samples_are_sorted_in() {
    let mut samples = PositionSamples::default();
    samples.add(sample(200, 1, 5));
    samples.add(sample(100, 1, 3));
    let found = samples.oldest_within(at(250), Duration::from_millis(160));
    assert_eq!(found, Some(sample(100, 1, 3)));
}

/// Guards against removed routes that reappear because configurations arrive out of order.
#[test]
fn an_older_configuration_is_not_applied() {
    let directory = Directory::default();
    assert!(directory.apply_catalogue(catalogue(5)));
    assert!(!directory.apply_catalogue(catalogue(5)));
    assert!(!directory.apply_catalogue(catalogue(4)));
    assert!(directory.apply_catalogue(catalogue(9)));
    assert_eq!(directory.version(), 9);
}

/// Guards against the loss of all targets after an outage of the store, when their entries have expired and
/// are not yet listed again.
#[test]
fn a_target_whose_entry_expired_has_a_grace_period() {
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
    assert_eq!(
        directory.target_list().targets.len(),
        2,
        "only listed targets are sent to other instances"
    );
    directory.remove_expired(now + Duration::from_secs(2));
    assert_eq!(directory.targets().len(), 3);
    directory.remove_expired(now + Duration::from_secs(3));
    assert_eq!(directory.targets().len(), 2);
}

/// A leaving target gets no grace period: its address may soon belong to another target.
#[test]
fn a_leaving_target_is_removed_with_its_entry() {
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

/// Guards against an entry from before a restart that arrives late, or is restored by another writer, and
/// replaces the current one.
#[test]
fn entries_of_a_target_are_ordered_by_start_and_then_by_beat() {
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
    assert_eq!(list(Some(2000), 1, 3, now), Some(3), "a later start, although with a lower beat");
    assert_eq!(list(Some(1000), 9, 4, now), Some(3), "an earlier start");
    let expired = now + Duration::from_secs(3);
    assert_eq!(list(Some(1000), 9, 4, expired), None, "the known entry has expired");
    assert_eq!(list(None, 5, 5, expired), Some(5));
    assert_eq!(
        list(None, 1, 6, expired),
        Some(6),
        "without a start time, a lower beat is not older"
    );
}

/// Guards against an older list of targets that arrives late and replaces a newer one.
#[test]
fn an_older_list_of_targets_is_ignored() {
    let directory = Directory::default();
    let targets = FakeGroup::new(GROUP, 2).specs();
    directory.apply_targets(TargetList { revision: Revision::new(0, 5), targets }, Instant::now());
    assert!(!directory.apply_targets(
        TargetList { revision: Revision::new(0, 4), targets: vec![] },
        Instant::now()
    ));
    assert_eq!(directory.targets().len(), 2);
}

/// Guards against a failover that is decided by a minority of the instances.
#[test_case(1, 1, Verdict::Replace; "alone")]
#[test_case(3, 1, Verdict::Wait; "one of three")]
#[test_case(3, 2, Verdict::Replace; "two of three")]
#[test_case(8, 4, Verdict::Replace; "half")]
#[test_case(9, 4, Verdict::Wait; "less than half")]
fn a_leader_is_replaced_when_half_of_the_instances_cannot_use_it(
    counted: usize,
    against: usize,
    verdict: Verdict,
) {
    assert_eq!(VoteTally { counted, against }.verdict(), verdict);
}

/// Guards against two instances that promote alternately in one group.
#[test]
fn only_the_last_holder_may_act_until_its_lease_ends() {
    let mut claims = ClaimTracker::new(Duration::from_secs(3));
    let (one, other) = ("one".into(), "other".into());
    assert!(claims.can_act(&one, at(0), |_| true), "no instance has acted yet");
    claims.record_act(FencingToken(7), "one".into(), at(0));
    assert!(claims.can_act(&one, at(10), |_| true));
    assert!(!claims.can_act(&other, at(10), |_| true));
    assert!(claims.can_act(&other, at(10), |_| false), "the holder is gone");
    assert!(claims.can_act(&other, at(3000), |_| true), "its lease has ended");
    claims.record_act(FencingToken(7), "one".into(), at(2000));
    assert!(!claims.can_act(&other, at(3000), |_| true), "it acted again");
}

/// A delayed report makes a claim look younger, never older, and an older report changes nothing.
#[test]
fn older_reports_of_claims_are_ignored() {
    let mut claims = ClaimTracker::new(Duration::from_secs(3));
    let report =
        |token, age_ms| ClaimReport { token: FencingToken(token), holder: "one".into(), age_ms };
    let (holder, other) = ("one".into(), "other".into());
    claims.apply_report(&report(7, 500), &holder, at(1000));
    assert_eq!(claims.report(at(1000)), Some(report(7, 500)));
    claims.apply_report(&report(6, 0), &holder, at(1000));
    claims.apply_report(&report(7, 0), &other, at(1200));
    assert_eq!(claims.report(at(1200)), Some(report(7, 700)));
    claims.apply_report(&report(7, 600), &holder, at(1200));
    assert_eq!(claims.report(at(1200)), Some(report(7, 600)), "it has acted again");
    claims.apply_report(&report(7, 900), &holder, at(1200));
    assert_eq!(claims.report(at(1200)), Some(report(7, 600)), "an older report of the holder");
}

/// Guards against a lease that never ends because each read of the claim counts as an act of its holder.
#[test]
fn reading_a_known_claim_does_not_renew_its_lease() {
    let mut claims = ClaimTracker::new(Duration::from_secs(3));
    let other = "other".into();
    claims.record_observed(FencingToken(7), "one".into(), at(0));
    assert!(!claims.can_act(&other, at(1000), |_| true), "it may have just been made");
    claims.record_observed(FencingToken(7), "one".into(), at(2000));
    assert!(claims.can_act(&other, at(3000), |_| true));
    claims.record_observed(FencingToken(8), "one".into(), at(3000));
    assert!(!claims.can_act(&other, at(3100), |_| true), "another claim");
}

/// Guards against an instance that keeps an outdated configuration because it cannot reach the store.
#[test]
fn configuration_and_targets_are_received_from_other_instances() {
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

/// An instance that reaches the store itself does not apply lists of targets from other instances.
#[test]
fn an_instance_that_reaches_the_store_ignores_lists_of_others() {
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

/// Guards against an instance that stays without peers because all instances named in its settings are gone.
#[test]
fn an_instance_whose_seeds_are_gone_finds_the_others() {
    run(async {
        let world = World::new();
        let one = world.instance(1);
        let without_peers = world.instance_with_seed(7, 99);
        let known = |of: &std::rc::Rc<gullspar_direct::Proxy>| {
            of.peers.members(world.clock.boot_now()).len()
        };
        wait_until(4000, "they know each other", || known(&without_peers) == 1 && known(&one) == 1)
            .await;
    });
}

/// Guards against the use of targets that have left and reappear because the store was restored from an older
/// copy.
#[test]
fn an_entry_from_an_older_copy_is_unverified_until_it_is_written_again() {
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
        "a later era precedes a higher number"
    );
    assert_eq!(directory.targets().len(), 2, "the third has left");
    let mut newer = all.clone();
    newer[2].beat += 1;
    directory.apply_targets(list(2, 51, &newer), now + Duration::from_millis(900));
    assert_eq!(directory.targets().len(), 3, "its target has written it again");
    assert!(!directory.apply_targets(list(1, 99, &all[..1]), now), "an earlier era is ignored");

    let other = Directory::default();
    other.apply_targets(list(1, 90, &all[..2]), now);
    other.apply_targets(list(2, 50, &all), now);
    other.remove_expired(now + Duration::from_millis(1900));
    assert_eq!(other.targets().len(), 2, "it is still unverified");
    other.remove_expired(now + Duration::from_millis(2100));
    assert_eq!(other.targets().len(), 3, "it is still listed after the verification period");

    let third = Directory::default();
    third.apply_targets(list(1, 90, &all[..2]), now);
    third.apply_targets(list(2, 50, &all), now);
    third.apply_targets(list(2, 51, &all[..2]), now + Duration::from_millis(1500));
    third.remove_expired(now + Duration::from_millis(2100));
    assert_eq!(third.targets().len(), 2, "it had left");
}

/// Guards against a promotion during the lease of a holder whose claim is missing from the restored copy.
#[test]
fn the_lease_of_a_claim_lost_by_the_store_still_counts() {
    let (lost, restored, own) = ("lost".into(), "restored".into(), "own".into());
    let at = |ms: u64| BootInstant(1_000_000_000 + ms * 1000);
    let mut claims = ClaimTracker::new(Duration::from_millis(1500));
    claims.record_act(FencingToken(90), InstanceId::clone(&lost), at(1000));
    let token_after = FencingToken((1 << 40) + 50);
    claims.record_observed(token_after, InstanceId::clone(&restored), at(1200));
    let is_running = |id: &InstanceId| *id == lost;
    assert!(!claims.can_act(&own, at(2400), is_running));
    assert!(claims.can_act(&own, at(2600), is_running));
    assert!(
        claims.can_act(&own, at(2400), |_| false),
        "the lease of an instance that is gone does not count"
    );
}

fn settlement(token: u64, leader: &str) -> Settlement {
    Settlement { token: FencingToken(token), leader: Some(leader.into()) }
}

/// Guards against taking an order for void because of time, of an older claim's settlement, or of having heard of none.
#[test]
fn a_claim_is_settled_only_by_news_of_its_own_or_a_later_settlement() {
    let mut claims = ClaimTracker::new(Duration::from_secs(3));
    let leader = Some(&"m1".into());
    assert!(!claims.is_settled(leader), "nothing is known yet");
    claims.record_settled(ClaimTracker::UNCLAIMED);
    assert!(claims.is_settled(leader));
    claims.record_act(FencingToken(4), InstanceId::new("a"), at(0));
    claims.record_act(FencingToken(5), InstanceId::new("b"), at(100));
    claims.record_settled(settlement(4, "m1"));
    assert!(!claims.is_settled(leader), "the newest claim is open");
    assert!(claims.is_unsettled_since(at(0)) && !claims.is_unsettled_since(at(1)));
    claims.record_settled(settlement(5, "m1"));
    claims.record_act(FencingToken(5), InstanceId::new("b"), at(60_000));
    assert!(claims.is_settled(leader));
    claims.record_settled(settlement(4, "m2"));
    assert!(claims.is_settled(leader));
}

/// Guards against relying on the order of a member that does not lead: a repetition of it that is carried out late would
/// promote that member.
#[test]
fn a_claim_is_settled_only_while_its_member_leads() {
    let mut claims = ClaimTracker::new(Duration::from_secs(3));
    claims.record_settled(settlement(5, "m1"));
    assert!(claims.is_settled(Some(&"m1".into())));
    assert!(!claims.is_settled(Some(&"m2".into())) && !claims.is_settled(None));
    claims.record_act(FencingToken(6), InstanceId::new("a"), at(0));
    claims.record_unused(FencingToken(6));
    assert!(claims.is_settled(Some(&"m1".into())) && !claims.is_settled(Some(&"m2".into())));
}
