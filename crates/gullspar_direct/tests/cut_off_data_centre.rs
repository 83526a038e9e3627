//! A data centre that is cut off, with instances that are homes of groups and others that hand sessions on to them.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_direct::{Member, Proxy, serve_caller};
use gullspar_statement::FailureCode;
use support::{FakeCaller, Fault, LATEST, World, pause, run, wait_until};

/// More instances than are each told of all others, so that most are home of nothing.
const FLEET: u16 = 15;

const DATA_CENTRES: u16 = 3;

/// Connections to each target, fewer than two for each instance.
const CONNECTIONS: u32 = 10;

/// In which time all instances behind a cut are out of rotation, in milliseconds: a second to know it, and the time that
/// word of a home takes to grow old.
const OUT_WITHIN: u64 = 2000;

/// Behind a cut a request is refused within this time, not at its deadline of a second.
const AT_ONCE: Duration = Duration::from_millis(300);

fn data_centre(number: u16) -> u16 {
    number % DATA_CENTRES
}

fn in_data_centre(place: u16) -> Vec<u16> {
    (1..=FLEET).filter(|it| data_centre(*it) == place).collect()
}

/// A fleet over three data centres in which all know all, and its leader.
async fn fleet(world: &World) -> Vec<Rc<Proxy>> {
    let place = |number| format!("dc-{}", data_centre(number));
    let member =
        |number| Member { data_centre: place(number).as_str().into(), ..support::member(number) };
    let members: Vec<Member> = (1..=FLEET).map(member).collect();
    let proxies = world.fleet(&members, CONNECTIONS);
    wait_until(4000, "all are ready", || proxies.iter().all(|it| it.is_ready())).await;
    // Instances expected from the registry count for three seconds.
    pause(3000).await;
    proxies
}

fn at(proxies: &[Rc<Proxy>], number: u16) -> &Rc<Proxy> {
    &proxies[usize::from(number) - 1]
}

/// Cuts the instances `behind` off from all others; all targets are on the other side if `targets` are.
fn cut(world: &World, behind: &[u16], targets: bool) {
    let others: Vec<u16> = (1..=FLEET).filter(|it| !behind.contains(it)).collect();
    world.network.partition_between(behind, &others);
    let dark_to = if targets { behind.to_vec() } else { others };
    for member in 0..3 {
        dark_to.iter().for_each(|it| world.group.inject_fault(member, Fault::UnresponsiveTo(*it)));
    }
}

/// How a caller that comes to `proxy` now is refused, and how long that takes.
async fn refused(proxy: &Rc<Proxy>) -> (FailureCode, Duration) {
    let (caller, link) = FakeCaller::new();
    compio::runtime::spawn(serve_caller(Rc::clone(proxy), Box::new(link))).detach();
    let asked = Instant::now();
    let code = caller.open_err(LATEST).await;
    (code, asked.elapsed())
}

/// Symptom: callers of a data centre that is cut off are held for 800 ms each and refused, for as long as the cut lasts;
/// 13 of its 28 instances leave rotation, the others go on taking callers.
/// Events: a data centre is cut off from all others and from its groups' leaders; most of its instances are home of no
/// group and hand their sessions on to two that are.
/// Cause: an instance without groups had no leader to miss, so that it never judged itself cut off.
#[test]
fn instances_without_groups_leave_rotation_behind_a_cut() {
    run(async {
        let world = World::new();
        let proxies = fleet(&world).await;
        let behind = in_data_centre(0);
        let without = behind.iter().filter(|it| at(&proxies, **it).groups().is_empty()).count();
        assert!(without > 0 && without < behind.len(), "{without} of {}", behind.len());
        cut(&world, &behind, true);
        let all_out = || behind.iter().all(|it| !at(&proxies, *it).is_ready());
        wait_until(OUT_WITHIN, "all behind the cut are out of rotation", all_out).await;
        for number in &behind {
            let (code, taken) = refused(at(&proxies, *number)).await;
            assert_eq!(code, FailureCode::Congested);
            assert!(taken < AT_ONCE, "instance {number} refuses after {taken:?}");
        }
        let others = (1..=FLEET).filter(|it| !behind.contains(it));
        assert!(others.clone().all(|it| at(&proxies, it).is_ready()), "the others serve on");

        world.network.heal();
        (0..3).for_each(|it| world.group.clear_faults(it));
        wait_until(3000, "all are ready again", || proxies.iter().all(|it| it.is_ready())).await;
        for number in &behind {
            world.caller(at(&proxies, *number), LATEST).await.execute_ok("WRITE slot mine").await;
        }
    });
}

/// Symptom: behind a cut, hundreds of writes end without an answer.
/// Events: an instance behind it closes its idle sessions; their callers open others, some of them at the same instance,
/// since the balancer needs two questions; it opens them and, idle as they are, closes them at once.
/// Cause: the first request was on its way when the session was closed; nothing was refused, so nobody knew whether it
/// ran.
#[test]
fn a_session_that_would_be_closed_at_once_is_refused_at_its_opening() {
    run(async {
        let world = World::new();
        let proxies = fleet(&world).await;
        let behind = in_data_centre(0);
        let open = world.caller(at(&proxies, behind[0]), LATEST).await;
        cut(&world, &behind, true);
        assert_eq!(open.next().await, None, "an idle session is closed in the end");
        let (code, _) = refused(at(&proxies, behind[0])).await;
        assert_eq!(code, FailureCode::Congested);
    });
}

/// A data centre that is cut off with its groups' leaders goes on serving: its homes reach them, and the others go by
/// their word.
#[test]
fn behind_a_cut_with_the_leaders_all_stay_in_rotation() {
    run(async {
        let world = World::new();
        let proxies = fleet(&world).await;
        let behind = in_data_centre(0);
        cut(&world, &behind, false);
        pause(OUT_WITHIN).await;
        let out: Vec<u16> =
            behind.iter().copied().filter(|it| !at(&proxies, *it).is_ready()).collect();
        assert_eq!(out, Vec::<u16>::new(), "out of rotation");
    });
}
