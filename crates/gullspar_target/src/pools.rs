//! The pools of the targets that this instance is home of.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use gullspar_fleet::Fleet;
use gullspar_group::{GroupManager, GroupWatch};
use gullspar_model::{GroupName, MemberName, NotRun, TargetKey};

use crate::TargetPool;

/// Load of a pool, as reported to operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolReport {
    /// Open connections, in use or idle.
    pub connections: u32,
    /// Statements that are running.
    pub busy_slots: u32,
    /// Requests waiting for a connection or a slot.
    pub queued: u32,
}

/// Pools by target, and the groups that the targets belong to.
pub struct Pools {
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) groups: Rc<GroupManager>,
    pools: RefCell<HashMap<TargetKey, Rc<TargetPool>>>,
}

impl Pools {
    /// Creates an empty set; each pool is created at first use.
    pub fn new(fleet: Rc<Fleet>, groups: Rc<GroupManager>) -> Rc<Pools> {
        Rc::new(Pools { fleet, groups, pools: RefCell::default() })
    }

    /// Returns the pool of a target and the watch of its group.
    ///
    /// # Errors
    ///
    /// Fails with [`NotRun::NotHome`] if this instance is not the target's home.
    pub(crate) fn pool(
        &self,
        group: &GroupName,
        member: &MemberName,
    ) -> Result<(Rc<GroupWatch>, Rc<TargetPool>), NotRun> {
        let watch = self.groups.watch(group).ok_or(NotRun::NotHome)?;
        let spec = watch.spec();
        let spec = spec.member(member).ok_or(NotRun::NotHome)?;
        let key = TargetKey::new(group, member);
        if !self.fleet.is_home(&key, &spec.data_centre) {
            // Connections of two instances together could exceed the target's limit.
            self.remove_pool(&key);
            return Err(NotRun::NotHome);
        }
        let mut pools = self.pools.borrow_mut();
        let pool = match pools.get(&key) {
            Some(pool) => {
                pool.apply_spec(spec);
                Rc::clone(pool)
            }
            None => {
                let borders = self.fleet.borders();
                let pool =
                    TargetPool::new(Rc::clone(&borders.clock), Rc::clone(&borders.dialer), spec);
                pools.insert(key, Rc::clone(&pool));
                pool
            }
        };
        Ok((watch, pool))
    }

    fn remove_pool(&self, key: &TargetKey) {
        self.pools.borrow_mut().remove(key);
    }

    /// Drops the pools of targets whose home is now another instance.
    ///
    /// Must be called on each change of membership: the new home opens its own connections, and the
    /// target accepts a limited number.
    pub fn release_moved_targets(&self) {
        for watch in self.groups.watches() {
            for member in &watch.spec().members {
                let key = TargetKey::new(&watch.name(), &member.name);
                if !self.fleet.is_home(&key, &member.data_centre) {
                    self.remove_pool(&key);
                }
            }
        }
    }

    /// Connections in use, over all targets.
    pub fn busy(&self) -> u32 {
        self.pools.borrow().values().map(|it| it.connections()).sum()
    }

    /// Load of a target's pool; zeros if this instance has no pool for it.
    pub fn report(&self, group: &GroupName, member: &MemberName) -> PoolReport {
        let pools = self.pools.borrow();
        let pool = pools.get(&TargetKey::new(group, member));
        pool.map_or(PoolReport::default(), |it| PoolReport {
            connections: it.open_connections(),
            busy_slots: it.busy_slots(),
            queued: it.queued(),
        })
    }
}
