//! Target selection for reads under load.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::time::{Duration, Instant};

use futures::future;
use gullspar_direct::{Freshness, Route};
use gullspar_statement::FailureCode;
use support::{BOUNDED, Fault, LATEST, World, catalogue, pause, run, world_with_instance};
use test_case::test_case;

/// Maximum time until replicas that were slow are read from again: their mean statement time is halved four
/// times, and reads must show the effect.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(4000);

/// Guards against replicas that get no reads after they have recovered, because their mean statement time
/// changes only with statements.
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
            assert!(mended.elapsed() < RECOVERY_TIMEOUT, "replicas are not read from again");
            caller.execute_ok("READ slot").await;
        }
    });
}

/// Guards against a burst that goes to one target because statements that wait for a permit are not counted.
#[test]
fn a_burst_is_spread_over_the_targets() {
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

/// Guards against reads and read-only transactions that fail on a failing replica although other targets could
/// serve them.
#[test_case(Fault::FailsStatements; "all of them")]
#[test_case(Fault::FailsEverySecond; "every other one")]
fn a_target_that_fails_statements_is_avoided(fault: Fault) {
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
        // Only the faster of two healthy replicas is read from, so the other one now fails.
        world.group.inject_fault(2, Fault::FailsStatements);
        let mended = Instant::now();
        let on_replica =
            || world.group.executed().last().is_some_and(|it| it.member.as_str() == "m1");
        while !on_replica() {
            assert!(
                mended.elapsed() < RECOVERY_TIMEOUT * 2,
                "the recovered replica is not read from again"
            );
            caller.execute_ok("READ slot").await;
        }
    });
}

/// Guards against a failure that is reported as overload because the other targets are busy.
#[test]
fn a_read_only_transaction_that_fails_on_a_target_is_reported_as_failed() {
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

/// Guards against reads that use up the only replica that has caught up, although a replica that lags could serve them.
#[test]
fn reads_that_need_less_go_to_a_replica_that_lags() {
    run(async {
        let world = World::new();
        let mut catalogue = catalogue(1);
        let bounded = catalogue.routes[&BOUNDED.into()].clone();
        let tolerant = Route { freshness: Freshness::MaxAge { ms: 5000 }, ..bounded };
        catalogue.routes.insert("archive".into(), tolerant);
        let proxy = world.instance_with_catalogue(1, catalogue);
        world.wait_for_leader(&proxy).await;
        let (writer, reader) =
            (world.caller(&proxy, LATEST).await, world.caller(&proxy, BOUNDED).await);
        let tolerant = world.caller(&proxy, "archive").await;
        writer.execute_ok("WRITE slot old").await;
        pause(500).await;
        world.group.inject_fault(2, Fault::AppliesLate);
        for _ in 0..25 {
            writer.execute_ok("WRITE slot new").await;
            pause(100).await;
        }
        for _ in 0..20 {
            reader.execute_ok("READ slot").await;
            assert_ne!(world.group.executed().last().unwrap().member, "m2".into());
            tolerant.execute_ok("READ slot").await;
            assert_eq!(world.group.executed().last().unwrap().member, "m2".into());
        }
    });
}

/// Guards against a replica that lagged for seconds and gets no reads long after it has caught up.
#[test]
fn a_replica_that_has_caught_up_is_read_from_at_once() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let (writer, reader) =
            (world.caller(&proxy, LATEST).await, world.caller(&proxy, BOUNDED).await);
        [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::AppliesLate));
        for _ in 0..40 {
            writer.execute_ok("WRITE slot new").await;
            reader.execute_ok("READ slot").await;
            pause(80).await;
        }
        assert!(world.is_last_statement_on_leader());
        [1, 2].into_iter().for_each(|it| world.group.clear_faults(it));
        let caught_up = Instant::now();
        while world.is_last_statement_on_leader() {
            assert!(caught_up.elapsed() < Duration::from_millis(300), "replicas get no reads");
            reader.execute_ok("READ slot").await;
        }
    });
}
