//! The groups that this instance observes.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use gullspar_border::within;
use gullspar_fleet::Fleet;
use gullspar_model::{GroupName, GroupSpec, MemberName, TargetKey};

use crate::{GroupTiming, GroupWatch};

/// How often the list of groups is looked over when nothing wakes the manager.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Starts and ends a [`GroupWatch`] for each group that this instance holds a member of.
pub struct GroupManager {
    fleet: Rc<Fleet>,
    timing: GroupTiming,
    watches: RefCell<BTreeMap<GroupName, Rc<GroupWatch>>>,
}

impl GroupManager {
    /// A manager that observes nothing yet.
    pub fn new(fleet: Rc<Fleet>, timing: GroupTiming) -> Rc<GroupManager> {
        Rc::new(GroupManager { fleet, timing, watches: RefCell::default() })
    }

    /// The watch of a group, if this instance holds one of its members.
    pub fn watch(&self, group: &GroupName) -> Option<Rc<GroupWatch>> {
        self.watches.borrow().get(group).cloned()
    }

    /// All watches.
    pub fn watches(&self) -> Vec<Rc<GroupWatch>> {
        self.watches.borrow().values().cloned().collect()
    }

    /// Follows configuration and membership for as long as the task lives.
    pub async fn run(self: Rc<Self>) {
        loop {
            let config = self.fleet.config.listen();
            let members = self.fleet.listen();
            self.update();
            let clock = &self.fleet.borders().clock;
            let deadline = clock.now() + LOOK_EVERY;
            let either = futures::future::select(config, members);
            // Whatever woke the manager, the next round looks at everything.
            let _ = within(&**clock, deadline, either).await;
        }
    }

    fn update(&self) {
        let mut wanted = BTreeSet::new();
        for (_, service) in self.fleet.config.services() {
            let spec = Rc::new(service.object.group.clone());
            if self.holds_any(&spec) {
                wanted.insert(spec.name.clone());
                self.keep(spec);
            }
        }
        for watch in self.watches() {
            // The configuration tells of promotions, which some wait for.
            watch.wake();
        }
        self.watches.borrow_mut().retain(|name, watch| {
            let keep = watch.is_kept(wanted.contains(name));
            watch.ended.set(!keep);
            keep
        });
    }

    fn holds_any(&self, spec: &GroupSpec) -> bool {
        spec.members.iter().any(|it| {
            let key = TargetKey::new(&spec.name, &it.name);
            self.fleet.is_home(&key, &it.data_centre)
        })
    }

    fn keep(&self, spec: Rc<GroupSpec>) {
        let known = self.watch(&spec.name);
        let watch = match known {
            Some(watch) => watch,
            None => {
                let name = spec.name.clone();
                let watch =
                    GroupWatch::new(name, Rc::clone(&spec), Rc::clone(&self.fleet), self.timing);
                for member in &spec.members {
                    start_member(&watch, member.name.clone());
                }
                compio::runtime::spawn(Rc::clone(&watch).judge()).detach();
                self.watches.borrow_mut().insert(spec.name.clone(), Rc::clone(&watch));
                watch
            }
        };
        let before = watch.spec();
        if before != spec {
            watch.adopt(spec);
            let fresh = watch.spec();
            for member in fresh.members.iter().filter(|it| before.member(&it.name).is_none()) {
                start_member(&watch, member.name.clone());
            }
        }
    }
}

fn start_member(watch: &Rc<GroupWatch>, member: MemberName) {
    compio::runtime::spawn(Rc::clone(watch).observe(member.clone())).detach();
    compio::runtime::spawn(Rc::clone(watch).repair(member)).detach();
}
