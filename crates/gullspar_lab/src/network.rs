//! Which address is in which data centre, and what lies between.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gullspar_model::DataCentre;

use crate::Faults;

/// Messages and bytes that instances exchanged for control, both directions together.
#[derive(Debug, Default)]
pub struct Traffic {
    pub messages: AtomicU64,
    pub bytes: AtomicU64,
}

impl Traffic {
    /// Counts a message.
    pub(crate) fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// The lab's network: loopback, with the delays and cuts of the place it stands for.
pub struct Network {
    data_centres: Mutex<HashMap<SocketAddr, DataCentre>>,
    one_way: Duration,
    /// Calls between instances.
    pub peers: Traffic,
    /// Links to targets and lanes. Without callers they carry observation alone.
    pub links: Traffic,
    pub(crate) faults: Arc<Faults>,
}

impl Network {
    /// A network with `one_way` between data centres.
    pub fn new(one_way: Duration, faults: Arc<Faults>) -> Arc<Network> {
        Arc::new(Network {
            data_centres: Mutex::default(),
            one_way,
            peers: Traffic::default(),
            links: Traffic::default(),
            faults,
        })
    }

    /// Notes where an address is.
    pub fn set_data_centre(&self, address: SocketAddr, data_centre: &DataCentre) {
        let mut data_centres = self.data_centres.lock().unwrap_or_else(PoisonError::into_inner);
        data_centres.insert(address, data_centre.clone());
    }

    /// Where an address is.
    pub(crate) fn data_centre_of(&self, address: SocketAddr) -> Option<DataCentre> {
        let data_centres = self.data_centres.lock().unwrap_or_else(PoisonError::into_inner);
        data_centres.get(&address).cloned()
    }

    /// The time from one data centre to another and back.
    pub(crate) fn round_trip(&self, from: &DataCentre, to: &DataCentre) -> Duration {
        if from == to { Duration::ZERO } else { 2 * self.one_way }
    }
}
