//! Transfers of the leader role from a leader that answers.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::collections::BTreeSet;
use std::rc::Rc;

use futures::future;
use gullspar_direct::Proxy;
use support::{Fault, LATEST, Load, World, pause, run, wait_until};
use test_case::test_case;

/// Readers and writers at each instance that overload a leader without replicas, and no group that has them.
const READERS: usize = 14;
const WRITERS: usize = 3;

/// More readers at each instance. With them, a leader without replicas loses so much that a transfer is clearly worth its
/// cost; with [`READERS`] alone, it loses a quarter, near the least that is worth it.
const ADDITIONAL_READERS: usize = 6;

/// Duration of a statement, in milliseconds.
const STATEMENT_MS: u64 = 40;

/// Time until commits are received, in milliseconds. Long enough that several are under way when a promotion takes effect.
const RECEIVE_LAG_MS: u64 = 150;

/// Time within which a leader that is left alone is replaced: 1 s until replicas count as lagging, 0.4 s until homes
/// have reported it, 0.5 s in which they agree, about 1 s of losses, the search, the claim, and the promotion.
const TRANSFER_TIMEOUT_MS: u64 = 6000;

/// Time after which a group whose leader must stay has not been transferred.
const NO_TRANSFER_MS: u64 = 5000;

/// A world with three instances, of which the leader has led for long enough to be replaced.
async fn loaded_world(writers: usize) -> (World, Vec<Rc<Proxy>>, Load) {
    let world = World::new();
    world.group.statement_duration_ms.set(STATEMENT_MS);
    world.group.receive_lag_ms.set(RECEIVE_LAG_MS);
    world.promoter.duration_ms.set(600);
    let proxies = world.instances(3).await;
    pause(1500).await;
    let load = Load::start(&world, &proxies, READERS, writers).await;
    pause(500).await;
    (world, proxies, load)
}

/// Leaves the work of all members to the leader, and adds to it.
async fn overload_leader(world: &World, proxies: &[Rc<Proxy>]) -> Load {
    delay_replicas(world);
    Load::start(world, proxies, ADDITIONAL_READERS, 0).await
}

fn delay_replicas(world: &World) {
    [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::AppliesLate));
}

fn restore_replicas(world: &World) {
    [1, 2].into_iter().for_each(|it| world.group.clear_faults(it));
}

/// Guards against a leader that sheds the load of all members while its replicas have received everything, against
/// losing an acknowledged commit by the transfer, and against replicas that refuse to tell what they have received.
#[test_case(0; "queries are answered")]
#[test_case(12; "the first queries are refused")]
fn a_group_whose_replicas_apply_late_is_transferred(queries_to_refuse: u32) {
    run(async {
        let (world, proxies, load) = loaded_world(WRITERS).await;
        world.group.queries_to_refuse.set(queries_to_refuse);
        let additional = overload_leader(&world, &proxies).await;
        world.wait_for_new_leader("m0", TRANSFER_TIMEOUT_MS).await;
        let ran_before = world.group.executed().len();
        // Two members can't serve the additional readers as well.
        future::join(additional.stop(), pause(1000)).await;
        let ran = world.group.executed();
        let by_old = ran[ran_before..].iter().filter(|it| it.member == "m0".into());
        assert!(by_old.count() > 20, "the old leader serves reads");
        let failures_before = load.failures();
        pause(1000).await;
        let failures = load.failures() - failures_before;
        assert!(failures < 10, "{failures} failures in the second second");
        assert_eq!(world.promoter.orders().len(), 1, "{:?}", world.promoter.orders());
        assert!(load.stop_and_check().await > 100);
    });
}

/// Guards against transferring to a replica that lacks commits, and against claims that lead nowhere.
#[test]
fn a_group_whose_replicas_have_received_nothing_stays() {
    run(async {
        let (world, _proxies, load) = loaded_world(WRITERS).await;
        [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::ReplicationStopped));
        pause(NO_TRANSFER_MS).await;
        assert_eq!(world.promoter.orders(), []);
        assert_eq!(world.claims.holder(), None);
        load.stop_and_check().await;
    });
}

/// Guards against an order that is given although replicas have caught up between the claim and the order.
#[test]
fn a_leader_that_recovers_before_the_order_stays() {
    run(async {
        let (world, proxies, load) = loaded_world(WRITERS).await;
        world.claims.answer_delay_ms.set(600);
        let _additional = overload_leader(&world, &proxies).await;
        wait_until(TRANSFER_TIMEOUT_MS, "the group is claimed", || world.claims.holder().is_some())
            .await;
        restore_replicas(&world);
        pause(2500).await;
        assert_eq!(world.promoter.orders(), []);
        load.stop_and_check().await;
    });
}

/// Guards against two transfers by instances that read the claim at the same time.
#[test]
fn of_two_instances_that_act_at_once_one_transfers() {
    run(async {
        let (world, proxies, load) = loaded_world(WRITERS).await;
        // An instance begins 250 ms after the one ranked before it, so all of them read the claim before one is made.
        world.claims.answer_delay_ms.set(700);
        let _additional = overload_leader(&world, &proxies).await;
        world.wait_for_new_leader("m0", 2 * TRANSFER_TIMEOUT_MS).await;
        pause(1500).await;
        let orders = world.promoter.orders();
        let holders: BTreeSet<_> = orders.iter().map(|it| (&it.holder, it.token)).collect();
        assert_eq!(holders.len(), 1, "{orders:?}");
        load.stop_and_check().await;
    });
}

/// Guards against an order without a claim while the store is unavailable, and against waiting too long after it.
#[test]
fn without_the_store_the_leader_stays_until_the_store_is_back() {
    run(async {
        let (world, proxies, load) = loaded_world(WRITERS).await;
        world.claims.unavailable.set(true);
        let _additional = overload_leader(&world, &proxies).await;
        pause(NO_TRANSFER_MS).await;
        assert_eq!(world.promoter.orders(), []);
        world.claims.unavailable.set(false);
        world.wait_for_new_leader("m0", 4000).await;
        load.stop_and_check().await;
    });
}

/// Guards against a group that is moved back and forth, each time at the cost of a promotion.
#[test]
fn a_group_is_not_transferred_again_at_once() {
    run(async {
        let (world, proxies, load) = loaded_world(WRITERS).await;
        let _additional = overload_leader(&world, &proxies).await;
        world.wait_for_new_leader("m0", TRANSFER_TIMEOUT_MS).await;
        pause(300).await;
        (0..3).for_each(|it| world.group.inject_fault(it, Fault::AppliesLate));
        // An instance that starts now knows of the transfer only from the others.
        let late = world.instance(4);
        world.wait_for_leader(&late).await;
        pause(NO_TRANSFER_MS + 2000).await;
        assert_eq!(world.promoter.orders().len(), 1, "{:?}", world.promoter.orders());
        assert_eq!(proxies.len(), 3);
        load.stop_and_check().await;
    });
}

/// Guards against a transfer of a group whose leader is only busy: the next leader would be as busy.
#[test]
fn a_busy_leader_with_working_replicas_stays() {
    run(async {
        let (world, _proxies, load) = loaded_world(60).await;
        pause(NO_TRANSFER_MS).await;
        assert!(load.failures() > 0, "the leader is overloaded");
        assert_eq!(world.claims.holder(), None);
        load.stop_and_check().await;
    });
}

/// Guards against replacing a leader whose callers are all served, because replicas lag.
#[test]
fn a_leader_that_serves_all_callers_stays() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        pause(1500).await;
        let load = Load::start(&world, &proxies, 2, 1).await;
        delay_replicas(&world);
        pause(NO_TRANSFER_MS).await;
        assert_eq!(world.claims.holder(), None);
        load.stop_and_check().await;
    });
}

/// Guards against a leader that is never replaced although it is slow or fails what it runs.
#[test_case(Fault::Slow(600); "slow")]
#[test_case(Fault::FailsStatements; "failing")]
#[test_case(Fault::Busy; "refusing")]
fn an_impaired_leader_is_replaced(fault: Fault) {
    run(async {
        let (world, _proxies, load) = loaded_world(10).await;
        pause(1500).await;
        world.group.inject_fault(0, fault);
        world.wait_for_new_leader("m0", TRANSFER_TIMEOUT_MS).await;
        pause(1000).await;
        assert_eq!(world.promoter.orders().len(), 1, "{:?}", world.promoter.orders());
        load.stop_and_check().await;
    });
}

/// Guards against an instance that starts during a transfer and acknowledges what only the old leader has.
#[test]
fn an_instance_that_starts_during_a_transfer_acknowledges_nothing_on_the_leader_alone() {
    run(async {
        let (world, proxies, load) = loaded_world(WRITERS).await;
        world.promoter.duration_ms.set(1000);
        let _additional = overload_leader(&world, &proxies).await;
        wait_until(TRANSFER_TIMEOUT_MS, "a promotion is ordered", || {
            !world.promoter.orders().is_empty()
        })
        .await;
        [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::ReplicationStopped));
        let proxy = world.instance(4);
        world.wait_for_leader(&proxy).await;
        pause(300).await;
        let answer = world.caller(&proxy, LATEST).await.execute("WRITE slot mine").await;
        assert_eq!(world.promoter.orders().len(), 1);
        assert_eq!((answer.result.is_ok(), world.group.value("slot")), (false, None));
        load.stop_and_check().await;
    });
}

/// Guards against an order while instances that don't know of the claim may acknowledge commits that only the leader
/// has.
#[test]
fn homes_that_do_not_learn_of_the_claim_prevent_the_transfer() {
    run(async {
        let (world, proxies, load) = loaded_world(WRITERS).await;
        // Only the third instance can claim, and the others can't read its claim.
        [1, 2].into_iter().for_each(|it| world.claims.make_unavailable_to(it));
        world.claims.answer_delay_ms.set(300);
        let _additional = overload_leader(&world, &proxies).await;
        wait_until(TRANSFER_TIMEOUT_MS, "the group is claimed", || world.claims.holder().is_some())
            .await;
        // They can't receive it either, but the third one still hears them.
        [1, 2].into_iter().for_each(|it| world.network.block_one_way(3, it));
        pause(1500).await;
        assert_eq!(world.promoter.orders(), []);
        load.stop_and_check().await;
    });
}
