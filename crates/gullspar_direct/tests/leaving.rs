//! Leaders that are leaving.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use gullspar_statement::FailureCode;
use support::{Fault, LATEST, LEAVING_SERVES, REPLACED_WITHIN, World, pause, run, until};

/// Guards against the loss of acknowledged commits when a leaving leader is replaced by a replica that has not
/// received them.
#[test]
fn a_leaving_leader_is_replaced_only_by_a_replica_with_all_its_commits() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        world.group.set(1, Fault::Deaf);
        world.group.set(2, Fault::Deaf);
        world.caller(&proxies[0], LATEST).await.done("WRITE slot mine").await;
        pause(300).await;
        world.group.leaves(0);
        proxies.iter().for_each(|it| world.list_targets(it, 2));
        pause(1000).await;
        assert_eq!(world.promoter.orders(), [], "no replica has the last commit yet");
        world.group.mend(2);
        until(3000, "the replica that has it leads", || world.group.leader() == Some("m2".into()))
            .await;
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()));
    });
}

/// Guards against a leaving leader that gets statements until it ends because no replica can replace it.
#[test]
fn a_leaving_leader_without_a_successor_gets_no_new_work_after_a_timeout() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        [1, 2].into_iter().for_each(|it| world.group.set(it, Fault::Dark));
        pause(1000).await;
        world.group.leaves(0);
        proxies.iter().for_each(|it| world.list_targets(it, 2));
        let caller = world.caller(&proxies[0], LATEST).await;
        caller.done("WRITE slot mine").await;
        pause(LEAVING_SERVES.as_millis() as u64).await;
        let started = std::time::Instant::now();
        assert_eq!(caller.refused("WRITE slot again").await, FailureCode::Congested);
        assert_eq!(caller.refused("READ slot").await, FailureCode::Congested);
        caller.done("BEGIN").await;
        assert_eq!(caller.refused("READ slot").await, FailureCode::Congested);
        assert!(started.elapsed().as_millis() < 300, "refused after {:?}", started.elapsed());
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()));
        [1, 2].into_iter().for_each(|it| world.group.mend(it));
        world.succeeded("m0", REPLACED_WITHIN).await;
        world.caller(&proxies[1], LATEST).await.done("WRITE slot later").await;
    });
}

/// Guards against a leader that gets no work although it is no longer leaving.
#[test]
fn a_leader_that_no_longer_leaves_gets_work_again() {
    run(async {
        let world = World::new();
        let proxy = world.instance(1);
        world.settle(&proxy).await;
        [1, 2].into_iter().for_each(|it| world.group.set(it, Fault::Dark));
        world.group.leaves(0);
        world.list_targets(&proxy, 2);
        pause(LEAVING_SERVES.as_millis() as u64 + 500).await;
        let caller = world.caller(&proxy, LATEST).await;
        assert_eq!(caller.refused("WRITE slot mine").await, FailureCode::Congested);
        world.group.stays(0);
        world.list_targets(&proxy, 3);
        pause(100).await;
        caller.done("WRITE slot mine").await;
    });
}
