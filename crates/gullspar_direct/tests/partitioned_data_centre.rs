//! A partitioned data centre, with instances that are homes of groups and others that forward sessions to them.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_direct::{Catalogue, GroupLimits, Member, Proxy, serve_caller};
use gullspar_model::{GroupName, ServiceName};
use gullspar_statement::FailureCode;
use support::{FakeCaller, FakeGroup, Fault, GROUP, LATEST, World, pause, run, wait_until};

/// Number of instances. Not all of them are contacts of each other, and most are home of no group.
const FLEET: u16 = 15;

const DATA_CENTRES: u16 = 3;

/// Connections to each target, fewer than two for each instance.
const CONNECTIONS: u32 = 10;

/// Time within which all partitioned instances leave rotation, in milliseconds: one second to detect the partition,
/// and the time after which reports of homes expire.
const LEAVE_ROTATION_TIMEOUT_MS: u64 = 2000;

/// Time within which a partitioned instance refuses a new session; well below the deadline of one second.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(300);

fn data_centre_index(number: u16) -> u16 {
    number % DATA_CENTRES
}

fn in_data_centre(index: u16) -> Vec<u16> {
    (1..=FLEET).filter(|it| data_centre_index(*it) == index).collect()
}

/// Starts a fleet over three data centres and waits until all its instances are ready.
async fn start_fleet(world: &World) -> Vec<Rc<Proxy>> {
    let proxies = world.fleet(&members(), CONNECTIONS);
    wait_until_settled(&proxies).await;
    proxies
}

fn members() -> Vec<Member> {
    let name = |number| format!("dc-{}", data_centre_index(number));
    let member =
        |number| Member { data_centre: name(number).as_str().into(), ..support::member(number) };
    (1..=FLEET).map(member).collect()
}

async fn wait_until_settled(proxies: &[Rc<Proxy>]) {
    wait_until(4000, "all are ready", || proxies.iter().all(|it| it.is_ready())).await;
    // Instances that are known only from the registry count as expected for three seconds.
    pause(3000).await;
}

fn instance(proxies: &[Rc<Proxy>], number: u16) -> &Rc<Proxy> {
    &proxies[usize::from(number) - 1]
}

/// Partitions the instances `partitioned` from all others. With `from_targets` they can reach no target; without it the
/// others can reach none.
fn partition(world: &World, partitioned: &[u16], from_targets: bool) {
    let others: Vec<u16> = (1..=FLEET).filter(|it| !partitioned.contains(it)).collect();
    world.network.partition_between(partitioned, &others);
    let without_targets = if from_targets { partitioned.to_vec() } else { others };
    for member in 0..3 {
        without_targets
            .iter()
            .for_each(|it| world.group.inject_fault(member, Fault::UnresponsiveTo(*it)));
    }
}

/// The code with which a new session at `proxy` is refused, and how long that takes.
async fn opening_refusal(proxy: &Rc<Proxy>) -> (FailureCode, Duration) {
    let (caller, link) = FakeCaller::new();
    compio::runtime::spawn(serve_caller(Rc::clone(proxy), Box::new(link))).detach();
    let started = Instant::now();
    let code = caller.open_err(LATEST).await;
    (code, started.elapsed())
}

/// Guards against partitioned instances that stay in rotation and refuse each caller late, because an instance
/// without groups has no leader whose loss it could detect.
#[test]
fn partitioned_instances_without_groups_leave_rotation() {
    run(async {
        let world = World::new();
        let proxies = start_fleet(&world).await;
        let partitioned = in_data_centre(0);
        let without_groups =
            partitioned.iter().filter(|it| instance(&proxies, **it).groups().is_empty()).count();
        assert!(
            without_groups > 0 && without_groups < partitioned.len(),
            "{without_groups} of {}",
            partitioned.len()
        );
        partition(&world, &partitioned, true);
        let all_out_of_rotation =
            || partitioned.iter().all(|it| !instance(&proxies, *it).is_ready());
        wait_until(
            LEAVE_ROTATION_TIMEOUT_MS,
            "all partitioned instances are out of rotation",
            all_out_of_rotation,
        )
        .await;
        for number in &partitioned {
            let (code, elapsed) = opening_refusal(instance(&proxies, *number)).await;
            assert_eq!(code, FailureCode::Congested);
            assert!(elapsed < REFUSAL_TIMEOUT, "instance {number} refuses after {elapsed:?}");
        }
        let others = (1..=FLEET).filter(|it| !partitioned.contains(it));
        assert!(
            others.clone().all(|it| instance(&proxies, it).is_ready()),
            "the others stay in rotation"
        );

        world.network.heal();
        (0..3).for_each(|it| world.group.clear_faults(it));
        wait_until(3000, "all are ready again", || proxies.iter().all(|it| it.is_ready())).await;
        for number in &partitioned {
            world
                .caller(instance(&proxies, *number), LATEST)
                .await
                .execute_ok("WRITE slot mine")
                .await;
        }
    });
}

/// Guards against opening a session that is closed at once as idle: the outcome of a request already on its way would
/// be unknown.
#[test]
fn a_partitioned_instance_refuses_to_open_sessions() {
    run(async {
        let world = World::new();
        let proxies = start_fleet(&world).await;
        let partitioned = in_data_centre(0);
        let open = world.caller(instance(&proxies, partitioned[0]), LATEST).await;
        partition(&world, &partitioned, true);
        assert_eq!(open.next().await, None, "an idle session is closed in the end");
        let (code, _) = opening_refusal(instance(&proxies, partitioned[0])).await;
        assert_eq!(code, FailureCode::Congested);
    });
}

/// Guards against instances that leave rotation although the homes in their data centre reach the leaders and report
/// them.
#[test]
fn a_data_centre_partitioned_with_the_leaders_stays_in_rotation() {
    run(async {
        let world = World::new();
        let proxies = start_fleet(&world).await;
        let partitioned = in_data_centre(0);
        partition(&world, &partitioned, false);
        pause(LEAVE_ROTATION_TIMEOUT_MS).await;
        let out_of_rotation: Vec<u16> =
            partitioned.iter().copied().filter(|it| !instance(&proxies, *it).is_ready()).collect();
        assert_eq!(out_of_rotation, Vec::<u16>::new(), "out of rotation");
    });
}

/// Guards against a data centre that stays in rotation for the leaders in it, which the other instances replace at once.
#[test]
fn a_data_centre_partitioned_with_its_own_leader_only_leaves_rotation() {
    run(async {
        let world = World::new();
        world.group.is_spread.set(true);
        // The verdict must not wait until the leader has been replaced.
        world.promoter.duration_ms.set(2 * LEAVE_ROTATION_TIMEOUT_MS);
        let proxies = start_fleet(&world).await;
        let partitioned = in_data_centre(0);
        let others: Vec<u16> = (1..=FLEET).filter(|it| !partitioned.contains(it)).collect();
        world.network.partition_between(&partitioned, &others);
        let unreachable_for = |member: usize| if member == 0 { &others } else { &partitioned };
        for (member, instance) in
            (0..3).flat_map(|it| unreachable_for(it).iter().map(move |n| (it, *n)))
        {
            world.group.inject_fault(member, Fault::UnresponsiveTo(instance));
        }
        let are_out = || partitioned.iter().all(|it| !instance(&proxies, *it).is_ready());
        wait_until(LEAVE_ROTATION_TIMEOUT_MS, "all are out of rotation", are_out).await;
    });
}

/// Services of the groups besides the first one.
const MORE_SERVICES: [&str; 3] = ["billing", "stock", "orders"];

/// Maximum time between the first and the last instance of a data centre that leaves rotation.
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// Adds groups to `world`, and returns a configuration of four groups, the first one under [`LATEST`].
fn add_groups(world: &mut World) -> Catalogue {
    let mut catalogue: Catalogue = support::catalogue_with_connections(2, CONNECTIONS);
    let latest = catalogue.routes[&ServiceName::new(LATEST)].clone();
    for service in MORE_SERVICES {
        let mut route = latest.clone();
        route.group = service.into();
        catalogue
            .groups
            .insert(service.into(), GroupLimits { connections: CONNECTIONS, sync_replicas: 0 });
        catalogue.routes.insert(service.into(), route);
        world.more_groups.push(FakeGroup::with_member_prefix(service, service, 3));
    }
    catalogue
}

/// Starts a fleet that serves four groups.
async fn start_fleet_with_groups(world: &mut World) -> Vec<Rc<Proxy>> {
    let catalogue = add_groups(world);
    let proxies = world.fleet_with_catalogue(&members(), &catalogue);
    wait_until_settled(&proxies).await;
    proxies
}

/// Opens a session that must be refused at once; returns the delay before a retry, in milliseconds.
async fn refused_for(proxy: &Rc<Proxy>, service: &str) -> u64 {
    let (caller, link) = FakeCaller::new();
    compio::runtime::spawn(serve_caller(Rc::clone(proxy), Box::new(link))).detach();
    let asked = Instant::now();
    let failure = caller.open_failure(service).await;
    assert!(asked.elapsed() < REFUSAL_TIMEOUT, "refused after {:?}", asked.elapsed());
    assert_eq!(failure.code, FailureCode::Congested);
    let words: Vec<&str> = failure.text.split(' ').collect();
    words[words.len() - 2].parse().unwrap()
}

/// Partitions a data centre together with the members of the groups `kept`, which the other instances reach as well.
fn partition_with_groups(world: &World, partitioned: &[u16], kept: &[GroupName]) {
    let others: Vec<u16> = (1..=FLEET).filter(|it| !partitioned.contains(it)).collect();
    world.network.partition_between(partitioned, &others);
    for group in world.groups().iter().filter(|it| !kept.contains(&it.name())) {
        for (member, number) in (0..3).flat_map(|it| partitioned.iter().map(move |n| (it, *n))) {
            group.inject_fault(member, Fault::UnresponsiveTo(number));
        }
    }
}

/// The groups of the instance of `data_centre` that is home of the fewest.
fn fewest_groups(world: &World, proxies: &[Rc<Proxy>], data_centre: &[u16]) -> Vec<GroupName> {
    let names: Vec<GroupName> = world.groups().iter().map(|it| it.name()).collect();
    let homes = data_centre.iter().map(|it| instance(proxies, *it));
    let homes = homes.filter(|it| !it.groups().is_empty());
    let home = homes.min_by_key(|it| it.groups().len()).unwrap();
    names.into_iter().filter(|it| home.group(it).is_some()).collect()
}

/// Guards against instances that stay in rotation for seconds after others of their data centre have left, because a
/// home reports that it reaches the leaders of its own groups. The load balancer then uses all of them, and callers are
/// refused.
#[test]
fn instances_of_a_data_centre_that_has_few_leaders_leave_rotation_together() {
    run(async {
        let mut world = World::new();
        let proxies = start_fleet_with_groups(&mut world).await;
        let partitioned = in_data_centre(0);
        let kept = fewest_groups(&world, &proxies, &partitioned);
        assert!(2 * kept.len() <= world.groups().len(), "{kept:?}");
        partition_with_groups(&world, &partitioned, &kept);
        let started = Instant::now();
        let mut left: Vec<(u16, Duration)> = Vec::new();
        while left.len() < partitioned.len() {
            let elapsed = started.elapsed();
            let is_out = |it: &&u16| !instance(&proxies, **it).is_ready();
            let newly =
                partitioned.iter().filter(is_out).filter(|it| !left.iter().any(|l| l.0 == **it));
            let newly: Vec<(u16, Duration)> = newly.map(|it| (*it, elapsed)).collect();
            left.extend(newly);
            assert!(elapsed.as_millis() < u128::from(LEAVE_ROTATION_TIMEOUT_MS), "left: {left:?}");
            pause(5).await;
        }
        println!("left rotation: {left:?}");
        let lost = MORE_SERVICES.iter().find(|it| !kept.contains(&(**it).into())).unwrap();
        for number in &partitioned {
            let delay_ms = refused_for(instance(&proxies, *number), lost).await;
            assert!(
                (1500..2600).contains(&delay_ms),
                "until the change takes effect: {delay_ms} ms"
            );
        }
        let spread = left[left.len() - 1].1 - left[0].1;
        assert!(spread < MAX_SPREAD, "{left:?}");
        for _ in 0..10 {
            pause(100).await;
            let is_ready = |it: &u16| instance(&proxies, *it).is_ready();
            assert!(!partitioned.iter().any(is_ready), "none returns during the partition");
            assert!((1..=FLEET).all(|it| partitioned.contains(&it) || is_ready(&it)));
        }

        world.network.heal();
        world.groups().iter().for_each(|it| (0..3).for_each(|member| it.clear_faults(member)));
        wait_until(3000, "one is ready again", || {
            partitioned.iter().any(|it| instance(&proxies, *it).is_ready())
        })
        .await;
        pause(500).await;
        assert!(proxies.iter().all(|it| it.is_ready()), "all return together");
    });
}

/// Guards against a data centre that leaves rotation although it can serve what its callers use, and against callers of
/// other groups that are refused late.
#[test]
fn a_data_centre_that_can_serve_its_callers_stays_and_refuses_the_rest_at_once() {
    run(async {
        let mut world = World::new();
        let proxies = start_fleet_with_groups(&mut world).await;
        let partitioned = in_data_centre(0);
        for number in &partitioned {
            world.caller(instance(&proxies, *number), LATEST).await.execute_ok("READ slot").await;
        }
        partition_with_groups(&world, &partitioned, &[GROUP.into()]);
        pause(LEAVE_ROTATION_TIMEOUT_MS).await;
        for number in &partitioned {
            let proxy = instance(&proxies, *number);
            assert!(proxy.is_ready(), "instance {number}");
            world.caller(proxy, LATEST).await.execute_ok("READ slot").await;
            assert_eq!(refused_for(proxy, MORE_SERVICES[0]).await, 250, "no change is due");
        }
    });
}

/// Guards against instances without groups that become ready in a data centre that starts behind a partition, since a
/// home reaches the leaders of its own groups.
#[test]
fn a_data_centre_that_starts_behind_a_partition_becomes_ready_as_a_whole() {
    run(async {
        let mut world = World::new();
        let catalogue = add_groups(&mut world);
        let started = in_data_centre(0);
        // They know each other's addresses, and no others.
        let mut members = members();
        members.retain(|it| started.contains(&it.address.port()));
        partition_with_groups(&world, &started, &[GROUP.into()]);
        let proxies = world.fleet_with_catalogue(&members, &catalogue);
        for _ in 0..40 {
            pause(100).await;
            let ready = proxies.iter().filter(|it| it.is_ready()).count();
            assert_eq!(ready, 0, "of {} are ready", proxies.len());
        }
        world.groups().iter().for_each(|it| (0..3).for_each(|member| it.clear_faults(member)));
        wait_until(3000, "one is ready", || proxies.iter().any(|it| it.is_ready())).await;
        pause(500).await;
        assert!(proxies.iter().all(|it| it.is_ready()), "all are ready");
    });
}
