//! How many homes groups have, and where, in fleets of many sizes.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use gullspar_direct::{Allowance, HomeInputs, Member, Members, homes};
use gullspar_model::{DataCentre, GroupName, InstanceId};
use test_case::test_case;

/// Connections that targets accept in these tests, too few for each instance to open its own.
const CONNECTIONS: u32 = 60;
const SLOTS: u32 = 5;

/// Every tenth instance is strong.
const STRENGTHS: [u32; 2] = [1000, 120];

/// The most groups that may have other homes after an instance was lost that served none of them.
const MAX_MOVED: usize = 12;

/// Number of data centres in which each group has a target.
const TARGET_DATA_CENTRES: usize = 3;

fn data_centre(number: usize) -> DataCentre {
    DataCentre::new(format!("dc-{number}"))
}

fn member(number: usize, data_centres: usize) -> Member {
    Member {
        id: InstanceId::new(format!("instance-{number}")),
        address: SocketAddr::from(([10, 0, (number / 256) as u8, (number % 256) as u8], 1)),
        data_centre: data_centre(number % data_centres),
        strength: if number.is_multiple_of(10) { STRENGTHS[0] } else { STRENGTHS[1] },
    }
}

fn fleet(instances: usize, data_centres: usize) -> Vec<Member> {
    (0..instances).map(|it| member(it, data_centres)).collect()
}

fn group(number: usize) -> GroupName {
    GroupName::new(format!("group-{number}"))
}

/// The inputs of group `number`, whose targets are in consecutive data centres.
fn inputs(number: usize, groups: usize, data_centres: usize) -> HomeInputs {
    let targets = TARGET_DATA_CENTRES.min(data_centres);
    let target_data_centres: BTreeSet<DataCentre> =
        (0..targets).map(|it| data_centre((number + it) % data_centres)).collect();
    HomeInputs {
        allowance: Allowance { connections: CONNECTIONS, slots: SLOTS },
        group_count: groups,
        target_data_centres: Rc::new(target_data_centres),
    }
}

/// Guards against a number of homes of each group that grows with the number of data centres, so that checks and
/// heartbeats cost each instance more the more groups and data centres there are.
#[test_case(30, 8, 4; "30 instances, 8 groups")]
#[test_case(295, 8, 6; "295 instances, 8 groups")]
#[test_case(984, 1000, 6; "984 instances, 1000 groups")]
#[test_case(2169, 5000, 24; "2169 instances, 5000 groups")]
fn an_instance_is_home_of_few_groups(instances: usize, groups: usize, data_centres: usize) {
    let members = Members::new(fleet(instances, data_centres));
    let mut peers: BTreeMap<InstanceId, BTreeSet<InstanceId>> = BTreeMap::new();
    let mut roles = 0;
    for number in 0..groups {
        let inputs = inputs(number, groups, data_centres);
        let found = homes::all_data_centres(&group(number), &inputs, &members);
        assert!(found.len() >= TARGET_DATA_CENTRES, "{} homes of group {number}", found.len());
        roles += found.len();
        for home in &found {
            let others = found.iter().filter(|it| it.id != home.id).map(|it| it.id.clone());
            peers.entry(home.id.clone()).or_default().extend(others);
        }
    }
    let pairs: usize = peers.values().map(BTreeSet::len).sum();
    println!(
        "{instances} instances, {groups} groups: {:.1} roles and {:.1} peers for each instance",
        roles as f64 / instances as f64,
        pairs as f64 / instances as f64
    );
    assert!(roles <= (4 * instances).max(3 * groups) + groups / 10, "{roles} roles");
}

/// Guards against instances that decide differently whether one of them is a home, so that sessions are forwarded to
/// instances that have no connections.
#[test_case(30, 8, 4)]
#[test_case(50, 400, 6)]
#[test_case(40, 3, 1)]
fn all_instances_agree_on_the_homes(instances: usize, groups: usize, data_centres: usize) {
    let all = fleet(instances, data_centres);
    let members = Members::new(all.clone());
    for number in 0..groups {
        let (group, inputs) = (group(number), inputs(number, groups, data_centres));
        let expected: BTreeSet<InstanceId> = homes::all_data_centres(&group, &inputs, &members)
            .into_iter()
            .map(|it| it.id.clone())
            .collect();
        for own in &all {
            let is_home = homes::is_home(&group, &inputs, own, &members);
            assert_eq!(is_home, expected.contains(&own.id), "{} of {group:?}", own.id.as_str());
            let found = homes::homes(&group, &inputs, &own.data_centre, &members).unwrap();
            assert_eq!(found.holders, expected.len());
            assert!(found.ranked[..found.count].iter().all(|it| expected.contains(&it.id)));
            let near = found.ranked[..found.count].iter().any(|it| it.id == own.id);
            assert_eq!(near, is_home, "{} of {group:?}", own.id.as_str());
        }
    }
}

/// Guards against homes far from the targets while there are fewer homes than data centres.
#[test]
fn homes_are_in_the_data_centres_of_the_targets() {
    let (groups, data_centres) = (1000, 6);
    let members = Members::new(fleet(300, data_centres));
    for number in 0..groups {
        let inputs = inputs(number, groups, data_centres);
        let found = homes::all_data_centres(&group(number), &inputs, &members);
        let places: BTreeSet<DataCentre> = found.iter().map(|it| it.data_centre.clone()).collect();
        assert_eq!(places, *inputs.target_data_centres);
    }
}

/// Guards against groups without a home in a data centre that has lost the others, whose own targets it could still
/// serve.
#[test]
fn a_data_centre_on_its_own_has_homes_of_all_groups() {
    let (groups, data_centres) = (1000, 6);
    let near: Vec<Member> = fleet(300, data_centres)
        .into_iter()
        .filter(|it| it.data_centre == data_centre(5))
        .collect();
    let members = Members::new(near);
    for number in 0..groups {
        let inputs = inputs(number, groups, data_centres);
        let found = homes::homes(&group(number), &inputs, &data_centre(5), &members).unwrap();
        assert!(found.count >= 1 && found.ranked.len() >= found.count);
    }
}

/// Guards against a restart that moves the homes of most groups, because the number of homes follows from the number of
/// instances.
#[test]
fn a_missing_instance_moves_few_groups_beside_its_own() {
    let (instances, groups, data_centres) = (300, 300, 6);
    let all = fleet(instances, data_centres);
    let members = Members::new(all.clone());
    let lost = &all[30];
    let mut moved = 0;
    let rest = Members::new(all.iter().filter(|it| it.id != lost.id).cloned().collect());
    for number in 0..groups {
        let (group, inputs) = (group(number), inputs(number, groups, data_centres));
        let ids = |members| -> BTreeSet<InstanceId> {
            let found = homes::all_data_centres(&group, &inputs, members);
            found.into_iter().map(|it| it.id.clone()).collect()
        };
        let (before, after) = (ids(&members), ids(&rest));
        moved += usize::from(!before.contains(&lost.id) && before != after);
    }
    assert!(moved <= MAX_MOVED, "{moved} other groups moved");
}
