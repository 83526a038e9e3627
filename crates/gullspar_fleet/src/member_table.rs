//! What this instance believes of the others.

use std::collections::BTreeMap;
use std::time::Instant;

use gullspar_model::{InstanceId, InstanceRecord, InstanceState};

/// A belief about one instance.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub(crate) record: InstanceRecord,
    /// When a suspect is declared dead, or a dead one forgotten.
    pub(crate) due_at: Option<Instant>,
    /// How many more times the record is passed on.
    pub(crate) passes_left: u32,
}

/// Beliefs about all instances that were ever heard of.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    entries: BTreeMap<InstanceId, MemberEntry>,
    /// Counts up whenever who takes work changes.
    pub(crate) generation: u64,
}

impl MemberTable {
    /// Most records in one message, so that messages stay small.
    const NEWS_LIMIT: usize = 12;

    /// Believes `record` if it is news; tells whether it was. At `due_at` a suspect is declared dead and
    /// a dead one forgotten.
    ///
    /// The death of one that is not known is no news: told on for ever, the dead of years would fill
    /// the memory of all.
    pub(crate) fn learn(&mut self, record: &InstanceRecord, due_at: Option<Instant>) -> bool {
        let known = self.entries.get(&record.id);
        if known.is_none() && record.state == InstanceState::Dead {
            return false;
        }
        if known.is_some_and(|it| !record.is_newer_than(&it.record)) {
            return false;
        }
        let passes_left = self.passes();
        let entry = MemberEntry { record: record.clone(), due_at, passes_left };
        self.entries.insert(record.id.clone(), entry);
        self.generation += 1;
        true
    }

    /// How often a record must be passed on for all to hear of it with near certainty.
    fn passes(&self) -> u32 {
        3 * (usize::BITS - self.entries.len().leading_zeros()) + 3
    }

    pub(crate) fn get(&self, id: &InstanceId) -> Option<&InstanceRecord> {
        self.entries.get(id).map(|it| &it.record)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.entries.values().map(|it| &it.record)
    }

    /// Records to pass on, those passed on least first.
    pub(crate) fn news(&mut self) -> Vec<InstanceRecord> {
        let mut hot: Vec<&mut MemberEntry> =
            self.entries.values_mut().filter(|it| it.passes_left > 0).collect();
        hot.sort_by_key(|it| std::cmp::Reverse(it.passes_left));
        hot.truncate(MemberTable::NEWS_LIMIT);
        hot.into_iter()
            .map(|it| {
                it.passes_left -= 1;
                it.record.clone()
            })
            .collect()
    }

    /// Declares dead whoever stayed suspect for too long, and forgets who has been dead for long.
    pub(crate) fn expire(&mut self, now: Instant, forget_at: Instant) -> Vec<InstanceId> {
        let is_due = |it: &MemberEntry, state| {
            it.record.state == state && it.due_at.is_some_and(|at| at <= now)
        };
        self.entries.retain(|_, it| !is_due(it, InstanceState::Dead));
        let overdue = self.entries.values().filter(|it| is_due(it, InstanceState::Suspect));
        let dead: Vec<InstanceRecord> = overdue
            .map(|it| InstanceRecord { state: InstanceState::Dead, ..it.record.clone() })
            .collect();
        for record in &dead {
            self.learn(record, Some(forget_at));
        }
        dead.into_iter().map(|it| it.id).collect()
    }
}
