//! A fleet in which a group has two homes, to which the other instances forward its sessions.

use std::collections::BTreeSet;
use std::rc::Rc;

use gullspar_direct::{
    Allowance, Catalogue, HomeInputs, Member, Members, Proxy, homes, serve_caller,
};

use super::{FakeCaller, GROUP, World, pause};

/// Too many instances for each to open its own connections.
pub const INSTANCES: u16 = 8;

/// Connections to each target, enough for two homes.
pub const CONNECTIONS: u32 = 15;

const HOMES: usize = 2;

/// Number of the last instance that may join.
const LAST_NUMBER: u16 = 200;

/// Instances with two homes of the group.
pub struct HomeFleet {
    pub world: World,
    pub proxies: Vec<Rc<Proxy>>,
    /// Numbers of the homes, followed by those of the spare homes.
    pub ranked: Vec<u16>,
}

impl HomeFleet {
    pub async fn start() -> HomeFleet {
        HomeFleet::start_with(super::catalogue_with_connections(2, CONNECTIONS)).await
    }

    pub async fn start_with(catalogue: Catalogue) -> HomeFleet {
        let world = World::new();
        let members = HomeFleet::members();
        let proxies = world.fleet_with_catalogue(&members, &catalogue);
        let ranked = HomeFleet::rank(&world, members);
        let fleet = HomeFleet { world, proxies, ranked };
        for number in fleet.homes() {
            fleet.world.wait_for_leader(fleet.proxy(*number)).await;
        }
        // Instances that are known only from the registry count as expected for three seconds.
        pause(3200).await;
        fleet
    }

    pub fn members() -> Vec<Member> {
        (1..=INSTANCES).map(super::member).collect()
    }

    /// Numbers of the homes of the group if the fleet consists of `members`, followed by those of the spare homes.
    pub fn rank(world: &World, members: Vec<Member>) -> Vec<u16> {
        let spec = &world.group.specs()[0];
        let inputs = HomeInputs {
            allowance: Allowance { connections: CONNECTIONS, slots: spec.slots },
            group_count: 1,
            target_data_centres: Rc::new(BTreeSet::from([spec.data_centre.clone()])),
        };
        let all = Members::new(members);
        let found = homes::homes(&GROUP.into(), &inputs, &spec.data_centre, &all).unwrap();
        assert_eq!(found.count, HOMES);
        found.ranked.iter().map(|it| it.address.port()).collect()
    }

    /// The number of an instance that becomes a home in place of the instance `home` if it joins the fleet.
    pub fn replacement_of(&self, home: u16) -> u16 {
        let is_replaced_by = |number: &u16| {
            let joined = HomeFleet::members().into_iter().chain([super::member(*number)]);
            !HomeFleet::rank(&self.world, joined.collect())[..HOMES].contains(&home)
        };
        (INSTANCES + 1..LAST_NUMBER).find(is_replaced_by).unwrap()
    }

    /// Numbers of the homes.
    pub fn homes(&self) -> &[u16] {
        &self.ranked[..HOMES]
    }

    /// Numbers of the spare homes.
    pub fn spare_homes(&self) -> &[u16] {
        &self.ranked[HOMES..]
    }

    /// Numbers of the instances that are neither homes nor spare ones.
    pub fn entries(&self) -> Vec<u16> {
        (1..=INSTANCES).filter(|it| !self.ranked.contains(it)).collect()
    }

    pub fn proxy(&self, number: u16) -> &Rc<Proxy> {
        &self.proxies[usize::from(number) - 1]
    }

    /// An instance that is neither a home nor a spare one.
    pub fn entry(&self) -> &Rc<Proxy> {
        self.proxy(self.entries()[0])
    }

    /// The homes and spare homes that serve sessions.
    pub fn serving(&self) -> Vec<u16> {
        let serves = |it: &u16| self.proxy(*it).shutdown.sessions() > 0;
        self.ranked.iter().copied().filter(serves).collect()
    }

    /// Opens a session at the entry instance, and returns it with its home.
    pub async fn session(&self, service: &str) -> (FakeCaller, u16) {
        self.session_with_key(service, None).await
    }

    pub async fn session_with_key(&self, service: &str, key: Option<&str>) -> (FakeCaller, u16) {
        let (caller, link) = FakeCaller::new();
        compio::runtime::spawn(serve_caller(Rc::clone(self.entry()), Box::new(link))).detach();
        caller.open_with_key(service, key).await;
        // The first probe is answered.
        pause(20).await;
        let home = self.serving()[0];
        (caller, home)
    }
}
