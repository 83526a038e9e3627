//! Statements of callers that one instance serves.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use gullspar_direct::Phase;
use gullspar_statement::FailureCode;
use support::{
    BOUNDED, Fault, LATEST, OWN_WRITES, World, pause, run, wait_until, world_with_instance,
};

/// A read that may be stale runs on a replica, and a read of the latest data on the leader.
#[test]
fn the_freshness_of_reads_selects_their_targets() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.caller(&proxy, BOUNDED).await.execute_ok("READ a").await;
        world.caller(&proxy, LATEST).await.execute_ok("READ b").await;
        let ran = world.group.executed();
        assert_ne!(Some(&ran[0].member), world.group.leader().as_ref());
        assert_eq!(Some(&ran[1].member), world.group.leader().as_ref());
    });
}

/// Guards against a caller that does not see its own write because its next read runs on a replica without it.
#[test]
fn a_session_sees_its_own_writes_although_replicas_receive_nothing() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.inject_fault(1, Fault::ReplicationStopped);
        world.group.inject_fault(2, Fault::ReplicationStopped);
        let caller = world.caller(&proxy, OWN_WRITES).await;
        for value in 0..20 {
            caller.execute_ok(&format!("WRITE item {value}")).await;
            assert_eq!(caller.execute_ok("READ item").await, [value.to_string()]);
        }
    });
}

/// Guards against reads on a replica that is older than the maximum age, because the position sample it was
/// compared with was too old.
#[test]
fn a_read_is_never_older_than_its_class_allows() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.inject_fault(1, Fault::ReplicationStopped);
        world.group.inject_fault(2, Fault::ReplicationStopped);
        let writer = world.caller(&proxy, LATEST).await;
        let reader = world.caller(&proxy, BOUNDED).await;
        writer.execute_ok("WRITE item new").await;
        pause(support::MAX_AGE_MS + 50).await;
        assert_eq!(reader.execute_ok("READ item").await, ["new"]);
    });
}

/// Guards against reads of the latest data that a partitioned, superseded leader answers from its own log.
#[test]
fn a_superseded_leader_is_not_read_from() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.execute_ok("READ a").await;
        world.group.promote(&"m1".into());
        caller.execute_ok("READ a").await;
        assert_eq!(world.group.executed().last().unwrap().member, "m1".into());
    });
}

/// Guards against a read that waits for one target until its deadline although other targets are idle.
#[test]
fn a_read_whose_answer_is_lost_is_served_by_another_target() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.inject_fault(1, Fault::LosesAnswers);
        world.group.inject_fault(2, Fault::LosesAnswers);
        let caller = world.caller(&proxy, BOUNDED).await;
        let started = std::time::Instant::now();
        caller.execute_ok("READ a").await;
        assert!(started.elapsed().as_millis() < 500, "took {:?}", started.elapsed());
    });
}

/// Guards against a write that runs twice because it was retried after its answer was lost.
#[test]
fn a_write_whose_answer_is_lost_is_unknown_and_not_repeated() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.inject_fault(0, Fault::ResetsConnection);
        let caller = world.caller(&proxy, LATEST).await;
        assert_eq!(caller.execute_err("WRITE slot mine").await, FailureCode::Unknown);
        assert_eq!(world.group.execution_count("WRITE slot mine"), 1);
    });
}

/// A write that a busy leader refused did not run, and is retried until its deadline.
#[test]
fn a_write_is_retried_while_the_leader_is_busy() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.inject_fault(0, Fault::Busy);
        let caller = world.caller(&proxy, LATEST).await;
        caller.send_statement("WRITE slot mine");
        pause(100).await;
        world.group.clear_faults(0);
        assert!(caller.next().await.unwrap().result.is_ok());
        assert_eq!(world.group.execution_count("WRITE slot mine"), 1);
    });
}

/// Guards against a committed transaction that is reported as rolled back because the answer to COMMIT was lost.
#[test]
fn a_lost_commit_is_unknown_only_if_something_was_written() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.execute_ok("BEGIN").await;
        caller.execute_ok("WRITE slot mine").await;
        world.group.inject_fault(0, Fault::ResetsConnection);
        assert_eq!(caller.execute_err("COMMIT").await, FailureCode::Unknown);
        world.group.clear_faults(0);
        caller.execute_ok("BEGIN").await;
        caller.execute_ok("READ slot").await;
        world.group.inject_fault(0, Fault::ResetsConnection);
        assert_eq!(caller.execute_err("COMMIT").await, FailureCode::RolledBack);
    });
}

/// Guards against a transaction that is committed although its connection broke at a write, so that the caller
/// runs it a second time.
#[test]
fn a_transaction_that_loses_its_connection_before_commit_is_rolled_back() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.execute_ok("BEGIN").await;
        caller.execute_ok("WRITE slot one").await;
        world.group.inject_fault(0, Fault::ResetsConnection);
        assert_eq!(caller.execute_err("WRITE slot two").await, FailureCode::RolledBack);
        world.group.clear_faults(0);
        assert_eq!(caller.execute_err("READ slot").await, FailureCode::Malformed);
        caller.execute_ok("ROLLBACK").await;
        assert_eq!(world.group.value("slot"), None);
        caller.execute_ok("BEGIN").await;
        caller.execute_ok("WRITE slot again").await;
        caller.execute_ok("COMMIT").await;
        assert_eq!(world.group.value("slot"), Some("again".to_owned()));
    });
}

/// All statements of a transaction run on one connection, and none of another caller between them.
#[test]
fn a_transaction_has_its_connection_to_itself() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let one = world.caller(&proxy, LATEST).await;
        let other = world.caller(&proxy, LATEST).await;
        one.execute_ok("BEGIN").await;
        one.execute_ok("READ one").await;
        for _ in 0..5 {
            other.execute_ok("READ other").await;
        }
        one.execute_ok("WRITE one 1").await;
        one.execute_ok("COMMIT").await;
        let ran = world.group.executed();
        let of_one: Vec<u64> =
            ran.iter().filter(|it| !it.text.contains("other")).map(|it| it.connection).collect();
        assert!(of_one.iter().all(|it| *it == of_one[0]), "{ran:?}");
        let is_shared =
            ran.iter().any(|it| it.text.contains("other") && it.connection == of_one[0]);
        assert!(!is_shared, "{ran:?}");
    });
}

/// Guards against pooled connections that keep the session values or prepared statements of another session.
#[test]
fn sessions_do_not_see_each_others_values_and_prepared_statements() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let one = world.caller(&proxy, LATEST).await;
        let other = world.caller(&proxy, LATEST).await;
        let plain = world.caller(&proxy, LATEST).await;
        one.execute_ok("SET zone east").await;
        other.execute_ok("SET zone west").await;
        one.execute_ok("PREPARE s READ q1").await;
        other.execute_ok("PREPARE s WRITE q2").await;
        for _ in 0..3 {
            one.execute_ok("EXECUTE s a").await;
            other.execute_ok("EXECUTE s a 1").await;
            plain.execute_ok("READ b").await;
        }
        for ran in world.group.executed() {
            let wanted: &[&str] = match ran.text.as_str() {
                "READ q1 a" => &["zone=east"],
                "WRITE q2 a 1" => &["zone=west"],
                "READ b" => &[],
                other => panic!("{other} was never sent"),
            };
            assert_eq!(ran.values, wanted, "{}", ran.text);
        }
        assert_eq!(plain.execute_err("EXECUTE s a").await, FailureCode::NoSuchPrepared);
        one.execute_ok("DEALLOC s").await;
        assert_eq!(one.execute_err("EXECUTE s a").await, FailureCode::NoSuchPrepared);
    });
}

/// Guards against idle transactions that use up the connections of a target.
#[test]
fn an_idle_transaction_is_rolled_back() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.execute_ok("BEGIN").await;
        caller.execute_ok("WRITE slot mine").await;
        pause(support::TRANSACTION_IDLE_TIMEOUT_MS + 200).await;
        assert_eq!(caller.execute_err("COMMIT").await, FailureCode::RolledBack);
        assert_eq!(world.group.value("slot"), None);
        caller.execute_ok("READ slot").await;
    });
}

/// Guards against a transaction that stays open after its caller has disconnected.
#[test]
fn the_transaction_of_a_caller_that_disconnects_is_rolled_back() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.execute_ok("BEGIN").await;
        caller.execute_ok("WRITE slot mine").await;
        caller.disconnect();
        wait_until(1000, "the session ends", || proxy.shutdown.sessions() == 0).await;
        assert_eq!(world.group.value("slot"), None);
    });
}

/// Guards against writes in a read-only transaction, whichever target runs it.
#[test]
fn a_read_only_transaction_refuses_writes() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.execute_ok("BEGIN READ").await;
        caller.execute_ok("READ a").await;
        assert_eq!(caller.execute_err("WRITE a 1").await, FailureCode::ReadOnly);
        caller.execute_ok("ROLLBACK").await;
        assert_eq!(world.group.execution_count("WRITE a 1"), 0);
    });
}

/// Guards against answers that are lost at a rolling restart because their sessions were closed.
#[test]
fn a_shutdown_completes_running_statements_and_open_transactions() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.statement_duration_ms.set(150);
        let busy = world.caller(&proxy, LATEST).await;
        let idle = world.caller(&proxy, LATEST).await;
        let open = world.caller(&proxy, LATEST).await;
        open.execute_ok("BEGIN").await;
        open.execute_ok("READ a").await;
        busy.send_statement("WRITE slot mine");
        pause(20).await;
        proxy.shutdown.enter(Phase::Unready);
        assert!(!proxy.is_ready());
        idle.execute_ok("READ a").await;
        proxy.shutdown.enter(Phase::ClosingIdle);
        assert!(busy.next().await.unwrap().result.is_ok(), "the running statement is answered");
        assert_eq!(idle.next().await, None, "the idle session is closed");
        open.execute_ok("WRITE slot other").await;
        open.execute_ok("COMMIT").await;
        assert_eq!(open.next().await, None, "the session is closed after its transaction");
        assert_eq!(proxy.shutdown.sessions(), 0);
    });
}

/// Guards against statements of a service that the configuration no longer has.
#[test]
fn services_follow_the_configuration() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        let caller = world.caller(&proxy, BOUNDED).await;
        caller.execute_ok("READ a").await;
        let mut without = support::catalogue(2);
        without.routes.remove(&BOUNDED.into());
        proxy.directory.apply_catalogue(without);
        assert_eq!(caller.execute_err("READ a").await, FailureCode::NoSuchService);
        proxy.directory.apply_catalogue(support::catalogue(1));
        assert_eq!(caller.execute_err("READ a").await, FailureCode::NoSuchService);
        proxy.directory.apply_catalogue(support::catalogue(3));
        caller.execute_ok("READ a").await;
    });
}

/// Guards against instances whose idle connections leave none for instances that restart after a power loss.
#[test]
fn idle_connections_except_one_are_closed() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.statement_duration_ms.set(50);
        let mut callers = Vec::new();
        for _ in 0..4 {
            callers.push(world.caller(&proxy, LATEST).await);
        }
        callers.iter().for_each(|it| it.send_statement("READ a"));
        wait_until(1000, "several connections are open", || world.group.connections(0) > 2).await;
        for it in &callers {
            assert!(it.next().await.unwrap().result.is_ok());
        }
        wait_until(2500, "one connection is left", || world.group.connections(0) <= 1).await;
    });
}

/// Guards against the loss of an acknowledged write when the leader crashes before a replica has received it.
#[test]
fn a_write_is_acknowledged_once_a_replica_has_it() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.inject_fault(1, Fault::ReplicationStopped);
        world.group.inject_fault(2, Fault::ReplicationStopped);
        let caller = world.caller(&proxy, LATEST).await;
        caller.send_statement("WRITE slot mine");
        pause(40).await;
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()), "the leader has it");
        assert!(!caller.has_answer(), "and the caller has no answer yet");
        world.group.clear_faults(1);
        assert!(caller.next().await.unwrap().result.is_ok());
        world.group.promote(&"m1".into());
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()));
    });
}

/// While no replica receives anything, a write is acknowledged by the leader alone after a short wait.
#[test]
fn a_write_does_not_wait_forever_for_replicas_that_receive_nothing() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.inject_fault(1, Fault::ReplicationStopped);
        world.group.inject_fault(2, Fault::ReplicationStopped);
        let caller = world.caller(&proxy, LATEST).await;
        let started = std::time::Instant::now();
        caller.execute_ok("WRITE slot mine").await;
        let took = started.elapsed().as_millis();
        assert!((70..400).contains(&took), "took {took} ms");
    });
}

/// Guards against an acknowledgement after a new term has begun without the commit.
#[test]
fn a_write_of_a_superseded_leader_is_not_acknowledged() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.inject_fault(1, Fault::ReplicationStopped);
        world.group.inject_fault(2, Fault::ReplicationStopped);
        let caller = world.caller(&proxy, LATEST).await;
        caller.send_statement("WRITE slot mine");
        pause(20).await;
        world.group.promote(&"m1".into());
        proxy.group(&support::GROUP.into()).unwrap();
        let answer = caller.next().await.unwrap();
        assert_eq!(answer.result.unwrap_err().code, FailureCode::Unknown);
        assert_eq!(world.group.value("slot"), None);
    });
}

/// Guards against an acknowledgement by a leader that was superseded while no replica was reachable.
#[test]
fn a_leader_superseded_without_notice_does_not_acknowledge_alone() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.inject_fault(1, Fault::UnresponsiveTo(1));
        world.group.inject_fault(2, Fault::UnresponsiveTo(1));
        let caller = world.caller(&proxy, LATEST).await;
        caller.send_statement("WRITE slot mine");
        pause(20).await;
        world.group.promote_without_last(&"m1".into());
        let answer = caller.next().await.unwrap();
        assert_eq!(answer.result.unwrap_err().code, FailureCode::Unknown);
        assert_eq!(world.group.value("slot"), None);
    });
}

/// Guards against a new connection for each read while the previous connection is still rolling back.
#[test]
fn a_read_waits_for_a_connection_that_is_rolling_back() {
    run(async {
        let world = World::new();
        world.group.rollback_duration_ms.set(1);
        let proxy = world.instance(1);
        world.wait_for_leader(&proxy).await;
        let caller = world.caller(&proxy, LATEST).await;
        for _ in 0..20 {
            caller.execute_ok("READ slot").await;
        }
        assert_eq!(world.group.connections(0), 1);
    });
}
