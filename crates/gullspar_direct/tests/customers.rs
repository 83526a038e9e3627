//! Customers: to which one a session belongs, whose connections it uses, and how many operations may run.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::rc::Rc;
use std::time::Instant;

use gullspar_customer::{Customers, KeyFingerprint, RateLimit};
use gullspar_direct::{Catalogue, Proxy};
use gullspar_model::CustomerName;
use gullspar_statement::{FailureCode, TransactionStatus};
use support::{BOUNDED, FakeCaller, LATEST, World, member, pause, run};

/// Connections to each target, too few for two per instance in a fleet of eight.
const FEW_CONNECTIONS: u32 = 10;

const NO_LIMIT: Option<RateLimit> = None;

fn limit(per_s: u64, burst: u64) -> Option<RateLimit> {
    Some(RateLimit { thousandths_per_s: per_s * 1000, burst })
}

/// The default configuration with these keys and the customers that hold them.
fn with_customers(
    version: u64,
    connections: u32,
    holders: &[(&str, &str, Option<RateLimit>)],
) -> Catalogue {
    let mut customers = Customers::default();
    for (key, name, limit) in holders {
        customers.add(CustomerName::new(name), [KeyFingerprint::of(key)], *limit);
    }
    Catalogue {
        customers: Some(customers),
        ..support::catalogue_with_connections(version, connections)
    }
}

const TWO_CUSTOMERS: [(&str, &str, Option<RateLimit>); 2] =
    [("key-a", "abbey", NO_LIMIT), ("key-b", "barn", NO_LIMIT)];

async fn start_instance(world: &World, catalogue: Catalogue) -> Rc<Proxy> {
    let proxy = world.instance_with_catalogue(1, catalogue);
    world.wait_for_leader(&proxy).await;
    proxy
}

/// Four instances that have known each other long enough to grant quota.
async fn four_instances(
    world: &World,
    holders: &[(&str, &str, Option<RateLimit>)],
) -> Vec<Rc<Proxy>> {
    let configuration = || with_customers(2, 60, holders);
    let start = |it| world.instance_as(member(it), configuration());
    let proxies: Vec<Rc<Proxy>> = (1..=4).map(start).collect();
    for proxy in &proxies {
        world.wait_for_leader(proxy).await;
    }
    pause(2500).await;
    proxies
}

async fn open_session(proxy: &Rc<Proxy>, service: &str, key: &str) -> FakeCaller {
    let (caller, link) = FakeCaller::new();
    let serve = gullspar_direct::serve_caller(Rc::clone(proxy), Box::new(link));
    compio::runtime::spawn(serve).detach();
    caller.open_with_key(service, Some(key)).await;
    caller
}

async fn refused_at_opening(proxy: &Rc<Proxy>, service: &str, key: Option<&str>) -> FailureCode {
    let (caller, link) = FakeCaller::new();
    let serve = gullspar_direct::serve_caller(Rc::clone(proxy), Box::new(link));
    compio::runtime::spawn(serve).detach();
    caller.open_err_with_key(service, key).await
}

/// Guards against serving a caller without a key, or with one that is not in the configuration.
#[test]
fn an_unknown_key_is_refused_at_once() {
    run(async {
        let world = World::new();
        let proxy = start_instance(&world, with_customers(2, 60, &TWO_CUSTOMERS)).await;
        for key in [Some("key-c"), None] {
            assert_eq!(refused_at_opening(&proxy, LATEST, key).await, FailureCode::Unauthenticated);
        }
        assert_eq!(world.group.executed().len(), 0);
    });
}

/// Guards against refusing callers of a service that needs no key.
#[test]
fn a_service_that_needs_no_key_serves_any_caller() {
    run(async {
        let world = World::new();
        let mut catalogue = with_customers(2, 60, &TWO_CUSTOMERS);
        catalogue.routes.get_mut(&BOUNDED.into()).unwrap().needs_key = false;
        let proxy = start_instance(&world, catalogue).await;
        open_session(&proxy, BOUNDED, "whoever").await.execute_ok("READ slot").await;
        assert_eq!(world.group.executed().last().unwrap().customer, None);
        open_session(&proxy, BOUNDED, "key-a").await.execute_ok("READ slot").await;
        assert_eq!(world.group.executed().last().unwrap().customer, Some("abbey".into()));
    });
}

/// Guards against a statement that runs on a connection opened for another customer.
#[test]
fn a_connection_serves_one_customer_only() {
    run(async {
        let world = World::new();
        let proxy = start_instance(&world, with_customers(2, 60, &TWO_CUSTOMERS)).await;
        let callers = [
            (open_session(&proxy, LATEST, "key-a").await, "abbey"),
            (open_session(&proxy, LATEST, "key-b").await, "barn"),
            (open_session(&proxy, BOUNDED, "key-a").await, "abbey"),
            (open_session(&proxy, BOUNDED, "key-b").await, "barn"),
        ];
        for _ in 0..5 {
            for (caller, customer) in &callers {
                caller.execute_ok("BEGIN READ").await;
                caller.execute_ok("READ slot").await;
                caller.execute_ok("COMMIT").await;
                caller.execute_ok("READ slot").await;
                let ran = world.group.executed();
                let last = &ran[ran.len() - 3..];
                assert!(last.iter().all(|it| it.customer == Some((*customer).into())), "{last:?}");
            }
        }
    });
}

/// Guards against a revoked key that still works on an open session.
#[test]
fn a_revoked_key_ends_its_sessions_and_their_transactions() {
    run(async {
        let world = World::new();
        let proxy = start_instance(&world, with_customers(2, 60, &TWO_CUSTOMERS)).await;
        let idle = open_session(&proxy, LATEST, "key-a").await;
        let busy = open_session(&proxy, LATEST, "key-a").await;
        let other = open_session(&proxy, LATEST, "key-b").await;
        busy.execute_ok("BEGIN").await;
        busy.execute_ok("WRITE slot mine").await;
        proxy.directory.apply_catalogue(with_customers(3, 60, &TWO_CUSTOMERS[1..]));
        for caller in [&idle, &busy] {
            let answer = caller.execute("WRITE slot late").await;
            assert_eq!(answer.result.unwrap_err().code, FailureCode::Unauthenticated);
            assert_eq!(answer.status, TransactionStatus::Idle, "no transaction is left open");
            assert!(caller.next().await.is_none(), "the session ends");
        }
        other.execute_ok("WRITE slot theirs").await;
        assert_eq!(world.group.value("slot"), Some("theirs".to_owned()));
    });
}

/// Guards against statements that run for the customer that held the key before.
#[test]
fn a_key_moved_to_another_customer_keeps_its_sessions_but_no_open_transaction() {
    run(async {
        let world = World::new();
        let proxy = start_instance(&world, with_customers(2, 60, &TWO_CUSTOMERS)).await;
        let idle = open_session(&proxy, LATEST, "key-a").await;
        let busy = open_session(&proxy, LATEST, "key-a").await;
        idle.execute_ok("READ slot").await;
        busy.execute_ok("BEGIN").await;
        busy.execute_ok("WRITE slot mine").await;
        proxy.directory.apply_catalogue(with_customers(3, 60, &[("key-a", "barn", NO_LIMIT)]));
        idle.execute_ok("READ slot").await;
        assert_eq!(world.group.executed().last().unwrap().customer, Some("barn".into()));
        assert_eq!(busy.execute_err("COMMIT").await, FailureCode::Unauthenticated);
        assert_eq!(world.group.value("slot"), None);
    });
}

/// Guards against a home that keeps serving a key although the forwarding instance knows that it is revoked.
#[test]
fn a_key_is_refused_once_one_of_two_instances_knows_that_it_is_revoked() {
    run(async {
        let world = World::new();
        let catalogue = || with_customers(2, FEW_CONNECTIONS, &TWO_CUSTOMERS);
        let proxies: Vec<Rc<Proxy>> =
            (1..=8).map(|it| world.instance_with_catalogue(it, catalogue())).collect();
        pause(6000).await;
        let non_home = proxies.iter().find(|it| it.groups().is_empty()).unwrap();
        let caller = open_session(non_home, LATEST, "key-a").await;
        caller.execute_ok("WRITE slot mine").await;
        assert_eq!(world.group.executed().last().unwrap().customer, Some("abbey".into()));
        non_home.directory.apply_catalogue(with_customers(3, FEW_CONNECTIONS, &TWO_CUSTOMERS[1..]));
        assert_eq!(caller.execute_err("WRITE slot late").await, FailureCode::Unauthenticated);
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()));
    });
}

/// Guards against running more operations than a customer's limit allows, and against delaying the excess ones
/// instead of refusing them.
#[test]
fn operations_beyond_the_limit_are_refused_at_once_and_do_not_run() {
    run(async {
        let world = World::new();
        let holders = [("key-a", "abbey", limit(20, 10)), ("key-b", "barn", NO_LIMIT)];
        let proxy = start_instance(&world, with_customers(2, 60, &holders)).await;
        pause(2000).await;
        let caller = open_session(&proxy, LATEST, "key-a").await;
        let other = open_session(&proxy, LATEST, "key-b").await;
        let started = Instant::now();
        let (mut ran, mut refused) = (0, 0);
        while started.elapsed().as_millis() < 2000 {
            let sent_at = Instant::now();
            match caller.execute("READ slot").await.result {
                Ok(_) => ran += 1,
                Err(failure) => {
                    assert_eq!(failure.code, FailureCode::Congested);
                    assert!(failure.text.contains("not run"), "{}", failure.text);
                    assert!(sent_at.elapsed().as_millis() < 50, "refused at once");
                    refused += 1;
                    pause(5).await;
                }
            }
        }
        assert!((40..=52).contains(&ran), "{ran} of 20 a second and a burst of 10 ran in 2 s");
        assert!(refused > 0);
        let reads = world.group.executed().iter().filter(|it| it.text == "READ slot").count();
        assert_eq!(reads, ran, "refused operations did not run");
        other.execute_ok("READ slot").await;
    });
}

/// Guards against counting each statement of a transaction, and against partial effects of a refused transaction.
#[test]
fn a_transaction_counts_once_and_fails_as_a_whole_at_the_limit() {
    run(async {
        let world = World::new();
        let holders = [("key-a", "abbey", limit(1, 4))];
        let proxy = start_instance(&world, with_customers(2, 60, &holders)).await;
        pause(9000).await;
        let caller = open_session(&proxy, LATEST, "key-a").await;
        for _ in 0..2 {
            caller.execute_ok("BEGIN").await;
            for _ in 0..6 {
                caller.execute_ok("READ slot").await;
            }
            caller.execute_ok("COMMIT").await;
        }
        let mut refused = false;
        for _ in 0..4 {
            caller.execute_ok("BEGIN").await;
            let answer = caller.execute("WRITE slot late").await;
            if answer.result.is_err() {
                assert_eq!(answer.status, TransactionStatus::Failed);
                refused = true;
            }
            caller.execute_ok("ROLLBACK").await;
        }
        assert!(refused, "of six transactions four may run at once");
    });
}

/// Guards against applying a customer's limit to each instance instead of all instances together.
#[test]
fn a_limit_applies_across_all_instances() {
    run(async {
        let world = World::new();
        let holders = [("key-a", "abbey", limit(40, 10))];
        let proxies = four_instances(&world, &holders).await;
        let before = world.group.executed().len();
        let mut tasks = Vec::new();
        for proxy in &proxies {
            let caller = open_session(proxy, LATEST, "key-a").await;
            tasks.push(compio::runtime::spawn(async move {
                let started = Instant::now();
                while started.elapsed().as_millis() < 3000 {
                    if caller.execute("READ slot").await.result.is_err() {
                        pause(10).await;
                    }
                }
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        let ran = world.group.executed().len() - before;
        assert!((110..=150).contains(&ran), "{ran} of 40 a second and a burst of 10 ran in 3 s");
    });
}

/// Guards against refusing all operations of a customer while the owner of its quota is unreachable.
#[test]
fn callers_are_served_while_the_owner_of_their_quota_is_replaced() {
    run(async {
        let world = World::new();
        let holders = [("key-a", "abbey", limit(100, 100))];
        let proxies = four_instances(&world, &holders).await;
        let caller = open_session(&proxies[0], BOUNDED, "key-a").await;
        for _ in 0..40 {
            caller.execute_ok("READ slot").await;
            pause(20).await;
        }
        (2..=4).for_each(|it| world.network.partition(it));
        let (mut served, mut refused, mut slow) = (0, 0, 0);
        let started = Instant::now();
        while started.elapsed().as_millis() < 900 {
            let sent_at = Instant::now();
            match caller.execute("READ slot").await.result {
                Ok(_) => served += 1,
                Err(_) => refused += 1,
            }
            slow += u32::from(sent_at.elapsed().as_millis() > 100);
            pause(20).await;
        }
        assert!(slow <= 1, "{slow} operations waited for an owner that does not answer");
        assert!(served > 4 * refused, "{served} served and {refused} refused");
    });
}
