//! How much of what callers use can be served.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gullspar_model::GroupName;

use super::{GroupStatus, GroupUse, timing};
use crate::ROTATION_DELAY;

/// What the reporting instances together can serve of a group.
#[derive(Clone, Copy, Default)]
struct Serving {
    has_leader: bool,
    /// Age of the newest position sample.
    sample_age: Option<Duration>,
}

impl Serving {
    /// Whether callers with this maximum age of data can be served until a change of rotation has taken effect.
    ///
    /// Without a leader there are no new position samples, so that reads end as the newest one expires.
    fn can_serve(self, max_age_ms: Option<u32>) -> bool {
        let max_age = max_age_ms.map(|it| Duration::from_millis(it.into()));
        let is_recent = |(age, max_age): (Duration, Duration)| age + ROTATION_DELAY <= max_age;
        self.has_leader || self.sample_age.zip(max_age).is_some_and(is_recent)
    }
}

/// The use of groups by callers, and how much of it can be served.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The use of groups that can be served.
    pub servable: u64,
    /// The use of groups of which the reporting instances include a home. The homes of other groups may be in other
    /// data centres on the same side of the partition.
    pub used: u64,
    /// Groups without a leader; empty if there are more than [`timing::MAX_LISTED_GROUPS`].
    pub unservable: Vec<GroupName>,
}

impl Tally {
    /// Adds up the uses and the statuses of all reporting instances. Statuses come with the time since their arrival.
    ///
    /// If no use is known, as after a common start, each group counts the same.
    pub fn new<'a>(
        uses: impl IntoIterator<Item = &'a GroupUse>,
        statuses: impl IntoIterator<Item = (&'a GroupStatus, Duration)>,
    ) -> Tally {
        let mut serving: BTreeMap<&GroupName, Serving> = BTreeMap::new();
        for (status, since) in statuses {
            let of_group = serving.entry(&status.group).or_default();
            of_group.has_leader |= status.has_leader;
            let age = status.sample_age_ms.map(|it| Duration::from_millis(it.into()) + since);
            of_group.sample_age = of_group.sample_age.into_iter().chain(age).min();
        }
        let mut tally = Tally::default();
        for item in uses {
            let Some(of_group) = serving.get(&item.group) else { continue };
            tally.count(u64::from(item.count), of_group.can_serve(item.max_age_ms));
        }
        if tally.used == 0 {
            serving.values().for_each(|it| tally.count(1, it.has_leader));
        }
        let unservable: BTreeSet<&GroupName> =
            serving.iter().filter(|(_, it)| !it.has_leader).map(|(group, _)| *group).collect();
        if unservable.len() <= timing::MAX_LISTED_GROUPS {
            tally.unservable = unservable.into_iter().cloned().collect();
        }
        tally
    }

    fn count(&mut self, weight: u64, can_serve: bool) {
        self.used += weight;
        self.servable += if can_serve { weight } else { 0 };
    }

    /// Whether more than half of the use can be served, so that callers are better served here.
    pub fn is_mostly_servable(&self) -> bool {
        2 * self.servable > self.used
    }

    /// Whether enough can be served for instances that left rotation to return. More than what keeps them there, so that
    /// a share that varies around the limit does not move callers back and forth.
    pub fn is_enough_to_return(&self) -> bool {
        self.used > 0 && 3 * self.servable >= 2 * self.used
    }
}
