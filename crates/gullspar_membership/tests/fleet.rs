//! How soon a fleet notices, at sizes from a handful to two thousand instances alike.
//!
//! The larger sizes take minutes without optimization: `cargo test --release -p gullspar_membership -- --ignored`.

mod support;

use std::collections::BTreeSet;

use support::{Fleet, MS, S};
use test_case::test_case;

/// An instance that stops, starts or leaves is known to all within this time, in milliseconds.
const NOTICED_WITHIN: u64 = 1500;

/// An instance behind a cut knows that it is within this time, in milliseconds.
const CUT_WITHIN: u64 = 1000;

/// A fleet whose cut is over, and one that starts together, is whole again within this time, in milliseconds.
const WHOLE_WITHIN: u64 = 3000;

/// Instances of the simulated fleets fail in this many data centres.
const PLACES: usize = 6;

const LOSS_PERMILLE: u64 = 10;

fn fleet(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::settled(size, PLACES.min(size / 2), seed);
    fleet.loss_permille = LOSS_PERMILLE;
    fleet
}

/// Has something happen to a fleet, with three seeds, and sees how soon all know of it.
fn noticed_soon(size: usize, what: &str, happen: impl Fn(&mut Fleet)) {
    for seed in 1..=3 {
        let mut fleet = fleet(size, seed);
        happen(&mut fleet);
        let what = format!("{size} instances, seed {seed}: {what} is known to all");
        let taken = fleet.run_until(NOTICED_WITHIN, &what, Fleet::all_know_all);
        println!("{what} after {taken} ms");
    }
}

/// Symptom: sessions are handed on to a dead instance for seconds, the longer the larger the fleet.
/// Events: an instance stops without a word.
/// Cause: each instance heard each other one by turns, so that silence meant something only after several turns.
#[test_case(9)]
#[test_case(85)]
#[test_case(295)]
#[test_case(2169 => ignore ["takes minutes without optimization"])]
fn a_dead_instance_is_no_member_anywhere_soon(size: usize) {
    noticed_soon(size, "a death", |fleet| {
        let dead = fleet.random.below(size as u64) as usize;
        fleet.kill(dead);
    });
}

#[test_case(9)]
#[test_case(85)]
#[test_case(295)]
#[test_case(2169 => ignore ["takes minutes without optimization"])]
fn an_instance_that_starts_is_a_member_everywhere_soon(size: usize) {
    noticed_soon(size, "a start", |fleet| {
        fleet.start_one();
    });
}

#[test_case(9)]
#[test_case(85)]
#[test_case(295)]
fn an_instance_that_leaves_is_no_member_anywhere_soon(size: usize) {
    let mut fleet = fleet(size, 1);
    fleet.nodes[4].membership.set_leaving(true);
    let nobody_knows = |it: &Fleet| it.up().iter().all(|other| !it.knows(*other, 4));
    fleet.run_until(NOTICED_WITHIN, "a leave is known to all", nobody_knows);
    assert!(fleet.nodes[7].membership.running().any(|it| it.id == support_id(4)), "it still runs");
}

fn support_id(number: usize) -> gullspar_model::InstanceId {
    gullspar_model::InstanceId::new(format!("entry-place-{number}"))
}

/// Symptom: callers of a data centre that is cut off wait 800 ms each to be refused, for seconds.
/// Events: a data centre is cut off from all others.
/// Cause: an instance counted as out of reach only after a silence that grew with the fleet, 12 s with 295.
#[test_case(9)]
#[test_case(85)]
#[test_case(295)]
#[test_case(2169 => ignore ["takes minutes without optimization"])]
fn instances_behind_a_cut_know_it_soon_and_the_others_are_not_misled(size: usize) {
    for seed in 1..=3 {
        let mut fleet = fleet(size, seed);
        let place = seed as usize % fleet.nodes[size - 1].place.max(1);
        let behind: Vec<usize> = (0..size).filter(|it| fleet.nodes[*it].place == place).collect();
        let others: Vec<usize> = (0..size).filter(|it| fleet.nodes[*it].place != place).collect();
        behind.iter().for_each(|it| fleet.nodes[*it].side = 1);
        let all_know = |it: &Fleet| behind.iter().all(|number| it.is_isolated(*number));
        let taken = fleet.run_until(CUT_WITHIN, "all behind the cut know it", all_know);
        println!("{size} instances, seed {seed}: a cut is known behind it after {taken} ms");
        for _ in 0..60 {
            fleet.run_for(100 * MS);
            let misled = others.iter().filter(|it| fleet.is_isolated(**it)).count();
            assert_eq!(misled, 0, "nobody else takes itself for cut off");
            let unaware = behind.iter().filter(|it| !fleet.is_isolated(**it)).count();
            assert_eq!(unaware, 0, "seed {seed}: all behind the cut go on knowing it");
        }
        assert!(others.iter().all(|it| fleet.knows_just(*it, &others)), "those behind it are gone");
        behind.iter().for_each(|it| fleet.nodes[*it].side = 0);
        let taken = fleet.run_until(WHOLE_WITHIN, "the fleet is whole", Fleet::all_know_all);
        assert!(fleet.up().iter().all(|it| !fleet.is_isolated(*it)));
        println!("{size} instances, seed {seed}: whole {taken} ms after the cut");
    }
}

/// Symptom: instances that are cut off together stay ready, or those that are not take themselves out.
/// Events: a third of all instances, of every data centre, is cut off from the others and hears each other.
/// Cause: a handful of contacts is too few to tell this from a few deaths, unless they tell what they hear.
#[test_case(85)]
#[test_case(295)]
#[test_case(2169 => ignore ["takes minutes without optimization"])]
fn a_part_of_every_data_centre_that_is_cut_off_knows_it(size: usize) {
    // Whole thirds, not whole data centres.
    let is_cut_off = |number: usize| (number / PLACES).is_multiple_of(3);
    for seed in 1..=3 {
        let mut fleet = fleet(size, seed);
        for number in 0..size {
            fleet.nodes[number].side = u32::from(is_cut_off(number));
        }
        fleet.run_for(NOTICED_WITHIN * MS);
        let unaware = (0..size).filter(|it| is_cut_off(*it) && !fleet.is_isolated(*it)).count();
        let misled = (0..size).filter(|it| !is_cut_off(*it) && fleet.is_isolated(*it)).count();
        assert_eq!((unaware, misled), (0, 0), "of {size} instances, seed {seed}");
        (0..size).for_each(|it| fleet.nodes[it].side = 0);
        fleet.run_until(WHOLE_WITHIN, "the fleet is whole", Fleet::all_know_all);
    }
}

/// Symptom: instances that work are taken for dead, so that their sessions and shares move back and forth.
/// Events: one datagram in a hundred is lost; one instance in ten has too little processor and stands still again and
/// again; others are suspended for a second and come back.
fn nobody_dies_falsely(size: usize, seconds: u64, seed: u64) {
    let mut fleet = fleet(size, seed);
    let busy: Vec<usize> = (0..size).filter(|it| it % 10 == 3).collect();
    busy.iter().for_each(|it| fleet.make_busy(*it));
    for _ in 0..seconds {
        fleet.run_for(S);
    }
    assert!(fleet.deaths.is_empty(), "{:?}", fleet.deaths);
    for round in 0..seconds / 10 {
        let frozen = (round as usize * 17 + 5) % size;
        fleet.deaths.clear();
        fleet.freeze(frozen, 3 * S);
        fleet.run_for(3 * S);
        let dead: BTreeSet<_> = fleet.deaths.iter().map(|it| it.1.clone()).collect();
        assert_eq!(dead.into_iter().collect::<Vec<_>>(), [support_id(frozen)]);
        fleet.deaths.clear();
        fleet.run_until(NOTICED_WITHIN, "it is back", Fleet::all_know_all);
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
fn nobody_is_taken_for_dead_falsely(size: usize, seconds: u64) {
    nobody_dies_falsely(size, seconds, 1);
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
fn a_fleet_that_starts_together_is_whole_soon(size: usize, listed: bool) {
    let mut fleet = Fleet::new(PLACES.min(size / 2), 1);
    fleet.loss_permille = LOSS_PERMILLE;
    fleet.start_together(size, listed);
    fleet.run_for(S / 2);
    let taken = fleet.run_until(WHOLE_WITHIN, "all know all", Fleet::all_know_all);
    println!("{size} instances, listed {listed}: whole {} ms after the start", taken + 500);
}

/// What an instance spends does not grow with the fleet: a few percent for several times as many.
///
/// In a data centre of a few instances neighbours on its two rings are often the same, so that smaller fleets spend less.
#[test]
fn an_instance_spends_as_much_in_a_large_fleet_as_in_a_small_one() {
    let spent = |size: usize| {
        let mut fleet = Fleet::settled(size, PLACES, 1);
        let before: (u64, u64, u64) = spent_by_all(&fleet);
        fleet.run_for(10 * S);
        let after = spent_by_all(&fleet);
        let each = |it: u64| it / 10 / size as u64;
        let (sent, bytes) = (each(after.0 - before.0), each(after.1 - before.1));
        let far = each(after.2 - before.2);
        println!(
            "{size} instances: {sent} datagrams, {bytes} bytes, {far} far bytes a second each"
        );
        (sent, bytes)
    };
    let (small, large) = (spent(85), spent(295));
    assert!(large.0 * 100 <= small.0 * 110, "datagrams {small:?} {large:?}");
    assert!(large.1 * 100 <= small.1 * 110, "bytes {small:?} {large:?}");
}

fn spent_by_all(fleet: &Fleet) -> (u64, u64, u64) {
    let nodes = &fleet.nodes;
    let sum = |of: fn(&support::Node) -> u64| nodes.iter().map(of).sum();
    (sum(|it| it.datagrams), sum(|it| it.bytes), sum(|it| it.far_bytes))
}

/// Symptom: an instance that is restarted under its name is no member for as long as the old one is believed dead or
/// leaving.
#[test]
fn an_instance_that_is_started_anew_is_a_member_again() {
    let mut fleet = fleet(85, 1);
    fleet.nodes[20].membership.set_leaving(true);
    fleet.run_for(2 * S);
    fleet.kill(20);
    fleet.run_for(3 * S);
    fleet.restart(20);
    fleet.run_until(NOTICED_WITHIN, "it is a member", Fleet::all_know_all);
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
fn the_dead_count_for_a_while_and_not_for_ever() {
    let mut fleet = fleet(20, 1);
    (0..12).for_each(|it| fleet.kill(it));
    fleet.run_for(4 * S);
    let started = fleet.start_one();
    fleet.nodes[started].membership.add_probe_address("10.1.0.15:7440".parse().unwrap());
    fleet.run_for(S);
    let counted = fleet.nodes[started].membership.counted(fleet.boot_now());
    assert_eq!(counted, 21, "it is told of the dead");
    assert!(fleet.is_isolated(15));
    fleet.run_for(13 * S);
    for number in fleet.up() {
        let counted = fleet.nodes[number].membership.counted(fleet.boot_now());
        assert_eq!(counted, 9, "those left are the whole");
        assert!(!fleet.is_isolated(number));
    }
}

/// Two halves that were cut apart for longer than the dead count find together again by themselves.
#[test]
fn halves_that_lost_each_other_for_long_find_together_again() {
    let mut fleet = fleet(40, 1);
    (0..40).for_each(|it| fleet.nodes[it].side = u32::from(fleet.nodes[it].place < 2));
    fleet.run_for(40 * S);
    (0..40).for_each(|it| fleet.nodes[it].side = 0);
    fleet.run_until(10_000, "the fleet is whole", Fleet::all_know_all);
}
