//! A leader that some instances can't reach and others can.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use support::{Fault, LATEST, World, pause, run, wait_until};

/// Time in which an instance notices that it alone lacks a leader: two checks of 200 ms, and 600 ms in which it
/// may be everybody's trouble.
const NOTICED_WITHIN: u64 = 2500;

/// Symptom: callers are refused for as long as a leader is cut off from some instances, although the others
/// serve.
/// Events: the leader answers three of four instances; most use it, so that it is rightly not replaced.
/// Cause: the fourth refused its callers, and their next tries met others like it.
#[test]
fn callers_are_served_through_instances_that_reach_the_leader() {
    run(async {
        let world = World::new();
        let proxies = world.instances(4).await;
        let open = world.caller(&proxies[3], LATEST).await;
        open.execute_ok("WRITE slot before").await;
        world.group.inject_fault(0, Fault::UnresponsiveTo(4));
        assert_eq!(open.next().await, None, "its idle session is closed, to open anew");
        let caller = world.caller(&proxies[3], LATEST).await;
        caller.execute_ok("WRITE slot mine").await;
        assert_eq!(caller.execute_ok("READ slot").await, ["mine"]);
        assert_eq!(world.promoter.orders(), []);

        world.group.clear_faults(0);
        pause(NOTICED_WITHIN).await;
        let elsewhere = || proxies[..3].iter().map(|it| it.shutdown.sessions()).sum::<usize>();
        let before = elsewhere();
        let again = world.caller(&proxies[3], LATEST).await;
        again.execute_ok("WRITE slot again").await;
        assert_eq!(elsewhere(), before, "it is served here again");
    });
}

/// A leader that fails for everybody is replaced; nobody is a way around it.
#[test]
fn there_is_no_way_around_a_leader_that_failed() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        let caller = world.caller(&proxies[0], LATEST).await;
        world.group.inject_fault(0, Fault::Unresponsive);
        wait_until(NOTICED_WITHIN * 2, "another member leads", || {
            world.group.leader() != Some("m0".into())
        })
        .await;
        caller.execute_ok("WRITE slot mine").await;
    });
}

/// Symptom: for three seconds after a power loss of all, a fifth of the callers is refused or late, although targets
/// and the other instances work.
/// Events: targets keep the connections of the dead; an instance that has come back finds no room at a leader, and
/// others do.
/// Cause: it waited for as long as where a leader may have failed for everybody.
#[test]
fn an_instance_that_finds_no_room_hands_its_callers_on_at_once() {
    run(async {
        let world = World::new();
        let _proxies = world.instances(3).await;
        (0..3).for_each(|it| world.group.inject_fault(it, Fault::RefusesConnectionsFrom(4)));
        let late = world.instance(4);
        // It hears the others within two heartbeats.
        pause(450).await;
        let caller = world.caller(&late, LATEST).await;
        let asked = std::time::Instant::now();
        caller.execute_ok("WRITE slot mine").await;
        assert!(asked.elapsed().as_millis() < 100, "served after {:?}", asked.elapsed());
    });
}
