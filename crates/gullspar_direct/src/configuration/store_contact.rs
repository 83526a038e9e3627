//! Which instances follow the platform's store, and whether it answers this one.

use std::time::Duration;

use gullspar_border::jittered;

use crate::fleet::homes;
use crate::{Member, Proxy};

/// Silence of the store after which the list of targets is taken from other instances.
const STORE_SILENT_AFTER: Duration = Duration::from_secs(3);

/// Instances up to which all follow the store: more than today's 7 to 13.
const ALL_FOLLOW_UP_TO: usize = 16;

/// Instances of a data centre that follow the store for the others.
const FOLLOWERS: usize = 2;

/// What the followers of the store are ranked by.
const STORE_RANK: &str = "gullspar store";

/// Time that each instance of a fleet adds to the pause between two tries of those that leave the store to others.
///
/// Together they so make as many tries a second while the store is silent, however many they are. If all tried as often
/// as the followers, a large fleet would make more calls than the store takes.
const LAST_RESORT_SPACING: Duration = Duration::from_millis(100);

impl Proxy {
    /// Whether this instance follows the platform's store itself.
    ///
    /// A few instances all do. Of many, two in each data centre do, and the others hear of changes from
    /// them, since each call to the store is paid for; if nobody alive reaches the store, all try.
    pub fn follows_store(&self) -> bool {
        self.is_store_follower() || self.is_last_resort()
    }

    /// Whether it is this instance's turn to follow the store.
    fn is_store_follower(&self) -> bool {
        let members = self.members();
        if members.len() <= ALL_FOLLOW_UP_TO {
            return true;
        }
        let mut near: Vec<&Member> = members.near(&self.own.data_centre).iter().collect();
        near.sort_by_key(|it| homes::weight(STORE_RANK, &it.id));
        near.iter().take(FOLLOWERS).any(|it| it.id == self.own.id)
    }

    /// Whether nobody is heard to reach the store, neither this instance nor another.
    fn is_last_resort(&self) -> bool {
        let now = self.borders.clock.boot_now();
        !self.reaches_store() && !self.peers.is_store_reachable_by_any(now)
    }

    /// The least time between two calls of this instance to a store that does not answer.
    pub fn store_pause(&self) -> Duration {
        if self.is_store_follower() {
            return Duration::ZERO;
        }
        let instances = self.members().len() as u32;
        jittered(&*self.borders.entropy, LAST_RESORT_SPACING * instances)
    }

    /// Whether this instance's list of targets comes from the store, not from other instances.
    ///
    /// One that has read the store once, and leaves it to others, would go by that one list until it counts as
    /// silent; right after the store's return targets are missing there that are listed again within 2 s.
    pub(crate) fn goes_by_store(&self) -> bool {
        self.reaches_store() && self.is_store_follower()
    }

    pub(crate) fn reaches_store(&self) -> bool {
        self.store_silent_for().is_some_and(|it| it < STORE_SILENT_AFTER)
    }

    /// How long the store has not answered; `None` if it never did.
    pub(crate) fn store_silent_for(&self) -> Option<Duration> {
        let now = self.borders.clock.boot_now();
        self.store_heard.borrow().map(|at| now.since(at))
    }

    /// The store answered; what it says is newer than what other instances know.
    pub fn store_answered(&self) {
        *self.store_heard.borrow_mut() = Some(self.borders.clock.boot_now());
    }
}
