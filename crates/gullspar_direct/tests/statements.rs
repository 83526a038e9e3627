//! Statements of callers that one instance serves.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use gullspar_direct::Phase;
use gullspar_statement::FailureCode;
use support::{BOUNDED, Fault, LATEST, OWN, World, pause, run, settled, until};

/// A read that may be stale runs on a replica, and a read of the latest data on the leader.
#[test]
fn the_freshness_of_reads_selects_their_targets() {
    run(async {
        let (world, proxy) = settled().await;
        world.caller(&proxy, BOUNDED).await.done("READ a").await;
        world.caller(&proxy, LATEST).await.done("READ b").await;
        let ran = world.group.ran();
        assert_ne!(Some(&ran[0].member), world.group.leader().as_ref());
        assert_eq!(Some(&ran[1].member), world.group.leader().as_ref());
    });
}

/// Guards against a caller that does not see its own write because its next read runs on a replica without it.
#[test]
fn a_session_sees_its_own_writes_although_replicas_receive_nothing() {
    run(async {
        let (world, proxy) = settled().await;
        world.group.set(1, Fault::Deaf);
        world.group.set(2, Fault::Deaf);
        let caller = world.caller(&proxy, OWN).await;
        for value in 0..20 {
            caller.done(&format!("WRITE item {value}")).await;
            assert_eq!(caller.done("READ item").await, [value.to_string()]);
        }
    });
}

/// Guards against reads on a replica that is older than the maximum age, because the position sample it was
/// compared with was too old.
#[test]
fn a_read_is_never_older_than_its_class_allows() {
    run(async {
        let (world, proxy) = settled().await;
        world.group.set(1, Fault::Deaf);
        world.group.set(2, Fault::Deaf);
        let writer = world.caller(&proxy, LATEST).await;
        let reader = world.caller(&proxy, BOUNDED).await;
        writer.done("WRITE item new").await;
        pause(support::MAX_AGE_MS + 50).await;
        assert_eq!(reader.done("READ item").await, ["new"]);
    });
}

/// Guards against reads of the latest data that a partitioned, superseded leader answers from its own log.
#[test]
fn a_superseded_leader_is_not_read_from() {
    run(async {
        let (world, proxy) = settled().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.done("READ a").await;
        world.group.promote(&"m1".into());
        caller.done("READ a").await;
        assert_eq!(world.group.ran().last().unwrap().member, "m1".into());
    });
}

/// Guards against a read that waits for one target until its deadline although other targets are idle.
#[test]
fn a_read_whose_answer_is_lost_is_served_by_another_target() {
    run(async {
        let (world, proxy) = settled().await;
        world.group.set(1, Fault::LosesAnswers);
        world.group.set(2, Fault::LosesAnswers);
        let caller = world.caller(&proxy, BOUNDED).await;
        let started = std::time::Instant::now();
        caller.done("READ a").await;
        assert!(started.elapsed().as_millis() < 500, "took {:?}", started.elapsed());
    });
}

/// Guards against a write that runs twice because it was retried after its answer was lost.
#[test]
fn a_write_whose_answer_is_lost_is_unknown_and_not_repeated() {
    run(async {
        let (world, proxy) = settled().await;
        world.group.set(0, Fault::Resets);
        let caller = world.caller(&proxy, LATEST).await;
        assert_eq!(caller.refused("WRITE slot mine").await, FailureCode::Unknown);
        assert_eq!(world.group.count("WRITE slot mine"), 1);
    });
}

/// A write that a busy leader refused did not run, and is retried until its deadline.
#[test]
fn a_write_is_retried_while_the_leader_is_busy() {
    run(async {
        let (world, proxy) = settled().await;
        world.group.set(0, Fault::Busy);
        let caller = world.caller(&proxy, LATEST).await;
        caller.begin_to_say("WRITE slot mine");
        pause(100).await;
        world.group.mend(0);
        assert!(caller.next().await.unwrap().result.is_ok());
        assert_eq!(world.group.count("WRITE slot mine"), 1);
    });
}

/// Guards against a committed transaction that is reported as rolled back because the answer to COMMIT was lost.
#[test]
fn a_lost_commit_is_unknown_only_if_something_was_written() {
    run(async {
        let (world, proxy) = settled().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.done("BEGIN").await;
        caller.done("WRITE slot mine").await;
        world.group.set(0, Fault::Resets);
        assert_eq!(caller.refused("COMMIT").await, FailureCode::Unknown);
        world.group.mend(0);
        caller.done("BEGIN").await;
        caller.done("READ slot").await;
        world.group.set(0, Fault::Resets);
        assert_eq!(caller.refused("COMMIT").await, FailureCode::RolledBack);
    });
}

/// Guards against a transaction that is committed although its connection broke at a write, so that the caller
/// runs it a second time.
#[test]
fn a_transaction_that_loses_its_connection_before_commit_is_rolled_back() {
    run(async {
        let (world, proxy) = settled().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.done("BEGIN").await;
        caller.done("WRITE slot one").await;
        world.group.set(0, Fault::Resets);
        assert_eq!(caller.refused("WRITE slot two").await, FailureCode::RolledBack);
        world.group.mend(0);
        assert_eq!(caller.refused("READ slot").await, FailureCode::Malformed);
        caller.done("ROLLBACK").await;
        assert_eq!(world.group.value("slot"), None);
        caller.done("BEGIN").await;
        caller.done("WRITE slot again").await;
        caller.done("COMMIT").await;
        assert_eq!(world.group.value("slot"), Some("again".to_owned()));
    });
}

/// All statements of a transaction run on one connection, and none of another caller between them.
#[test]
fn a_transaction_has_its_connection_to_itself() {
    run(async {
        let (world, proxy) = settled().await;
        let one = world.caller(&proxy, LATEST).await;
        let other = world.caller(&proxy, LATEST).await;
        one.done("BEGIN").await;
        one.done("READ one").await;
        for _ in 0..5 {
            other.done("READ other").await;
        }
        one.done("WRITE one 1").await;
        one.done("COMMIT").await;
        let ran = world.group.ran();
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
        let (world, proxy) = settled().await;
        let one = world.caller(&proxy, LATEST).await;
        let other = world.caller(&proxy, LATEST).await;
        let plain = world.caller(&proxy, LATEST).await;
        one.done("SET zone east").await;
        other.done("SET zone west").await;
        one.done("PREPARE s READ q1").await;
        other.done("PREPARE s WRITE q2").await;
        for _ in 0..3 {
            one.done("EXECUTE s a").await;
            other.done("EXECUTE s a 1").await;
            plain.done("READ b").await;
        }
        for ran in world.group.ran() {
            let wanted: &[&str] = match ran.text.as_str() {
                "READ q1 a" => &["zone=east"],
                "WRITE q2 a 1" => &["zone=west"],
                "READ b" => &[],
                other => panic!("{other} was never sent"),
            };
            assert_eq!(ran.values, wanted, "{}", ran.text);
        }
        assert_eq!(plain.refused("EXECUTE s a").await, FailureCode::NoSuchPrepared);
        one.done("DEALLOC s").await;
        assert_eq!(one.refused("EXECUTE s a").await, FailureCode::NoSuchPrepared);
    });
}

/// Guards against idle transactions that use up the connections of a target.
#[test]
fn an_idle_transaction_is_rolled_back() {
    run(async {
        let (world, proxy) = settled().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.done("BEGIN").await;
        caller.done("WRITE slot mine").await;
        pause(support::TRANSACTION_IDLE_MS + 200).await;
        assert_eq!(caller.refused("COMMIT").await, FailureCode::RolledBack);
        assert_eq!(world.group.value("slot"), None);
        caller.done("READ slot").await;
    });
}

/// Guards against a transaction that stays open after its caller has disconnected.
#[test]
fn the_transaction_of_a_caller_that_disconnects_is_rolled_back() {
    run(async {
        let (world, proxy) = settled().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.done("BEGIN").await;
        caller.done("WRITE slot mine").await;
        caller.leave();
        until(1000, "the session ends", || proxy.shutdown.sessions() == 0).await;
        assert_eq!(world.group.value("slot"), None);
    });
}

/// Guards against writes in a read-only transaction, whichever target runs it.
#[test]
fn a_read_only_transaction_refuses_writes() {
    run(async {
        let (world, proxy) = settled().await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.done("BEGIN READ").await;
        caller.done("READ a").await;
        assert_eq!(caller.refused("WRITE a 1").await, FailureCode::ReadOnly);
        caller.done("ROLLBACK").await;
        assert_eq!(world.group.count("WRITE a 1"), 0);
    });
}

/// Guards against answers that are lost at a rolling restart because their sessions were closed.
#[test]
fn a_shutdown_completes_running_statements_and_open_transactions() {
    run(async {
        let (world, proxy) = settled().await;
        world.group.work_ms.set(150);
        let busy = world.caller(&proxy, LATEST).await;
        let idle = world.caller(&proxy, LATEST).await;
        let open = world.caller(&proxy, LATEST).await;
        open.done("BEGIN").await;
        open.done("READ a").await;
        busy.begin_to_say("WRITE slot mine");
        pause(20).await;
        proxy.shutdown.enter(Phase::Unready);
        assert!(!proxy.is_ready());
        idle.done("READ a").await;
        proxy.shutdown.enter(Phase::ClosingIdle);
        assert!(busy.next().await.unwrap().result.is_ok(), "the running statement is answered");
        assert_eq!(idle.next().await, None, "the idle session is closed");
        open.done("WRITE slot other").await;
        open.done("COMMIT").await;
        assert_eq!(open.next().await, None, "the session is closed after its transaction");
        assert_eq!(proxy.shutdown.sessions(), 0);
    });
}

/// Guards against statements of a service that the configuration no longer has.
#[test]
fn services_follow_the_configuration() {
    run(async {
        let (world, proxy) = settled().await;
        let caller = world.caller(&proxy, BOUNDED).await;
        caller.done("READ a").await;
        let mut without = support::catalogue(2);
        without.routes.remove(&BOUNDED.into());
        proxy.directory.apply_catalogue(without);
        assert_eq!(caller.refused("READ a").await, FailureCode::NoSuchService);
        proxy.directory.apply_catalogue(support::catalogue(1));
        assert_eq!(caller.refused("READ a").await, FailureCode::NoSuchService);
        proxy.directory.apply_catalogue(support::catalogue(3));
        caller.done("READ a").await;
    });
}

/// Guards against instances whose idle connections leave none for instances that restart after a power loss.
#[test]
fn idle_connections_except_one_are_closed() {
    run(async {
        let (world, proxy) = settled().await;
        world.group.work_ms.set(50);
        let mut callers = Vec::new();
        for _ in 0..4 {
            callers.push(world.caller(&proxy, LATEST).await);
        }
        callers.iter().for_each(|it| it.begin_to_say("READ a"));
        until(1000, "several connections are open", || world.group.connections(0) > 2).await;
        for it in &callers {
            assert!(it.next().await.unwrap().result.is_ok());
        }
        until(2500, "one connection is left", || world.group.connections(0) <= 1).await;
    });
}

/// Guards against the loss of an acknowledged write when the leader crashes before a replica has received it.
#[test]
fn a_write_is_acknowledged_once_a_replica_has_it() {
    run(async {
        let (world, proxy) = settled().await;
        world.group.set(1, Fault::Deaf);
        world.group.set(2, Fault::Deaf);
        let caller = world.caller(&proxy, LATEST).await;
        caller.begin_to_say("WRITE slot mine");
        pause(40).await;
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()), "the leader has it");
        assert!(!caller.has_answer(), "and the caller has no answer yet");
        world.group.mend(1);
        assert!(caller.next().await.unwrap().result.is_ok());
        world.group.promote(&"m1".into());
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()));
    });
}

/// While no replica receives anything, a write is acknowledged by the leader alone after a short wait.
#[test]
fn a_write_does_not_wait_forever_for_replicas_that_receive_nothing() {
    run(async {
        let (world, proxy) = settled().await;
        world.group.set(1, Fault::Deaf);
        world.group.set(2, Fault::Deaf);
        let caller = world.caller(&proxy, LATEST).await;
        let started = std::time::Instant::now();
        caller.done("WRITE slot mine").await;
        let took = started.elapsed().as_millis();
        assert!((70..400).contains(&took), "took {took} ms");
    });
}

/// Guards against an acknowledgement after a new term has begun without the commit.
#[test]
fn a_write_of_a_superseded_leader_is_not_acknowledged() {
    run(async {
        let (world, proxy) = settled().await;
        world.group.set(1, Fault::Deaf);
        world.group.set(2, Fault::Deaf);
        let caller = world.caller(&proxy, LATEST).await;
        caller.begin_to_say("WRITE slot mine");
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
        let (world, proxy) = settled().await;
        world.group.set(1, Fault::DarkTo(1));
        world.group.set(2, Fault::DarkTo(1));
        let caller = world.caller(&proxy, LATEST).await;
        caller.begin_to_say("WRITE slot mine");
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
        world.group.rollback_ms.set(1);
        let proxy = world.instance(1);
        world.settle(&proxy).await;
        let caller = world.caller(&proxy, LATEST).await;
        for _ in 0..20 {
            caller.done("READ slot").await;
        }
        assert_eq!(world.group.connections(0), 1);
    });
}
