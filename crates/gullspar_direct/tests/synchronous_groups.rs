//! Groups whose members acknowledge a commit only once a replica has received it: no promotion undoes an acknowledged commit.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::rc::Rc;
use std::time::Instant;

use gullspar_direct::{LogEnd, MemberLog, NewestAcknowledged, Proxy, choose_successor};
use gullspar_membership::DEAD_COUNTED_PERIOD;
use gullspar_model::LogPoint;
use gullspar_statement::FailureCode;
use support::{
    FAILOVER_TIMEOUT_MS, Fault, LATEST, Load, STATEMENT_TIMEOUT_MS, World, leader_of, pause, run,
    synchronous_catalogue, wait_until,
};
use test_case::test_case;

/// Time in which a failover takes place if it can, in milliseconds.
const NO_FAILOVER_MS: u64 = 3000;

/// Time in which a write that can't be confirmed is refused, in milliseconds.
const REFUSAL_MS: u128 = 100;

fn announce(world: &World, proxies: &[Rc<Proxy>], revision: u64) {
    proxies.iter().for_each(|it| world.apply_target_list(it, revision));
}

async fn write(world: &World, proxy: &Rc<Proxy>, item: &str) -> Result<(), FailureCode> {
    let answer = world.caller(proxy, LATEST).await.execute(&format!("WRITE {item} mine")).await;
    answer.result.map(|_| ()).map_err(|it| it.code)
}

/// Guards against acknowledging a commit that only a leaving replica has, which is not promoted.
#[test]
fn a_commit_that_only_a_leaving_replica_has_is_not_acknowledged() {
    run(async {
        let world = World::new();
        let proxies = world.synchronous_instances(3).await;
        world.group.mark_leaving(1);
        announce(&world, &proxies, 2);
        world.group.inject_fault(2, Fault::ReplicationStopped);
        let caller = world.caller(&proxies[0], LATEST).await;
        caller.send_statement("WRITE slot mine");
        pause(STATEMENT_TIMEOUT_MS / 2).await;
        assert!(!caller.has_answer());
        world.group.clear_faults(2);
        assert!(caller.next().await.unwrap().result.is_ok());
    });
}

/// Guards against acknowledging commits alone that were sent before the configuration said that a replica must have them.
#[test]
fn a_commit_on_its_way_follows_a_change_of_the_configuration() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::ReplicationStopped));
        let caller = world.caller(&proxies[0], LATEST).await;
        caller.send_statement("WRITE slot mine");
        pause(40).await;
        proxies.iter().for_each(|it| {
            it.directory.apply_catalogue(synchronous_catalogue(2));
        });
        let answer = caller.next().await.unwrap();
        assert_eq!(answer.result.unwrap_err().code, FailureCode::Unknown);
    });
}

/// Guards against a group that confirms nothing any more because a member restarted before anything was known of claims.
#[test]
fn a_restart_before_the_claim_was_read_is_forgotten() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        world.group.restart_with_empty_log(2);
        announce(&world, &proxies, 2);
        proxies.iter().for_each(|it| {
            it.directory.apply_catalogue(synchronous_catalogue(2));
        });
        pause(200).await;
        assert_eq!(write(&world, &proxies[0], "slot").await, Ok(()));
    });
}

/// Guards against writes that wait for their deadline although no replica receives anything, and against refusing them for
/// good.
#[test]
fn writes_are_refused_at_once_while_no_replica_receives_commits() {
    run(async {
        let world = World::new();
        let proxies = world.synchronous_instances(2).await;
        [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::ReplicationStopped));
        assert_eq!(write(&world, &proxies[0], "first").await, Err(FailureCode::Unknown));
        let started = Instant::now();
        assert_eq!(write(&world, &proxies[0], "second").await, Err(FailureCode::Congested));
        assert!(started.elapsed().as_millis() < REFUSAL_MS, "took {:?}", started.elapsed());
        assert_eq!(world.group.value("second"), None);
        world.group.clear_faults(2);
        pause(600).await;
        assert_eq!(write(&world, &proxies[0], "third").await, Ok(()));
    });
}

/// Guards against refusing writes of a group whose replicas receive all commits and apply them late.
#[test]
fn commits_are_confirmed_by_replicas_that_apply_them_late() {
    run(async {
        let world = World::new();
        let proxies = world.synchronous_instances(2).await;
        world.group.receive_lag_ms.set(50);
        [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::AppliesLate));
        for number in 0..5 {
            assert_eq!(write(&world, &proxies[0], &format!("slot-{number}")).await, Ok(()));
        }
    });
}

/// Guards against promoting a replica that lacks acknowledged commits because the one that has them doesn't answer.
#[test]
fn a_silent_replica_that_may_have_the_only_copy_is_awaited() {
    run(async {
        let world = World::new();
        let proxies = world.synchronous_instances(3).await;
        world.group.inject_fault(2, Fault::ReplicationStopped);
        assert_eq!(write(&world, &proxies[0], "slot").await, Ok(()));
        [0, 1].into_iter().for_each(|it| world.group.inject_fault(it, Fault::Unresponsive));
        pause(NO_FAILOVER_MS).await;
        assert_eq!(world.promoter.orders(), []);
        world.group.clear_faults(1);
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()));
    });
}

/// Guards against a group that stays without a leader because a replica is down that has nothing the others lack.
#[test]
fn a_silent_replica_that_can_have_no_other_commit_is_not_awaited() {
    run(async {
        let world = World::new();
        let proxies = world.synchronous_instances(3).await;
        world.group.inject_fault(2, Fault::Unresponsive);
        pause(DEAD_COUNTED_PERIOD.as_millis() as u64).await;
        for proxy in &proxies {
            assert_eq!(write(&world, proxy, "slot").await, Ok(()));
        }
        world.group.inject_fault(0, Fault::Unresponsive);
        world.wait_for_new_leader("m0", NO_FAILOVER_MS).await;
        assert_eq!(world.group.leader(), Some("m1".into()));
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()));
    });
}

/// Guards against relying on instances that have just started and don't know what they acknowledged before.
#[test]
fn a_silent_replica_is_awaited_by_instances_that_have_just_started() {
    run(async {
        let world = World::new();
        let _proxies = world.synchronous_instances(3).await;
        [0, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::Unresponsive));
        pause(NO_FAILOVER_MS).await;
        assert_eq!(world.promoter.orders(), []);
        world.group.clear_faults(2);
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
    });
}

/// Guards against losing commits that were acknowledged before instances learnt that the replica which has them will leave.
#[test]
fn a_leaving_replica_with_the_only_copy_is_promoted_and_replaced() {
    run(async {
        let world = World::new();
        let proxies = world.synchronous_instances(3).await;
        world.group.inject_fault(2, Fault::ReplicationStopped);
        assert_eq!(write(&world, &proxies[0], "slot").await, Ok(()));
        world.group.mark_leaving(1);
        announce(&world, &proxies, 2);
        world.group.inject_fault(0, Fault::Unresponsive);
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
        assert_eq!(world.group.leader(), Some("m1".into()));
        world.group.clear_faults(2);
        world.wait_for_new_leader("m1", FAILOVER_TIMEOUT_MS).await;
        assert_eq!(world.group.leader(), Some("m2".into()));
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()));
    });
}

/// Guards against a failover that loses commits which another instance than the acting one has acknowledged.
#[test]
fn acknowledged_commits_survive_failovers_under_load() {
    run(async {
        let world = World::new();
        let proxies = world.synchronous_instances(3).await;
        world.group.receive_lag_ms.set(60);
        [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::AppliesLate));
        let load = Load::start(&world, &proxies, 0, 3).await;
        pause(1000).await;
        world.group.inject_fault(0, Fault::Unresponsive);
        world.wait_for_new_leader("m0", FAILOVER_TIMEOUT_MS).await;
        let leader = world.group.leader();
        for proxy in &proxies {
            wait_until(1000, "the new leader is used", || leader_of(proxy) == leader).await;
        }
        world.group.clear_faults(0);
        pause(1000).await;
        assert!(load.stop_and_check().await > 50);
    });
}

/// Guards against a planned transfer that is never ordered in a synchronous group.
#[test]
fn the_leader_role_of_a_synchronous_group_is_transferred() {
    run(async {
        let world = World::new();
        let load = world.loaded_synchronous_instances().await;
        [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, Fault::AppliesLate));
        world.wait_for_new_leader("m0", 2 * FAILOVER_TIMEOUT_MS).await;
        pause(500).await;
        assert_eq!(world.promoter.orders().len(), 1, "{:?}", world.promoter.orders());
        load.stop_and_check().await;
    });
}

fn log(member: &str, end: LogEnd, is_leaving: bool) -> MemberLog {
    MemberLog { member: member.into(), end, is_leaving }
}

fn exactly(position: u64) -> LogEnd {
    LogEnd::Exactly(LogPoint::new(3, position))
}

fn at_least(position: u64) -> LogEnd {
    LogEnd::AtLeast(LogPoint::new(3, position))
}

/// Guards against a choice that depends on which members happen to answer, on their order, or on what is not known.
#[test_case([exactly(7), exactly(9)], Some(8), true, Some("b"); "the longer log of those that have everything")]
#[test_case([exactly(9), exactly(8)], Some(8), true, Some("a"); "whichever comes first")]
#[test_case([LogEnd::Unknown, exactly(8)], Some(8), true, Some("b"); "a silent member has nothing acknowledged that the other lacks")]
#[test_case([LogEnd::Unknown, exactly(7)], Some(8), true, None; "a silent member may have what the other lacks")]
#[test_case([LogEnd::Unknown, exactly(8)], Some(8), false, None; "a silent member while not all commits are known")]
#[test_case([exactly(7), exactly(9)], None, false, Some("b"); "the longest of all logs")]
#[test_case([at_least(7), exactly(9)], None, false, None; "a busy member may have a longer log")]
#[test_case([at_least(8), LogEnd::Unknown], Some(8), true, Some("a"); "a busy member is known to have everything")]
#[test_case([exactly(7), exactly(6)], Some(8), false, None; "only the failed leader has the newest commit")]
fn the_successor_has_all_acknowledged_commits(
    ends: [LogEnd; 2],
    acknowledged: Option<u64>,
    is_complete: bool,
    expected: Option<&str>,
) {
    let logs = [log("a", ends[0], false), log("b", ends[1], false)];
    let point = acknowledged.map(|it| LogPoint::new(3, it));
    let chosen = choose_successor(&logs, NewestAcknowledged { point, is_complete }, true);
    assert_eq!(chosen.map(|it| it.member.as_str()), expected);
}

/// Guards against promoting a leaving member without need, and against passing over one that alone has a commit.
#[test_case(7, 9, true, "a"; "one that stays has everything")]
#[test_case(6, 9, true, "b"; "only the leaving one has everything")]
#[test_case(7, 9, false, "b"; "not all commits are known and its log is longer")]
#[test_case(9, 9, false, "a"; "not all commits are known and the logs are equal")]
fn a_leaving_member_is_promoted_only_if_it_must_be(
    staying: u64,
    leaving: u64,
    is_complete: bool,
    expected: &str,
) {
    let logs = [log("a", exactly(staying), false), log("b", exactly(leaving), true)];
    let acknowledged = NewestAcknowledged { point: Some(LogPoint::new(3, 7)), is_complete };
    let chosen = choose_successor(&logs, acknowledged, true);
    assert_eq!(chosen.map(|it| it.member.as_str()), Some(expected));
}

/// Guards against a group that stays without a leader for a commit that no member has any more.
#[test]
fn a_commit_that_left_with_its_members_is_not_awaited() {
    let logs = [log("a", exactly(5), false)];
    let point = Some(LogPoint::new(3, 7));
    for is_complete in [false, true] {
        let acknowledged = NewestAcknowledged { point, is_complete };
        assert_eq!(choose_successor(&logs, acknowledged, true), None);
        assert_eq!(choose_successor(&logs, acknowledged, false), Some(&logs[0]));
    }
}
