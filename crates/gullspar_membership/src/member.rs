//! The data about an instance that work distribution needs.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gullspar_model::{DataCentre, InstanceId, record};

record! {
    /// An instance of the fleet.
    pub struct Member {
        pub id: InstanceId,
        /// Address at which other instances reach it.
        pub address: SocketAddr,
        pub data_centre: DataCentre,
        /// Its processor capacity, in thousandths of a core.
        pub strength: u32,
    }
}

/// Groups `members` by data centre.
pub fn by_data_centre<'a>(
    members: impl IntoIterator<Item = &'a Member>,
) -> BTreeMap<&'a DataCentre, Vec<&'a Member>> {
    let mut by_data_centre: BTreeMap<&DataCentre, Vec<&Member>> = BTreeMap::new();
    for member in members {
        by_data_centre.entry(&member.data_centre).or_default().push(member);
    }
    by_data_centre
}
