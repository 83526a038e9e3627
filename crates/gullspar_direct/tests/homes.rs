//! Many instances before few connections: sessions are handed on to homes.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::rc::Rc;

use gullspar_direct::{Catalogue, Member, Phase, Proxy, serve_caller};
use gullspar_model::ServiceName;
use gullspar_statement::FailureCode;
use support::{BOUNDED, FakeCaller, LATEST, World, pause, run, wait_until};

/// Connections to each target that the configuration allows in these tests.
const CONNECTIONS: u32 = 10;

/// More instances than can each have two of the connections.
const INSTANCES: u16 = 8;

/// A service that a later configuration adds.
const ADDED: &str = "added";

/// A larger fleet, and connections of which each of it could have one.
const FLEET: u16 = 20;
const MANY_CONNECTIONS: u32 = 44;

async fn many(world: &World) -> Vec<Rc<Proxy>> {
    let proxies: Vec<Rc<Proxy>> = (1..=INSTANCES).map(|it| world.instance(it)).collect();
    for proxy in &proxies {
        proxy.directory.apply_catalogue(support::catalogue_with_connections(2, CONNECTIONS));
    }
    pause(6000).await;
    proxies
}

fn members(count: u16) -> Vec<Member> {
    (1..=count).map(support::member).collect()
}

fn homes(proxies: &[Rc<Proxy>]) -> Vec<Rc<Proxy>> {
    proxies.iter().filter(|it| !it.groups().is_empty()).map(Rc::clone).collect()
}

/// An instance that is home of nothing, and hands its sessions on.
fn no_home(proxies: &[Rc<Proxy>]) -> &Rc<Proxy> {
    proxies.iter().find(|it| it.groups().is_empty()).unwrap()
}

/// Symptom: with many instances, one statement in five is refused and targets turn away thousands of
/// connections a second.
/// Cause: every instance opens its own connections, and there are not enough for all.
#[test]
fn only_homes_hold_connections_and_everybody_is_served() {
    run(async {
        let world = World::new();
        let proxies = many(&world).await;
        let homes = homes(&proxies);
        assert!(!homes.is_empty() && homes.len() < proxies.len(), "{} homes", homes.len());
        for (at, proxy) in proxies.iter().enumerate() {
            let caller = world.caller(proxy, LATEST).await;
            caller.execute_ok(&format!("WRITE item{at} x")).await;
            caller.execute_ok("BEGIN").await;
            assert_eq!(caller.execute_ok(&format!("READ item{at}")).await, ["x"]);
            caller.execute_ok("COMMIT").await;
            caller.execute_ok("SET zone east").await;
            caller.execute_ok("PREPARE s READ q").await;
            caller.execute_ok("EXECUTE s a").await;
        }
        for member in 0..3 {
            let open = world.group.connections(member);
            assert!(open <= CONNECTIONS, "{open} connections to m{member}");
        }
    });
}

/// Symptom: callers of one instance lose requests when another one is restarted.
/// Events: a home is told to end while it serves sessions that others handed on.
/// Cause: it closed them although a request was on its way between the two.
#[test]
fn a_home_that_ends_answers_what_is_on_its_way() {
    run(async {
        let world = World::new();
        let proxies = many(&world).await;
        let homes = homes(&proxies);
        let other = no_home(&proxies);
        world.group.statement_duration_ms.set(150);
        let busy = world.caller(other, LATEST).await;
        let idle = world.caller(other, BOUNDED).await;
        busy.send_statement("WRITE slot mine");
        pause(30).await;
        homes.iter().for_each(|it| it.shutdown.enter(Phase::ClosingIdle));
        assert!(busy.next().await.unwrap().result.is_ok());
        assert_eq!(busy.next().await, None, "then the session is closed");
        assert_eq!(idle.next().await, None);
        wait_until(1000, "no session is left", || {
            homes.iter().all(|it| it.shutdown.sessions() == 0)
        })
        .await;
    });
}

/// A home that dies with a write under way leaves its outcome unknown, and says so at once.
#[test]
fn a_home_that_dies_leaves_a_write_unknown() {
    run(async {
        let world = World::new();
        let proxies = many(&world).await;
        let other = no_home(&proxies);
        world.group.statement_duration_ms.set(300);
        let caller = world.caller(other, LATEST).await;
        caller.send_statement("WRITE slot mine");
        pause(50).await;
        world.network.drop_sessions();
        let answer = caller.next().await.unwrap();
        assert_eq!(answer.result.unwrap_err().code, FailureCode::Unknown);
        assert_eq!(caller.next().await, None);
    });
}

/// Symptom: after a power loss of a large fleet targets reset thousands of connections, and for four
/// seconds a tenth of the callers is served in time.
/// Events: all instances start at the same moment, and callers come before the first heartbeats.
/// Cause: each had heard nobody, took itself for the only one, and connected to all targets.
#[test]
fn instances_that_start_together_do_not_each_take_themselves_for_the_only_one() {
    run(async {
        let world = World::new();
        let proxies = world.fleet(&members(INSTANCES), CONNECTIONS);
        pause(100).await;
        let homes = homes(&proxies);
        assert!(!homes.is_empty() && homes.len() < proxies.len(), "{} homes", homes.len());
        assert_eq!(world.registry.registrations.get(), 0, "nothing changed, so nothing is written");
    });
}

/// Where the registry does not answer, a start goes on without it.
#[test]
fn a_silent_registry_holds_no_start_up_for_long() {
    run(async {
        let world = World::new();
        world.registry.unresponsive.set(true);
        let proxy = world.instance(1);
        let caller = world.caller(&proxy, LATEST).await;
        wait_until(1500, "it is ready", || proxy.is_ready()).await;
        world.wait_for_leader(&proxy).await;
        caller.execute_ok("WRITE slot x").await;
    });
}

/// Entries of instances that are gone for good count for a few seconds only.
#[test]
fn instances_that_are_never_heard_are_not_expected_for_ever() {
    run(async {
        let world = World::new();
        for number in 2..=INSTANCES {
            world.registry.insert(support::member(number));
        }
        let proxy =
            world.instance_with_catalogue(1, support::catalogue_with_connections(2, CONNECTIONS));
        wait_until(4000, "it serves alone", || !proxy.groups().is_empty()).await;
        world.wait_for_leader(&proxy).await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.execute_ok("WRITE slot x").await;
    });
}

/// Symptom: targets' own queues overflow although every home keeps to its share.
/// Cause: there were more homes than the targets have slots, and each may always run one statement.
#[test]
fn there_are_no_more_homes_than_the_targets_can_serve_at_once() {
    run(async {
        let world = World::new();
        let proxies = world.fleet(&members(FLEET), MANY_CONNECTIONS);
        pause(300).await;
        let slots = world.group.specs()[0].slots as usize;
        let homes = homes(&proxies).len();
        assert!(homes > 1 && 2 * homes <= 3 * slots + 1, "{homes} homes for {slots} slots");
    });
}

/// Symptom: callers of a weak machine's groups wait for its processor while strong ones idle.
/// Cause: homes were chosen without regard to what the machines can do.
#[test]
fn strong_instances_are_homes_first() {
    run(async {
        let world = World::new();
        let strong = |it: u16| it.is_multiple_of(4);
        let member = |number| {
            let strength = if strong(number) { 4000 } else { 120 };
            Member { strength, ..support::member(number) }
        };
        let fleet: Vec<Member> = (1..=FLEET).map(member).collect();
        let proxies = world.fleet(&fleet, CONNECTIONS);
        pause(300).await;
        let homes: Vec<u16> =
            (1..).zip(&proxies).filter(|(_, it)| !it.groups().is_empty()).map(|it| it.0).collect();
        assert!(homes.len() == 1 && strong(homes[0]), "{homes:?}");
    });
}

/// Symptom: for seconds after a home has died all new sessions of its group are refused.
/// Events: the only home of a data centre is cut off; heartbeats show it a second later at the earliest.
/// Cause: only homes were asked. Now the next in rank stand in, and the home is tried last for a while.
#[test]
fn another_instance_stands_in_for_a_home_out_of_reach() {
    run(async {
        let world = World::new();
        let proxies = many(&world).await;
        let at = proxies.iter().position(|it| !it.groups().is_empty()).unwrap();
        let other = no_home(&proxies);
        world.network.partition(at as u16 + 1);
        let caller = world.caller(other, LATEST).await;
        wait_until(1000, "a stand-in serves", || homes(&proxies).len() == 2).await;
        let stand_in =
            proxies.iter().enumerate().find(|(it, proxy)| *it != at && !proxy.groups().is_empty());
        world.wait_for_leader(stand_in.unwrap().1).await;
        caller.execute_ok("WRITE slot mine").await;
    });
}

/// Symptom: after a power loss of a large fleet every instance opens a connection to every target.
/// Events: the list of targets reaches an instance before the configuration does.
/// Cause: where nothing said how many connections there may be, it took itself for a home of all groups.
#[test]
fn no_target_is_connected_to_before_the_configuration_is_known() {
    run(async {
        let world = World::new();
        let proxy = world.instance_without_configuration(1);
        pause(200).await;
        assert!(proxy.groups().is_empty() && world.group.connections(0) == 0);
        proxy.directory.apply_catalogue(support::catalogue_with_connections(2, CONNECTIONS));
        wait_until(1000, "it serves", || !proxy.groups().is_empty()).await;
    });
}

/// A configuration that adds `ADDED` to the one that all go by.
fn with_added_service(version: u64) -> Catalogue {
    let mut catalogue = support::catalogue_with_connections(version, CONNECTIONS);
    let route = catalogue.routes[&ServiceName::new(LATEST)].clone();
    catalogue.routes.insert(ServiceName::new(ADDED), route);
    catalogue
}

/// Symptom: an instance refuses with "no such service" what it has had in its configuration for seconds.
/// Events: a home was suspended or cut off and is back with an old configuration; another instance hands on a
/// session for a service that was added meanwhile; the home refuses it, and the refusal is passed on.
/// Cause: a home answered by what it went by itself, whatever the instance knew that asked it.
/// Evidence: the refusal came 6 s after the acknowledgement from an instance that went by version 17 and logged none;
/// a home in its data centre logged G0730 for that service with version 9 at that moment, and had version 17 0.1 s later.
#[test]
fn a_home_with_an_older_configuration_refuses_nobody_by_it() {
    run(async {
        let world = World::new();
        let proxies = many(&world).await;
        let entry = no_home(&proxies);
        entry.directory.apply_catalogue(with_added_service(3));
        // The home hears of it within a heartbeat and a fetch.
        world.caller(entry, ADDED).await.execute_ok("WRITE slot mine").await;
    });
}

/// The same where nobody can fetch what it lacks: nothing ran, and the caller may try elsewhere.
#[test]
fn homes_that_stay_behind_take_no_session_that_was_handed_on() {
    run(async {
        let world = World::new();
        let proxies = many(&world).await;
        let entry = proxies.iter().position(|it| it.groups().is_empty()).unwrap();
        let numbers = 1..=INSTANCES;
        for from in numbers.clone().filter(|it| *it as usize != entry + 1) {
            numbers.clone().for_each(|to| world.network.block_one_way(from, to));
        }
        proxies[entry].directory.apply_catalogue(with_added_service(3));
        let (caller, link) = FakeCaller::new();
        let served = serve_caller(Rc::clone(&proxies[entry]), Box::new(link));
        compio::runtime::spawn(served).detach();
        assert_eq!(caller.open_err(ADDED).await, FailureCode::Congested);
    });
}
