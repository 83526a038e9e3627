//! Instances that start without access to the leaders.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_direct::serve_caller;
use gullspar_statement::FailureCode;
use support::{FakeCaller, Fault, LATEST, World, pause, run, wait_until};

/// Time after which an instance that has just started has received messages from its neighbours, in milliseconds.
const FIRST_CONTACT_TIMEOUT: u64 = 600;

/// Maximum time of an immediate refusal on a busy machine.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Guards against an instance in a partitioned data centre that treats its neighbours as the whole fleet, becomes
/// ready and lets callers wait for unreachable leaders.
#[test]
fn an_instance_that_starts_in_a_partition_is_not_ready_and_refuses_at_once() {
    run(async {
        let world = World::new();
        let proxies = world.instances(4).await;
        world.network.partition_between(&[1, 5], &[2, 3, 4]);
        for member in 0..3 {
            world.group.inject_fault(member, Fault::UnresponsiveTo(1));
            world.group.inject_fault(member, Fault::UnresponsiveTo(5));
        }
        wait_until(3000, "its neighbour is not ready", || !proxies[0].is_ready()).await;
        let started = world.instance(5);
        pause(FIRST_CONTACT_TIMEOUT).await;
        assert!(!started.is_ready());
        let (caller, link) = FakeCaller::new();
        compio::runtime::spawn(serve_caller(Rc::clone(&started), Box::new(link))).detach();
        let asked = Instant::now();
        assert_eq!(caller.open_err(LATEST).await, FailureCode::Congested);
        assert!(asked.elapsed() < REFUSAL_TIMEOUT, "refused after {:?}", asked.elapsed());
        world.network.heal();
        (0..3).for_each(|it| world.group.clear_faults(it));
        wait_until(3000, "both are ready", || started.is_ready() && proxies[0].is_ready()).await;
        world.caller(&started, LATEST).await.execute_ok("WRITE slot mine").await;
    });
}

/// Guards against callers that are routed to a new instance before it has reached a leader.
#[test]
fn an_instance_that_has_reached_no_leader_is_not_ready() {
    run(async {
        let world = World::new();
        (0..3).for_each(|it| world.group.inject_fault(it, Fault::UnresponsiveTo(1)));
        let proxy = world.instance(1);
        pause(FIRST_CONTACT_TIMEOUT).await;
        assert!(!proxy.is_ready());
        (0..3).for_each(|it| world.group.clear_faults(it));
        wait_until(3000, "it is ready", || proxy.is_ready()).await;
        // Once it is ready, a leader that fails for all instances does not make it unready.
        world.group.inject_fault(0, Fault::Unresponsive);
        pause(500).await;
        assert!(proxy.is_ready());
    });
}
