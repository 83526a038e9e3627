//! Where reads go under load.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::time::{Duration, Instant};

use futures::future;
use gullspar_statement::FailureCode;
use support::{BOUNDED, Fault, run, world_with_instance};
use test_case::test_case;

/// How long replicas are read from again after they were slow: four halvings of what was learnt, and some for
/// the reads in which it shows.
const FORGIVEN_WITHIN: Duration = Duration::from_millis(4000);

/// Symptom: a tenth of one group's callers is refused for the rest of the day, long after its replicas were slow.
/// Events: replicas answer slowly for a while; reads go to the leader; the replicas recover.
/// Cause: the mean of what their statements take changes with statements only, and they got none.
#[test]
fn replicas_that_were_slow_are_read_from_again() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let caller = world.caller(&proxy, BOUNDED).await;
        world.slow_down_replicas(&caller).await;
        for member in [1, 2] {
            world.group.clear_faults(member);
        }
        let mended = Instant::now();
        while world.is_last_statement_on_leader() {
            assert!(mended.elapsed() < FORGIVEN_WITHIN, "replicas are not read from again");
            caller.execute_ok("READ slot").await;
        }
    });
}

/// Symptom: in a burst some targets have long queues while others idle.
/// Events: thirty reads arrive at once; a target is chosen for each before any was sent.
/// Cause: only statements on their way counted, not those that wait for a place.
#[test]
fn a_burst_is_spread_over_the_replicas() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.statement_duration_ms.set(50);
        let callers = future::join_all((0..32).map(|_| world.caller(&proxy, BOUNDED))).await;
        let before = world.group.executed().len();
        future::join_all(callers.iter().map(|it| it.execute_ok("READ slot"))).await;
        let ran = world.group.executed();
        let busiest = ["m0", "m1", "m2"]
            .map(|name| ran[before..].iter().filter(|it| it.member.as_str() == name).count());
        assert!(busiest.iter().all(|it| *it <= 18), "{busiest:?}");
        assert_eq!(ran.len() - before, 32, "each runs once");
    });
}

/// Symptom: for as long as one replica fails what it is asked, a tenth of a group's callers get errors, though two
/// sound targets could serve them.
/// Events: the replica answers all checks, and fails each statement.
/// Cause: only targets that broke off or refused were passed over; and a transaction that only reads was not begun
/// anew elsewhere.
#[test_case(Fault::FailsStatements; "all of them")]
#[test_case(Fault::FailsEverySecond; "every other one")]
fn a_target_that_fails_statements_is_passed_over(fault: Fault) {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let caller = world.caller(&proxy, BOUNDED).await;
        for _ in 0..20 {
            caller.execute_ok("READ slot").await;
        }
        world.group.inject_fault(1, fault);
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(2) {
            caller.execute_ok("READ slot").await;
            caller.execute_ok("BEGIN READ").await;
            caller.execute_ok("READ slot").await;
            caller.execute_ok("COMMIT").await;
        }
        let failed = world.group.failed_statements.get();
        assert!((1..=10).contains(&failed), "it failed {failed} statements in two seconds");
        world.group.clear_faults(1);
        // Of two sound replicas the faster is read from, so that the other one has to go.
        world.group.inject_fault(2, Fault::FailsStatements);
        let mended = Instant::now();
        let on_replica =
            || world.group.executed().last().is_some_and(|it| it.member.as_str() == "m1");
        while !on_replica() {
            assert!(mended.elapsed() < FORGIVEN_WITHIN * 2, "it is read from again");
            caller.execute_ok("READ slot").await;
        }
    });
}

/// Symptom: a caller is told that its transaction did not run for want of room, though its read ran twice and failed.
/// Events: one replica fails what it is asked, and the other targets are too busy.
/// Cause: the failure was taken for one more place that could not take the transaction.
#[test]
fn a_reading_transaction_that_fails_wherever_it_runs_is_told_so() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let caller = world.caller(&proxy, BOUNDED).await;
        caller.execute_ok("READ slot").await;
        world.group.inject_fault(1, Fault::FailsStatements);
        world.group.inject_fault(0, Fault::Busy);
        world.group.inject_fault(2, Fault::Busy);
        caller.execute_ok("BEGIN READ").await;
        assert_eq!(caller.execute_err("READ slot").await, FailureCode::Failed);
        caller.execute_ok("ROLLBACK").await;
    });
}
