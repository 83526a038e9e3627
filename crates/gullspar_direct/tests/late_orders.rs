//! Orders of promotions that get no answer and are carried out seconds later, in synchronous groups.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::rc::Rc;

use gullspar_direct::Proxy;
use support::{
    FAILOVER_TIMEOUT_MS, Fault, LATEST, Load, World, pause, run, synchronous_catalogue, wait_until,
};
use test_case::test_case;

/// How late an order is carried out, in milliseconds.
const ORDER_DELAY_MS: u64 = 3000;

/// How late it is carried out if another instance must make it void first, in milliseconds. Covers the time until the
/// holder of the claim counts as stopped.
const LONG_ORDER_DELAY_MS: u64 = 6000;

/// The replica that the first order names, as its index.
fn ordered_replica(world: &World) -> usize {
    if world.promoter.orders()[0].member == "m1".into() { 1 } else { 2 }
}

async fn wait_for_order(world: &World) {
    wait_until(FAILOVER_TIMEOUT_MS, "a promotion is ordered", || {
        !world.promoter.orders().is_empty()
    })
    .await;
}

/// Makes the leader fail until its replacement by the third member is ordered; the order is carried out `delay_ms` later.
/// From then on the third member receives nothing.
async fn order_late_promotion(world: &World, delay_ms: u64) {
    world.promoter.delay_orders(u32::MAX, delay_ms);
    world.group.inject_fault(0, Fault::Unresponsive);
    wait_for_order(world).await;
    assert_eq!(world.promoter.orders()[0].member, "m2".into());
    world.group.inject_fault(2, Fault::ReplicationStopped);
    world.group.clear_faults(0);
}

/// The instance that ordered the first promotion.
fn holder_number(world: &World) -> u16 {
    let holder = world.promoter.orders()[0].holder.clone();
    (1..=3).find(|it| support::member(*it).id == holder).unwrap()
}

/// Guards against acknowledged commits that a late order undoes although its leader has long been back, and against a
/// leader that isn't replaced any more after it was ordered itself.
#[test]
fn an_order_is_made_void_once_the_leader_is_back() {
    run(async {
        let world = World::new();
        let proxies = world.synchronous_instances(3).await;
        let load = Load::start(&world, &proxies, 0, 2).await;
        order_late_promotion(&world, ORDER_DELAY_MS).await;
        pause(ORDER_DELAY_MS + 500).await;
        assert_eq!(world.promoter.late_orders(), []);
        assert_eq!(world.group.leader(), Some("m0".into()));
        let to_present = world.promoter.orders().into_iter().filter(|it| it.member == "m0".into());
        assert_eq!(to_present.count(), 1, "{:?}", world.promoter.orders());
        world.group.clear_faults(2);
        world.promoter.delay_orders(0, 0);
        world.group.inject_fault(0, Fault::Unresponsive);
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
        assert!(load.stop_and_check().await > 100);
    });
}

/// Guards against a late order to replace a leader that was leaving and stays.
#[test]
fn the_order_to_replace_a_leader_that_no_longer_leaves_is_made_void() {
    run(async {
        let world = World::new();
        let proxies = world.synchronous_instances(3).await;
        let load = Load::start(&world, &proxies, 0, 2).await;
        let announce =
            |revision| proxies.iter().for_each(|it| world.apply_target_list(it, revision));
        world.promoter.delay_orders(u32::MAX, ORDER_DELAY_MS);
        world.group.mark_leaving(0);
        announce(2);
        wait_for_order(&world).await;
        let ordered = ordered_replica(&world);
        world.group.inject_fault(ordered, Fault::ReplicationStopped);
        world.group.cancel_leaving(0);
        announce(3);
        pause(ORDER_DELAY_MS + 500).await;
        assert_eq!(world.promoter.late_orders(), []);
        assert!(load.stop_and_check().await > 100);
    });
}

/// Guards against a late order of a transfer whose leader has recovered.
#[test]
fn the_order_of_a_transfer_that_is_no_longer_needed_is_made_void() {
    run(async {
        let world = World::new();
        let load = world.loaded_synchronous_instances().await;
        world.promoter.delay_orders(u32::MAX, LONG_ORDER_DELAY_MS);
        [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::AppliesLate));
        wait_until(2 * FAILOVER_TIMEOUT_MS, "a transfer is ordered", || {
            !world.promoter.orders().is_empty()
        })
        .await;
        let ordered = ordered_replica(&world);
        [1, 2].into_iter().for_each(|it| world.group.clear_faults(it));
        world.group.inject_fault(ordered, Fault::ReplicationStopped);
        pause(LONG_ORDER_DELAY_MS + 500).await;
        assert_eq!(world.promoter.late_orders(), []);
        assert_eq!(world.group.leader(), Some("m0".into()));
        assert!(load.stop_and_check().await > 100);
    });
}

/// Guards against commits that are lost because the instance that gave an order stops before it makes it void.
#[test]
fn the_order_of_an_instance_that_has_stopped_is_made_void_by_another() {
    run(async {
        let world = World::new();
        let proxies = world.synchronous_instances(3).await;
        let load = Load::start(&world, &proxies, 0, 2).await;
        world.promoter.delay_orders(u32::MAX, LONG_ORDER_DELAY_MS);
        world.group.inject_fault(0, Fault::Unresponsive);
        wait_for_order(&world).await;
        let holder = holder_number(&world);
        world.network.silence(holder);
        world.claims.make_unavailable_to(holder);
        world.group.inject_fault(2, Fault::ReplicationStopped);
        world.group.clear_faults(0);
        pause(LONG_ORDER_DELAY_MS + 500).await;
        assert_eq!(world.promoter.late_orders(), []);
        world.network.heal();
        assert!(load.stop_and_check().await > 100);
    });
}

/// Guards against acknowledging what the ordered member lacks while the order can't be made void, and against writes that
/// are not confirmed any more once it is.
#[test]
fn without_the_store_commits_wait_for_all_members() {
    run(async {
        let world = World::new();
        let proxies = world.synchronous_instances(3).await;
        world.promoter.delay_orders(u32::MAX, ORDER_DELAY_MS);
        world.group.inject_fault(0, Fault::Unresponsive);
        wait_for_order(&world).await;
        world.claims.unavailable.set(true);
        world.group.inject_fault(2, Fault::ReplicationStopped);
        world.group.clear_faults(0);
        pause(500).await;
        let mut acknowledged = Vec::new();
        while world.promoter.late_orders().is_empty() {
            for (index, proxy) in proxies.iter().enumerate() {
                let item = format!("slot-{index}-{}", acknowledged.len());
                let caller = world.caller(proxy, LATEST).await;
                if caller.execute(&format!("WRITE {item} mine")).await.result.is_ok() {
                    acknowledged.push(item);
                }
            }
            pause(20).await;
        }
        acknowledged.retain(|it| world.group.value(it).is_none());
        assert!(acknowledged.is_empty(), "acknowledged and lost: {acknowledged:?}");
        world.claims.unavailable.set(false);
        pause(1500).await;
        world.caller(&proxies[0], LATEST).await.execute_ok("WRITE slot mine").await;
    });
}

/// Guards against an instance that starts while an order may still be carried out and knows nothing of it.
#[test]
fn an_instance_that_starts_learns_of_an_order_from_the_store() {
    run(async {
        let world = World::new();
        let proxies = world.synchronous_instances(3).await;
        world.promoter.delay_all_orders(LONG_ORDER_DELAY_MS);
        world.group.inject_fault(0, Fault::Unresponsive);
        wait_for_order(&world).await;
        // The others tell it nothing.
        (1..=3).for_each(|it| world.network.block_one_way(it, 4));
        world.group.inject_fault(2, Fault::ReplicationStopped);
        world.group.clear_faults(0);
        let late = world.instance_with_catalogue(4, synchronous_catalogue(1));
        world.wait_for_leader(&late).await;
        assert_eq!(write(&world, &late).await, None, "a commit that the ordered member lacks");
        assert_eq!(proxies.len(), 3);
    });
}

/// Guards against an order that takes effect after a later one was answered: a repetition of the later one, carried out late,
/// would replace the leader again.
#[test]
fn a_leader_that_the_newest_order_does_not_name_is_ordered() {
    run(async {
        let world = World::new();
        let _proxies = world.synchronous_instances(3).await;
        world.group.inject_fault(0, Fault::Unresponsive);
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
        world.group.clear_faults(0);
        pause(500).await;
        let ordered = world.group.leader().unwrap();
        let other = if ordered == "m1".into() { "m2" } else { "m1" };
        world.group.promote(&other.into());
        wait_until(FAILOVER_TIMEOUT_MS, "the present leader is ordered", || {
            world.promoter.orders().last().is_some_and(|it| it.member == other.into())
        })
        .await;
        pause(1000).await;
        assert_eq!(world.promoter.orders().len(), 2, "{:?}", world.promoter.orders());
        assert_eq!(world.group.leader(), Some(other.into()));
    });
}

/// Guards against holding back commits of a group that was never claimed, or whose last promotion is complete.
#[test_case(false; "never claimed")]
#[test_case(true; "after a promotion")]
fn commits_of_a_settled_group_need_one_replica(promoted: bool) {
    run(async {
        let world = World::new();
        let proxies = world.synchronous_instances(3).await;
        if promoted {
            world.group.inject_fault(0, Fault::Unresponsive);
            world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
            world.group.clear_faults(0);
            pause(500).await;
            assert_eq!(world.promoter.orders().len(), 1);
        }
        let last = if world.group.leader() == Some("m2".into()) { 1 } else { 2 };
        world.group.inject_fault(last, Fault::ReplicationStopped);
        for proxy in &proxies {
            assert!(write(&world, proxy).await.is_some());
        }
    });
}

/// Writes through an instance; `None` if the write is not acknowledged.
async fn write(world: &World, proxy: &Rc<Proxy>) -> Option<()> {
    let caller = world.caller(proxy, LATEST).await;
    caller.execute("WRITE slot mine").await.result.ok().map(|_| ())
}
