//! What instances hand to each other beside the platform's store.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::rc::Rc;
use std::time::Duration;

use gullspar_direct::Proxy;
use gullspar_model::Revision;
use support::{World, catalogue, pause, run, wait_until};

/// More instances than all follow the store.
const MANY: u16 = 18;

/// The time in which all of them have heard of all, in milliseconds.
const HEARD_WITHIN: u64 = 3000;

/// In which time an instance has what others know, in milliseconds: a heartbeat, a look and a fetch.
const TOLD_WITHIN: u64 = 1000;

/// Waits until each instance has heard of all others itself, not only how many there are.
async fn all_know_each_other(world: &World, proxies: &[Rc<Proxy>]) {
    let knows_all =
        |it: &Rc<Proxy>| it.peers.members(world.clock.boot_now()).len() == proxies.len();
    wait_until(HEARD_WITHIN, "all know each other", || proxies.iter().all(knows_all)).await;
}

/// Symptom: after the platform's store was silent, one instance in five of a large fleet refuses callers of 23
/// targets: "no primary of the group is known".
/// Events: while the store is silent all instances try to read it; right after its return one that leaves it to
/// others reads the list, in which most targets are missing, as their entries have lapsed; the targets are listed
/// again within two seconds; the instances that follow the store see that, this one drops the targets.
/// Cause: having read the store itself, it took no list from others for three seconds, and did not follow the store
/// either.
/// Evidence: of 73 instances just the 14 that had read a list and did not follow dropped targets (G0703), none of the
/// 10 that followed.
#[test]
fn an_instance_that_leaves_the_store_to_others_takes_their_list() {
    run(async {
        let world = World::new();
        let proxies: Vec<Rc<Proxy>> = (1..=MANY).map(|it| world.instance(it)).collect();
        proxies.iter().for_each(|it| it.record_store_answer());
        all_know_each_other(&world, &proxies).await;
        proxies.iter().for_each(|it| it.record_store_answer());
        let follower = proxies.iter().find(|it| it.should_follow_store()).unwrap();
        let other = proxies.iter().find(|it| !it.should_follow_store()).unwrap();
        world.apply_target_list(other, 5);
        world.apply_target_list(follower, 9);
        let told = || other.directory.target_revision() == Revision::new(0, 9);
        wait_until(TOLD_WITHIN, "it has the followers' list", told).await;
    });
}

/// Symptom: an instance goes by an old configuration although most others have the newest one.
/// Events: one of those that are ahead is heard here, and can't be asked, since the way to it is cut.
/// Cause: the first of them was asked, and asked again, whatever came of it.
#[test]
fn news_come_from_any_instance_that_has_them() {
    run(async {
        let world = World::new();
        let proxies: Vec<Rc<Proxy>> = (1..=4).map(|it| world.instance(it)).collect();
        pause(TOLD_WITHIN).await;
        world.network.block_one_way(4, 1);
        world.network.block_one_way(4, 2);
        [0, 1, 2].into_iter().for_each(|it| {
            proxies[it].directory.apply_catalogue(catalogue(7));
        });
        let told = || proxies[3].directory.version() == 7;
        wait_until(TOLD_WITHIN, "the configuration is there", told).await;
    });
}

/// Symptom: a silent store is called more often the more instances there are, past what it takes a second when it is
/// back.
/// Cause: each instance that leaves the store to others tries it as often as those whose turn it is.
#[test]
fn a_silent_store_is_tried_often_by_its_followers_only() {
    run(async {
        let world = World::new();
        let proxies: Vec<Rc<Proxy>> = (1..=MANY).map(|it| world.instance(it)).collect();
        all_know_each_other(&world, &proxies).await;
        assert!(
            proxies.iter().all(|it| it.should_follow_store()),
            "nobody reaches it, so that all try"
        );
        let often = proxies.iter().filter(|it| it.store_retry_delay().is_zero()).count();
        assert_eq!(often, 2, "two in the one data centre");
        let seldom = proxies.iter().map(|it| it.store_retry_delay()).filter(|it| !it.is_zero());
        assert!(seldom.min().unwrap() >= Duration::from_millis(50 * u64::from(MANY)));
    });
}
