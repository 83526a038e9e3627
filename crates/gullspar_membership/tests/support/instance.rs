//! One simulated instance.

use std::net::SocketAddr;

use gullspar_membership::{Member, Membership};
use gullspar_model::{DataCentre, InstanceId};

/// How a machine runs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Load {
    Calm,
    /// Again and again it stands still for some tenths of a second, as one with little processor and much to do.
    Busy,
}

pub struct Instance {
    pub membership: Membership,
    pub data_centre: usize,
    pub load: Load,
    pub is_up: bool,
    /// It stands still until then.
    pub suspended_until: u64,
    /// Instances on different sides of a cut do not reach each other.
    pub side: u32,
    pub last_round: u64,
    /// Counts its starts and ends; what was planned in another life is void.
    pub life: u64,
    /// Counts its rounds of heartbeats; one planned under another number is void.
    pub round: u64,
    pub datagrams: u64,
    pub bytes: u64,
    pub far_bytes: u64,
}

impl Instance {
    pub fn new(number: usize, data_centre: usize, seeds: &[SocketAddr]) -> Instance {
        Instance {
            membership: Membership::new(member(number, data_centre), seeds.iter().copied()),
            data_centre,
            load: Load::Calm,
            is_up: true,
            suspended_until: 0,
            side: 0,
            last_round: 0,
            life: 0,
            round: 0,
            datagrams: 0,
            bytes: 0,
            far_bytes: 0,
        }
    }
}

pub fn id(number: usize) -> InstanceId {
    InstanceId::new(format!("entry-place-{number}"))
}

pub fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 7440))
}

pub fn number(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("only IPv4 here") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 256 + usize::from(low)
}

pub fn member(number: usize, data_centre: usize) -> Member {
    Member {
        id: id(number),
        address: address(number),
        data_centre: DataCentre::new(format!("place-{data_centre}")),
        strength: 250,
    }
}
