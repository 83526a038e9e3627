//! Replacement of failed leaders by several instances.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use gullspar_direct::Claim;
use gullspar_model::Term;
use gullspar_statement::FailureCode;
use support::{
    BOUNDED, FAILOVER_TIMEOUT_MS, Fault, LATEST, Load, World, leader_of, pause, run, wait_until,
};

/// Guards against writes that fail permanently once a leader is unresponsive, and against promoting more than once.
#[test]
fn an_unresponsive_leader_is_replaced_once() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        world.group.inject_fault(0, Fault::Unresponsive);
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
        let leader = world.group.leader();
        for proxy in &proxies {
            wait_until(1000, "all instances use the new leader", || leader_of(proxy) == leader)
                .await;
        }
        world.caller(&proxies[0], LATEST).await.execute_ok("WRITE slot mine").await;
        pause(1500).await;
        assert_eq!(world.promoter.orders().len(), 1, "{:?}", world.promoter.orders());
        assert_eq!(world.group.leader(), leader);
    });
}

/// Guards against replacing a healthy leader, and undoing its commits, because one of several instances cannot reach
/// it.
#[test]
fn one_instances_view_does_not_replace_a_leader() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        world.group.inject_fault(0, Fault::UnresponsiveTo(2));
        pause(2500).await;
        assert_eq!(world.promoter.orders(), []);
        // That instance's callers are still served at once, through another instance.
        let started = std::time::Instant::now();
        world.caller(&proxies[1], LATEST).await.execute_ok("WRITE slot mine").await;
        assert!(started.elapsed().as_millis() < 200, "took {:?}", started.elapsed());
        world.caller(&proxies[0], LATEST).await.execute_ok("WRITE slot mine").await;
    });
}

/// Guards against a partitioned minority that replaces leaders which the other instances use.
#[test]
fn a_partitioned_instance_promotes_no_member_and_leaves_rotation() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        let idle = world.caller(&proxies[2], BOUNDED).await;
        world.network.partition(3);
        world.group.inject_fault(0, Fault::UnresponsiveTo(3));
        wait_until(3000, "the instance is not ready", || !proxies[2].is_ready()).await;
        pause(1000).await;
        assert_eq!(world.promoter.orders(), []);
        assert!(proxies[0].is_ready() && proxies[1].is_ready());
        assert_eq!(
            idle.next().await,
            None,
            "its idle sessions are closed once it is out of rotation"
        );
        world.network.heal();
        world.group.clear_faults(0);
        wait_until(2000, "it is ready again", || proxies[2].is_ready()).await;
    });
}

/// Guards against refusing all callers because most other instances are silent, although the leaders answer.
#[test]
fn instances_that_reach_the_leaders_stay_ready_when_the_others_are_silent() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        world.network.partition(2);
        world.network.partition(3);
        pause(1500).await;
        assert!(proxies[0].is_ready());
        world.caller(&proxies[0], LATEST).await.execute_ok("WRITE slot mine").await;
    });
}

/// Guards against an instance that knows of no newer leader and promotes a superseded one, whose log lacks
/// acknowledged commits of the current term.
#[test]
fn a_log_of_a_superseded_term_is_not_promoted() {
    run(async {
        let world = World::new();
        let _proxies = world.instances(2).await;
        world.claims.put(Claim {
            holder: "instance-9".into(),
            member: "m1".into(),
            nonce: "made by another".to_owned(),
            over_term: Term(1),
        });
        world.group.inject_fault(0, Fault::ReplicationStopped);
        world.group.inject_fault(1, Fault::Unresponsive);
        world.group.inject_fault(2, Fault::Unresponsive);
        world.group.promote(&"m1".into());
        world.group.commit(&[("slot".to_owned(), "taken".to_owned())]);
        pause(3000).await;
        assert_eq!(world.promoter.orders(), [], "only the superseded leader is reachable");
        world.group.clear_faults(2);
        wait_until(4000, "a member of the current term is promoted", || {
            world.promoter.orders().iter().any(|it| it.member == "m2".into())
        })
        .await;
    });
}

/// Guards against a promotion by instances that receive messages from fewer than half of the others, even if they are
/// homes of the group.
#[test]
fn a_minority_with_homes_of_its_own_promotes_no_member() {
    run(async {
        let world = World::new();
        let proxies = world.instances(5).await;
        world.network.partition_between(&[1, 2], &[3, 4, 5]);
        world.group.inject_fault(0, Fault::UnresponsiveTo(4));
        world.group.inject_fault(0, Fault::UnresponsiveTo(5));
        pause(2500).await;
        assert!(proxies[3].is_ready() || proxies[0].is_ready());
        let minority = ["instance-1".into(), "instance-2".into()];
        let by_minority = world.promoter.orders().into_iter();
        assert_eq!(by_minority.filter(|it| minority.contains(&it.holder)).count(), 0);
    });
}

/// Guards against acknowledging writes that a promotion undoes: a partitioned instance must not rely on the old
/// leader alone while others may be about to replace it.
#[test]
fn a_partitioned_instance_acknowledges_no_write_on_the_leader_alone() {
    run(async {
        let world = World::new();
        world.promoter.duration_ms.set(600);
        let proxies = world.instances(3).await;
        let caller = world.caller(&proxies[0], LATEST).await;
        caller.execute_ok("WRITE before cut").await;
        world.network.partition(1);
        world.group.inject_fault(0, Fault::UnresponsiveTo(2));
        world.group.inject_fault(0, Fault::UnresponsiveTo(3));
        // Stops replication on both sides of the partition.
        (0..3).for_each(|it| world.group.inject_fault(it, Fault::ReplicationStopped));
        [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::UnresponsiveTo(1)));
        let mut sent_after_the_order = 0;
        let mut acknowledged = Vec::new();
        for number in 0..200 {
            let ordered = !world.promoter.orders().is_empty();
            let caller = world.caller(&proxies[0], LATEST).await;
            let answer = caller.execute(&format!("WRITE slot-{number} mine")).await;
            sent_after_the_order += u32::from(ordered);
            assert!(!ordered || answer.result.is_err(), "write {number} was acknowledged");
            if answer.result.is_ok() {
                acknowledged.push(number);
            }
            if world.group.leader() != Some("m0".into()) {
                break;
            }
            pause(10).await;
        }
        assert!(sent_after_the_order > 0, "no write was sent between the order and its effect");
        acknowledged.retain(|it| world.group.value(&format!("slot-{it}")).is_none());
        assert!(acknowledged.is_empty(), "acknowledged and lost: {acknowledged:?}");
    });
}

/// Guards against acknowledging a commit that one replica has while another one, which lacks it, is being promoted.
#[test]
fn a_commit_is_not_acknowledged_because_of_a_replica_that_is_not_promoted() {
    run(async {
        let world = World::new();
        world.promoter.duration_ms.set(800);
        let proxies = world.instances(3).await;
        let caller = world.caller(&proxies[2], LATEST).await;
        caller.execute_ok("WRITE before order").await;
        pause(500).await;
        // Both replicas have the same log, of which the third member is promoted; then only the second one goes on.
        world.group.inject_fault(2, Fault::ReplicationStopped);
        world.group.inject_fault(0, Fault::UnresponsiveTo(1));
        world.group.inject_fault(0, Fault::UnresponsiveTo(2));
        wait_until(FAILOVER_TIMEOUT_MS, "a promotion is ordered", || {
            !world.promoter.orders().is_empty()
        })
        .await;
        assert_eq!(world.promoter.orders()[0].member, "m2".into());
        pause(200).await;
        let answer = caller.execute("WRITE slot mine").await;
        assert_eq!(answer.result.unwrap_err().code, FailureCode::Unknown);
        assert_eq!(world.group.value("slot"), None);
    });
}

/// Guards against acknowledging commits that a replica on the leader's side of a partition has, while the instances on the
/// other side promote the other replica.
#[test]
fn an_instance_on_the_smaller_side_acknowledges_nothing_by_one_replica() {
    run(async {
        let world = World::new();
        world.promoter.duration_ms.set(600);
        let proxies = world.instances(3).await;
        world.caller(&proxies[0], LATEST).await.execute_ok("WRITE before cut").await;
        pause(500).await;
        // The first instance and two members on one side, two instances and the third member on the other.
        world.network.partition(1);
        for (member, instance) in [(0, 2), (0, 3), (1, 2), (1, 3), (2, 1)] {
            world.group.inject_fault(member, Fault::UnresponsiveTo(instance));
        }
        world.group.inject_fault(2, Fault::ReplicationStopped);
        // A write that is sent before the others oppose the leader may wait, so the writes don't wait for each other.
        let mut sent_after_the_order = Vec::new();
        while world.group.leader() == Some("m0".into()) {
            let is_ordered = !world.promoter.orders().is_empty();
            let caller = world.caller(&proxies[0], LATEST).await;
            let write = async move { caller.execute("WRITE slot mine").await.result.is_ok() };
            let write = compio::runtime::spawn(write);
            if is_ordered {
                sent_after_the_order.push(write);
            } else {
                write.detach();
            }
            pause(20).await;
        }
        assert!(!sent_after_the_order.is_empty(), "no write was sent after the order");
        for write in sent_after_the_order {
            assert!(!write.await.unwrap(), "a write that was sent after the order is acknowledged");
        }
    });
}

/// Guards against acknowledging a commit that a promotion has undone because the former leader counts as a replica
/// that has it.
#[test]
fn a_former_leader_does_not_count_as_a_replica_of_its_own_commit() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        let caller = world.caller(&proxies[0], LATEST).await;
        caller.execute_ok("WRITE before cut").await;
        let other = world.caller(&proxies[0], LATEST).await;
        world.network.partition(1);
        (0..3).for_each(|it| world.group.inject_fault(it, Fault::ReplicationStopped));
        [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::UnresponsiveTo(1)));
        caller.send_statement("WRITE slot mine");
        pause(300).await;
        assert!(!caller.has_answer(), "the commit waits for a replica");
        world.group.promote(&"m1".into());
        // The old leader refuses the next statement, which shows the instance that it no longer leads.
        other.send_statement("READ slot");
        let answer = caller.next().await.unwrap();
        assert_eq!(answer.result.unwrap_err().code, FailureCode::Unknown);
        assert_eq!(world.group.value("slot"), None);
    });
}

/// Guards against a new leader that is not found while reads use all its connections.
#[test]
fn a_busy_replica_that_becomes_the_leader_is_found() {
    run(async {
        let world = World::new();
        world.group.statement_duration_ms.set(150);
        let proxies = vec![world.instance(1)];
        world.wait_for_leader(&proxies[0]).await;
        let load = Load::start(&world, &proxies, 40, 4).await;
        pause(1000).await;
        world.group.promote(&"m1".into());
        wait_until(600, "the new leader is used", || leader_of(&proxies[0]) == Some("m1".into()))
            .await;
        load.stop().await;
    });
}
