//! A small deployment: store, promotions, one group, and instances that are ready.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::group::Group;
use crate::http;
use crate::instance::Instance;
use crate::promotions::{PromotionApi, Promotions};
use crate::record::Record;
use crate::store::Store;

pub const GROUPS: usize = 3;

const HEARTBEAT: Duration = Duration::from_millis(1200);

/// How often a member checks whether its entry must be written.
const ENTRY_POLL_INTERVAL: Duration = Duration::from_millis(10);
const READY_TIMEOUT: Duration = Duration::from_secs(15);

pub struct Deployment {
    /// The groups, each with the orders to promote its members.
    pub promotions: Vec<Arc<Promotions>>,
    pub instances: Vec<Instance>,
    pub folder: PathBuf,
}

impl Deployment {
    /// Starts everything with `count` instances, and waits until all of them report that they are ready.
    pub fn start(
        program: &Path,
        count: usize,
        seed: u64,
        work: Duration,
        hold_for: Duration,
        record: &Arc<Record>,
    ) -> std::io::Result<Deployment> {
        let folder = std::env::temp_dir().join(format!("gullspar-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::new();
        let mut promotions = Vec::new();
        for number in 0..GROUPS {
            let group = Group::new(number, seed, work, Arc::clone(record));
            serve_group(&group, &store)?;
            promotions.push(Promotions::new(group, Arc::clone(record), hold_for));
        }
        store.put("config", "main", &configuration());
        let store_address = http::serve(store)?;
        let promotion_address = http::serve(Arc::new(PromotionApi(promotions.clone())))?;
        // Loopback addresses that no other run uses.
        let id = std::process::id();
        let net = ((id >> 8) as u8 | 64, id as u8);
        let mut instances = Vec::new();
        for at in 0..count {
            let mut instance =
                Instance::prepare(program, &folder, net, at, store_address, promotion_address)?;
            instance.start()?;
            instances.push(instance);
        }
        let deployment = Deployment { promotions, instances, folder };
        let deadline = Instant::now() + READY_TIMEOUT;
        while !deployment.instances.iter().all(|it| is_ready(&it.health_address)) {
            if Instant::now() > deadline {
                return Err(std::io::Error::other("the instances do not become ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(deployment)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.instances.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The database with a `primary` route to a group.
pub fn database(number: usize) -> String {
    format!("lepu27{number}")
}

/// The operator's configuration, with the time limits of the site's `split-post`.
fn configuration() -> String {
    let routes: Vec<String> = (0..GROUPS)
        .map(|it| {
            format!(
                r#"{{"name":"r{it}","host":"{}","pathPrefix":"/","routeType":"primary","timeoutMs":800,"targetLatencyMs":150,"priority":1,"service":"racebook{it}","maxAttempts":2}}"#,
                database(it)
            )
        })
        .collect();
    let services: Vec<String> = (0..GROUPS)
        .map(|it| {
            format!(
                r#"{{"name":"racebook{it}","healthPath":"/health","maxConnections":23,"protocol":"h1","tls":false,"syncReplicas":1}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":3,"routes":[{}],"services":[{}],"limits":{{"txIdleMs":5000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Serves the members of a group and keeps their entries in the store.
fn serve_group(group: &Arc<Group>, store: &Arc<Store>) -> std::io::Result<()> {
    for (member, address) in group.serve()?.into_iter().enumerate() {
        let (group, store) = (Arc::clone(group), Arc::clone(store));
        thread::spawn(move || keep_entry(&group, member, address, &store));
    }
    Ok(())
}

/// Writes the entry of a member at each heartbeat, and at once when it changes; removes it when the member has left.
fn keep_entry(group: &Group, member: usize, address: SocketAddr, store: &Store) {
    let id = group.member_id(member);
    let mut last: Option<(bool, bool, Instant)> = None;
    let mut seq = 0;
    loop {
        thread::sleep(ENTRY_POLL_INTERVAL);
        if !group.is_member(member) {
            if last.take().is_some() {
                store.remove("servers", &id);
            }
            continue;
        }
        // A dark member sends no heartbeats. It is back before its entry would expire.
        if !group.is_running(member) {
            continue;
        }
        let (leads, draining) = (group.leader() == member, group.is_draining(member));
        let is_due =
            last.is_none_or(|it| (it.0, it.1) != (leads, draining) || it.2.elapsed() >= HEARTBEAT);
        if !is_due {
            continue;
        }
        seq += 1;
        last = Some((leads, draining, Instant::now()));
        let role = if leads { "primary" } else { "replica" };
        let state = if draining { "draining" } else { "ready" };
        let entry = format!(
            r#"{{"service":"{}","address":"{address}","zone":"scot-north-a","version":"v1","slots":3,"state":"{state}","coldRemainingMs":0,"dbRole":"{role}","seq":{seq}}}"#,
            group.name
        );
        store.put("servers", &id, &entry);
    }
}

/// Asks an instance as the platform does.
pub fn is_ready(address: &str) -> bool {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    ask().is_ok_and(|it| it.starts_with("HTTP/1.1 200"))
}
