//! Statements of callers through one instance.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use gullspar_direct::Phase;
use gullspar_statement::FailureCode;
use support::{
    BOUNDED, Fault, LATEST, OWN_WRITES, World, pause, run, wait_until, world_with_instance,
};

/// A read that may be old runs on a replica, and one that may not runs on the leader.
#[test]
fn reads_go_where_their_freshness_lets_them() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.caller(&proxy, BOUNDED).await.execute_ok("READ a").await;
        world.caller(&proxy, LATEST).await.execute_ok("READ b").await;
        let ran = world.group.executed();
        assert_ne!(Some(&ran[0].member), world.group.leader().as_ref());
        assert_eq!(Some(&ran[1].member), world.group.leader().as_ref());
    });
}

/// Symptom: a caller does not see the row that it has just written.
/// Events: it writes on the leader; its next read goes to a replica that has not received the write.
/// Cause: the replica was not asked to have reached the session's own commit.
#[test]
fn a_session_sees_its_own_writes_although_replicas_hear_nothing() {
    run(async {
        let (world, proxy) = world_with_instance().await;
        world.group.inject_fault(1, Fault::ReplicationStopped);
        world.group.inject_fault(2, Fault::ReplicationStopped);
        let caller = world.caller(&proxy, OWN_WRITES).await;
        for turn in 0..20 {
            caller.execute_ok(&format!("WRITE item {turn}")).await;
            assert_eq!(caller.execute_ok("READ item").await, [turn.to_string()]);
        }
    });
}

/// Symptom: a map shows data older than its class allows.
/// Events: replicas stop receiving; the age limit passes; a read goes to one of them.
/// Cause: the point asked of the replica came from a reading of the leader that was too old.
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

/// Symptom: a booking is confirmed and the next look at it shows the slot free.
/// Events: a leader is superseded behind a cut; it still answers reads from its own log.
/// Cause: reads of the latest data ran bare, and a member that lost the lead answers those.
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

/// Symptom: a visitor's map hangs for a second although two other targets are idle.
/// Events: a target runs the read and its answer is lost.
/// Cause: only one target was asked, until the statement's time was over.
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

/// Symptom: a tour slot is booked twice.
/// Events: the leader runs the write and the connection breaks before its answer.
/// Cause: the write was tried again, although nobody could know whether it had run.
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

/// A write that the leader was too busy for did not run, and is tried again until there is no time left.
#[test]
fn a_write_waits_out_a_busy_leader() {
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

/// Symptom: a caller is told that nothing of its transaction is kept, and finds it kept.
/// Events: the connection breaks at COMMIT, which the target carried out.
/// Cause: a lost answer to COMMIT was taken for a lost transaction.
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

/// Symptom: forty people at a door meant for twenty.
/// Events: in a transaction, the connection breaks at a write; the caller repeats the transaction.
/// Cause: the first one had been committed all the same.
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

/// All statements of a transaction run on one connection, and none of another caller's between them.
#[test]
fn a_transaction_keeps_its_connection_to_itself() {
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
        let mixed = ran.iter().any(|it| it.text.contains("other") && it.connection == of_one[0]);
        assert!(!mixed, "{ran:?}");
    });
}

/// Symptom: a statement runs with another caller's settings, or another caller's prepared statement.
/// Events: two sessions use the same names for different things and share the target's connections.
/// Cause: a pooled connection was handed on as the session before had left it.
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

/// Symptom: a target runs out of connections while most of them do nothing.
/// Events: callers open transactions and go for lunch.
/// Cause: nothing ended a transaction that stood still.
#[test]
fn a_transaction_that_stands_still_is_rolled_back() {
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

/// A caller that leaves in the middle of a transaction leaves nothing behind.
#[test]
fn a_caller_that_leaves_is_rolled_back() {
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

/// A transaction that only reads refuses writes wherever it runs.
#[test]
fn a_reading_transaction_writes_nothing() {
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

/// Symptom: callers lose answers at every rolling restart.
/// Events: the instance is told to end while a statement runs and a transaction is open.
/// Cause: sessions were closed without regard to what was under way.
#[test]
fn a_shutdown_answers_what_is_under_way() {
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
        assert_eq!(open.next().await, None, "the open transaction had its time");
        assert_eq!(proxy.shutdown.sessions(), 0);
    });
}

/// A service that is not there is refused, and one that goes away is refused from the next statement on.
#[test]
fn services_come_and_go_with_the_configuration() {
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

/// Symptom: after a power loss of all instances, nobody is served for four seconds.
/// Events: targets keep the connections of instances that lost power for three seconds; the instances
/// that start again find no connection left.
/// Cause: each instance kept more idle connections than it needed.
#[test]
fn idle_connections_are_given_up_but_for_one() {
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

/// Symptom: a booking that was confirmed is gone after the leader crashed.
/// Events: the leader commits and answers; it crashes before a replica has received the commit; another
/// member is promoted without it.
/// Cause: the caller was told of success by the leader's word alone.
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
        assert!(!caller.has_answer(), "and the caller is not told yet");
        world.group.clear_faults(1);
        assert!(caller.next().await.unwrap().result.is_ok());
        world.group.promote(&"m1".into());
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()));
    });
}

/// With replicas that receive nothing, a write is acknowledged by the leader alone after a moment: the
/// operators chose so, and the log tells.
#[test]
fn a_write_does_not_wait_for_deaf_replicas_for_ever() {
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

/// Symptom: a caller is told of success by a leader that was superseded.
/// Events: the leader commits; before a replica has the commit, another term begins without it.
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

/// Symptom: a confirmed booking is gone after a failover that happened before it was confirmed.
/// Events: the leader commits; no replica can be asked; another member is promoted without the commit; the
/// caller is told of success when the wait for a replica is over.
/// Cause: it was not asked whether the leader still led.
#[test]
fn a_leader_that_was_superseded_unseen_does_not_acknowledge_alone() {
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

/// Symptom: targets spend a good part of their slots on new connections, most of all after a restart.
/// Events: a read on the leader is answered; its rollback is still on its way when the next read comes.
/// Cause: the connection was not idle yet, and another one was opened at once.
#[test]
fn a_connection_that_is_about_to_come_back_is_waited_for() {
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
