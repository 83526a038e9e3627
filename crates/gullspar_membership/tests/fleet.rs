//! How soon a fleet notices, at sizes from a handful to two thousand instances alike.
//!
//! The larger sizes take minutes without optimization: `cargo test --release -p gullspar_membership -- --ignored`.

mod support;

use std::collections::BTreeSet;

use support::{Fleet, MS, S};
use test_case::test_case;

/// An instance that stops, starts or leaves is known to all within this time, in milliseconds.
const MAX_NOTICE_MS: u64 = 1500;

/// An instance behind a cut knows that it is within this time, in milliseconds.
const MAX_ISOLATION_MS: u64 = 1000;

/// A fleet whose cut is over, and one that starts together, is whole again within this time, in milliseconds.
const MAX_CONVERGENCE_MS: u64 = 3000;

/// Instances of the simulated fleets fail in this many data centres.
const DATA_CENTRES: usize = 6;

const LOSS_PERMILLE: u64 = 10;

fn fleet(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::settled(size, DATA_CENTRES.min(size / 2), seed);
    fleet.loss_permille = LOSS_PERMILLE;
    fleet
}

/// Has something happen to a fleet, with three seeds, and sees how soon all know of it.
fn assert_noticed_in_time(size: usize, what: &str, change: impl Fn(&mut Fleet)) {
    for seed in 1..=3 {
        let mut fleet = fleet(size, seed);
        change(&mut fleet);
        let what = format!("{size} instances, seed {seed}: {what} is known to all");
        let elapsed_ms = fleet.run_until(MAX_NOTICE_MS, &what, Fleet::all_know_all);
        println!("{what} after {elapsed_ms} ms");
    }
}

/// Symptom: sessions are handed on to a dead instance for seconds, the longer the larger the fleet.
/// Events: an instance stops without a word.
/// Cause: each instance heard each other one by turns, so that silence meant something only after several turns.
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

#[test_case(9)]
#[test_case(85)]
#[test_case(295)]
#[test_case(2169 => ignore ["takes minutes without optimization"])]
fn started_instance_becomes_member_everywhere_in_time(size: usize) {
    assert_noticed_in_time(size, "a start", |fleet| {
        fleet.start_one();
    });
}

#[test_case(9)]
#[test_case(85)]
#[test_case(295)]
fn leaving_instance_is_removed_everywhere_in_time(size: usize) {
    let mut fleet = fleet(size, 1);
    fleet.instances[4].membership.set_leaving(true);
    let is_unknown_to_all = |it: &Fleet| it.up().iter().all(|other| !it.has_member(*other, 4));
    fleet.run_until(MAX_NOTICE_MS, "a leave is known to all", is_unknown_to_all);
    assert!(
        fleet.instances[7].membership.running().any(|it| it.id == instance_id(4)),
        "it still runs"
    );
}

fn instance_id(number: usize) -> gullspar_model::InstanceId {
    gullspar_model::InstanceId::new(format!("entry-place-{number}"))
}

/// Symptom: callers of a data centre that is cut off wait 800 ms each to be refused, for seconds.
/// Events: a data centre is cut off from all others.
/// Cause: an instance counted as out of reach only after a silence that grew with the fleet, 12 s with 295.
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
        partitioned.iter().for_each(|it| fleet.instances[*it].side = 1);
        let all_isolated = |it: &Fleet| partitioned.iter().all(|number| it.is_isolated(*number));
        let elapsed_ms =
            fleet.run_until(MAX_ISOLATION_MS, "all behind the cut know it", all_isolated);
        println!("{size} instances, seed {seed}: a cut is known behind it after {elapsed_ms} ms");
        for _ in 0..60 {
            fleet.run_for(100 * MS);
            let falsely_isolated = others.iter().filter(|it| fleet.is_isolated(**it)).count();
            assert_eq!(falsely_isolated, 0, "nobody else takes itself for cut off");
            let unaware = partitioned.iter().filter(|it| !fleet.is_isolated(**it)).count();
            assert_eq!(unaware, 0, "seed {seed}: all behind the cut go on knowing it");
        }
        assert!(
            others.iter().all(|it| fleet.knows_exactly(*it, &others)),
            "those behind it are gone"
        );
        partitioned.iter().for_each(|it| fleet.instances[*it].side = 0);
        let elapsed_ms =
            fleet.run_until(MAX_CONVERGENCE_MS, "the fleet is whole", Fleet::all_know_all);
        assert!(fleet.up().iter().all(|it| !fleet.is_isolated(*it)));
        println!("{size} instances, seed {seed}: whole {elapsed_ms} ms after the cut");
    }
}

/// Symptom: instances that are cut off together stay ready, or those that are not take themselves out.
/// Events: a third of all instances, of every data centre, is cut off from the others and hears each other.
/// Cause: a handful of contacts is too few to tell this from a few deaths, unless they tell what they hear.
#[test_case(85)]
#[test_case(295)]
#[test_case(2169 => ignore ["takes minutes without optimization"])]
fn partitioned_part_of_every_data_centre_becomes_isolated(size: usize) {
    // Whole thirds, not whole data centres.
    let is_partitioned = |number: usize| (number / DATA_CENTRES).is_multiple_of(3);
    for seed in 1..=3 {
        let mut fleet = fleet(size, seed);
        for number in 0..size {
            fleet.instances[number].side = u32::from(is_partitioned(number));
        }
        fleet.run_for(MAX_NOTICE_MS * MS);
        let unaware = (0..size).filter(|it| is_partitioned(*it) && !fleet.is_isolated(*it)).count();
        let falsely_isolated =
            (0..size).filter(|it| !is_partitioned(*it) && fleet.is_isolated(*it)).count();
        assert_eq!((unaware, falsely_isolated), (0, 0), "of {size} instances, seed {seed}");
        (0..size).for_each(|it| fleet.instances[it].side = 0);
        fleet.run_until(MAX_CONVERGENCE_MS, "the fleet is whole", Fleet::all_know_all);
    }
}

/// Symptom: instances that work are taken for dead, so that their sessions and shares move back and forth.
/// Events: one datagram in a hundred is lost; one instance in ten has too little processor and stands still again and
/// again; others are suspended for a second and come back.
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
        fleet.run_until(MAX_NOTICE_MS, "it is back", Fleet::all_know_all);
        assert!(fleet.deaths.is_empty(), "it took nobody else for dead: {:?}", fleet.deaths);
        fleet.run_for(5 * S);
    }
}

#[test_case(9, 200)]
#[test_case(85, 30)]
#[test_case(9, 600 => ignore ["takes minutes without optimization"])]
#[test_case(85, 600)]
#[test_case(295, 600 => ignore ["takes minutes without optimization"])]
#[test_case(2169, 600 => ignore ["takes minutes without optimization"])]
fn running_instances_are_not_declared_dead(size: usize, seconds: u64) {
    assert_no_false_deaths(size, seconds, 1);
}

/// Symptom: after a power loss of all, instances see different fleets for seconds, and so different homes and shares.
/// Events: all start within 0.3 s, and know from the registry where each may be; or, at the very first start, three
/// addresses only.
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
    let elapsed_ms = fleet.run_until(MAX_CONVERGENCE_MS, "all know all", Fleet::all_know_all);
    println!("{size} instances, listed {is_listed}: whole {} ms after the start", elapsed_ms + 500);
}

/// What an instance spends does not grow with the fleet: a few percent for several times as many.
///
/// In a data centre of a few instances neighbours on its two rings are often the same, so that smaller fleets spend less.
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
            "{size} instances: {sent} datagrams, {bytes} bytes, {far} far bytes a second each"
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

/// Symptom: an instance that is restarted under its name is no member for as long as the old one is believed dead or
/// leaving.
#[test]
fn restarted_instance_becomes_member_again() {
    let mut fleet = fleet(85, 1);
    fleet.instances[20].membership.set_leaving(true);
    fleet.run_for(2 * S);
    fleet.kill(20);
    fleet.run_for(3 * S);
    fleet.restart(20);
    fleet.run_until(MAX_NOTICE_MS, "it is a member", Fleet::all_know_all);
    // Once more, before anybody noticed that it was gone.
    fleet.kill(20);
    fleet.restart(20);
    fleet.run_for(2 * S);
    assert!(fleet.all_know_all());
}

/// Symptom: an instance behind a cut takes its side for the whole some seconds early, or for ever not.
/// Events: most instances die for good; those left tell each other of the deaths again and again, and one starts anew.
/// Cause: a death that is passed on must keep its age, and be told to one that has just started.
#[test]
fn dead_instances_are_counted_for_a_limited_time() {
    let mut fleet = fleet(20, 1);
    (0..12).for_each(|it| fleet.kill(it));
    fleet.run_for(4 * S);
    let started = fleet.start_one();
    fleet.instances[started].membership.add_probe_address("10.1.0.15:7440".parse().unwrap());
    fleet.run_for(S);
    let counted = fleet.instances[started].membership.counted(fleet.boot_now());
    assert_eq!(counted, 21, "it is told of the dead");
    assert!(fleet.is_isolated(15));
    fleet.run_for(13 * S);
    for number in fleet.up() {
        let counted = fleet.instances[number].membership.counted(fleet.boot_now());
        assert_eq!(counted, 9, "those left are the whole");
        assert!(!fleet.is_isolated(number));
    }
}

/// Two halves that were cut apart for longer than the dead count find together again by themselves.
#[test]
fn halves_merge_after_a_long_partition() {
    let mut fleet = fleet(40, 1);
    (0..40)
        .for_each(|it| fleet.instances[it].side = u32::from(fleet.instances[it].data_centre < 2));
    fleet.run_for(40 * S);
    (0..40).for_each(|it| fleet.instances[it].side = 0);
    fleet.run_until(10_000, "the fleet is whole", Fleet::all_know_all);
}
