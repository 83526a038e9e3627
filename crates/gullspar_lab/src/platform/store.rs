//! The store of the simulated platform: versioned objects, conditional updates and watches.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use event_listener::{Event, EventListener};
use gullspar_model::record;
use gullspar_net::{ObjectList, StoredInstance, WireObject};

struct StoredValue {
    version: u64,
    revision: u64,
    value: serde_json::Value,
}

record! {
    /// Counts of the calls to the platform; a watch counts again each time it wakes up.
    #[derive(Copy, Default)]
    pub struct CallCounts {
        pub reads: u64,
        pub writes: u64,
        pub watches: u64,
    }
}

#[derive(Default)]
struct StoreState {
    objects: BTreeMap<String, StoredValue>,
    revision: u64,
    instances: Vec<StoredInstance>,
    counts: CallCounts,
}

/// The objects and the list of instances that the platform holds.
#[derive(Default)]
pub struct PlatformStore {
    state: Mutex<StoreState>,
    changed: Event,
}

impl PlatformStore {
    /// Returns an object and counts a read.
    pub fn get(&self, key: &str) -> Option<WireObject> {
        let mut state = self.lock();
        state.counts.reads += 1;
        state.objects.get(key).map(|it| wire_object(key, it))
    }

    /// Writes an object if its version is `expected` (0: it doesn't exist) and returns the new version.
    /// Otherwise the error is the current version.
    pub fn put(&self, key: &str, expected: u64, value: serde_json::Value) -> Result<u64, u64> {
        let mut state = self.lock();
        state.counts.writes += 1;
        let actual = state.objects.get(key).map_or(0, |it| it.version);
        if actual != expected {
            return Err(actual);
        }
        state.revision += 1;
        let stored = StoredValue { version: actual + 1, revision: state.revision, value };
        state.objects.insert(key.to_owned(), stored);
        drop(state);
        self.changed.notify(usize::MAX);
        Ok(actual + 1)
    }

    /// The objects under `prefix` that changed after `revision`.
    pub fn changes(&self, prefix: &str, revision: u64) -> ObjectList {
        let state = self.lock();
        let objects = state
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, it)| it.revision > revision)
            .map(|(key, it)| wire_object(key, it))
            .collect();
        ObjectList { revision: state.revision, objects }
    }

    /// Counts a watch and returns a listener for the next change.
    pub fn start_watch(&self) -> EventListener {
        self.lock().counts.watches += 1;
        self.changed.listen()
    }

    /// The list of instances as last set; counts a read.
    pub fn instances(&self) -> Vec<StoredInstance> {
        let mut state = self.lock();
        state.counts.reads += 1;
        state.instances.clone()
    }

    /// Sets the list of instances.
    pub fn set_instances(&self, instances: Vec<StoredInstance>) {
        self.lock().instances = instances;
    }

    /// The call counts so far.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn wire_object(key: &str, it: &StoredValue) -> WireObject {
    WireObject { key: key.to_owned(), version: it.version, value: it.value.clone() }
}
