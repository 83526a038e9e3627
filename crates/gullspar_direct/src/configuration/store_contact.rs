//! Decides which instances follow the platform's store, and tracks whether the store answers this instance.

use std::time::Duration;

use gullspar_border::jittered;

use crate::fleet::homes;
use crate::{Member, Proxy};

/// Time without an answer from the store after which the list of targets is fetched from other instances.
const STORE_SILENT_AFTER: Duration = Duration::from_secs(3);

/// Fleet size up to which all instances follow the store.
const MAX_INSTANCES_ALL_FOLLOWING: usize = 16;

/// Time after its start in which an instance may not know most of the others yet.
const MEMBERSHIP_COMPLETE_AFTER: Duration = Duration::from_millis(800);

/// Number of instances of a data centre that follow the store in a larger fleet.
const FOLLOWERS_PER_DATA_CENTRE: usize = 2;

/// Key by which the followers of the store are ranked.
const STORE_RANK_KEY: &str = "gullspar store";

/// Retry delay of an instance that is not a follower, per instance of the fleet.
///
/// While the store is silent, the total rate of retries therefore does not depend on the size of the fleet. A large fleet
/// that retried as often as the followers do would overload the store.
const RETRY_DELAY_PER_INSTANCE: Duration = Duration::from_millis(100);

impl Proxy {
    /// Whether this instance follows the platform's store itself.
    ///
    /// In a small fleet all instances do. In a larger one a few in each data centre do and the others receive changes from
    /// them, which limits the number of calls to the store. If no live instance reaches the store, all try.
    pub fn should_follow_store(&self) -> bool {
        self.knows_fleet_size() && (self.is_store_follower() || self.is_store_unreachable_for_all())
    }

    /// Whether the known members tell how large the fleet is.
    ///
    /// An instance that has just started takes a large fleet for a small one. If all instances of a fleet that starts
    /// followed the store until they know each other, these would be most of its calls.
    fn knows_fleet_size(&self) -> bool {
        !self.has_seeds || self.borders.clock.now() >= self.started + MEMBERSHIP_COMPLETE_AFTER
    }

    /// Whether this instance is one of the store's followers.
    fn is_store_follower(&self) -> bool {
        let members = self.members();
        if members.len() <= MAX_INSTANCES_ALL_FOLLOWING {
            return true;
        }
        let mut near: Vec<&Member> = members.near(&self.own.data_centre).iter().collect();
        near.sort_by_key(|it| homes::weight(STORE_RANK_KEY, it.id.as_str()));
        near.iter().take(FOLLOWERS_PER_DATA_CENTRE).any(|it| it.id == self.own.id)
    }

    /// Whether neither this instance nor, as far as it knows, any other one reaches the store.
    fn is_store_unreachable_for_all(&self) -> bool {
        let now = self.borders.clock.boot_now();
        !self.can_reach_store() && !self.peers.is_store_reachable_by_any(now)
    }

    /// The minimum delay between two calls to a store that does not answer; zero for a follower.
    pub fn store_retry_delay(&self) -> Duration {
        if self.is_store_follower() {
            return Duration::ZERO;
        }
        let instances = self.members().len() as u32;
        jittered(&*self.borders.entropy, RETRY_DELAY_PER_INSTANCE * instances)
    }

    /// Whether this instance gets its list of targets from the store, not from other instances.
    ///
    /// Only followers do. An instance that read the store once without being a follower must not rely on that list:
    /// targets may be missing from it right after an outage of the store.
    pub(crate) fn has_targets_from_store(&self) -> bool {
        self.can_reach_store() && self.is_store_follower()
    }

    /// Whether the store answered this instance recently.
    pub(crate) fn can_reach_store(&self) -> bool {
        self.store_silent_for().is_some_and(|it| it < STORE_SILENT_AFTER)
    }

    /// Time since the store's last answer; `None` if it never answered.
    pub(crate) fn store_silent_for(&self) -> Option<Duration> {
        let now = self.borders.clock.boot_now();
        self.last_store_contact.borrow().map(|at| now.since(at))
    }

    /// Records that the store answered just now.
    pub fn record_store_answer(&self) {
        *self.last_store_contact.borrow_mut() = Some(self.borders.clock.boot_now());
    }
}
