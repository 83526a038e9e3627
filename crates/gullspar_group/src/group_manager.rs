//! The groups that this instance observes.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use gullspar_border::within;
use gullspar_fleet::Fleet;
use gullspar_model::{GroupName, GroupSpec, MemberName, TargetKey};

use crate::{GroupTiming, GroupWatch};

/// Interval between updates of the list of groups when nothing wakes the manager.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Starts and ends a [`GroupWatch`] for each group of which this instance is the home of a member.
pub struct GroupManager {
    fleet: Rc<Fleet>,
    timing: GroupTiming,
    watches: RefCell<BTreeMap<GroupName, Rc<GroupWatch>>>,
}

impl GroupManager {
    /// Creates a manager that observes nothing until [`GroupManager::run`] is called.
    pub fn new(fleet: Rc<Fleet>, timing: GroupTiming) -> Rc<GroupManager> {
        Rc::new(GroupManager { fleet, timing, watches: RefCell::default() })
    }

    /// The watch of a group; `None` if the group is not observed here.
    pub fn watch(&self, group: &GroupName) -> Option<Rc<GroupWatch>> {
        self.watches.borrow().get(group).cloned()
    }

    /// All current watches.
    pub fn watches(&self) -> Vec<Rc<GroupWatch>> {
        self.watches.borrow().values().cloned().collect()
    }

    /// Starts and ends watches as the configuration and the members change. Never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            let config = self.fleet.config.listen();
            let members = self.fleet.listen();
            self.update();
            let clock = &self.fleet.borders().clock;
            let deadline = clock.now() + UPDATE_INTERVAL;
            let changed = futures::future::select(config, members);
            // The update covers everything, whichever event woke the manager.
            let _ = within(&**clock, deadline, changed).await;
        }
    }

    fn update(&self) {
        let mut held = BTreeSet::new();
        for (_, service) in self.fleet.config.services() {
            let spec = Rc::new(service.object.group.clone());
            if self.holds_any(&spec) {
                held.insert(spec.name.clone());
                self.start_or_update(spec);
            }
        }
        for watch in self.watches() {
            // The configuration may have changed the leader that a request waits for.
            watch.wake();
        }
        self.watches.borrow_mut().retain(|name, watch| {
            let is_needed = watch.is_needed(held.contains(name));
            watch.ended.set(!is_needed);
            is_needed
        });
    }

    fn holds_any(&self, spec: &GroupSpec) -> bool {
        spec.members.iter().any(|it| {
            let key = TargetKey::new(&spec.name, &it.name);
            self.fleet.is_home(&key, &it.data_centre)
        })
    }

    /// Starts the watch of a group, or applies a changed specification to it.
    fn start_or_update(&self, spec: Rc<GroupSpec>) {
        let existing = self.watch(&spec.name);
        let watch = match existing {
            Some(watch) => watch,
            None => {
                let name = spec.name.clone();
                let watch =
                    GroupWatch::new(name, Rc::clone(&spec), Rc::clone(&self.fleet), self.timing);
                for member in &spec.members {
                    start_member(&watch, member.name.clone());
                }
                compio::runtime::spawn(Rc::clone(&watch).monitor_primary()).detach();
                self.watches.borrow_mut().insert(spec.name.clone(), Rc::clone(&watch));
                watch
            }
        };
        let old = watch.spec();
        if old != spec {
            watch.update_spec(spec);
            let new = watch.spec();
            for member in new.members.iter().filter(|it| old.member(&it.name).is_none()) {
                start_member(&watch, member.name.clone());
            }
        }
    }
}

fn start_member(watch: &Rc<GroupWatch>, member: MemberName) {
    compio::runtime::spawn(Rc::clone(watch).observe(member.clone())).detach();
    compio::runtime::spawn(Rc::clone(watch).repair(member)).detach();
}
