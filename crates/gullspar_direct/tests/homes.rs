//! More instances than connections: sessions are forwarded to homes.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::rc::Rc;

use gullspar_direct::{Catalogue, Member, Phase, Proxy, serve_caller};
use gullspar_model::ServiceName;
use gullspar_statement::FailureCode;
use support::{BOUNDED, FakeCaller, LATEST, World, pause, run, wait_until};

/// Connections to each target that the configuration allows in these tests.
const CONNECTIONS: u32 = 10;

/// Number of instances, too many for each to have two of the connections.
const INSTANCES: u16 = 8;

/// A service that a later configuration adds.
const ADDED_SERVICE: &str = "added";

/// Number of instances of a larger fleet.
const FLEET: u16 = 20;
/// Connections to each target, enough for one connection of each instance of the larger fleet.
const MANY_CONNECTIONS: u32 = 44;

async fn start_instances(world: &World) -> Vec<Rc<Proxy>> {
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

/// An instance that is home of no group and forwards its sessions.
fn non_home(proxies: &[Rc<Proxy>]) -> &Rc<Proxy> {
    proxies.iter().find(|it| it.groups().is_empty()).unwrap()
}

/// Guards against instances that each open their own connections, together more than the targets accept.
#[test]
fn only_homes_hold_connections_and_all_callers_are_served() {
    run(async {
        let world = World::new();
        let proxies = start_instances(&world).await;
        let homes = homes(&proxies);
        assert!(!homes.is_empty() && homes.len() < proxies.len(), "{} homes", homes.len());
        for (index, proxy) in proxies.iter().enumerate() {
            let caller = world.caller(proxy, LATEST).await;
            caller.execute_ok(&format!("WRITE item{index} x")).await;
            caller.execute_ok("BEGIN").await;
            assert_eq!(caller.execute_ok(&format!("READ item{index}")).await, ["x"]);
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

/// Guards against a home that shuts down and closes forwarded sessions while a request is on its way to it.
#[test]
fn a_home_that_shuts_down_answers_requests_on_their_way() {
    run(async {
        let world = World::new();
        let proxies = start_instances(&world).await;
        let homes = homes(&proxies);
        let other = non_home(&proxies);
        world.group.statement_duration_ms.set(150);
        let busy = world.caller(other, LATEST).await;
        let idle = world.caller(other, BOUNDED).await;
        busy.send_statement("WRITE slot mine");
        pause(30).await;
        homes.iter().for_each(|it| it.shutdown.enter(Phase::ClosingIdle));
        assert!(busy.next().await.unwrap().result.is_ok());
        wait_until(1000, "no session is left", || {
            homes.iter().all(|it| it.shutdown.sessions() == 0)
        })
        .await;
        assert_eq!(busy.execute_ok("READ slot").await, ["mine"], "the session goes on elsewhere");
        idle.execute_ok("READ slot").await;
    });
}

/// Guards against a running write that stays unanswered, or counts as not run, after its home has failed.
#[test]
fn a_write_at_a_home_that_fails_has_an_unknown_outcome() {
    run(async {
        let world = World::new();
        let proxies = start_instances(&world).await;
        let other = non_home(&proxies);
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

/// Guards against instances that start at the same time and each connect to all targets because no heartbeat has
/// arrived yet.
#[test]
fn instances_that_start_together_do_not_all_become_homes() {
    run(async {
        let world = World::new();
        let proxies = world.fleet(&members(INSTANCES), CONNECTIONS);
        pause(100).await;
        let homes = homes(&proxies);
        assert!(!homes.is_empty() && homes.len() < proxies.len(), "{} homes", homes.len());
        assert_eq!(world.registry.registrations.get(), 0, "unchanged entries are not written");
    });
}

/// Guards against an instance that does not get ready while the registry does not answer.
#[test]
fn an_unresponsive_registry_does_not_block_the_start() {
    run(async {
        let world = World::new();
        world.registry.unresponsive.set(true);
        let proxy = world.instance(1);
        let caller = world.caller(&proxy, LATEST).await;
        wait_until(1500, "the instance is ready", || proxy.is_ready()).await;
        world.wait_for_leader(&proxy).await;
        caller.execute_ok("WRITE slot x").await;
    });
}

/// Guards against a group without a home because instances that are permanently gone are still registered.
#[test]
fn registered_instances_that_never_respond_are_expected_for_seconds_only() {
    run(async {
        let world = World::new();
        for number in 2..=INSTANCES {
            world.registry.insert(support::member(number));
        }
        let proxy =
            world.instance_with_catalogue(1, support::catalogue_with_connections(2, CONNECTIONS));
        wait_until(4000, "it serves without the others", || !proxy.groups().is_empty()).await;
        world.wait_for_leader(&proxy).await;
        let caller = world.caller(&proxy, LATEST).await;
        caller.execute_ok("WRITE slot x").await;
    });
}

/// Guards against overflowing the targets' own queues: each home may always run one statement, so the slots of the
/// targets must limit the number of homes.
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

/// Guards against selecting weak machines as homes while strong ones are idle.
#[test]
fn strong_instances_become_homes_first() {
    run(async {
        let world = World::new();
        let is_strong = |it: u16| it.is_multiple_of(4);
        let member = |number| {
            let strength = if is_strong(number) { 4000 } else { 120 };
            Member { strength, ..support::member(number) }
        };
        let fleet: Vec<Member> = (1..=FLEET).map(member).collect();
        let proxies = world.fleet(&fleet, CONNECTIONS);
        pause(300).await;
        let homes: Vec<u16> =
            (1..).zip(&proxies).filter(|(_, it)| !it.groups().is_empty()).map(|it| it.0).collect();
        assert!(homes.len() == 1 && is_strong(homes[0]), "{homes:?}");
    });
}

/// Guards against refusing all new sessions of a group until heartbeats show that its only home has failed.
#[test]
fn a_spare_home_serves_while_the_home_is_unreachable() {
    run(async {
        let world = World::new();
        let proxies = start_instances(&world).await;
        let index = proxies.iter().position(|it| !it.groups().is_empty()).unwrap();
        let other = non_home(&proxies);
        world.network.partition(index as u16 + 1);
        let caller = world.caller(other, LATEST).await;
        wait_until(1000, "a spare home serves", || homes(&proxies).len() == 2).await;
        let spare_home = proxies
            .iter()
            .enumerate()
            .find(|(it, proxy)| *it != index && !proxy.groups().is_empty());
        world.wait_for_leader(spare_home.unwrap().1).await;
        caller.execute_ok("WRITE slot mine").await;
    });
}

/// Guards against an instance that connects to all targets because it does not know yet how many connections are
/// allowed.
#[test]
fn no_connection_is_opened_before_the_configuration_is_known() {
    run(async {
        let world = World::new();
        let proxy = world.instance_without_configuration(1);
        pause(200).await;
        assert!(proxy.groups().is_empty() && world.group.connections(0) == 0);
        proxy.directory.apply_catalogue(support::catalogue_with_connections(2, CONNECTIONS));
        wait_until(1000, "it serves", || !proxy.groups().is_empty()).await;
    });
}

/// The configuration of the other instances, with `ADDED_SERVICE` added.
fn with_added_service(version: u64) -> Catalogue {
    let mut catalogue = support::catalogue_with_connections(version, CONNECTIONS);
    let route = catalogue.routes[&ServiceName::new(LATEST)].clone();
    catalogue.routes.insert(ServiceName::new(ADDED_SERVICE), route);
    catalogue
}

/// Guards against a home that answers "no such service" from a configuration older than that of the forwarding
/// instance.
#[test]
fn a_home_with_an_older_configuration_does_not_refuse_a_new_service() {
    run(async {
        let world = World::new();
        let proxies = start_instances(&world).await;
        let entry = non_home(&proxies);
        entry.directory.apply_catalogue(with_added_service(3));
        // The home learns of the new version by a heartbeat and fetches it.
        world.caller(entry, ADDED_SERVICE).await.execute_ok("WRITE slot mine").await;
    });
}

/// Guards against a permanent refusal by homes that cannot fetch the newer configuration: nothing ran, so the caller
/// may retry elsewhere.
#[test]
fn homes_that_cannot_update_their_configuration_refuse_forwarded_sessions() {
    run(async {
        let world = World::new();
        let proxies = start_instances(&world).await;
        let entry = proxies.iter().position(|it| it.groups().is_empty()).unwrap();
        let numbers = 1..=INSTANCES;
        for from in numbers.clone().filter(|it| *it as usize != entry + 1) {
            numbers.clone().for_each(|to| world.network.block_one_way(from, to));
        }
        proxies[entry].directory.apply_catalogue(with_added_service(3));
        let (caller, link) = FakeCaller::new();
        let served = serve_caller(Rc::clone(&proxies[entry]), Box::new(link));
        compio::runtime::spawn(served).detach();
        assert_eq!(caller.open_err(ADDED_SERVICE).await, FailureCode::Congested);
    });
}
