//! The configuration and the targets that this instance goes by.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::{Event, EventListener};
use gullspar_model::{GroupName, MemberName, Revision, ServiceName};
use gullspar_statement::TargetSpec;

use crate::{Catalogue, Route, TargetList};

/// How long a target that vanished from the list is still used.
///
/// Entries lapse while the platform's store is away although their targets live; they are back about
/// two seconds after its return. Dropping them at once would take healthy targets out of service.
const LAPSE_GRACE: Duration = Duration::from_millis(2500);

/// How long an entry that is back with an older copy of the store is not believed unless its target writes again; those
/// that live do so within this time.
const RESTORED_GRACE: Duration = Duration::from_secs(2);

struct Listed {
    spec: Rc<TargetSpec>,
    /// Set when the platform stopped listing it.
    gone_at: Option<Instant>,
}

/// What is in force, each part only ever moving forward.
#[derive(Default)]
pub struct Directory {
    catalogue: RefCell<Option<Rc<Catalogue>>>,
    targets: RefCell<BTreeMap<MemberName, Listed>>,
    target_revision: RefCell<Option<Revision>>,
    /// Entries of targets that were not known when the store came back from an older copy, and until when they are
    /// doubted.
    doubted: RefCell<BTreeMap<MemberName, TargetSpec>>,
    doubted_until: Cell<Option<Instant>>,
    /// What [`Directory::slots`] gives, worked out once a change of the targets.
    slots: RefCell<Option<BTreeMap<GroupName, u32>>>,
    changed: Event,
}

impl Directory {
    /// Puts `catalogue` in force unless the same or a newer one is.
    ///
    /// Watches, lists and other instances bring configurations in any order; a late one would put
    /// removed routes back in force, seen as callers served by the service of yesterday.
    pub fn apply_catalogue(&self, catalogue: Catalogue) -> bool {
        let known = self.catalogue.borrow().as_ref().map(|it| it.version);
        if known.is_some_and(|it| it >= catalogue.version) {
            return false;
        }
        log::info!(version = catalogue.version, routes = catalogue.routes.len(); "G0701 configuration in force");
        *self.catalogue.borrow_mut() = Some(Rc::new(catalogue));
        self.changed.notify(usize::MAX);
        true
    }

    /// Takes a list of targets unless a newer one was taken; `now` dates what vanished.
    pub fn apply_targets(&self, list: TargetList, now: Instant) -> bool {
        if self.target_revision.borrow().is_some_and(|it| it > list.revision) {
            return false;
        }
        let before = self.target_revision.borrow_mut().replace(list.revision);
        if before.is_some_and(|it| it.era < list.revision.era) {
            log::warn!(revision = list.revision.to_string().as_str(); "G0768 the store has come back from an older copy");
            self.doubted_until.set(Some(now + RESTORED_GRACE));
        }
        let doubts = self.doubted_until.get().is_some_and(|until| now < until);
        let mut targets = self.targets.borrow_mut();
        let mut doubted = self.doubted.borrow_mut();
        let doubted_before = std::mem::take(&mut *doubted);
        let mut fresh: BTreeMap<MemberName, Listed> = BTreeMap::new();
        let mut outdated = BTreeSet::new();
        for spec in list.targets {
            let known = targets.get(&spec.member);
            // An entry that somebody else wrote, or its target long ago; what is in force lapses unless
            // the target says something new of itself.
            if known.is_some_and(|it| it.spec.is_newer_than(&spec)) {
                log::warn!(member = spec.member.as_str(), beat = spec.beat; "G0757 an entry of a target is older than what it said before");
                outdated.insert(spec.member);
                continue;
            }
            if known.is_none() && doubts {
                // Of a target that may have left since the copy was made.
                let first = doubted_before.get(&spec.member);
                if first.is_none_or(|it| !spec.is_newer_than(it)) {
                    doubted.insert(spec.member.clone(), first.cloned().unwrap_or(spec));
                    continue;
                }
            }
            let listed = Listed { spec: Rc::new(spec), gone_at: None };
            fresh.insert(listed.spec.member.clone(), listed);
        }
        for (member, old) in std::mem::take(&mut *targets) {
            if fresh.contains_key(&member) {
                continue;
            }
            // One that said it leaves has left; there is nothing to wait for.
            if old.spec.leaving && !outdated.contains(&member) {
                log::info!(member = member.as_str(); "G0702 a leaving target has left");
                continue;
            }
            let gone_at = old.gone_at.unwrap_or(now + LAPSE_GRACE);
            if now < gone_at {
                fresh.insert(member, Listed { gone_at: Some(gone_at), ..old });
            }
        }
        *targets = fresh;
        drop(targets);
        self.targets_changed();
        true
    }

    /// Drops targets whose grace has passed, and believes those that were doubted for long enough; gives the time of the
    /// next to look at.
    pub fn remove_expired(&self, now: Instant) -> Option<Instant> {
        let believed = self.believe_doubted(now);
        let mut targets = self.targets.borrow_mut();
        let before = targets.len();
        targets.retain(|member, it| {
            let keep = it.gone_at.is_none_or(|at| now < at);
            if !keep {
                log::warn!(member = member.as_str(); "G0703 a target is gone: the platform no longer lists it");
            }
            keep
        });
        let next =
            targets.values().filter_map(|it| it.gone_at).chain(self.doubted_until.get()).min();
        let changed = targets.len() != before || believed;
        drop(targets);
        if changed {
            self.targets_changed();
        }
        next
    }

    /// Takes the entries that are still listed when the time for doubts is over; tells whether there were any.
    fn believe_doubted(&self, now: Instant) -> bool {
        if self.doubted_until.get().is_none_or(|until| now < until) {
            return false;
        }
        self.doubted_until.set(None);
        let doubted = self.doubted.take();
        let any = !doubted.is_empty();
        let listed = |spec| Listed { spec: Rc::new(spec), gone_at: None };
        let believed = doubted.into_iter().map(|(member, spec)| (member, listed(spec)));
        self.targets.borrow_mut().extend(believed);
        any
    }

    /// The configuration in force.
    pub fn catalogue(&self) -> Option<Rc<Catalogue>> {
        self.catalogue.borrow().clone()
    }

    /// The version of the configuration in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.catalogue.borrow().as_ref().map_or(0, |it| it.version)
    }

    /// The revision of the list of targets; the first one for none.
    pub fn target_revision(&self) -> Revision {
        self.target_revision.borrow().unwrap_or_default()
    }

    /// How statements of `service` are served.
    pub fn route(&self, service: &ServiceName) -> Option<Route> {
        self.catalogue.borrow().as_ref()?.routes.get(service).cloned()
    }

    /// All targets that are there, lapsed ones in their grace included.
    pub fn targets(&self) -> Vec<Rc<TargetSpec>> {
        self.targets.borrow().values().map(|it| Rc::clone(&it.spec)).collect()
    }

    /// Statements that a target of `group` runs at once; 0 if none is listed.
    pub fn slots(&self, group: &GroupName) -> u32 {
        let mut slots = self.slots.borrow_mut();
        let known = slots.get_or_insert_with(|| {
            let mut slots: BTreeMap<GroupName, u32> = BTreeMap::new();
            for spec in self.targets.borrow().values().map(|it| &it.spec) {
                let most = slots.entry(spec.group.clone()).or_default();
                *most = spec.slots.max(*most);
            }
            slots
        });
        known.get(group).copied().unwrap_or(0)
    }

    /// Tells that the targets are no longer what they were.
    fn targets_changed(&self) {
        self.slots.replace(None);
        self.changed.notify(usize::MAX);
    }

    /// The list as it would be handed to another instance.
    pub fn target_list(&self) -> TargetList {
        let listed = self.targets.borrow();
        let targets = listed
            .values()
            .filter(|it| it.gone_at.is_none())
            .map(|it| (*it.spec).clone())
            .collect();
        TargetList { revision: self.target_revision(), targets }
    }

    /// Whether there is a configuration and at least one target.
    pub fn is_usable(&self) -> bool {
        self.catalogue.borrow().is_some() && !self.targets.borrow().is_empty()
    }

    /// Notified at each change; take it before reading, so that no change is missed.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }
}
