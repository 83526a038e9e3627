//! Which instance orders a promotion, decided by claims in the store, also when orders or answers are lost.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::collections::BTreeSet;

use gullspar_direct::Claim;
use gullspar_model::Term;
use support::{
    CLAIM_LEASE, FAILOVER_TIMEOUT_MS, Fault, LATEST, World, leader_of, pause, run, wait_until,
};

/// Number of times that an unanswered order is sent with the same token.
const ORDERS_PER_TOKEN: u32 = 4;

/// Guards against several instances promoting one after another: a claim made a moment ago must keep the others from
/// claiming until its promotion takes effect.
#[test]
fn a_recent_claim_keeps_other_instances_from_promoting() {
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

/// Guards against a promotion that is ordered with a token that belongs to no claim, or never ordered, after the store
/// made the claim and its answer was lost.
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

/// Guards against a group that stays without a leader because an order that was never carried out counts as a
/// promotion in progress forever.
#[test]
fn a_lost_order_is_repeated_with_a_higher_token() {
    run(async {
        let world = World::new();
        let _proxies = world.instances(2).await;
        world.promoter.orders_to_ignore.set(ORDERS_PER_TOKEN);
        world.group.inject_fault(0, Fault::Unresponsive);
        world.wait_for_new_leader("m0", 2 * FAILOVER_TIMEOUT_MS).await;
        let orders = world.promoter.orders();
        let (last, lost) = orders.split_last().unwrap();
        assert!(lost.iter().all(|it| it.token < last.token), "{orders:?}");
    });
}

/// Guards against repeating an unanswered order only after the time that an accepted one takes to have an effect.
#[test]
fn an_unanswered_order_is_repeated_at_once() {
    run(async {
        let world = World::new();
        let _proxies = world.instances(2).await;
        world.promoter.orders_to_ignore.set(ORDERS_PER_TOKEN - 1);
        world.group.inject_fault(0, Fault::Unresponsive);
        wait_until(FAILOVER_TIMEOUT_MS, "a promotion is ordered", || {
            !world.promoter.orders().is_empty()
        })
        .await;
        world.wait_for_new_leader("m0", 600).await;
        let orders = world.promoter.orders();
        assert_eq!(orders.len(), ORDERS_PER_TOKEN as usize);
        assert!(orders.iter().all(|it| *it == orders[0]), "{orders:?}");
    });
}

/// Guards against a promotion while the store is unavailable, and against not using a leader that recovers meanwhile.
#[test]
fn without_the_store_no_member_is_promoted_and_the_leader_is_awaited() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        world.claims.unavailable.set(true);
        world.group.inject_fault(0, Fault::Unresponsive);
        pause(2000).await;
        assert_eq!(world.promoter.orders(), []);
        world.group.clear_faults(0);
        wait_until(1000, "the leader is used again", || {
            leader_of(&proxies[0]) == Some("m0".into())
        })
        .await;
        pause(200).await;
        world.caller(&proxies[0], LATEST).await.execute_ok("WRITE slot mine").await;
    });
}

/// Guards against an instance that overrides the recent claim of a live instance because it first sees that claim in
/// the store.
#[test]
fn a_claim_first_seen_in_the_store_is_respected_while_its_holder_is_alive() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        let group_count = proxies[1].groups().len();
        assert_eq!(group_count, 1);
        world.claims.put(Claim {
            holder: "instance-2".into(),
            member: "m1".into(),
            nonce: "made by hand".to_owned(),
            over_term: Term(0),
        });
        // The leader is unresponsive only to instance 1, which is half of the instances.
        world.group.inject_fault(0, Fault::UnresponsiveTo(1));
        pause(1000).await;
        let by_first =
            world.promoter.orders().into_iter().filter(|it| it.holder == "instance-1".into());
        assert_eq!(by_first.count(), 0);
    });
}

/// Guards against a group that stays without a leader because the store holds an invalid value in place of its claim.
#[test]
fn an_invalid_claim_in_the_store_is_replaced() {
    run(async {
        let world = World::new();
        let garbage = world.claims.put_invalid();
        let _proxies = world.instances(2).await;
        world.group.inject_fault(0, Fault::Unresponsive);
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
        assert!(world.promoter.orders()[0].token > garbage);
    });
}

/// Guards against waiting for the holder of an old claim although the store refuses this holder's calls: reading the
/// claim again must not restart the time for which only its holder may promote.
#[test]
fn a_holder_that_the_store_refuses_is_not_awaited() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        let announce_leaving = |member: usize, revision: u64| {
            world.group.mark_leaving(member);
            proxies.iter().for_each(|it| world.apply_target_list(it, revision));
        };
        announce_leaving(0, 2);
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
        let second_leader = world.group.leader().unwrap();
        let holder = world.claims.holder().unwrap();
        let holder_number = (1..=3).find(|it| support::member(*it).id == holder).unwrap();
        world.claims.make_unavailable_to(holder_number);
        pause(CLAIM_LEASE.as_millis() as u64).await;
        announce_leaving(if second_leader == "m1".into() { 1 } else { 2 }, 3);
        world.wait_for_new_leader(second_leader.as_str(), FAILOVER_TIMEOUT_MS).await;
    });
}
