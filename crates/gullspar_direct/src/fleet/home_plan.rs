//! Cache of the homes of each group.

use std::net::SocketAddr;
use std::rc::Rc;

use gullspar_model::GroupName;

use crate::Proxy;
use crate::fleet::homes::{self, Allowance, Homes};
use crate::fleet::peer_table::Epoch;

/// The homes of one group, with the inputs they were computed from.
///
/// Cached, since ranking hundreds of instances for each target and each session would be expensive.
pub(crate) struct HomePlan {
    epoch: Epoch,
    allowance: Allowance,
    /// `None` if every instance opens its own connections.
    homes: Option<Rc<Homes>>,
    /// Addresses of the homes in all data centres; computed on first use, by instances that monitor
    /// the group.
    all_data_centres: Option<Vec<SocketAddr>>,
}

impl Proxy {
    /// The homes of `group`; `None` if every instance opens its own connections.
    pub(crate) fn homes_of(&self, group: &GroupName, allowance: Allowance) -> Option<Rc<Homes>> {
        self.with_plan(group, allowance, |plan| plan.homes.clone())
    }

    /// Addresses of the homes of `group` in all data centres.
    pub(crate) fn home_addresses(&self, group: &GroupName) -> Vec<SocketAddr> {
        let Some(allowance) = self.allowance(group) else { return Vec::new() };
        let members = self.members();
        self.with_plan(group, allowance, |plan| {
            let all_data_centres = plan.all_data_centres.get_or_insert_with(|| {
                let homes = homes::all_data_centres(group, allowance, &members);
                homes.into_iter().map(|it| it.address).collect()
            });
            all_data_centres.clone()
        })
    }

    fn with_plan<T>(
        &self,
        group: &GroupName,
        allowance: Allowance,
        use_plan: impl FnOnce(&mut HomePlan) -> T,
    ) -> T {
        let epoch = self.peers.epoch(self.borders.clock.boot_now());
        let compute = || HomePlan {
            epoch,
            allowance,
            homes: homes::homes(group, allowance, &self.own.data_centre, &self.members())
                .map(Rc::new),
            all_data_centres: None,
        };
        let mut plans = self.home_plans.borrow_mut();
        let plan = plans.entry(group.clone()).or_insert_with(compute);
        if plan.epoch != epoch || plan.allowance != allowance {
            *plan = compute();
        }
        use_plan(plan)
    }
}
