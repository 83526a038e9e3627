//! A leader that only some instances can reach.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use support::{Fault, LATEST, World, pause, run, wait_until};

/// Time within which an instance detects that it alone cannot reach a leader, in milliseconds: two checks of 200 ms,
/// and 600 ms in which the leader may have failed for all instances.
const DETECTION_TIMEOUT_MS: u64 = 2500;

/// Guards against refusing callers for as long as their instance cannot reach a leader that other instances use.
#[test]
fn callers_are_served_through_instances_that_reach_the_leader() {
    run(async {
        let world = World::new();
        let proxies = world.instances(4).await;
        let open = world.caller(&proxies[3], LATEST).await;
        open.execute_ok("WRITE slot before").await;
        world.group.inject_fault(0, Fault::UnresponsiveTo(4));
        pause(DETECTION_TIMEOUT_MS).await;
        open.execute_ok("WRITE slot between").await;
        assert_eq!(open.execute_ok("READ slot").await, ["between"]);
        let caller = world.caller(&proxies[3], LATEST).await;
        caller.execute_ok("WRITE slot mine").await;
        assert_eq!(caller.execute_ok("READ slot").await, ["mine"]);
        assert_eq!(world.promoter.orders(), []);

        world.group.clear_faults(0);
        pause(DETECTION_TIMEOUT_MS).await;
        let sessions_elsewhere =
            || proxies[..3].iter().map(|it| it.shutdown.sessions()).sum::<usize>();
        let before = sessions_elsewhere();
        let returning = world.caller(&proxies[3], LATEST).await;
        returning.execute_ok("WRITE slot again").await;
        assert_eq!(sessions_elsewhere(), before, "the session is no longer forwarded");
    });
}

/// Guards against forwarding sessions around a leader that fails for all instances and has to be replaced.
#[test]
fn a_leader_unresponsive_to_all_instances_has_no_alternate_route() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        let caller = world.caller(&proxies[0], LATEST).await;
        world.group.inject_fault(0, Fault::Unresponsive);
        wait_until(DETECTION_TIMEOUT_MS * 2, "another member leads", || {
            world.group.leader() != Some("m0".into())
        })
        .await;
        caller.execute_ok("WRITE slot mine").await;
    });
}

/// Guards against delaying callers at an instance to which the leader grants no connection, as if the leader might
/// have failed for all instances.
#[test]
fn an_instance_without_a_connection_to_the_leader_forwards_sessions_at_once() {
    run(async {
        let world = World::new();
        let _proxies = world.instances(3).await;
        (0..3).for_each(|it| world.group.inject_fault(it, Fault::RefusesConnectionsFrom(4)));
        let late_instance = world.instance(4);
        // The new instance receives heartbeats from the others within two intervals.
        pause(450).await;
        let caller = world.caller(&late_instance, LATEST).await;
        let started = std::time::Instant::now();
        caller.execute_ok("WRITE slot mine").await;
        assert!(started.elapsed().as_millis() < 100, "served after {:?}", started.elapsed());
    });
}
