//! Caches of the homes of each group, and of the groups that this instance is a home of.

use std::collections::BTreeSet;
use std::rc::Rc;

use gullspar_model::GroupName;

use crate::fleet::home_placement::{Allowance, HomeInputs};
use crate::fleet::homes::{self, Homes};
use crate::fleet::peer_table::Epoch;
use crate::{Member, Proxy};

/// The homes of one group, with the inputs they were computed from.
///
/// Cached, since ranking hundreds of instances for each session would be expensive.
pub(crate) struct HomePlan {
    epoch: Epoch,
    inputs: HomeInputs,
    /// `None` if every instance opens its own connections.
    homes: Option<Rc<Homes>>,
    /// The homes in all data centres; computed on first use, by instances that monitor the group.
    all_data_centres: Option<Rc<[Member]>>,
}

/// The groups that this instance is a home of.
///
/// Cached, since most of thousands of groups have their homes elsewhere.
#[derive(Default)]
pub(crate) struct OwnGroups {
    epoch: Epoch,
    /// The generation of the directory; `None` before the first computation.
    directory: Option<u64>,
    groups: Rc<BTreeSet<GroupName>>,
}

impl Proxy {
    /// What the homes of `group` depend on; `None` if the configuration does not name the group.
    pub(crate) fn home_inputs(&self, group: &GroupName) -> Option<HomeInputs> {
        let catalogue = self.directory.catalogue()?;
        let limits = catalogue.groups.get(group)?;
        let known = self.directory.group_targets(group);
        let slots = known.as_ref().map_or(0, |it| it.slots);
        Some(HomeInputs {
            allowance: Allowance { connections: limits.connections, slots },
            group_count: catalogue.groups.len(),
            target_data_centres: known.map(|it| Rc::clone(&it.data_centres)).unwrap_or_default(),
        })
    }

    /// The homes of `group`; `None` if every instance opens its own connections.
    pub(crate) fn homes_of(&self, group: &GroupName, inputs: &HomeInputs) -> Option<Rc<Homes>> {
        self.with_plan(group, inputs, |plan| plan.homes.clone())
    }

    /// The homes of `group` in all data centres; all members if every instance opens its own connections.
    pub(crate) fn all_homes(&self, group: &GroupName, inputs: &HomeInputs) -> Rc<[Member]> {
        let members = self.members();
        self.with_plan(group, inputs, |plan| {
            let all_data_centres = plan.all_data_centres.get_or_insert_with(|| {
                homes::all_data_centres(group, inputs, &members).into_iter().cloned().collect()
            });
            Rc::clone(all_data_centres)
        })
    }

    /// The groups that this instance is a home of.
    pub(crate) fn own_groups(&self) -> Rc<BTreeSet<GroupName>> {
        let epoch = self.peers.epoch(self.borders.clock.boot_now());
        let directory = Some(self.directory.generation());
        let mut cached = self.own_groups.borrow_mut();
        if (cached.epoch, cached.directory) != (epoch, directory) {
            let groups = Rc::new(self.find_own_groups());
            *cached = OwnGroups { epoch, directory, groups };
        }
        Rc::clone(&cached.groups)
    }

    fn find_own_groups(&self) -> BTreeSet<GroupName> {
        let Some(catalogue) = self.directory.catalogue() else { return BTreeSet::new() };
        let (own, members) = (self.own.member(), self.members());
        let is_home = |group: &GroupName| {
            let inputs = self.home_inputs(group);
            inputs.is_some_and(|it| homes::is_home(group, &it, &own, &members))
        };
        catalogue.groups.keys().filter(|it| is_home(it)).cloned().collect()
    }

    fn with_plan<T>(
        &self,
        group: &GroupName,
        inputs: &HomeInputs,
        use_plan: impl FnOnce(&mut HomePlan) -> T,
    ) -> T {
        let epoch = self.peers.epoch(self.borders.clock.boot_now());
        let compute = || HomePlan {
            epoch,
            inputs: inputs.clone(),
            homes: homes::homes(group, inputs, &self.own.data_centre, &self.members()).map(Rc::new),
            all_data_centres: None,
        };
        let mut plans = self.home_plans.borrow_mut();
        let plan = plans.entry(group.clone()).or_insert_with(compute);
        if plan.epoch != epoch || plan.inputs != *inputs {
            *plan = compute();
        }
        use_plan(plan)
    }
}
