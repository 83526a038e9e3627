//! A stand-in for the platform's store: objects by kind and name, conditional writes, lists and watches.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Handler, Reply, Request};
use crate::json;

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Revision and content of each object, by kind and name.
    by_key: BTreeMap<(String, String), (u64, String)>,
    /// Kind, name and revision of each removed object.
    removed: Vec<(String, String, u64)>,
}

#[derive(Default)]
pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
}

impl Store {
    pub fn new() -> Arc<Store> {
        Arc::default()
    }

    /// Writes an object without a condition, as the operator and the members do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut objects = self.objects.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        objects.by_key.insert((kind.to_owned(), name.to_owned()), (revision, spec.to_owned()));
        self.changed.notify_all();
        revision
    }

    /// Removes an object, as the store does when a member has left.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        objects.by_key.remove(&(kind.to_owned(), name.to_owned()));
        objects.removed.push((kind.to_owned(), name.to_owned(), revision));
        self.changed.notify_all();
    }

    fn write(&self, kind: &str, name: &str, expected: Option<u64>, spec: &str) -> Reply {
        let current = {
            let objects = self.objects.lock().unwrap();
            objects.by_key.get(&(kind.to_owned(), name.to_owned())).cloned()
        };
        if current.as_ref().map(|it| it.0) != expected {
            let (revision, spec) = current.unwrap_or((0, "null".to_owned()));
            return Reply::Answer(409, object(name, revision, &spec));
        }
        let revision = self.put(kind, name, spec);
        Reply::Answer(200, object(name, revision, spec))
    }

    fn list(&self, kind: &str) -> Reply {
        let objects = self.objects.lock().unwrap();
        let found = objects.by_key.iter().filter(|(key, _)| key.0 == kind);
        let items: Vec<String> =
            found.map(|(key, (revision, spec))| object(&key.1, *revision, spec)).collect();
        let (items, as_of) = (items.join(","), objects.revision);
        Reply::Answer(200, format!("{{\"items\":[{items}],\"hasMore\":false,\"asOf\":{as_of}}}"))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Reply {
        let deadline = Instant::now() + wait;
        let mut objects = self.objects.lock().unwrap();
        loop {
            let found = objects.by_key.iter().filter(|(key, it)| key.0 == kind && it.0 > since);
            let changed = found.map(|(key, (revision, spec))| {
                let object = object(&key.1, *revision, spec);
                format!("{{\"deleted\":false,\"object\":{object}}}")
            });
            let removed = objects.removed.iter().filter(|it| it.0 == kind && it.2 > since);
            let removed = removed.map(|(_, name, revision)| {
                let object = object(name, *revision, "null");
                format!("{{\"deleted\":true,\"object\":{object}}}")
            });
            let events: Vec<String> = changed.chain(removed).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let (events, as_of) = (events.join(","), objects.revision);
                return Reply::Answer(200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}"));
            }
            objects = self.changed.wait_timeout(objects, deadline - now).unwrap().0;
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!("{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision}}},\"spec\":{spec}}}")
}

impl Handler for Store {
    fn handle(&self, request: &Request) -> Reply {
        let Some(path) = request.path.strip_prefix("/api/objects/") else {
            return Reply::Answer(404, "{}".to_owned());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let meta = json::field(&request.body, "meta").unwrap_or("{}");
        let spec = json::field(&request.body, "spec").unwrap_or("null");
        let number = |key: &str| request.query(key).and_then(|it| it.parse().ok());
        match (request.method.as_str(), name) {
            ("GET", "") => match number("watch") {
                Some(since) => {
                    self.watch(kind, since, Duration::from_millis(number("waitMs").unwrap_or(0)))
                }
                // All objects fit on one page.
                None if request.query("after").is_some() => {
                    Reply::Answer(200, "{\"items\":[],\"hasMore\":false,\"asOf\":0}".to_owned())
                }
                None => self.list(kind),
            },
            ("GET", name) => {
                let objects = self.objects.lock().unwrap();
                match objects.by_key.get(&(kind.to_owned(), name.to_owned())) {
                    Some((revision, spec)) => Reply::Answer(200, object(name, *revision, spec)),
                    None => Reply::Answer(404, "{}".to_owned()),
                }
            }
            ("POST", "") => {
                self.write(kind, json::string(meta, "name").unwrap_or_default(), None, spec)
            }
            ("PUT", name) => self.write(kind, name, json::number(meta, "revision"), spec),
            _ => Reply::Answer(400, "{}".to_owned()),
        }
    }
}
