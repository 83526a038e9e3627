//! Leaders that are leaving.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use gullspar_statement::FailureCode;
use support::{
    FAILOVER_TIMEOUT_MS, Fault, LATEST, LEAVING_TARGET_TIMEOUT, World, pause, run, wait_until,
};

/// Guards against the loss of acknowledged commits when a leaving leader is replaced by a replica that has not
/// received them.
#[test]
fn a_leaving_leader_is_replaced_only_by_a_replica_with_all_its_commits() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        world.group.inject_fault(1, Fault::ReplicationStopped);
        world.group.inject_fault(2, Fault::ReplicationStopped);
        world.caller(&proxies[0], LATEST).await.execute_ok("WRITE slot mine").await;
        pause(300).await;
        world.group.mark_leaving(0);
        proxies.iter().for_each(|it| world.apply_target_list(it, 2));
        pause(1000).await;
        assert_eq!(world.promoter.orders(), [], "no replica has the last commit yet");
        world.group.clear_faults(2);
        wait_until(3000, "the replica that has it leads", || {
            world.group.leader() == Some("m2".into())
        })
        .await;
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()));
    });
}

/// Guards against a leaving leader that gets statements until it has left, because no replica can replace it.
#[test]
fn a_leaving_leader_without_a_successor_gets_no_new_work_after_a_timeout() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::Unresponsive));
        pause(1000).await;
        world.group.mark_leaving(0);
        proxies.iter().for_each(|it| world.apply_target_list(it, 2));
        let caller = world.caller(&proxies[0], LATEST).await;
        caller.execute_ok("WRITE slot mine").await;
        pause(LEAVING_TARGET_TIMEOUT.as_millis() as u64).await;
        let started = std::time::Instant::now();
        assert_eq!(caller.execute_err("WRITE slot again").await, FailureCode::Congested);
        assert_eq!(caller.execute_err("READ slot").await, FailureCode::Congested);
        caller.execute_ok("BEGIN").await;
        assert_eq!(caller.execute_err("READ slot").await, FailureCode::Congested);
        assert!(started.elapsed().as_millis() < 300, "refused after {:?}", started.elapsed());
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()));
        [1, 2].into_iter().for_each(|it| world.group.clear_faults(it));
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
        world.caller(&proxies[1], LATEST).await.execute_ok("WRITE slot later").await;
    });
}

/// Guards against a leader that gets no work although it is no longer leaving.
#[test]
fn a_leader_that_no_longer_leaves_gets_work_again() {
    run(async {
        let world = World::new();
        let proxy = world.instance(1);
        world.wait_for_leader(&proxy).await;
        [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::Unresponsive));
        world.group.mark_leaving(0);
        world.apply_target_list(&proxy, 2);
        pause(LEAVING_TARGET_TIMEOUT.as_millis() as u64 + 500).await;
        let caller = world.caller(&proxy, LATEST).await;
        assert_eq!(caller.execute_err("WRITE slot mine").await, FailureCode::Congested);
        world.group.cancel_leaving(0);
        world.apply_target_list(&proxy, 3);
        pause(100).await;
        caller.execute_ok("WRITE slot mine").await;
    });
}
