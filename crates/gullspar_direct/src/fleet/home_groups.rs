//! The groups that this instance serves, with their targets and its share of the targets' capacity.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::BootInstant;
use gullspar_model::{GroupName, InstanceId};
use gullspar_statement::TargetSpec;

use crate::fleet::home_placement::Allowance;
use crate::fleet::views::GroupHomes;
use crate::groups::failover;
use crate::groups::group::Group;
use crate::proxy::SETTLE_PERIOD;
use crate::stats::GaugeValues;
use crate::targets::admission_limit::connection_share;
use crate::targets::pacing;
use crate::targets::target::Target;
use crate::targets::target_watch;
use crate::{Member, PartitionState, Phase, Proxy};

/// How long an instance that is not a home serves a group after a session was forwarded to it.
const HOLD_PERIOD: Duration = Duration::from_secs(10);

/// How long a home that could not be reached is ranked after the spare homes. Until heartbeats show
/// that it is gone, each session opened through it would wait for a timeout.
const HOME_AVOIDANCE_PERIOD: Duration = Duration::from_secs(2);

/// How long an instance that is no longer a home keeps the group for open sessions.
const GIVE_UP_AFTER: Duration = Duration::from_secs(4);

impl Proxy {
    /// Brings groups, targets and their capacities in line with the directory and the current
    /// members.
    pub(crate) fn maintain_groups(&self) {
        // Before discovery has finished, this instance would consider itself a home of all groups.
        // Without a configuration, it knows no groups.
        if !self.discovery.is_done() || self.directory.catalogue().is_none() {
            return;
        }
        let now = self.borders.clock.now();
        for group in self.groups() {
            let listed = self.directory.group_targets(&group.name);
            for target in group.targets() {
                let member = target.member();
                if !listed.as_ref().is_some_and(|it| it.has(&member)) {
                    group.remove(&member);
                }
            }
        }
        self.forwarded_groups.borrow_mut().retain(|_, until| now < *until);
        let own_groups = self.own_groups();
        let forwarded: Vec<GroupName> = self.forwarded_groups.borrow().keys().cloned().collect();
        own_groups.iter().for_each(|it| self.maintain_home(it));
        forwarded
            .iter()
            .filter(|it| !own_groups.contains(*it))
            .for_each(|it| self.maintain_home(it));
        self.give_up_groups(now);
        self.peers.views.set_homes(self.find_group_homes());
        for group in self.groups() {
            let should_keep_connections =
                self.shutdown.phase() == Phase::Serving && group.release_at().is_none();
            group.targets().iter().for_each(|it| it.pool.set_long_term(should_keep_connections));
        }
        if let Some(catalogue) = self.directory.catalogue() {
            let mut plans = self.home_plans.borrow_mut();
            plans.retain(|group, _| catalogue.groups.contains_key(group));
        }
    }

    /// The homes of the groups that this instance serves, but for groups with homes everywhere.
    fn find_group_homes(&self) -> BTreeMap<GroupName, GroupHomes> {
        let homes_of = |group: &GroupName| {
            let inputs = self.home_inputs(group)?;
            self.homes_of(group, &inputs)?;
            let homes = self.all_homes(group, &inputs);
            Some(GroupHomes::new(homes.iter().map(|it| it.id.clone()), &self.own.id))
        };
        let groups = self.groups();
        groups.iter().filter_map(|it| Some((it.name.clone(), homes_of(&it.name)?))).collect()
    }

    /// Brings the targets of `group`, which this instance serves, in line with the directory.
    fn maintain_home(&self, group: &GroupName) {
        // The directory may list targets of groups that the configuration does not name; these
        // are not connected to.
        let Some(inputs) = self.home_inputs(group) else { return };
        let Some(known) = self.directory.group_targets(group) else { return };
        let is_synchronous = self.directory.is_synchronous(group);
        if !known.targets.is_empty() {
            self.group_or_new(group).set_synchronous(is_synchronous);
        }
        let homes = self.homes_of(group, &inputs);
        let holders = homes.map_or_else(|| self.members().len(), |it| it.holders);
        for spec in &known.targets {
            self.maintain_target(Rc::clone(spec), inputs.allowance, holders);
        }
    }

    pub(crate) fn maintain_target(
        &self,
        spec: Rc<TargetSpec>,
        allowance: Allowance,
        holders: usize,
    ) {
        let group = self.group_or_new(&spec.group);
        if group.target(&spec.member).is_some_and(|it| it.spec().is_restarted_in(&spec)) {
            log::info!(member = spec.member.as_str(), group = spec.group.as_str(); "G0758 a target has restarted");
            group.remove(&spec.member);
            let clock = &self.borders.clock;
            group.record_not_leader(&spec.member, clock.now(), clock.boot_now());
        }
        let target = group.target(&spec.member).unwrap_or_else(|| self.new_target(&group, &spec));
        target.set_share(pacing::Share::of(spec.slots, holders));
        target.pool.set_share(connection_share(allowance.connections, holders));
        if *target.spec() != *spec {
            if spec.leaving != target.spec().leaving {
                if spec.leaving {
                    log::info!(member = spec.member.as_str(), group = spec.group.as_str(); "G0713 a target is leaving");
                }
                target.set_work_ends_at(self.work_ends_at(&spec));
            }
            target.set_spec(spec);
            group.notify();
        }
    }

    pub(crate) fn new_target(&self, group: &Rc<Group>, spec: &Rc<TargetSpec>) -> Rc<Target> {
        let target = Target::new(Rc::clone(spec), &self.borders);
        target.set_work_ends_at(self.work_ends_at(spec));
        group.add(Rc::clone(&target));
        let watch = target_watch::watch(self.borders.clone(), Rc::clone(group), Rc::clone(&target));
        compio::runtime::spawn(watch).detach();
        target
    }

    /// When a target that is leaving stops getting new work; `None` for a target that stays.
    fn work_ends_at(&self, spec: &TargetSpec) -> Option<BootInstant> {
        let ends_at = self.borders.clock.boot_now().plus(self.own.leaving_target_timeout);
        spec.leaving.then_some(ends_at)
    }

    /// Serves `group` here for [`HOLD_PERIOD`], whichever instances are its homes.
    ///
    /// Instances learn of membership changes at different times. Another instance may consider this
    /// one a home and forward sessions before this one knows that it is a home.
    pub(crate) fn hold_group(&self, group: &GroupName) {
        let until = self.borders.clock.now() + HOLD_PERIOD;
        self.forwarded_groups.borrow_mut().insert(group.clone(), until);
        match self.group(group) {
            Some(group) => group.set_release_at(None),
            None => self.maintain_groups(),
        }
    }

    /// Holds `group` if this instance is giving it up.
    pub(crate) fn keep_group(&self, group: &GroupName) {
        if self.is_giving_up(group) {
            self.hold_group(group);
        }
    }

    /// Whether this instance is a home of `group` and reaches its leader.
    pub(crate) fn is_working_home(&self, group: &GroupName) -> bool {
        self.own_groups().contains(group)
            && self.forwarding_candidates(group).is_none()
            && self.group(group).is_some_and(|it| it.serving_leader().is_some())
    }

    pub(crate) fn is_held(&self, group: &GroupName) -> bool {
        let now = self.borders.clock.now();
        self.forwarded_groups.borrow().get(group).is_some_and(|until| now < *until)
    }

    fn is_home(&self, group: &GroupName) -> bool {
        let is_configured =
            || self.directory.catalogue().is_some_and(|it| it.groups.contains_key(group));
        self.own_groups().contains(group) || (self.is_held(group) && is_configured())
    }

    /// The instances to forward a session of `group` to, best first; `None` if this instance serves
    /// it.
    pub(crate) fn other_homes(&self, group: &GroupName) -> Option<Vec<Member>> {
        let homes = self.homes_of(group, &self.home_inputs(group)?)?;
        let (mut ranked, count) = (homes.ranked.clone(), homes.count.min(homes.ranked.len()));
        if ranked.iter().take(count).any(|it| it.id == self.own.id) {
            return None;
        }
        // Spreads sessions over the homes.
        let offset = self.borders.entropy.next_u64() as usize % count.max(1);
        ranked[..count].rotate_left(offset);
        ranked.sort_by_key(|it| self.is_avoided(&it.id) || self.is_unresponsive(&it.id));
        let first = ranked.first()?;
        if first.id == self.own.id {
            self.hold_group(group);
            return None;
        }
        ranked.retain(|it| it.id != self.own.id);
        Some(ranked)
    }

    /// Whether any instance of this data centre is a home of `group`.
    pub(crate) fn has_near_home(&self, group: &GroupName) -> bool {
        let homes = self.home_inputs(group).and_then(|it| self.homes_of(group, &it));
        homes.is_some_and(|homes| {
            let mut ranked = homes.ranked.iter().take(homes.count);
            ranked.any(|it| it.data_centre == self.own.data_centre)
        })
    }

    /// Ranks a home last for [`HOME_AVOIDANCE_PERIOD`], after it could not be reached, could not
    /// serve a group, or the connection of a session to it was lost.
    pub(crate) fn avoid_home(&self, id: &InstanceId) {
        let now = self.borders.clock.now();
        let mut avoided = self.avoided_homes.borrow_mut();
        avoided.retain(|_, until| now < *until);
        avoided.insert(id.clone(), now + HOME_AVOIDANCE_PERIOD);
    }

    /// Whether [`Proxy::avoid_home`] was called for the home recently.
    pub(crate) fn is_avoided(&self, id: &InstanceId) -> bool {
        let now = self.borders.clock.now();
        self.avoided_homes.borrow().get(id).is_some_and(|until| now < *until)
    }

    /// Whether this instance is no longer a home of `group` and keeps it only for open sessions.
    pub(crate) fn is_giving_up(&self, group: &GroupName) -> bool {
        self.group(group).is_some_and(|it| it.release_at().is_some())
    }

    /// Removes groups of which this instance is no longer a home, after their sessions had
    /// [`GIVE_UP_AFTER`] to end.
    pub(crate) fn give_up_groups(&self, now: Instant) {
        for group in self.groups() {
            match (self.is_home(&group.name), group.release_at()) {
                (true, _) => group.set_release_at(None),
                (false, None) => {
                    log::info!(group = group.name.as_str(); "G0750 this instance is no longer a home of a group");
                    group.set_release_at(Some(now + GIVE_UP_AFTER));
                    self.shutdown.notify();
                }
                (false, Some(at)) if now >= at => {
                    group.targets().iter().for_each(|it| group.remove(&it.member()));
                    self.groups.borrow_mut().remove(&group.name);
                    group.end();
                }
                (false, Some(_)) => {}
            }
        }
    }

    pub(crate) fn group_or_new(&self, name: &GroupName) -> Rc<Group> {
        if let Some(group) = self.group(name) {
            return group;
        }
        let clock = &self.borders.clock;
        let group = Group::new(name.clone(), clock.now(), clock.boot_now(), self.own.claim_lease);
        self.groups.borrow_mut().insert(name.clone(), Rc::clone(&group));
        let coordinator = failover::FailoverCoordinator {
            borders: self.borders.clone(),
            own: self.own.id.clone(),
            peers: Rc::clone(&self.peers),
            group: Rc::clone(&group),
            shutdown: Rc::clone(&self.shutdown),
            settle_until: self.started + SETTLE_PERIOD,
            judge: RefCell::default(),
        };
        compio::runtime::spawn(coordinator.run()).detach();
        group
    }

    /// The current values of the gauges.
    pub(crate) fn gauge_values(&self) -> GaugeValues {
        let groups = self.groups();
        let leaderless = groups.len() - self.led_group_count();
        GaugeValues {
            sessions: self.shutdown.sessions() as u64,
            configuration: self.directory.version(),
            is_partitioned: self.shutdown.partition_state() != PartitionState::Connected,
            leaderless: leaderless as u64,
            verdict: self.verdict_gauge(),
            servable_percent: self.servable_percent(),
            instances: 1 + self.peers.running_count() as u64,
            store_silent_ms: self.store_silent_for().map(|it| it.as_millis() as u64),
        }
    }
}
