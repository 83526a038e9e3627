//! The configuration and the targets that this instance uses.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::{Event, EventListener};
use gullspar_model::{GroupName, MemberName, Revision, ServiceName};
use gullspar_statement::TargetSpec;

use crate::configuration::group_targets::GroupTargets;
use crate::{Catalogue, Route, TargetList};

/// How long a target is still used after it vanished from the list.
///
/// While the platform's store is unavailable, entries expire although their targets are alive. They are listed again
/// about two seconds after the store returns. Removing them at once would take healthy targets out of service.
const EXPIRY_GRACE_PERIOD: Duration = Duration::from_millis(2500);

/// How long an entry that reappeared with an older copy of the store is not used unless its target writes it again.
/// Targets that are alive write their entries within this time.
const VERIFICATION_PERIOD: Duration = Duration::from_secs(2);

struct ListedTarget {
    spec: Rc<TargetSpec>,
    /// When the target is removed; set once the platform no longer lists it.
    expires_at: Option<Instant>,
}

/// The configuration and the list of targets in force; neither is ever replaced by an older version.
#[derive(Default)]
pub struct Directory {
    catalogue: RefCell<Option<Rc<Catalogue>>>,
    targets: RefCell<BTreeMap<MemberName, ListedTarget>>,
    target_revision: RefCell<Option<Revision>>,
    /// Unverified entries: their targets were unknown when the store was restored from an older copy.
    unverified: RefCell<BTreeMap<MemberName, TargetSpec>>,
    unverified_until: Cell<Option<Instant>>,
    /// The targets by group; cleared when the targets change.
    by_group: RefCell<Option<BTreeMap<GroupName, Rc<GroupTargets>>>>,
    generation: Cell<u64>,
    changed: Event,
}

impl Directory {
    /// Puts `catalogue` in force unless the same or a newer version already is; returns whether it was put in force.
    ///
    /// Watches, lists and other instances deliver configurations in any order. Without the comparison, a late one would
    /// restore removed routes.
    pub fn apply_catalogue(&self, catalogue: Catalogue) -> bool {
        let known = self.catalogue.borrow().as_ref().map(|it| it.version);
        if known.is_some_and(|it| it >= catalogue.version) {
            return false;
        }
        log::info!(version = catalogue.version, routes = catalogue.routes.len(); "G0701 configuration in force");
        *self.catalogue.borrow_mut() = Some(Rc::new(catalogue));
        self.notify_changed();
        true
    }

    /// Applies a list of targets unless a newer one was applied; returns whether the list was applied.
    ///
    /// Targets that are no longer listed expire some time after `now`.
    pub fn apply_targets(&self, list: TargetList, now: Instant) -> bool {
        if self.target_revision.borrow().is_some_and(|it| it > list.revision) {
            return false;
        }
        let before = self.target_revision.borrow_mut().replace(list.revision);
        if before.is_some_and(|it| it.era < list.revision.era) {
            log::warn!(revision = list.revision.to_string().as_str(); "G0768 the store was restored from an older copy");
            self.unverified_until.set(Some(now + VERIFICATION_PERIOD));
        }
        let must_verify = self.unverified_until.get().is_some_and(|until| now < until);
        let mut targets = self.targets.borrow_mut();
        let mut unverified = self.unverified.borrow_mut();
        let previously_unverified = std::mem::take(&mut *unverified);
        let mut current: BTreeMap<MemberName, ListedTarget> = BTreeMap::new();
        let mut outdated = BTreeSet::new();
        for spec in list.targets {
            let known = targets.get(&spec.member);
            // The listed entry is outdated. The known one expires unless the target writes a newer one.
            if known.is_some_and(|it| it.spec.is_newer_than(&spec)) {
                log::warn!(member = spec.member.as_str(), beat = spec.beat; "G0757 the listed entry of a target is older than the known one");
                outdated.insert(spec.member);
                continue;
            }
            if known.is_none() && must_verify {
                // The target may have left since the copy was made.
                let first = previously_unverified.get(&spec.member);
                if first.is_none_or(|it| !spec.is_newer_than(it)) {
                    unverified.insert(spec.member.clone(), first.cloned().unwrap_or(spec));
                    continue;
                }
            }
            let listed = ListedTarget { spec: Rc::new(spec), expires_at: None };
            current.insert(listed.spec.member.clone(), listed);
        }
        for (member, old) in std::mem::take(&mut *targets) {
            if current.contains_key(&member) {
                continue;
            }
            // A target that announced its leaving has left and needs no grace period.
            if old.spec.leaving && !outdated.contains(&member) {
                log::info!(member = member.as_str(); "G0702 a leaving target has left");
                continue;
            }
            let expires_at = old.expires_at.unwrap_or(now + EXPIRY_GRACE_PERIOD);
            if now < expires_at {
                current.insert(member, ListedTarget { expires_at: Some(expires_at), ..old });
            }
        }
        *targets = current;
        drop(targets);
        self.notify_targets_changed();
        true
    }

    /// Removes targets whose grace period has passed, and accepts entries that stayed unverified for long enough. Returns
    /// when to call this again.
    pub fn remove_expired(&self, now: Instant) -> Option<Instant> {
        let any_accepted = self.accept_unverified(now);
        let mut targets = self.targets.borrow_mut();
        let before = targets.len();
        targets.retain(|member, it| {
            let is_current = it.expires_at.is_none_or(|at| now < at);
            if !is_current {
                log::warn!(member = member.as_str(); "G0703 a target was removed: the platform no longer lists it");
            }
            is_current
        });
        let next = targets
            .values()
            .filter_map(|it| it.expires_at)
            .chain(self.unverified_until.get())
            .min();
        let changed = targets.len() != before || any_accepted;
        drop(targets);
        if changed {
            self.notify_targets_changed();
        }
        next
    }

    /// Accepts the unverified entries that are still listed when the verification period ends; returns whether there were
    /// any.
    fn accept_unverified(&self, now: Instant) -> bool {
        if self.unverified_until.get().is_none_or(|until| now < until) {
            return false;
        }
        self.unverified_until.set(None);
        let unverified = self.unverified.take();
        let any = !unverified.is_empty();
        let listed = |spec| ListedTarget { spec: Rc::new(spec), expires_at: None };
        let accepted = unverified.into_iter().map(|(member, spec)| (member, listed(spec)));
        self.targets.borrow_mut().extend(accepted);
        any
    }

    /// The configuration in force.
    pub fn catalogue(&self) -> Option<Rc<Catalogue>> {
        self.catalogue.borrow().clone()
    }

    /// The version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.catalogue.borrow().as_ref().map_or(0, |it| it.version)
    }

    /// Whether members of `group` acknowledge a commit only once a replica has received it.
    pub(crate) fn is_synchronous(&self, group: &GroupName) -> bool {
        let catalogue = self.catalogue.borrow();
        let limits = catalogue.as_ref().and_then(|it| it.groups.get(group));
        limits.is_some_and(|it| it.sync_replicas > 0)
    }

    /// The revision of the list of targets; the default revision if there is none.
    pub fn target_revision(&self) -> Revision {
        self.target_revision.borrow().unwrap_or_default()
    }

    /// The route of `service`.
    pub fn route(&self, service: &ServiceName) -> Option<Route> {
        self.catalogue.borrow().as_ref()?.routes.get(service).cloned()
    }

    /// All targets in use, including those that are no longer listed but still in their grace period.
    pub fn targets(&self) -> Vec<Rc<TargetSpec>> {
        self.targets.borrow().values().map(|it| Rc::clone(&it.spec)).collect()
    }

    /// The targets of `group`; `None` if it has none.
    pub(crate) fn group_targets(&self, group: &GroupName) -> Option<Rc<GroupTargets>> {
        let mut by_group = self.by_group.borrow_mut();
        let known = by_group.get_or_insert_with(|| GroupTargets::by_group(self.targets()));
        known.get(group).cloned()
    }

    /// A number that grows with each change of the configuration or of the targets.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.get()
    }

    fn notify_targets_changed(&self) {
        self.by_group.replace(None);
        self.notify_changed();
    }

    fn notify_changed(&self) {
        self.generation.set(self.generation.get() + 1);
        self.changed.notify(usize::MAX);
    }

    /// The list of targets to send to another instance; without those that are no longer listed.
    pub fn target_list(&self) -> TargetList {
        let listed = self.targets.borrow();
        let targets = listed
            .values()
            .filter(|it| it.expires_at.is_none())
            .map(|it| (*it.spec).clone())
            .collect();
        TargetList { revision: self.target_revision(), targets }
    }

    /// Whether there is a configuration and at least one target.
    pub fn is_usable(&self) -> bool {
        self.catalogue.borrow().is_some() && !self.targets.borrow().is_empty()
    }

    /// Returns a listener for the next change. Call this before reading the state, so that no change is missed.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }
}
