//! Instances that start where they can't serve.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_direct::serve_caller;
use gullspar_statement::FailureCode;
use support::{FakeCaller, Fault, LATEST, World, pause, run, wait_until};

/// The time in which an instance that has just started hears of its neighbours, in milliseconds.
const HEARD_WITHIN: u64 = 600;

/// What a refusal at once may take on a busy machine.
const AT_ONCE: Duration = Duration::from_millis(300);

/// Symptom: 290 of 310 callers of a data centre get no answer within two seconds, and others come in their place.
/// Events: the data centre is cut off; an instance there is restarted behind the cut; its neighbour was there
/// before.
/// Cause: the one that started took the two of them for all: it called itself ready, and kept callers waiting for
/// leaders that it could not reach.
#[test]
fn an_instance_that_starts_behind_a_cut_is_not_ready_and_refuses_at_once() {
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
        pause(HEARD_WITHIN).await;
        assert!(!started.is_ready());
        let (caller, link) = FakeCaller::new();
        compio::runtime::spawn(serve_caller(Rc::clone(&started), Box::new(link))).detach();
        let asked = Instant::now();
        assert_eq!(caller.open_err(LATEST).await, FailureCode::Congested);
        assert!(asked.elapsed() < AT_ONCE, "refused after {:?}", asked.elapsed());
        world.network.heal();
        (0..3).for_each(|it| world.group.clear_faults(it));
        wait_until(3000, "both are ready", || started.is_ready() && proxies[0].is_ready()).await;
        world.caller(&started, LATEST).await.execute_ok("WRITE slot mine").await;
    });
}

/// Symptom: callers are sent to an instance that has just started and are refused, while others could serve them.
/// Cause: with a configuration and a list of targets it called itself ready, whether a leader was in reach or not.
#[test]
fn an_instance_that_has_reached_no_leader_is_not_ready() {
    run(async {
        let world = World::new();
        (0..3).for_each(|it| world.group.inject_fault(it, Fault::UnresponsiveTo(1)));
        let proxy = world.instance(1);
        pause(HEARD_WITHIN).await;
        assert!(!proxy.is_ready());
        (0..3).for_each(|it| world.group.clear_faults(it));
        wait_until(3000, "it is ready", || proxy.is_ready()).await;
        // Once it was, a leader that fails for everybody does not make it unready.
        world.group.inject_fault(0, Fault::Unresponsive);
        pause(500).await;
        assert!(proxy.is_ready());
    });
}
