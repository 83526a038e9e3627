//! Instances that serve a group because they don't reach its homes.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::rc::Rc;

use gullspar_direct::{Member, Proxy};
use support::{FakeCaller, Fault, HomeFleet, LATEST, Load, pause, run, wait_until};

/// Time after a cut in which the instances on the other side are declared dead.
const CUT_MS: u64 = 3500;

/// A cut through a fleet.
struct Cut {
    fleet: HomeFleet,
    /// The spare homes and most other instances, which serve the group in place of its homes.
    substitutes: Vec<u16>,
    /// The homes and one more instance.
    near_homes: Vec<u16>,
}

impl Cut {
    async fn prepare() -> Cut {
        let fleet = HomeFleet::start().await;
        let entries = fleet.entries();
        let substitutes = fleet.spare_homes().iter().chain(&entries[1..]).copied().collect();
        let near_homes = fleet.homes().iter().chain(&entries[..1]).copied().collect();
        Cut { fleet, substitutes, near_homes }
    }

    /// A caller at each of the substitutes.
    async fn callers(&self) -> Vec<FakeCaller> {
        let mut callers = Vec::new();
        for number in &self.substitutes {
            callers.push(self.fleet.world.caller(self.fleet.proxy(*number), LATEST).await);
        }
        callers
    }

    /// Cuts the substitutes off from the other instances and from the group's leader.
    fn begin(&self) {
        let world = &self.fleet.world;
        world.network.silence_between(&self.substitutes, &self.near_homes);
        for number in &self.substitutes {
            world.group.inject_fault(0, Fault::UnresponsiveTo(*number));
        }
    }

    /// Whether any of the substitutes counts a home as running.
    fn are_homes_counted(&self) -> bool {
        let now = self.fleet.world.clock.boot_now();
        let is_home = |it: &Member| self.fleet.homes().contains(&it.address.port());
        let counts_home = |it: &u16| self.fleet.proxy(*it).peers.members(now).iter().any(is_home);
        self.substitutes.iter().any(counts_home)
    }
}

/// Guards against two sides of a cut that serve one group: on the side without its homes, other instances take over their
/// callers, and would replace the leader that the homes still use.
#[test]
fn substitutes_replace_no_leader_while_the_homes_behind_a_cut_count() {
    run(async {
        let cut = Cut::prepare().await;
        let callers = cut.callers().await;
        cut.begin();
        callers.iter().for_each(|it| it.send_statement("READ slot"));
        let serves = |it: &u16| !cut.fleet.proxy(*it).groups().is_empty();
        wait_until(1000, "substitutes serve", || cut.substitutes.iter().any(serves)).await;
        wait_until(CUT_MS, "the homes are declared dead", || {
            let is_over = !cut.are_homes_counted();
            let has_ordered = !cut.fleet.world.promoter.orders().is_empty();
            assert!(is_over || !has_ordered, "a substitute has ordered");
            is_over
        })
        .await;
    });
}

/// Guards against commits that are lost because homes acknowledge them on a leader that the larger side of a cut, where other
/// instances have become the homes, replaces.
#[test]
fn homes_on_the_smaller_side_of_a_cut_acknowledge_nothing_that_is_lost() {
    run(async {
        let cut = Cut::prepare().await;
        let (fleet, world) = (&cut.fleet, &cut.fleet.world);
        let callers = cut.callers().await;
        let homes: Vec<Rc<Proxy>> =
            fleet.homes().iter().map(|it| Rc::clone(fleet.proxy(*it))).collect();
        let load = Load::start(world, &homes, 0, 1).await;
        cut.begin();
        for number in &cut.near_homes {
            let fault = Fault::UnresponsiveTo(*number);
            [1, 2].into_iter().for_each(|it| world.group.inject_fault(it, fault));
        }
        callers.iter().for_each(|it| it.send_statement("READ slot"));
        world.wait_for_new_leader("m0", CUT_MS).await;
        pause(1000).await;
        load.stop_and_check().await;
    });
}
