//! Many customers in front of targets that accept few connections.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_customer::{Customers, KeyFingerprint};
use gullspar_direct::{Catalogue, Proxy, serve_caller};
use gullspar_model::CustomerName;
use support::{BOUNDED, FakeCaller, LATEST, World, member, pause, run};
use test_case::test_case;

/// Number of customers. The first ones have most of the callers.
const CUSTOMERS: usize = 40;

/// Time that opening a connection takes, in milliseconds.
const CONNECT_DELAY_MS: u64 = 12;

/// Time within which service recovers after a failure has ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum of connection attempts per second that are rejected, over all instances and members.
const MAX_REJECTED_PER_S: u32 = 60;

fn key(customer: usize) -> String {
    format!("key-{customer}")
}

fn configuration(connections: u32) -> Catalogue {
    let mut customers = Customers::default();
    for number in 0..CUSTOMERS {
        let name = CustomerName::new(format!("customer-{number}"));
        customers.add(name, [KeyFingerprint::of(&key(number))], None);
    }
    Catalogue { customers: Some(customers), ..support::catalogue_with_connections(2, connections) }
}

/// Callers of all customers, spread over some instances, that repeat a read until stopped.
struct Load {
    served: Rc<Cell<u32>>,
    refused: Rc<Cell<u32>>,
    stopped: Rc<Cell<bool>>,
}

impl Load {
    async fn start(proxies: &[Rc<Proxy>], callers: usize, pause_ms: u64) -> Load {
        let load = Load { served: Rc::default(), refused: Rc::default(), stopped: Rc::default() };
        for number in 0..callers {
            let proxy = &proxies[number % proxies.len()];
            // The first customers have the most callers.
            let customer = (number * number / callers) % CUSTOMERS;
            let (caller, link) = FakeCaller::new();
            compio::runtime::spawn(serve_caller(Rc::clone(proxy), Box::new(link))).detach();
            let service = if number % 4 == 0 { LATEST } else { BOUNDED };
            caller.open_with_key(service, Some(&key(customer))).await;
            let (served, refused) = (Rc::clone(&load.served), Rc::clone(&load.refused));
            let stopped = Rc::clone(&load.stopped);
            let read_loop = async move {
                while !stopped.get() {
                    match caller.execute("READ slot").await.result {
                        Ok(_) => served.set(served.get() + 1),
                        Err(_) => refused.set(refused.get() + 1),
                    }
                    pause(pause_ms).await;
                }
            };
            compio::runtime::spawn(read_loop).detach();
        }
        load
    }

    /// Counts the reads served and refused during `time`.
    async fn count(&self, time: Duration) -> (u32, u32) {
        let before = (self.served.get(), self.refused.get());
        compio::time::sleep(time).await;
        (self.served.get() - before.0, self.refused.get() - before.1)
    }
}

async fn start_fleet(world: &World, instances: u16, connections: u32) -> Vec<Rc<Proxy>> {
    world.group.max_connections.set(Some(connections));
    world.group.connect_duration_ms.set(CONNECT_DELAY_MS);
    world.group.statement_duration_ms.set(5);
    let proxies: Vec<Rc<Proxy>> = (1..=instances)
        .map(|it| world.instance_as(member(it), configuration(connections)))
        .collect();
    for proxy in &proxies {
        world.wait_for_leader(proxy).await;
    }
    proxies
}

/// Guards against customers that evict each other's connections until targets do little but open new ones.
#[test_case(2, 42, 30; "a few callers")]
#[test_case(2, 42, 90; "many callers")]
#[test_case(4, 24, 60; "few connections")]
fn more_customers_than_connections_are_served(instances: u16, connections: u32, callers: usize) {
    run(async {
        let world = World::new();
        let proxies = start_fleet(&world, instances, connections).await;
        let load = Load::start(&proxies, callers, 100).await;
        pause(1000).await;
        let rejected = world.group.refused_connections.get();
        let (served, refused) = load.count(Duration::from_secs(3)).await;
        assert!(served >= 50 * refused, "{served} served and {refused} refused");
        let rejected = world.group.refused_connections.get() - rejected;
        assert!(rejected <= 3 * MAX_REJECTED_PER_S, "{rejected} connections rejected");
        load.stopped.set(true);
    });
}

/// Guards against an overload that sustains itself: targets are full for a while, and connection attempts keep them
/// full.
#[test]
fn service_recovers_soon_after_targets_were_full() {
    run(async {
        let world = World::new();
        let proxies = start_fleet(&world, 2, 42).await;
        let load = Load::start(&proxies, 60, 100).await;
        pause(1000).await;
        world.group.stale_connections.set(42);
        let rejected = world.group.refused_connections.get();
        pause(3000).await;
        let rejected = world.group.refused_connections.get() - rejected;
        assert!(rejected <= 3 * MAX_REJECTED_PER_S, "{rejected} connections rejected");
        world.group.stale_connections.set(0);
        let fault_ended = Instant::now();
        compio::time::sleep(RECOVERY_TIMEOUT).await;
        let (served, refused) = load.count(Duration::from_secs(2)).await;
        assert!(served >= 50 * refused, "{served} served and {refused} refused");
        assert!(fault_ended.elapsed() < Duration::from_secs(8));
        load.stopped.set(true);
    });
}

/// Guards against opening a connection at every target for a customer that has an idle connection already.
#[test]
fn reads_of_a_customer_reuse_its_connections() {
    run(async {
        let world = World::new();
        let proxies = start_fleet(&world, 1, 42).await;
        let (caller, link) = FakeCaller::new();
        compio::runtime::spawn(serve_caller(Rc::clone(&proxies[0]), Box::new(link))).detach();
        caller.open_with_key(BOUNDED, Some(&key(1))).await;
        caller.execute_ok("READ slot").await;
        let opened = world.group.opened_connections.get();
        for _ in 0..30 {
            caller.execute_ok("READ slot").await;
        }
        assert!(
            world.group.opened_connections.get() <= opened + 2,
            "{} opened",
            world.group.opened_connections.get()
        );
    });
}
