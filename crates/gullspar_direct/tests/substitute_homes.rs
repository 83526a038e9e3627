//! Instances that serve a group because they don't reach its homes.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::collections::BTreeSet;
use std::rc::Rc;

use gullspar_direct::{Allowance, HomeInputs, Member, Members, Proxy, homes};
use support::{FakeCaller, Fault, GROUP, LATEST, Load, World, pause, run, wait_until};

/// Too many instances for each to open its own connections.
const INSTANCES: u16 = 8;

/// Connections to each target, enough for two homes.
const CONNECTIONS: u32 = 15;

/// Time in which heartbeats of all instances have arrived, so that none is known only from the registry.
const START_MS: u64 = 3200;

/// Time after a cut in which the instances on the other side are declared dead.
const CUT_MS: u64 = 3500;

/// Instances of which two are homes of the group and two are spare homes.
struct Fleet {
    world: World,
    proxies: Vec<Rc<Proxy>>,
    homes: Vec<u16>,
    /// The spare homes and most other instances.
    substitutes: Vec<u16>,
    /// The instances that stay with the homes, including these.
    near_homes: Vec<u16>,
}

impl Fleet {
    async fn start() -> Fleet {
        let world = World::new();
        let members: Vec<Member> = (1..=INSTANCES).map(support::member).collect();
        let proxies = world.fleet(&members, CONNECTIONS);
        let spec = &world.group.specs()[0];
        let inputs = HomeInputs {
            allowance: Allowance { connections: CONNECTIONS, slots: spec.slots },
            group_count: 1,
            target_data_centres: Rc::new(BTreeSet::from([spec.data_centre.clone()])),
        };
        let found = homes::homes(&GROUP.into(), &inputs, &spec.data_centre, &Members::new(members))
            .unwrap();
        let ranked: Vec<u16> = found.ranked.iter().map(|it| it.address.port()).collect();
        let (homes, spares) = ranked.split_at(found.count);
        let others = || (1..=INSTANCES).filter(|it| !ranked.contains(it));
        let substitutes = spares.iter().copied().chain(others().skip(1)).collect();
        let near_homes = homes.iter().copied().chain(others().take(1)).collect();
        let fleet = Fleet { world, proxies, homes: homes.to_vec(), substitutes, near_homes };
        for number in &fleet.homes {
            fleet.world.wait_for_leader(fleet.proxy(*number)).await;
        }
        pause(START_MS).await;
        fleet
    }

    fn proxy(&self, number: u16) -> &Rc<Proxy> {
        &self.proxies[usize::from(number) - 1]
    }

    async fn callers(&self, numbers: &[u16]) -> Vec<FakeCaller> {
        let mut callers = Vec::new();
        for number in numbers {
            callers.push(self.world.caller(self.proxy(*number), LATEST).await);
        }
        callers
    }

    /// Whether an instance counts a home as running.
    fn counts_homes(&self, number: u16) -> bool {
        let members = self.proxy(number).peers.members(self.world.clock.boot_now());
        let is_home = |it: &Member| self.homes.contains(&it.address.port());
        members.iter().any(is_home)
    }

    /// Cuts the substitutes off from the other instances and from the group's leader.
    fn cut(&self) {
        self.world.network.silence_between(&self.substitutes, &self.near_homes);
        for number in &self.substitutes {
            self.world.group.inject_fault(0, Fault::UnresponsiveTo(*number));
        }
    }
}

/// Guards against two sides of a cut that serve one group: on the side without its homes, other instances take over their
/// callers, and would replace the leader that the homes still use.
#[test]
fn substitutes_replace_no_leader_while_the_homes_behind_a_cut_count() {
    run(async {
        let fleet = Fleet::start().await;
        let callers = fleet.callers(&fleet.substitutes).await;
        fleet.cut();
        callers.iter().for_each(|it| it.send_statement("READ slot"));
        let serves = |it: &u16| !fleet.proxy(*it).groups().is_empty();
        wait_until(1000, "substitutes serve", || fleet.substitutes.iter().any(serves)).await;
        wait_until(CUT_MS, "the homes are declared dead", || {
            let counts_homes = |it: &u16| fleet.counts_homes(*it);
            let is_over = !fleet.substitutes.iter().any(counts_homes);
            assert!(
                is_over || fleet.world.promoter.orders().is_empty(),
                "a substitute has ordered"
            );
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
        let fleet = Fleet::start().await;
        let callers = fleet.callers(&fleet.substitutes).await;
        let homes: Vec<Rc<Proxy>> =
            fleet.homes.iter().map(|it| Rc::clone(fleet.proxy(*it))).collect();
        let load = Load::start(&fleet.world, &homes, 0, 1).await;
        fleet.cut();
        for number in &fleet.near_homes {
            [1, 2].iter().for_each(|it| {
                fleet.world.group.inject_fault(*it, Fault::UnresponsiveTo(*number));
            });
        }
        callers.iter().for_each(|it| it.send_statement("READ slot"));
        fleet.world.wait_for_new_leader("m0", CUT_MS).await;
        pause(1000).await;
        load.stop_and_check().await;
    });
}
