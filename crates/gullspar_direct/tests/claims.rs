//! Who promotes, by the claims in the store and with orders that get lost.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::collections::BTreeSet;

use gullspar_direct::Claim;
use gullspar_model::Term;
use support::{
    CLAIM_LEASE, FAILOVER_TIMEOUT_MS, Fault, LATEST, World, leader_of, pause, run, wait_until,
};

/// How often a promotion is ordered with one token while no answer comes.
const ORDERS_IN_A_ROW: u32 = 4;

/// Symptom: a group changes its leader three times within half a second, and two instances promote in
/// turn.
/// Events: one instance orders a promotion, which takes a while to show; the turns of the next instances
/// come meanwhile, they find the claim of the first, replace it and promote another member.
/// Cause: a claim that had just been made did not keep others from claiming.
#[test]
fn instances_do_not_promote_in_turn() {
    run(async {
        let world = World::new();
        world.promoter.duration_ms.set(1200);
        let _proxies = world.instances(5).await;
        world.group.inject_fault(0, Fault::Unresponsive);
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
        pause(500).await;
        let holders: BTreeSet<_> =
            world.promoter.orders().into_iter().map(|it| it.holder).collect();
        assert_eq!(holders.len(), 1, "{:?}", world.promoter.orders());
    });
}

/// Symptom: a promotion is ordered with a token that belongs to nobody, or never.
/// Events: the store makes the claim and its answer is lost.
/// Cause: the claim was neither read back nor made anew.
#[test]
fn a_claim_whose_answer_is_lost_is_read_back() {
    run(async {
        let world = World::new();
        let _proxies = world.instances(2).await;
        world.claims.loses_answers.set(true);
        world.group.inject_fault(0, Fault::Unresponsive);
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
        assert_eq!(world.promoter.orders().len(), 1);
    });
}

/// Symptom: a group stays without a leader although the platform is there again.
/// Events: an order gets no answer and is never carried out.
/// Cause: an unanswered order was taken for a promotion under way, for ever.
#[test]
fn an_order_that_is_lost_is_given_again_with_a_higher_token() {
    run(async {
        let world = World::new();
        let _proxies = world.instances(2).await;
        world.promoter.orders_to_ignore.set(ORDERS_IN_A_ROW);
        world.group.inject_fault(0, Fault::Unresponsive);
        world.wait_for_new_leader("m0", 2 * FAILOVER_TIMEOUT_MS).await;
        let orders = world.promoter.orders();
        let (last, lost) = orders.split_last().unwrap();
        assert!(lost.iter().all(|it| it.token < last.token), "{orders:?}");
    });
}

/// Symptom: a group has no leader for 2.7 s longer than a promotion takes.
/// Events: the order gets no answer; whether it is carried out can't be told.
/// Cause: it was waited for as long as one that was answered takes to show.
#[test]
fn an_order_without_an_answer_is_given_again_at_once() {
    run(async {
        let world = World::new();
        let _proxies = world.instances(2).await;
        world.promoter.orders_to_ignore.set(ORDERS_IN_A_ROW - 1);
        world.group.inject_fault(0, Fault::Unresponsive);
        wait_until(FAILOVER_TIMEOUT_MS, "a promotion is ordered", || {
            !world.promoter.orders().is_empty()
        })
        .await;
        world.wait_for_new_leader("m0", 600).await;
        let orders = world.promoter.orders();
        assert_eq!(orders.len(), ORDERS_IN_A_ROW as usize);
        assert!(orders.iter().all(|it| *it == orders[0]), "{orders:?}");
    });
}

/// While the store is away nobody is promoted, and a leader that comes back is used at once.
#[test]
fn without_the_store_a_leader_is_waited_for() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        world.claims.unavailable.set(true);
        world.group.inject_fault(0, Fault::Unresponsive);
        pause(2000).await;
        assert_eq!(world.promoter.orders(), []);
        world.group.clear_faults(0);
        wait_until(1000, "it is usable", || leader_of(&proxies[0]) == Some("m0".into())).await;
        pause(200).await;
        world.caller(&proxies[0], LATEST).await.execute_ok("WRITE slot mine").await;
    });
}

/// Symptom: an instance that starts promotes over one that is in the middle of it.
/// Events: the claim in the store is of an instance that lives, and was made just now.
/// Cause: only claims that were heard of before were respected.
#[test]
fn a_claim_first_seen_in_the_store_is_respected_while_its_holder_lives() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        let other = proxies[1].groups().len();
        assert_eq!(other, 1);
        world.claims.put(Claim {
            holder: "instance-2".into(),
            member: "m1".into(),
            nonce: "made by hand".to_owned(),
            over_term: Term(0),
        });
        // Only instance 1 sees the leader dark; instance 2 is silent about it, and they are two.
        world.group.inject_fault(0, Fault::UnresponsiveTo(1));
        pause(1000).await;
        let by_one =
            world.promoter.orders().into_iter().filter(|it| it.holder == "instance-1".into());
        assert_eq!(by_one.count(), 0);
    });
}

/// Symptom: a group stays without a leader for ever.
/// Events: another writer puts something into the store where the group's claim belongs; the leader fails.
/// Cause: what was no claim could neither be read nor claimed over.
#[test]
fn what_is_no_claim_is_claimed_over() {
    run(async {
        let world = World::new();
        let garbage = world.claims.put_invalid();
        let _proxies = world.instances(2).await;
        world.group.inject_fault(0, Fault::Unresponsive);
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
        assert!(world.promoter.orders()[0].token > garbage);
    });
}

/// Symptom: statements reach a target seven seconds after it said that it leaves, although three instances of
/// nine could promote another leader all the time.
/// Events: an instance promotes; long after, its leader leaves while the store answers that instance no more; it
/// tries in vain; the others find its claim, and wait for it.
/// Cause: whoever read the claim took its holder for one that had just acted, so that its time alone began
/// anew with every look and never ended while it lived.
/// Evidence: the claim was 16 s old, no instance that reached the store logged a try, and the promotion was ordered by
/// the holder itself, 0.8 s after the store answered it again and 6.2 s after the announcement.
#[test]
fn a_holder_that_the_store_turns_away_is_not_waited_for() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        let leave = |member: usize, revision: u64| {
            world.group.mark_leaving(member);
            proxies.iter().for_each(|it| world.apply_target_list(it, revision));
        };
        leave(0, 2);
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
        let second = world.group.leader().unwrap();
        let holder = world.claims.holder().unwrap();
        let number = (1..=3).find(|it| support::member(*it).id == holder).unwrap();
        world.claims.make_unavailable_to(number);
        pause(CLAIM_LEASE.as_millis() as u64).await;
        leave(if second == "m1".into() { 1 } else { 2 }, 3);
        world.wait_for_new_leader(second.as_str(), FAILOVER_TIMEOUT_MS).await;
    });
}
