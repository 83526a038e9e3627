//! The lab's network: the data centre of each address, and delays and traffic between them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gullspar_model::DataCentre;

use crate::Faults;

/// Count of messages and bytes in both directions.
#[derive(Debug, Default)]
pub struct Traffic {
    pub messages: AtomicU64,
    pub bytes: AtomicU64,
}

impl Traffic {
    /// Counts a message of this many bytes.
    pub(crate) fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// The lab's network: loopback with simulated delays and cuts between data centres.
pub struct Network {
    data_centres: Mutex<HashMap<SocketAddr, DataCentre>>,
    one_way: Duration,
    /// Traffic of calls between instances.
    pub peers: Traffic,
    /// Traffic on links to targets and lanes. Without callers it consists of status polls only.
    pub links: Traffic,
    pub(crate) faults: Arc<Faults>,
}

impl Network {
    /// A network with a one-way delay of `one_way` between data centres.
    pub fn new(one_way: Duration, faults: Arc<Faults>) -> Arc<Network> {
        Arc::new(Network {
            data_centres: Mutex::default(),
            one_way,
            peers: Traffic::default(),
            links: Traffic::default(),
            faults,
        })
    }

    /// Records the data centre of an address.
    pub fn set_data_centre(&self, address: SocketAddr, data_centre: &DataCentre) {
        let mut data_centres = self.data_centres.lock().unwrap_or_else(PoisonError::into_inner);
        data_centres.insert(address, data_centre.clone());
    }

    /// The data centre of an address, if one was recorded.
    pub(crate) fn data_centre_of(&self, address: SocketAddr) -> Option<DataCentre> {
        let data_centres = self.data_centres.lock().unwrap_or_else(PoisonError::into_inner);
        data_centres.get(&address).cloned()
    }

    /// The round-trip time between two data centres.
    pub(crate) fn round_trip(&self, from: &DataCentre, to: &DataCentre) -> Duration {
        if from == to { Duration::ZERO } else { 2 * self.one_way }
    }
}
