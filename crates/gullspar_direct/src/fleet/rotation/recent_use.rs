//! Counts how much the connected callers use each group.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::GroupName;

use super::{GroupUse, timing};
use crate::Route;

/// Time between two reductions of the counts.
const DECAY_INTERVAL: Duration = Duration::from_millis(500);

/// The part of a count that each reduction removes, as a divisor. Uses count for 8 s on average: long enough to include
/// rare callers, and short enough to follow callers that move to another data centre.
const DECAY_DIVISOR: u64 = 16;

/// The value of one use in a counter, so that reductions of small counts are not lost in rounding.
const UNIT: u64 = 256;

/// Counts the uses of one group by callers with the same maximum age of data.
#[derive(Clone, Debug, Default)]
pub(crate) struct UseCounter(Rc<Cell<u64>>);

impl UseCounter {
    /// Counts an opening or a statement.
    pub(crate) fn record(&self) {
        self.0.set(self.0.get() + UNIT);
    }
}

/// The recent use of all groups.
#[derive(Default)]
pub(crate) struct RecentUse {
    counters: RefCell<BTreeMap<(GroupName, Option<u32>), UseCounter>>,
    next_decay_at: Cell<Option<BootInstant>>,
}

impl RecentUse {
    /// The counter for callers with `route`.
    pub(crate) fn counter(&self, route: &Route) -> UseCounter {
        let max_age = route.freshness.max_age();
        let max_age_ms = max_age.map(|it| it.as_millis().try_into().unwrap_or(u32::MAX));
        let mut counters = self.counters.borrow_mut();
        counters.entry((route.group.clone(), max_age_ms)).or_default().clone()
    }

    /// Reduces the counts when it is due, and drops those of groups that are no longer used.
    pub(crate) fn decay(&self, now: BootInstant) {
        if self.next_decay_at.get().is_some_and(|it| now < it) {
            return;
        }
        self.next_decay_at.set(Some(now.plus(DECAY_INTERVAL)));
        self.counters.borrow_mut().retain(|_, UseCounter(count)| {
            count.set(count.get() - count.get().div_ceil(DECAY_DIVISOR));
            count.get() > 0 || Rc::strong_count(count) > 1
        });
    }

    /// The most used groups, at most [`timing::MAX_USES`] entries.
    pub(crate) fn uses(&self) -> Vec<GroupUse> {
        let counters = self.counters.borrow();
        let used = counters.iter().map(|((group, max_age_ms), UseCounter(count))| GroupUse {
            group: group.clone(),
            max_age_ms: *max_age_ms,
            count: count.get().div_ceil(UNIT).try_into().unwrap_or(u32::MAX),
        });
        let mut uses: Vec<GroupUse> = used.filter(|it| it.count > 0).collect();
        uses.sort_by_key(|it| std::cmp::Reverse(it.count));
        uses.truncate(timing::MAX_USES);
        uses
    }
}
