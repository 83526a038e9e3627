//! Rate limits in simulated fleets, with partitions, deaths, restarts, uneven load and changes of the limit.
//!
//! Each simulation checks the rule for every window of time, or counts the operations refused below the limit.

mod support;

use support::{Event, Fleet, Policy, S};
use test_case::test_case;

/// The rule's window, and the relative and absolute excess over the limit that the rule allows.
const WINDOW: u64 = 5 * S;
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;

/// A customer's usual load, as a fraction of its limit.
const USUAL: f64 = 0.625;

/// The load of a hot customer, as a multiple of its usual load.
const HOT: f64 = 7.5;

/// The most operations that ran in any window, as a fraction of what the rule allows.
fn fullest_window(fleet: &Fleet, per_s: u64, burst: u64) -> f64 {
    let allowed = (per_s as f64 * 5.0 + burst as f64) * (1.0 + EXCESS) + SLACK;
    let ran = &fleet.ran;
    let mut first = 0;
    let mut fullest = 0;
    for (last, at) in ran.iter().enumerate() {
        while ran[first] + WINDOW <= *at {
            first += 1;
        }
        fullest = fullest.max(last + 1 - first);
    }
    fullest as f64 / allowed
}

fn refused_percent(fleet: &Fleet) -> f64 {
    100.0 * fleet.refused as f64 / (fleet.refused + fleet.ran.len()).max(1) as f64
}

/// Guards against refusing a customer below its limit, with any distribution of its callers over instances.
#[test_case(9, 9, 200, 1.0; "9 instances")]
#[test_case(68, 32, 200, 1.0; "68 instances, a large customer")]
#[test_case(68, 32, 5, 1.0; "68 instances, a small customer")]
#[test_case(68, 32, 40, 8.0; "68 instances, nearly all at one of them")]
#[test_case(295, 120, 40, 1.0; "295 instances")]
fn a_customer_below_its_limit_is_served(size: usize, homes: usize, per_s: u64, skew: f64) {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(size, homes, seed, Policy::Leased).skewed(skew);
        fleet.set_limit(per_s, per_s);
        fleet.run(20 * S, per_s as f64 * USUAL);
        let refused = refused_percent(&fleet);
        let exactly_refused = 100.0 * fleet.exactly_refused as f64 / (20.0 * per_s as f64 * USUAL);
        assert!(
            refused <= exactly_refused + 0.5,
            "seed {seed}: {refused:.2} percent refused, {exactly_refused:.2} by one exact bucket"
        );
    }
}

/// Guards against running more than the limit, or much less, while a customer sends many times its usual load.
#[test_case(9, 9, 200)]
#[test_case(68, 32, 200)]
#[test_case(68, 32, 5)]
#[test_case(295, 120, 40)]
fn a_hot_customer_is_kept_to_its_limit_and_gets_all_of_it(size: usize, homes: usize, per_s: u64) {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(size, homes, seed, Policy::Leased);
        fleet.set_limit(per_s, per_s);
        fleet.run(10 * S, per_s as f64 * USUAL);
        let before = fleet.ran.len();
        fleet.run(10 * S, per_s as f64 * USUAL * HOT);
        let fullest = fullest_window(&fleet, per_s, per_s);
        assert!(fullest <= 1.0, "seed {seed}: {fullest:.3} of what is allowed");
        let ran = (fleet.ran.len() - before) as f64;
        let permitted = per_s as f64 * 10.0;
        assert!(ran >= 0.9 * permitted, "seed {seed}: only {ran} of {permitted} ran");
    }
}

/// Guards against exceeding the limit when both sides of a partition, or successive owners, grant tokens.
#[test_case(&[(5, Event::Partition { percent: 25 }), (11, Event::Heal)]; "a data centre is partitioned")]
#[test_case(&[(5, Event::KillOwner), (7, Event::KillOwner), (9, Event::KillOwner)]; "owners die one after the other")]
#[test_case(&[(4, Event::Leave(0)), (5, Event::Leave(1)), (6, Event::Leave(2)), (7, Event::Leave(3))]; "instances leave in turn")]
#[test_case(&[(6, Event::PowerLoss)]; "all lose power")]
#[test_case(&[(5, Event::Isolate { percent: 33, with_owner: false })]; "a third is isolated singly")]
#[test_case(&[(5, Event::Isolate { percent: 33, with_owner: true })]; "a third is isolated singly, the owner among them")]
#[test_case(&[(4, Event::Isolate { percent: 33, with_owner: false }), (9, Event::Heal), (12, Event::Isolate { percent: 33, with_owner: true })]; "a third is isolated singly, twice")]
#[test_case(&[(5, Event::Partition { percent: 25 }), (7, Event::KillOwner), (9, Event::Heal), (10, Event::PowerLoss)]; "a partition, a death and a power loss")]
fn a_hot_customer_is_kept_to_its_limit_through_failures(events: &[(u64, Event)]) {
    for (seed, per_s) in (1..=6).flat_map(|seed| [(seed, 5), (seed, 40), (seed, 200)]) {
        // The high load starts at once, or before, at or after the first event.
        for usual_for in [0, 3, 5, 7] {
            let mut fleet = Fleet::new(68, 32, seed, Policy::Leased);
            fleet.set_limit(per_s, per_s);
            fleet.schedule(events);
            fleet.run(usual_for * S, per_s as f64 * USUAL);
            fleet.run((16 - usual_for) * S, per_s as f64 * USUAL * HOT);
            let fullest = fullest_window(&fleet, per_s, per_s);
            assert!(
                fullest <= 1.0,
                "seed {seed}, {per_s} a second: {fullest:.3} of what is allowed"
            );
        }
    }
}

/// Guards against exceeding the limit when instances that are isolated singly grant tokens to themselves, in fleets of
/// any size.
#[test_case(9, 9)]
#[test_case(88, 40)]
#[test_case(984, 120)]
fn a_hot_customer_is_kept_to_its_limit_while_single_instances_are_isolated(
    size: usize,
    homes: usize,
) {
    for (seed, with_owner) in [(1, false), (2, true)] {
        for per_s in [40, 200] {
            let mut fleet = Fleet::new(size, homes, seed, Policy::Leased);
            fleet.set_limit(per_s, per_s);
            let isolate = Event::Isolate { percent: 33, with_owner };
            fleet.schedule(&[(3, isolate), (9, Event::Heal)]);
            fleet.run(13 * S, per_s as f64 * USUAL * HOT);
            let fullest = fullest_window(&fleet, per_s, per_s);
            assert!(
                fullest <= 1.0,
                "seed {seed}, {per_s} a second: {fullest:.3} of what is allowed"
            );
        }
    }
}

/// Guards against exceeding a limit that was lowered shortly before instances are isolated singly, whose tokens and
/// grace period were measured by the higher limit.
#[test_case(false; "other instances are isolated")]
#[test_case(true; "the owner is isolated too")]
fn a_lowered_limit_is_kept_while_single_instances_are_isolated(with_owner: bool) {
    for (seed, before) in (1..=6).flat_map(|seed| [(seed, 20), (seed, 200), (seed, 800)]) {
        let lowered = before / 4;
        let mut fleet = Fleet::new(68, 32, seed, Policy::Leased);
        fleet.set_limit(before, before);
        fleet.run(4 * S, before as f64 * USUAL * HOT);
        fleet.set_limit(lowered, lowered);
        fleet.run(5 * S, before as f64 * USUAL * HOT);
        fleet.ran.clear();
        fleet.schedule(&[(1, Event::Isolate { percent: 33, with_owner }), (7, Event::Heal)]);
        fleet.run(12 * S, before as f64 * USUAL * HOT);
        let fullest = fullest_window(&fleet, lowered, lowered);
        assert!(fullest <= 1.0, "seed {seed}, {lowered} a second: {fullest:.3} of what is allowed");
    }
}

/// Guards against refusing a customer below its limit for long after the owner of its quota is gone.
#[test_case(&[(5, Event::KillOwner)], 12.0; "its owner dies")]
#[test_case(&[(5, Event::Kill { percent: 10 })], 12.0; "a tenth of the instances dies")]
#[test_case(&[(4, Event::Leave(0)), (5, Event::Leave(1)), (6, Event::Leave(2)), (7, Event::Leave(3))], 2.0; "instances leave in turn")]
fn a_customer_below_its_limit_is_rarely_refused_during_failures(
    events: &[(u64, Event)],
    percent: f64,
) {
    for seed in 1..=6 {
        let mut fleet = Fleet::new(68, 32, seed, Policy::Leased);
        fleet.set_limit(100, 100);
        fleet.schedule(events);
        fleet.run(16 * S, 100.0 * USUAL);
        let refused = refused_percent(&fleet);
        assert!(refused <= percent, "seed {seed}: {refused:.2} percent refused");
    }
}

/// Guards against a lowered limit that takes effect late.
#[test]
fn a_much_lower_limit_takes_effect_within_a_window() {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(68, 32, seed, Policy::Leased);
        fleet.set_limit(200, 200);
        fleet.run(8 * S, 125.0);
        fleet.set_limit(20, 20);
        fleet.run(S, 125.0);
        fleet.ran.clear();
        fleet.run(10 * S, 125.0);
        let fullest = fullest_window(&fleet, 20, 20);
        assert!(fullest <= 1.0, "seed {seed}: {fullest:.3} of what is allowed");
    }
}

/// Guards against refusing more operations below the limit than with an even share for each instance.
///
/// Prints the percentages of both policies.
#[test]
fn leasing_refuses_less_below_the_limit_than_even_shares() {
    for (per_s, skew) in [(5, 1.0), (40, 1.0), (200, 1.0), (40, 8.0)] {
        let refused = |policy| {
            let mut fleet = Fleet::new(68, 32, 1, policy).skewed(skew);
            fleet.set_limit(per_s, per_s);
            fleet.run(30 * S, per_s as f64 * USUAL);
            refused_percent(&fleet)
        };
        let (granted, even) = (refused(Policy::Leased), refused(Policy::EvenShares));
        println!(
            "{per_s} a second, skew {skew}: {granted:.2} percent refused, {even:.2} with even shares"
        );
        assert!(granted <= even);
    }
}
