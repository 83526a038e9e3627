//! Updates that instances send to each other when they do not follow the platform's store.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::rc::Rc;
use std::time::Duration;

use gullspar_direct::Proxy;
use gullspar_model::Revision;
use support::{World, catalogue, pause, run, wait_until};

/// A fleet size at which not all instances follow the store.
const LARGE_FLEET: u16 = 18;

/// Maximum time until all instances know each other, in milliseconds.
const MEMBERSHIP_TIMEOUT: u64 = 3000;

/// Maximum time until an instance has the updates of others, in milliseconds: a heartbeat, a poll and a fetch.
const UPDATE_TIMEOUT: u64 = 1000;

/// Waits until each instance knows all others, not only their number.
async fn wait_for_membership(world: &World, proxies: &[Rc<Proxy>]) {
    let knows_all =
        |it: &Rc<Proxy>| it.peers.members(world.clock.boot_now()).len() == proxies.len();
    wait_until(MEMBERSHIP_TIMEOUT, "all know each other", || proxies.iter().all(knows_all)).await;
}

/// Guards against an instance that read an incomplete list right after an outage of the store, does not follow
/// the store, and ignores the complete list of the followers.
#[test]
fn an_instance_that_is_not_a_follower_applies_the_list_of_followers() {
    run(async {
        let world = World::new();
        let proxies: Vec<Rc<Proxy>> = (1..=LARGE_FLEET).map(|it| world.instance(it)).collect();
        proxies.iter().for_each(|it| it.record_store_answer());
        wait_for_membership(&world, &proxies).await;
        let has_follower = || proxies.iter().any(|it| it.should_follow_store());
        wait_until(MEMBERSHIP_TIMEOUT, "there are followers", has_follower).await;
        proxies.iter().for_each(|it| it.record_store_answer());
        let follower = proxies.iter().find(|it| it.should_follow_store()).unwrap();
        let other = proxies.iter().find(|it| !it.should_follow_store()).unwrap();
        world.apply_target_list(other, 5);
        world.apply_target_list(follower, 9);
        let is_updated = || other.directory.target_revision() == Revision::new(0, 9);
        wait_until(UPDATE_TIMEOUT, "it has the follower's list", is_updated).await;
    });
}

/// Guards against an outdated configuration because only one instance is asked for updates, and it is
/// unreachable.
#[test]
fn updates_are_fetched_from_any_instance_that_has_them() {
    run(async {
        let world = World::new();
        let proxies: Vec<Rc<Proxy>> = (1..=4).map(|it| world.instance(it)).collect();
        pause(UPDATE_TIMEOUT).await;
        world.network.block_one_way(4, 1);
        world.network.block_one_way(4, 2);
        [0, 1, 2].into_iter().for_each(|it| {
            proxies[it].directory.apply_catalogue(catalogue(7));
        });
        let is_updated = || proxies[3].directory.version() == 7;
        wait_until(UPDATE_TIMEOUT, "the configuration is there", is_updated).await;
    });
}

/// Guards against a rate of retries that grows with the fleet and overloads the store at its return.
#[test]
fn only_followers_retry_a_silent_store_without_delay() {
    run(async {
        let world = World::new();
        let proxies: Vec<Rc<Proxy>> = (1..=LARGE_FLEET).map(|it| world.instance(it)).collect();
        wait_for_membership(&world, &proxies).await;
        let all_try = || proxies.iter().all(|it| it.should_follow_store());
        wait_until(MEMBERSHIP_TIMEOUT, "no instance reaches it, so all try", all_try).await;
        let immediate = proxies.iter().filter(|it| it.store_retry_delay().is_zero()).count();
        assert_eq!(immediate, 2, "two followers in the only data centre");
        let delays = proxies.iter().map(|it| it.store_retry_delay()).filter(|it| !it.is_zero());
        assert!(delays.min().unwrap() >= Duration::from_millis(50 * u64::from(LARGE_FLEET)));
    });
}

/// Guards against a large fleet in which all instances follow the store while they do not know each other yet.
#[test]
fn instances_that_start_together_do_not_all_follow_the_store() {
    run(async {
        let world = World::new();
        let proxies: Vec<Rc<Proxy>> = (1..=LARGE_FLEET).map(|it| world.instance(it)).collect();
        proxies.iter().for_each(|it| it.record_store_answer());
        let mut followed = vec![false; proxies.len()];
        for _ in 0..MEMBERSHIP_TIMEOUT / 20 {
            pause(20).await;
            for (followed, proxy) in followed.iter_mut().zip(&proxies) {
                proxy.record_store_answer();
                *followed |= proxy.should_follow_store();
            }
        }
        let followers = followed.iter().filter(|it| **it).count();
        assert_eq!(followers, 2, "two followers in the only data centre");
    });
}
