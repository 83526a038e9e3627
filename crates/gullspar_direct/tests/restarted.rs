//! Targets that restart under the same name and have lost their state.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use gullspar_direct::{Catalogue, GroupLimits, TargetList};
use gullspar_model::{GroupName, Revision};
use gullspar_statement::FailureCode;
use support::{
    BOUNDED, Fault, LATEST, OWN_WRITES, catalogue, leader_of, pause, run, wait_until,
    world_with_instance,
};

/// Guards against restarted replicas that get no reads because they were slow before the restart.
#[test]
fn statement_times_before_a_restart_are_discarded() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let caller = world.caller(&proxy, BOUNDED).await;
        world.slow_down_replicas(&caller).await;
        for member in [1, 2] {
            world.group.restart_with_empty_log(member);
            world.group.clear_faults(member);
        }
        world.apply_target_list(&proxy, 2);
        pause(50).await;
        caller.execute_ok("READ slot").await;
        assert!(
            !world.is_last_statement_on_leader(),
            "a replica that has just restarted serves reads at once"
        );
    });
}

/// Guards against writes to a former leader that has restarted as a replica.
#[test]
fn a_restarted_leader_leads_only_once_it_reports_so() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.inject_fault(0, Fault::Unresponsive);
        world.group.restart_with_empty_log(0);
        world.apply_target_list(&proxy, 2);
        wait_until(100, "no leader is known", || leader_of(&proxy).is_none()).await;
        world.group.promote(&"m1".into());
        world.group.clear_faults(0);
        wait_until(1000, "the new leader is known", || leader_of(&proxy) == Some("m1".into()))
            .await;
        world.caller(&proxy, LATEST).await.execute_ok("WRITE slot mine").await;
    });
}

/// Guards against missing session values and prepared statements on connections from before the restart.
#[test]
fn connections_from_before_a_restart_are_not_used() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let caller = world.caller(&proxy, OWN_WRITES).await;
        caller.execute_ok("PREPARE p READ q").await;
        caller.execute_ok("SET zone a").await;
        caller.execute_ok("EXECUTE p slot").await;
        let before: Vec<u64> = world.group.executed().iter().map(|it| it.connection).collect();
        for member in 0..3 {
            world.group.restart_with_empty_log(member);
        }
        world.group.clear_faults(0);
        world.apply_target_list(&proxy, 2);
        pause(100).await;
        caller.execute_ok("EXECUTE p slot").await;
        let after = world.group.executed().last().cloned().unwrap();
        assert!(!before.contains(&after.connection));
        assert_eq!(after.values, ["zone=a"]);
    });
}

/// Guards against a commit that is acknowledged by a restarted leader whose log no longer holds it.
#[test]
fn a_leader_that_lost_its_log_does_not_confirm_the_commit() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.execute_ok("WRITE slot first").await;
        world.group.inject_fault(1, Fault::ReplicationStopped);
        world.group.inject_fault(2, Fault::ReplicationStopped);
        caller.send_statement("WRITE slot mine");
        pause(15).await;
        world.group.restart_leader_with_empty_log(0);
        world.apply_target_list(&proxy, 2);
        let answer = caller.next().await.unwrap();
        assert_eq!(answer.result.unwrap_err().code, FailureCode::Unknown);
    });
}

/// Guards against connections to any address that an entry in the store names.
#[test]
fn a_target_of_a_group_that_is_not_configured_is_not_connected_to() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let mut targets = world.group.specs();
        targets[1].group = "nobody's".into();
        proxy.directory.apply_targets(
            TargetList { revision: Revision::new(0, 2), targets },
            world.clock.now(),
        );
        pause(50).await;
        assert!(proxy.group(&"nobody's".into()).is_none());
        assert_eq!(world.group.connections(1), 0);
        // Once the group is configured, its targets are used.
        let configured: Catalogue = catalogue(2);
        let limits = GroupLimits { connections: 60, sync_replicas: 0 };
        let groups = configured.groups.into_iter().chain([(GroupName::new("nobody's"), limits)]);
        proxy.directory.apply_catalogue(Catalogue { groups: groups.collect(), ..configured });
        pause(200).await;
        assert!(proxy.group(&"nobody's".into()).is_some());
        let _ = world.caller(&proxy, BOUNDED).await;
    });
}
