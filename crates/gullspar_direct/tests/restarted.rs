//! Targets that restart under the same name and have lost their state.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use gullspar_direct::{Catalogue, GroupLimits, TargetList};
use gullspar_model::{GroupName, Revision};
use gullspar_statement::FailureCode;
use support::{BOUNDED, Fault, LATEST, OWN, catalogue, leader_of, pause, run, settled, until};

/// Guards against restarted replicas that get no reads because they were slow before the restart.
#[test]
fn statement_times_before_a_restart_are_discarded() {
    run(async {
        let (world, proxy) = settled().await;
        let caller = world.caller(&proxy, BOUNDED).await;
        world.slow_replicas(&caller).await;
        for member in [1, 2] {
            world.group.start_anew(member);
            world.group.mend(member);
        }
        world.list_targets(&proxy, 2);
        pause(50).await;
        caller.done("READ slot").await;
        assert!(
            !world.is_read_from_leader(),
            "a replica that has just restarted serves reads at once"
        );
    });
}

/// Guards against writes to a former leader that has restarted as a replica.
#[test]
fn a_restarted_leader_leads_only_once_it_reports_so() {
    run(async {
        let (world, proxy) = settled().await;
        world.group.set(0, Fault::Dark);
        world.group.start_anew(0);
        world.list_targets(&proxy, 2);
        until(100, "no leader is known", || leader_of(&proxy).is_none()).await;
        world.group.promote(&"m1".into());
        world.group.mend(0);
        until(1000, "the new leader is known", || leader_of(&proxy) == Some("m1".into())).await;
        world.caller(&proxy, LATEST).await.done("WRITE slot mine").await;
    });
}

/// Guards against missing session values and prepared statements on connections from before the restart.
#[test]
fn connections_from_before_a_restart_are_not_used() {
    run(async {
        let (world, proxy) = settled().await;
        let caller = world.caller(&proxy, OWN).await;
        caller.done("PREPARE p READ q").await;
        caller.done("SET zone a").await;
        caller.done("EXECUTE p slot").await;
        let before: Vec<u64> = world.group.ran().iter().map(|it| it.connection).collect();
        for member in 0..3 {
            world.group.start_anew(member);
        }
        world.group.mend(0);
        world.list_targets(&proxy, 2);
        pause(100).await;
        caller.done("EXECUTE p slot").await;
        let after = world.group.ran().last().cloned().unwrap();
        assert!(!before.contains(&after.connection));
        assert_eq!(after.values, ["zone=a"]);
    });
}

/// Guards against a commit that is acknowledged by a restarted leader whose log no longer holds it.
#[test]
fn a_leader_that_lost_its_log_does_not_confirm_the_commit() {
    run(async {
        let (world, proxy) = settled().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.done("WRITE slot first").await;
        world.group.set(1, Fault::Deaf);
        world.group.set(2, Fault::Deaf);
        caller.begin_to_say("WRITE slot mine");
        pause(15).await;
        world.group.lose_log(0);
        world.list_targets(&proxy, 2);
        let answer = caller.next().await.unwrap();
        assert_eq!(answer.result.unwrap_err().code, FailureCode::Unknown);
    });
}

/// Guards against connections to any address that an entry in the store names.
#[test]
fn a_target_of_a_group_that_is_not_configured_is_not_connected_to() {
    run(async {
        let (world, proxy) = settled().await;
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
        let limits = GroupLimits { connections: 60 };
        let groups = configured.groups.into_iter().chain([(GroupName::new("nobody's"), limits)]);
        proxy.directory.apply_catalogue(Catalogue { groups: groups.collect(), ..configured });
        pause(200).await;
        assert!(proxy.group(&"nobody's".into()).is_some());
        let _ = world.caller(&proxy, BOUNDED).await;
    });
}
