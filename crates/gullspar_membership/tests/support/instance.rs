//! A simulated instance.

use std::net::SocketAddr;

use gullspar_membership::{Member, Membership};
use gullspar_model::{DataCentre, InstanceId};

/// Load of the machine of an instance.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Load {
    Normal,
    /// Pauses repeatedly for some tenths of a second, like a machine short of processor time.
    Busy,
}

pub struct Instance {
    pub membership: Membership,
    pub data_centre: usize,
    pub load: Load,
    pub is_up: bool,
    /// It does not run until this time.
    pub suspended_until: u64,
    /// Partition of the network; instances of different partitions can't reach each other.
    pub partition: u32,
    pub last_round: u64,
    /// Number of starts and stops; events scheduled for an earlier number are obsolete.
    pub life: u64,
    /// Number of heartbeat rounds; a round scheduled under an earlier number is obsolete.
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
            load: Load::Normal,
            is_up: true,
            suspended_until: 0,
            partition: 0,
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
