//! Sessions that move between instances while their callers stay connected.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use gullspar_direct::Phase;
use gullspar_statement::FailureCode;
use support::{
    CONNECTIONS, Fault, HomeFleet, LATEST, OWN_WRITES, UnpausingCallers, World, pause, run,
    wait_until,
};

const CALLERS: usize = 6;

/// Time in which a leader that one instance can't reach is found and sessions have moved, in milliseconds.
const MOVE_TIMEOUT_MS: u64 = 2500;

/// Time in which all instances know a new member and homes that are no longer needed are given up, in milliseconds.
const REPLACEMENT_PERIOD_MS: u64 = 7000;

/// Guards against connections that are closed on callers with a request on its way, because their instance lost the leader.
#[test]
fn callers_keep_their_connections_while_their_instance_loses_the_leader() {
    run(async {
        let world = World::new();
        let proxies = world.instances(4).await;
        let callers = UnpausingCallers::start(&world, &proxies[3], CALLERS).await;
        let sessions_elsewhere =
            || proxies[..3].iter().map(|it| it.shutdown.sessions()).sum::<usize>();
        for _ in 0..2 {
            world.group.inject_fault(0, Fault::UnresponsiveTo(4));
            wait_until(MOVE_TIMEOUT_MS, "the sessions have moved", || {
                sessions_elsewhere() == CALLERS
            })
            .await;
            let served = callers.served();
            pause(300).await;
            assert!(callers.served() > served + CALLERS, "the sessions are served elsewhere");
            world.group.clear_faults(0);
            wait_until(MOVE_TIMEOUT_MS, "the sessions have returned", || sessions_elsewhere() == 0)
                .await;
        }
        callers.stop().await;
        assert_eq!(callers.closed(), 0);
    });
}

/// Guards against connections that are closed on callers because a home that serves their sessions shuts down.
#[test]
fn callers_keep_their_connections_while_their_home_shuts_down() {
    run(async {
        let fleet = HomeFleet::start().await;
        let callers = UnpausingCallers::start(&fleet.world, fleet.entry(), CALLERS).await;
        let leaving = fleet.proxy(fleet.serving()[0]);
        leaving.shutdown.enter(Phase::Unready);
        pause(200).await;
        leaving.shutdown.enter(Phase::ClosingIdle);
        wait_until(MOVE_TIMEOUT_MS, "the home has no session", || leaving.shutdown.sessions() == 0)
            .await;
        let served = callers.served();
        pause(300).await;
        assert!(callers.served() > served + CALLERS, "the sessions are served elsewhere");
        callers.stop().await;
        assert_eq!((callers.closed(), callers.failures()), (0, vec![]));
    });
}

/// Guards against connections that are closed on callers, and state of their sessions that is lost, because their instance is
/// no longer a home.
#[test]
fn callers_keep_their_connections_when_another_instance_becomes_the_home() {
    run(async {
        let fleet = HomeFleet::start().await;
        let home = *fleet.homes().last().unwrap();
        let callers = UnpausingCallers::start(&fleet.world, fleet.proxy(home), CALLERS).await;
        let idle = fleet.world.caller(fleet.proxy(home), OWN_WRITES).await;
        idle.execute_ok("SET zone west").await;
        idle.execute_ok("PREPARE get READ q").await;
        idle.execute_ok("WRITE slot mine").await;

        let joining = support::member(fleet.replacement_of(home));
        let catalogue = support::catalogue_with_connections(2, CONNECTIONS);
        let _joined = fleet.world.instance_as(joining, catalogue);
        pause(REPLACEMENT_PERIOD_MS).await;
        assert!(fleet.proxy(home).groups().is_empty(), "the group is given up");

        assert_eq!(idle.execute_ok("EXECUTE get slot").await, ["mine"]);
        let executed = fleet.world.group.executed();
        let last = executed.iter().rfind(|it| it.text == "READ q slot").unwrap();
        assert_eq!(last.values, ["zone=west"]);
        callers.stop().await;
        assert_eq!(callers.closed(), 0);
    });
}

/// Guards against a connection that is closed on a caller in a transaction, instead of an answer that says what became of it.
#[test]
fn a_transaction_is_rolled_back_when_its_home_shuts_down() {
    run(async {
        let fleet = HomeFleet::start().await;
        let (caller, home) = fleet.session(LATEST).await;
        caller.execute_ok("BEGIN").await;
        caller.execute_ok("WRITE slot lost").await;
        fleet.proxy(home).shutdown.enter(Phase::ClosingAll);
        pause(100).await;
        assert_eq!(caller.execute_err("COMMIT").await, FailureCode::RolledBack);
        caller.execute_ok("WRITE slot kept").await;
        assert_eq!(caller.execute_ok("READ slot").await, ["kept"]);
    });
}
