//! The member table: what this instance knows about all instances.

use std::collections::BTreeMap;
use std::time::Instant;

use gullspar_model::{InstanceId, InstanceRecord, InstanceState};

/// The latest record of one instance.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub(crate) record: InstanceRecord,
    /// When a suspect is declared dead, or a dead instance removed.
    pub(crate) due_at: Option<Instant>,
    /// How many more times the record is sent to other instances.
    pub(crate) sends_left: u32,
}

/// The records of all known instances.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    entries: BTreeMap<InstanceId, MemberEntry>,
    /// Increases with each change of a record.
    pub(crate) generation: u64,
}

impl MemberTable {
    /// Maximum number of records in one message.
    const MAX_UPDATES: usize = 12;

    /// Stores `record` if it supersedes the known one; returns whether it did. At `due_at` a suspect is declared dead,
    /// or a dead instance removed.
    ///
    /// A dead instance that is not known is ignored. Otherwise instances would send its record to each other forever.
    pub(crate) fn merge(&mut self, record: &InstanceRecord, due_at: Option<Instant>) -> bool {
        let known = self.entries.get(&record.id);
        if known.is_none() && record.state == InstanceState::Dead {
            return false;
        }
        if known.is_some_and(|it| !record.is_newer_than(&it.record)) {
            return false;
        }
        let sends_left = self.required_sends();
        let entry = MemberEntry { record: record.clone(), due_at, sends_left };
        self.entries.insert(record.id.clone(), entry);
        self.generation += 1;
        true
    }

    /// How many times a record must be sent so that it almost certainly reaches all instances.
    fn required_sends(&self) -> u32 {
        3 * (usize::BITS - self.entries.len().leading_zeros()) + 3
    }

    pub(crate) fn get(&self, id: &InstanceId) -> Option<&InstanceRecord> {
        self.entries.get(id).map(|it| &it.record)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.entries.values().map(|it| &it.record)
    }

    /// The records to send next, those sent least often first.
    pub(crate) fn updates(&mut self) -> Vec<InstanceRecord> {
        let mut pending: Vec<&mut MemberEntry> =
            self.entries.values_mut().filter(|it| it.sends_left > 0).collect();
        pending.sort_by_key(|it| std::cmp::Reverse(it.sends_left));
        pending.truncate(MemberTable::MAX_UPDATES);
        pending
            .into_iter()
            .map(|it| {
                it.sends_left -= 1;
                it.record.clone()
            })
            .collect()
    }

    /// Declares suspects dead and removes dead instances whose time is due. Returns the instances declared dead; they
    /// are removed at `forget_at`.
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
            self.merge(record, Some(forget_at));
        }
        dead.into_iter().map(|it| it.id).collect()
    }
}
