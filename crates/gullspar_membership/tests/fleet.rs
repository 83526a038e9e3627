//! Simulated fleets from 9 to 2169 instances: detection times and traffic must not grow with the
//! size.
//!
//! The larger sizes take minutes without optimization:
//! `cargo test --release -p gullspar_membership -- --ignored`.

mod support;

use std::collections::BTreeSet;

use gullspar_membership::{MemberRecord, MemberState};
use support::{Fleet, MS, S};
use test_case::test_case;

/// Within this time, all instances know of an instance that stops, starts or leaves.
const MAX_NOTICE_MS: u64 = 1500;

/// Within this time, partitioned instances are isolated.
const MAX_ISOLATION_MS: u64 = 1000;

/// Within this time after a partition or a common start, all instances know all others.
const MAX_CONVERGENCE_MS: u64 = 3000;

/// Maximum number of data centres of a simulated fleet.
const DATA_CENTRES: usize = 6;

const LOSS_PERMILLE: u64 = 10;

fn fleet(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::settled(size, DATA_CENTRES.min(size / 2), seed);
    fleet.loss_permille = LOSS_PERMILLE;
    fleet
}

/// Changes a fleet, with three seeds, and asserts that all instances know the result in time.
fn assert_noticed_in_time(size: usize, what: &str, change: impl Fn(&mut Fleet)) {
    for seed in 1..=3 {
        let mut fleet = fleet(size, seed);
        change(&mut fleet);
        let what = format!("{size} instances, seed {seed}: {what} is known to all instances");
        let elapsed_ms = fleet.run_until(MAX_NOTICE_MS, &what, Fleet::all_know_all);
        println!("{what} after {elapsed_ms} ms");
    }
}

/// Guards against a detection time that grows with the fleet: sessions would be forwarded to a dead
/// instance for seconds.
#[test_case(9)]
#[test_case(85)]
#[test_case(295)]
#[test_case(2169 => ignore ["takes minutes without optimization"])]
fn dead_instance_is_removed_everywhere_in_time(size: usize) {
    assert_noticed_in_time(size, "a death", |fleet| {
        let dead = fleet.random.below(size as u64) as usize;
        fleet.kill(dead);
    });
}

/// Guards against a delay until a started instance is known, which would grow with the fleet.
#[test_case(9)]
#[test_case(85)]
#[test_case(295)]
#[test_case(2169 => ignore ["takes minutes without optimization"])]
fn started_instance_becomes_member_everywhere_in_time(size: usize) {
    assert_noticed_in_time(size, "a start", |fleet| {
        fleet.start_one();
    });
}

/// Guards against new work for an instance that is leaving. It must still be listed as running.
#[test_case(9)]
#[test_case(85)]
#[test_case(295)]
fn leaving_instance_is_removed_everywhere_in_time(size: usize) {
    let mut fleet = fleet(size, 1);
    fleet.instances[4].membership.set_leaving(true);
    let is_unknown_to_all = |it: &Fleet| it.up().iter().all(|other| !it.has_member(*other, 4));
    fleet.run_until(MAX_NOTICE_MS, "the leaving instance is no member anywhere", is_unknown_to_all);
    assert!(
        fleet.instances[7].membership.running().any(|it| it.id == instance_id(4)),
        "it is still running"
    );
}

fn instance_id(number: usize) -> gullspar_model::InstanceId {
    gullspar_model::InstanceId::new(format!("entry-place-{number}"))
}

/// Guards against slow detection of a partition, in which callers wait only to be refused, and
/// against false detection by instances on the other side.
#[test_case(9)]
#[test_case(85)]
#[test_case(295)]
#[test_case(2169 => ignore ["takes minutes without optimization"])]
fn only_partitioned_instances_become_isolated_in_time(size: usize) {
    for seed in 1..=3 {
        let mut fleet = fleet(size, seed);
        let data_centre = seed as usize % fleet.instances[size - 1].data_centre.max(1);
        let partitioned: Vec<usize> =
            (0..size).filter(|it| fleet.instances[*it].data_centre == data_centre).collect();
        let others: Vec<usize> =
            (0..size).filter(|it| fleet.instances[*it].data_centre != data_centre).collect();
        partitioned.iter().for_each(|it| fleet.instances[*it].partition = 1);
        let all_isolated = |it: &Fleet| partitioned.iter().all(|number| it.is_isolated(*number));
        let elapsed_ms = fleet.run_until(
            MAX_ISOLATION_MS,
            "all partitioned instances are isolated",
            all_isolated,
        );
        println!(
            "{size} instances, seed {seed}: partitioned instances are isolated after {elapsed_ms} ms"
        );
        for _ in 0..60 {
            fleet.run_for(100 * MS);
            let falsely_isolated = others.iter().filter(|it| fleet.is_isolated(**it)).count();
            assert_eq!(falsely_isolated, 0, "no other instance is isolated");
            let not_isolated = partitioned.iter().filter(|it| !fleet.is_isolated(**it)).count();
            assert_eq!(not_isolated, 0, "seed {seed}: partitioned instances stay isolated");
        }
        assert!(
            others.iter().all(|it| fleet.knows_exactly(*it, &others)),
            "the others are the only members"
        );
        partitioned.iter().for_each(|it| fleet.instances[*it].partition = 0);
        let elapsed_ms = fleet.run_until(
            MAX_CONVERGENCE_MS,
            "all instances know all others",
            Fleet::all_know_all,
        );
        assert!(fleet.up().iter().all(|it| !fleet.is_isolated(*it)));
        println!("{size} instances, seed {seed}: converged {elapsed_ms} ms after the partition");
    }
}

/// Guards against missing a partition that leaves each data centre partly reachable, which a
/// handful of contacts can't distinguish from a few deaths.
#[test_case(85)]
#[test_case(295)]
#[test_case(2169 => ignore ["takes minutes without optimization"])]
fn partitioned_part_of_every_data_centre_becomes_isolated(size: usize) {
    // One third of the instances of each data centre.
    let is_partitioned = |number: usize| (number / DATA_CENTRES).is_multiple_of(3);
    for seed in 1..=3 {
        let mut fleet = fleet(size, seed);
        for number in 0..size {
            fleet.instances[number].partition = u32::from(is_partitioned(number));
        }
        fleet.run_for(MAX_NOTICE_MS * MS);
        let not_isolated =
            (0..size).filter(|it| is_partitioned(*it) && !fleet.is_isolated(*it)).count();
        let falsely_isolated =
            (0..size).filter(|it| !is_partitioned(*it) && fleet.is_isolated(*it)).count();
        assert_eq!((not_isolated, falsely_isolated), (0, 0), "of {size} instances, seed {seed}");
        (0..size).for_each(|it| fleet.instances[it].partition = 0);
        fleet.run_until(MAX_CONVERGENCE_MS, "all instances know all others", Fleet::all_know_all);
    }
}

/// Asserts that only suspended instances are declared dead while datagrams are lost and one
/// instance in ten is short of processor time and pauses repeatedly.
fn assert_no_false_deaths(size: usize, seconds: u64, seed: u64) {
    let mut fleet = fleet(size, seed);
    let busy: Vec<usize> = (0..size).filter(|it| it % 10 == 3).collect();
    busy.iter().for_each(|it| fleet.make_busy(*it));
    for _ in 0..seconds {
        fleet.run_for(S);
    }
    assert!(fleet.deaths.is_empty(), "{:?}", fleet.deaths);
    for round in 0..seconds / 10 {
        let suspended = (round as usize * 17 + 5) % size;
        fleet.deaths.clear();
        fleet.suspend(suspended, 3 * S);
        fleet.run_for(3 * S);
        let dead: BTreeSet<_> = fleet.deaths.iter().map(|it| it.1.clone()).collect();
        assert_eq!(dead.into_iter().collect::<Vec<_>>(), [instance_id(suspended)]);
        fleet.deaths.clear();
        fleet.run_until(
            MAX_NOTICE_MS,
            "the suspended instance is a member again",
            Fleet::all_know_all,
        );
        assert!(fleet.deaths.is_empty(), "no other instance is declared dead: {:?}", fleet.deaths);
        fleet.run_for(5 * S);
    }
}

/// Guards against false deaths, which would move sessions and shares of capacity back and forth.
#[test_case(9, 200)]
#[test_case(85, 30)]
#[test_case(9, 600 => ignore ["takes minutes without optimization"])]
#[test_case(85, 600)]
#[test_case(295, 600 => ignore ["takes minutes without optimization"])]
#[test_case(2169, 600 => ignore ["takes minutes without optimization"])]
fn running_instances_are_not_declared_dead(size: usize, seconds: u64) {
    assert_no_false_deaths(size, seconds, 1);
}

/// Guards against slow convergence after a common start, during which instances would compute
/// different homes and shares. With `is_listed`, all instances know all addresses from the registry;
/// otherwise they know only the seeds.
#[test_case(9, true)]
#[test_case(85, true)]
#[test_case(295, true)]
#[test_case(9, false)]
#[test_case(85, false)]
#[test_case(295, false)]
#[test_case(2169, true => ignore ["takes minutes without optimization"])]
fn fleet_started_together_converges_in_time(size: usize, is_listed: bool) {
    let mut fleet = Fleet::new(DATA_CENTRES.min(size / 2), 1);
    fleet.loss_permille = LOSS_PERMILLE;
    fleet.start_together(size, is_listed);
    fleet.run_for(S / 2);
    let elapsed_ms =
        fleet.run_until(MAX_CONVERGENCE_MS, "all instances know all others", Fleet::all_know_all);
    println!(
        "{size} instances, listed {is_listed}: converged {} ms after the start",
        elapsed_ms + 500
    );
}

/// Guards against traffic per instance that grows with the fleet.
///
/// Fleets smaller than these send less, since neighbours on the two rings of a small data centre
/// are often the same.
#[test]
fn traffic_per_instance_does_not_grow_with_the_fleet() {
    let traffic_per_instance = |size: usize| {
        let mut fleet = Fleet::settled(size, DATA_CENTRES, 1);
        let before: (u64, u64, u64) = total_traffic(&fleet);
        fleet.run_for(10 * S);
        let after = total_traffic(&fleet);
        let per_second = |it: u64| it / 10 / size as u64;
        let (sent, bytes) = (per_second(after.0 - before.0), per_second(after.1 - before.1));
        let far = per_second(after.2 - before.2);
        println!(
            "{size} instances: {sent} datagrams, {bytes} bytes, {far} far bytes per second and instance"
        );
        (sent, bytes)
    };
    let (small, large) = (traffic_per_instance(85), traffic_per_instance(295));
    assert!(large.0 * 100 <= small.0 * 110, "datagrams {small:?} {large:?}");
    assert!(large.1 * 100 <= small.1 * 110, "bytes {small:?} {large:?}");
}

fn total_traffic(fleet: &Fleet) -> (u64, u64, u64) {
    let instances = &fleet.instances;
    let sum = |of: fn(&support::Instance) -> u64| instances.iter().map(of).sum();
    (sum(|it| it.datagrams), sum(|it| it.bytes), sum(|it| it.far_bytes))
}

/// Guards against a restarted instance that stays excluded because others still have the record of
/// the dead or leaving process.
#[test]
fn restarted_instance_becomes_member_again() {
    let mut fleet = fleet(85, 1);
    fleet.instances[20].membership.set_leaving(true);
    fleet.run_for(2 * S);
    fleet.kill(20);
    fleet.run_for(3 * S);
    fleet.restart(20);
    fleet.run_until(MAX_NOTICE_MS, "the restarted instance is a member", Fleet::all_know_all);
    // Restart again before any instance detects that it stopped.
    fleet.kill(20);
    fleet.restart(20);
    fleet.run_for(2 * S);
    assert!(fleet.all_know_all());
}

/// Guards against deaths that become younger when they are forwarded, so that they are counted
/// forever, and against started instances that are not informed of them.
#[test]
fn dead_instances_are_counted_for_a_limited_time() {
    let mut fleet = fleet(20, 1);
    (0..12).for_each(|it| fleet.kill(it));
    fleet.run_for(4 * S);
    let started = fleet.start_one();
    fleet.instances[started].membership.add_probe_address("10.1.0.15:7440".parse().unwrap());
    fleet.run_for(S);
    let counted = fleet.instances[started].membership.counted(fleet.boot_now());
    assert_eq!(counted, 21, "it is informed of the dead instances");
    assert!(fleet.is_isolated(15));
    fleet.run_for(13 * S);
    for number in fleet.up() {
        let counted = fleet.instances[number].membership.counted(fleet.boot_now());
        assert_eq!(counted, 9, "only running instances are counted");
        assert!(!fleet.is_isolated(number));
    }
}

/// Guards against two parts of a fleet that stay separate after a partition that lasts longer than
/// dead instances are counted.
#[test]
fn halves_merge_after_a_long_partition() {
    let mut fleet = fleet(40, 1);
    (0..40).for_each(|it| {
        fleet.instances[it].partition = u32::from(fleet.instances[it].data_centre < 2)
    });
    fleet.run_for(40 * S);
    (0..40).for_each(|it| fleet.instances[it].partition = 0);
    fleet.run_until(10_000, "all instances know all others", Fleet::all_know_all);
}

/// Guards against a refutation that waits for the next regular heartbeat: a busy instance may stall again and be
/// declared dead before it.
#[test]
fn refutation_is_sent_before_the_next_regular_heartbeat() {
    let mut fleet = fleet(20, 1);
    let now = fleet.boot_now();
    let address = "10.1.0.4:7440".parse().unwrap();
    let own_record = fleet.instances[7].membership.gossip_for(address, now).from;
    let mut gossip = fleet.instances[4].membership.gossip_for(address, now);
    gossip.updates = vec![MemberRecord { state: MemberState::Suspect, ..own_record }];
    let suspected = &mut fleet.instances[7].membership;
    assert!(suspected.handle_gossip(&gossip, now).has_updates);
    for _ in 0..2 {
        assert!(
            suspected.has_updates(),
            "a round is due at once, twice in case a datagram is lost"
        );
        suspected.begin_round(0, now);
    }
    assert!(!suspected.has_updates());
}
