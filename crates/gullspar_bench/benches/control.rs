//! What control costs an instance, against the number of instances and of groups, at today's pace and at
//! the pace of the planned size.
//!
//! No caller is connected, so all that is counted is control. Instances are spread over four data
//! centres of a lab, groups have three members each. `docs/CAPACITY.md` is worked out from its lines.

use std::process::ExitCode;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use gullspar_bench::{Bounds, Deployment, Slope, processor_time, resident_memory, status};
use gullspar_border::{Clock, ConfigEntry, ObjectVersion};
use gullspar_fleet::{Borders, ConfigStore, Fleet, FleetTiming};
use gullspar_instance::InstanceTiming;
use gullspar_lab::{Lab, LabInstanceSettings, LabSettings};
use gullspar_model::{DataCentre, InstanceRecord, InstanceState, TargetKey};
use gullspar_net::{HttpPlatform, SystemClock, SystemEntropy, TarpcPeers, TcpDialer};

const MEASURE: Duration = Duration::from_secs(6);

const PLACES: [&str; 4] = ["derby-a", "derby-b", "nottm-a", "leic-a"];

/// Groups that an instance observes at the planned size: three homes for each of 5,000 groups over 2,200
/// instances.
const PLANNED_GROUPS: f64 = 5000.0 * 3.0 / 2200.0;

/// Control of one instance, for each second.
#[derive(Clone, Copy, Debug)]
struct Cost {
    processor_percent: f64,
    peer_messages: f64,
    peer_bytes: f64,
    link_messages: f64,
    link_bytes: f64,
    platform_calls: f64,
    spread_seconds: f64,
}

/// How closely instances and groups are observed.
#[derive(Clone, Copy)]
struct Pace {
    name: &'static str,
    timing: InstanceTiming,
}

impl Pace {
    fn today() -> Pace {
        Pace { name: "today", timing: InstanceTiming::default() }
    }

    /// What failovers within 5 s allow.
    fn planned() -> Pace {
        let mut timing = InstanceTiming::default();
        timing.fleet.gossip_interval = Duration::from_millis(400);
        timing.group.status_wait = Duration::from_millis(1000);
        timing.group.failed_after = Duration::from_millis(2500);
        Pace { name: "planned", timing }
    }
}

fn main() -> ExitCode {
    let mut bounds = Bounds::default();
    if std::env::var("ONLY").is_ok_and(|it| it == "planned") {
        return state_at_planned_size(bounds);
    }
    println!(
        "pace     instances  groups  core %  peer msg/s  peer B/s  target msg/s  target B/s  \
         platform calls/s, all  change in force after s"
    );
    let by_instances: Vec<(f64, Cost)> = [8, 32, 128]
        .into_iter()
        .map(|count| (f64::from(count), measure(Pace::today(), count, 3)))
        .collect();
    let today = by_groups(Pace::today());
    let planned = by_groups(Pace::planned());
    let small = by_instances[0].1;
    let large = by_instances[2].1;
    let peers = line(&by_instances, |it| it.peer_bytes);
    println!(
        "peer B/s of an instance, today: {:.0} + {:.2} for each instance",
        peers.base, peers.each
    );
    let calls = line(&by_instances, |it| it.platform_calls);
    println!("platform calls/s of all: {:.2} + {:.4} for each instance", calls.base, calls.each);
    report("today", &today);
    report("planned", &planned);
    bounds.at_most(
        "peer messages of an instance, 128 instances against 8",
        large.peer_messages / small.peer_messages,
        1.5,
    );
    let processor = line(&planned, |it| it.processor_percent).at(PLANNED_GROUPS);
    let bytes = line(&planned, |it| it.link_bytes + it.peer_bytes).at(PLANNED_GROUPS);
    bounds.at_most("planned size: core % of an instance", processor, 2.6);
    bounds.at_most("planned size: control bytes/s of an instance", bytes, 4096.0);
    bounds.at_most(
        "seconds until a change is in force on 128 instances",
        large.spread_seconds,
        6.0,
    );
    state_at_planned_size(bounds)
}

/// What an instance must hold at the planned size.
fn state_at_planned_size(mut bounds: Bounds) -> ExitCode {
    // First, since memory given back by another measurement would be used again unseen.
    let fleet = planned_fleet();
    println!(
        "membership of {INSTANCES} instances: {:.2} MB; homes of {TARGETS} targets after a change: {:.2} ms",
        fleet.memory / 1e6,
        fleet.look_over.as_secs_f64() * 1e3
    );
    bounds.at_most(
        "planned size: ms to look over all targets",
        fleet.look_over.as_secs_f64() * 1e3,
        100.0,
    );
    let memory = configuration_memory();
    println!("configuration: {:.2} KB of memory for each service", memory / 1024.0);
    bounds.at_most("planned size: MB of configuration", memory * 5000.0 / 1e6, 22.0);
    bounds.finish()
}

/// Costs by groups that one instance observes.
fn by_groups(pace: Pace) -> Vec<(f64, Cost)> {
    [2, 8, 24]
        .into_iter()
        .map(|groups| (f64::from(groups) * 3.0 / 8.0, measure(pace, 8, groups)))
        .collect()
}

fn line(points: &[(f64, Cost)], value: fn(&Cost) -> f64) -> Slope {
    let points: Vec<(f64, f64)> = points.iter().map(|(x, cost)| (*x, value(cost))).collect();
    Slope::fit(&points)
}

fn report(pace: &str, points: &[(f64, Cost)]) {
    let processor = line(points, |it| it.processor_percent);
    let bytes = line(points, |it| it.link_bytes);
    let messages = line(points, |it| it.link_messages);
    println!("{pace}, an instance, for each group that it observes:");
    println!("  core %: {:.3} + {:.4}", processor.base, processor.each);
    println!("  target B/s: {:.0} + {:.0}", bytes.base, bytes.each);
    println!("  target msg/s: {:.1} + {:.1}", messages.base, messages.each);
}

fn measure(pace: Pace, instances: u32, groups: u32) -> Cost {
    let lab = start(pace, instances, groups);
    // Until everybody knows everybody and the news of it has been passed on.
    std::thread::sleep(Duration::from_secs(4) + Duration::from_millis(250) * instances);
    let before = sample(&lab);
    std::thread::sleep(MEASURE);
    let after = sample(&lab);
    let each =
        |before: f64, after: f64| (after - before) / MEASURE.as_secs_f64() / f64::from(instances);
    let cost = Cost {
        processor_percent: 100.0 * each(before.processor, after.processor),
        peer_messages: each(before.peer_messages, after.peer_messages),
        peer_bytes: each(before.peer_bytes, after.peer_bytes),
        link_messages: each(before.link_messages, after.link_messages),
        link_bytes: each(before.link_bytes, after.link_bytes),
        platform_calls: (after.platform - before.platform) / MEASURE.as_secs_f64(),
        spread_seconds: spread(&lab, instances),
    };
    println!(
        "{:<8} {instances:>9} {groups:>7} {:>7.3} {:>11.1} {:>9.0} {:>13.1} {:>11.0} {:>22.2} {:>24.2}",
        pace.name,
        cost.processor_percent,
        cost.peer_messages,
        cost.peer_bytes,
        cost.link_messages,
        cost.link_bytes,
        cost.platform_calls,
        cost.spread_seconds
    );
    cost
}

/// Seconds until a change on the platform is in force on every instance.
fn spread(lab: &Lab, instances: u32) -> f64 {
    let key = "gullspar/services/service-0";
    let Some(object) = lab.store.get(key) else { return f64::INFINITY };
    let version = object.version;
    let started = Instant::now();
    // Nobody else writes this object.
    let _ = lab.store.put(key, version, object.value);
    while started.elapsed() < Duration::from_secs(10) {
        let service =
            status(lab).and_then(|it| it.services.into_iter().find(|it| it.service == "service-0"));
        if service
            .is_some_and(|it| it.version == version + 1 && it.in_force_on == u64::from(instances))
        {
            return started.elapsed().as_secs_f64();
        }
    }
    f64::INFINITY
}

/// Bytes of memory for one service's configuration.
fn configuration_memory() -> f64 {
    /// Services that are applied.
    const SERVICES: u32 = 5000;
    let lab = Deployment::start(Deployment::MIDSHIRE.settings());
    let service = lab.store.get("gullspar/services/listings").map(|it| it.value.to_string());
    let group = lab.store.get("gullspar/groups/listings-core-1").map(|it| it.value.to_string());
    drop(lab);
    let (Some(service), Some(group)) = (service, group) else { return f64::INFINITY };
    let store = ConfigStore::default();
    let before = resident_memory();
    for number in 0..SERVICES {
        for (kind, value) in [("services", &service), ("groups", &group)] {
            store.apply(&ConfigEntry {
                key: format!("gullspar/{kind}/number-{number}"),
                version: ObjectVersion(1),
                value: value.clone(),
            });
        }
    }
    let used = resident_memory().saturating_sub(before) as f64 / f64::from(SERVICES);
    assert_eq!(store.services().len(), SERVICES as usize);
    used
}

/// Instances and targets of the planned size.
const INSTANCES: u32 = 2200;
const TARGETS: u32 = 15_000;

/// Data centres of the planned size.
const DATA_CENTRES: u32 = 24;

struct PlannedFleet {
    memory: f64,
    look_over: Duration,
}

/// What it takes to know all instances, and to tell the homes of all targets after one of them changed.
fn planned_fleet() -> PlannedFleet {
    let record = |number: u32| InstanceRecord {
        id: format!("instance-{number}").as_str().into(),
        data_centre: format!("data-centre-{}", number % DATA_CENTRES).as_str().into(),
        peer: ([10, 0, (number >> 8) as u8, number as u8], 7101).into(),
        lane: ([10, 0, (number >> 8) as u8, number as u8], 7102).into(),
        incarnation: 1,
        state: InstanceState::Alive,
    };
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let borders = Borders {
        entropy: Rc::new(SystemEntropy),
        dialer: Rc::new(TcpDialer::new(Rc::clone(&clock))),
        peers: Rc::new(TarpcPeers::new(Rc::clone(&clock))),
        platform: Rc::new(HttpPlatform::new(([127, 0, 0, 1], 1).into(), Rc::clone(&clock))),
        clock,
    };
    let targets: Vec<(TargetKey, DataCentre)> = (0..TARGETS)
        .map(|number| {
            let key = TargetKey {
                group: format!("group-{}", number / 3).as_str().into(),
                member: format!("m{}", number % 3).as_str().into(),
            };
            (key, format!("data-centre-{}", number % DATA_CENTRES).as_str().into())
        })
        .collect();
    let before = resident_memory();
    let fleet = Fleet::new(record(0), Vec::new(), borders, FleetTiming::default());
    let others = (1..INSTANCES).map(record).collect();
    fleet.answer_exchange(record(1), others, fleet.config.digest());
    let held =
        |fleet: &Fleet| targets.iter().filter(|(key, place)| fleet.is_home(key, place)).count();
    let mine = held(&fleet);
    assert!((1..100).contains(&mine), "{mine} targets held");
    let memory = resident_memory().saturating_sub(before) as f64;
    let changed = InstanceRecord { state: InstanceState::Dead, ..record(5) };
    fleet.answer_exchange(record(1), vec![changed], fleet.config.digest());
    let started = Instant::now();
    held(&fleet);
    PlannedFleet { memory, look_over: started.elapsed() }
}

struct Sample {
    processor: f64,
    peer_messages: f64,
    peer_bytes: f64,
    link_messages: f64,
    link_bytes: f64,
    platform: f64,
}

fn sample(lab: &Lab) -> Sample {
    let count = |it: &std::sync::atomic::AtomicU64| it.load(Ordering::Relaxed) as f64;
    let calls = lab.store.counts();
    Sample {
        processor: processor_time("gullspar-").as_secs_f64(),
        peer_messages: count(&lab.network.peers.messages),
        peer_bytes: count(&lab.network.peers.bytes),
        link_messages: count(&lab.network.links.messages),
        link_bytes: count(&lab.network.links.bytes),
        platform: (calls.reads + calls.writes + calls.watches) as f64,
    }
}

fn start(pace: Pace, instances: u32, groups: u32) -> Lab {
    let mut settings: LabSettings = Deployment::MIDSHIRE.settings();
    let pattern = settings.services[0].clone();
    settings.services = (0..groups)
        .map(|number| {
            let mut service = pattern.clone();
            service.service = format!("service-{number}").as_str().into();
            service.group = format!("group-{number}").as_str().into();
            for (index, member) in service.members.iter_mut().enumerate() {
                member.data_centre = PLACES[(number as usize + index) % PLACES.len()].into();
            }
            service
        })
        .collect();
    settings.instances = (0..instances)
        .map(|number| LabInstanceSettings {
            id: format!("n{number}").as_str().into(),
            data_centre: PLACES[number as usize % PLACES.len()].into(),
        })
        .collect();
    #[allow(clippy::expect_used)]
    let lab = Lab::start_with(settings, pace.timing).expect("loopback is there");
    lab
}
