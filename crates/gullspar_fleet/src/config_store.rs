//! The configuration in force at this instance.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use event_listener::{Event, EventListener};
use gullspar_border::{ConfigEntry, ObjectVersion};
use gullspar_model::{GroupName, GroupObject, Guard, ServiceName, ServiceObject};

use crate::weight;

/// A service's configuration and its version.
#[derive(Clone, Debug)]
pub struct VersionedService {
    pub version: ObjectVersion,
    pub object: Rc<ServiceObject>,
}

/// A group's leadership record and its version.
#[derive(Clone, Debug)]
pub struct VersionedGroup {
    pub version: ObjectVersion,
    pub object: Rc<GroupObject>,
}

/// An object in force.
///
/// A service's text is not stored, because the service can be serialized again without loss: services with unknown
/// fields are not applied.
struct Entry {
    version: ObjectVersion,
    text: Option<String>,
}

/// The objects in force; none is ever replaced by an older version.
#[derive(Default)]
pub struct ConfigStore {
    entries: RefCell<BTreeMap<String, Entry>>,
    services: RefCell<BTreeMap<ServiceName, VersionedService>>,
    groups: RefCell<BTreeMap<GroupName, VersionedGroup>>,
    digest: Cell<u64>,
    changed: Event,
}

impl ConfigStore {
    /// Puts `entry` in force if it is readable and newer than the version in force; returns whether it did.
    ///
    /// Answers of the platform and of other instances arrive in any order. Without the comparison, a late answer would
    /// restore an old version.
    pub fn apply(&self, entry: &ConfigEntry) -> bool {
        let known = self.version(&entry.key);
        if entry.version <= known && Guard::UpwardOnly.is_enabled() {
            return false;
        }
        if let Err(err) = self.parse_and_store(entry) {
            // The version in force stays if a newer one is unreadable.
            log::error!("G0201 {} version {} is unreadable: {err}", entry.key, entry.version.0);
            return false;
        }
        let digest_of = |version: ObjectVersion| weight(&entry.key, &version.0.to_string());
        let removed = if known == ObjectVersion::default() { 0 } else { digest_of(known) };
        self.digest.set(self.digest.get() ^ removed ^ digest_of(entry.version));
        let is_service = entry.key.starts_with(ServiceObject::PREFIX);
        let text = (!is_service).then(|| entry.value.clone());
        let applied = Entry { version: entry.version, text };
        self.entries.borrow_mut().insert(entry.key.clone(), applied);
        self.changed.notify(usize::MAX);
        true
    }

    /// Parses the object of `entry` and stores it.
    fn parse_and_store(&self, entry: &ConfigEntry) -> Result<(), serde_json::Error> {
        let version = entry.version;
        if let Some(name) = entry.key.strip_prefix(ServiceObject::PREFIX) {
            let object = Rc::new(serde_json::from_str(&entry.value)?);
            let service = VersionedService { version, object };
            self.services.borrow_mut().insert(ServiceName::new(name), service);
        } else if let Some(name) = entry.key.strip_prefix(GroupObject::PREFIX) {
            let object = Rc::new(serde_json::from_str(&entry.value)?);
            let group = VersionedGroup { version, object };
            self.groups.borrow_mut().insert(GroupName::new(name), group);
        }
        Ok(())
    }

    /// The version in force of the object at `key`; 0 if there is none.
    pub fn version(&self, key: &str) -> ObjectVersion {
        self.entries.borrow().get(key).map_or(ObjectVersion::default(), |it| it.version)
    }

    /// A digest of all keys and versions in force; equal on instances that have the same versions.
    pub fn digest(&self) -> u64 {
        self.digest.get()
    }

    /// The service `name`.
    pub fn service(&self, name: &ServiceName) -> Option<VersionedService> {
        self.services.borrow().get(name).cloned()
    }

    /// All services.
    pub fn services(&self) -> Vec<(ServiceName, VersionedService)> {
        self.services.borrow().iter().map(|(name, it)| (name.clone(), it.clone())).collect()
    }

    /// The leadership record of the group `name`.
    pub fn group(&self, name: &GroupName) -> Option<VersionedGroup> {
        self.groups.borrow().get(name).cloned()
    }

    /// Keys and versions of all objects.
    pub fn versions(&self) -> Vec<(String, ObjectVersion)> {
        self.entries.borrow().iter().map(|(key, it)| (key.clone(), it.version)).collect()
    }

    /// The objects whose version here is newer than in `known`, or that `known` lacks.
    pub fn newer_than(&self, known: &[(String, ObjectVersion)]) -> Vec<ConfigEntry> {
        let known: BTreeMap<&str, ObjectVersion> =
            known.iter().map(|(key, version)| (key.as_str(), *version)).collect();
        let entries = self.entries.borrow();
        let newer = entries
            .iter()
            .filter(|(key, it)| known.get(key.as_str()).is_none_or(|known| *known < it.version));
        newer.filter_map(|(key, it)| self.to_config_entry(key, it)).collect()
    }

    /// The entry to send to another instance.
    fn to_config_entry(&self, key: &str, entry: &Entry) -> Option<ConfigEntry> {
        let value = match &entry.text {
            Some(text) => text.clone(),
            None => {
                let name = ServiceName::new(key.strip_prefix(ServiceObject::PREFIX)?);
                serde_json::to_string(&*self.service(&name)?.object).ok()?
            }
        };
        Some(ConfigEntry { key: key.to_owned(), version: entry.version, value })
    }

    /// Returns a listener for the next change. Call this before reading, so that no change is missed.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }
}
