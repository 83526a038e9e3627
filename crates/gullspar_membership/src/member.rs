//! Another instance, as far as placing work needs to know it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gullspar_model::{DataCentre, InstanceId, record};

record! {
    /// An instance that takes work.
    pub struct Member {
        pub id: InstanceId,
        /// Where other instances reach it.
        pub address: SocketAddr,
        pub data_centre: DataCentre,
        /// Its processor, in thousandths of a core.
        pub strength: u32,
    }
}

/// `members` by the data centre that they are in.
pub fn by_data_centre<'a>(
    members: impl IntoIterator<Item = &'a Member>,
) -> BTreeMap<&'a DataCentre, Vec<&'a Member>> {
    let mut by_data_centre: BTreeMap<&DataCentre, Vec<&Member>> = BTreeMap::new();
    for member in members {
        by_data_centre.entry(&member.data_centre).or_default().push(member);
    }
    by_data_centre
}
