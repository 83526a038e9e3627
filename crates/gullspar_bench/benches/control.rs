//! The cost of control traffic per instance by number of instances and groups, with the default timing and with the
//! timing for the planned size.
//!
//! No callers are connected, so only control traffic is measured. Instances are distributed over four data centres of a
//! lab, and groups have three members each. `docs/CAPACITY.md` is derived from the printed results.

use std::process::ExitCode;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use gullspar_bench::{Bounds, Deployment, LinearFit, processor_time, resident_memory, status};
use gullspar_border::{Clock, ConfigEntry, ObjectVersion};
use gullspar_fleet::{Borders, ConfigStore, Fleet, FleetTiming};
use gullspar_instance::InstanceTiming;
use gullspar_lab::{Lab, LabInstanceSettings, LabSettings};
use gullspar_model::{DataCentre, InstanceRecord, InstanceState, TargetKey};
use gullspar_net::{HttpPlatform, SystemClock, SystemEntropy, TarpcPeers, TcpDialer};

const MEASURE: Duration = Duration::from_secs(6);

const LAB_DATA_CENTRES: [&str; 4] = ["derby-a", "derby-b", "nottm-a", "leic-a"];

/// Groups that an instance observes at the planned size: 5,000 groups with three homes each, over 2,200 instances.
const PLANNED_GROUPS: f64 = 5000.0 * 3.0 / 2200.0;

/// The cost of control traffic of one instance, per second. `platform_calls` counts all instances.
#[derive(Clone, Copy, Debug)]
struct Cost {
    processor_percent: f64,
    peer_messages: f64,
    peer_bytes: f64,
    link_messages: f64,
    link_bytes: f64,
    platform_calls: f64,
    propagation_seconds: f64,
}

/// A named timing of the checks of instances and groups.
#[derive(Clone, Copy)]
struct TimingProfile {
    name: &'static str,
    timing: InstanceTiming,
}

impl TimingProfile {
    fn today() -> TimingProfile {
        TimingProfile { name: "today", timing: InstanceTiming::default() }
    }

    /// Timing that still allows failovers within 5 s.
    fn planned() -> TimingProfile {
        let mut timing = InstanceTiming::default();
        timing.fleet.gossip_interval = Duration::from_millis(400);
        timing.group.status_wait = Duration::from_millis(1000);
        timing.group.failed_after = Duration::from_millis(2500);
        TimingProfile { name: "planned", timing }
    }
}

fn main() -> ExitCode {
    let mut bounds = Bounds::default();
    if std::env::var("ONLY").is_ok_and(|it| it == "planned") {
        return measure_planned_state(bounds);
    }
    println!(
        "pace     instances  groups  core %  peer msg/s  peer B/s  target msg/s  target B/s  \
         platform calls/s, all  change in force after s"
    );
    let by_instances: Vec<(f64, Cost)> = [8, 32, 128]
        .into_iter()
        .map(|count| (f64::from(count), measure(TimingProfile::today(), count, 3)))
        .collect();
    let today = measure_by_groups(TimingProfile::today());
    let planned = measure_by_groups(TimingProfile::planned());
    let small = by_instances[0].1;
    let large = by_instances[2].1;
    let peers = fit_line(&by_instances, |it| it.peer_bytes);
    println!(
        "peer B/s of an instance, today: {:.0} + {:.2} for each instance",
        peers.intercept, peers.slope
    );
    let calls = fit_line(&by_instances, |it| it.platform_calls);
    println!(
        "platform calls/s of all: {:.2} + {:.4} for each instance",
        calls.intercept, calls.slope
    );
    print_fit("today", &today);
    print_fit("planned", &planned);
    bounds.at_most(
        "peer messages of an instance, 128 instances against 8",
        large.peer_messages / small.peer_messages,
        1.5,
    );
    let processor = fit_line(&planned, |it| it.processor_percent).value_at(PLANNED_GROUPS);
    let bytes = fit_line(&planned, |it| it.link_bytes + it.peer_bytes).value_at(PLANNED_GROUPS);
    bounds.at_most("planned size: core % of an instance", processor, 2.6);
    bounds.at_most("planned size: control bytes/s of an instance", bytes, 4096.0);
    bounds.at_most(
        "seconds until a change is in force on 128 instances",
        large.propagation_seconds,
        6.0,
    );
    measure_planned_state(bounds)
}

/// Checks the memory and computation that an instance needs at the planned size.
fn measure_planned_state(mut bounds: Bounds) -> ExitCode {
    // Runs first: memory freed by another measurement would be reused without showing in the result.
    let fleet = measure_planned_fleet();
    println!(
        "membership of {PLANNED_INSTANCES} instances: {:.2} MB; homes of {PLANNED_TARGETS} targets after a change: {:.2} ms",
        fleet.memory / 1e6,
        fleet.home_check_time.as_secs_f64() * 1e3
    );
    bounds.at_most(
        "planned size: ms to look over all targets",
        fleet.home_check_time.as_secs_f64() * 1e3,
        100.0,
    );
    let memory = configuration_memory();
    println!("configuration: {:.2} KB of memory for each service", memory / 1024.0);
    bounds.at_most("planned size: MB of configuration", memory * 5000.0 / 1e6, 22.0);
    bounds.finish()
}

/// Measures the cost by number of groups that an instance observes.
fn measure_by_groups(profile: TimingProfile) -> Vec<(f64, Cost)> {
    [2, 8, 24]
        .into_iter()
        .map(|groups| (f64::from(groups) * 3.0 / 8.0, measure(profile, 8, groups)))
        .collect()
}

fn fit_line(points: &[(f64, Cost)], value: fn(&Cost) -> f64) -> LinearFit {
    let points: Vec<(f64, f64)> = points.iter().map(|(x, cost)| (*x, value(cost))).collect();
    LinearFit::fit(&points)
}

fn print_fit(profile: &str, points: &[(f64, Cost)]) {
    let processor = fit_line(points, |it| it.processor_percent);
    let bytes = fit_line(points, |it| it.link_bytes);
    let messages = fit_line(points, |it| it.link_messages);
    println!("{profile}, an instance, for each group that it observes:");
    println!("  core %: {:.3} + {:.4}", processor.intercept, processor.slope);
    println!("  target B/s: {:.0} + {:.0}", bytes.intercept, bytes.slope);
    println!("  target msg/s: {:.1} + {:.1}", messages.intercept, messages.slope);
}

fn measure(profile: TimingProfile, instances: u32, groups: u32) -> Cost {
    let lab = start(profile, instances, groups);
    // Waits until all instances know each other and gossip about it has ended.
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
        propagation_seconds: measure_propagation(&lab, instances),
    };
    println!(
        "{:<8} {instances:>9} {groups:>7} {:>7.3} {:>11.1} {:>9.0} {:>13.1} {:>11.0} {:>22.2} {:>24.2}",
        profile.name,
        cost.processor_percent,
        cost.peer_messages,
        cost.peer_bytes,
        cost.link_messages,
        cost.link_bytes,
        cost.platform_calls,
        cost.propagation_seconds
    );
    cost
}

/// Measures the seconds until a configuration change on the platform is in force on every instance.
fn measure_propagation(lab: &Lab, instances: u32) -> f64 {
    let key = "gullspar/services/service-0";
    let Some(object) = lab.store.get(key) else { return f64::INFINITY };
    let version = object.version;
    let started = Instant::now();
    // Cannot conflict: there is no other writer of this object.
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

/// Measures the bytes of memory for the configuration of one service.
fn configuration_memory() -> f64 {
    /// The number of services applied.
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

/// Number of instances at the planned size.
const PLANNED_INSTANCES: u32 = 2200;

/// Number of targets at the planned size.
const PLANNED_TARGETS: u32 = 15_000;

/// Number of data centres at the planned size.
const PLANNED_DATA_CENTRES: u32 = 24;

struct PlannedFleetCost {
    memory: f64,
    home_check_time: Duration,
}

/// Measures the memory for the membership of all instances, and the time to find the homes of all targets after a change.
fn measure_planned_fleet() -> PlannedFleetCost {
    let record = |number: u32| InstanceRecord {
        id: format!("instance-{number}").as_str().into(),
        data_centre: format!("data-centre-{}", number % PLANNED_DATA_CENTRES).as_str().into(),
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
    let targets: Vec<(TargetKey, DataCentre)> = (0..PLANNED_TARGETS)
        .map(|number| {
            let key = TargetKey {
                group: format!("group-{}", number / 3).as_str().into(),
                member: format!("m{}", number % 3).as_str().into(),
            };
            (key, format!("data-centre-{}", number % PLANNED_DATA_CENTRES).as_str().into())
        })
        .collect();
    let before = resident_memory();
    let fleet = Fleet::new(record(0), Vec::new(), borders, FleetTiming::default());
    let others = (1..PLANNED_INSTANCES).map(record).collect();
    fleet.answer_exchange(record(1), others, fleet.config.digest());
    let count_homes = |fleet: &Fleet| {
        targets.iter().filter(|(key, data_centre)| fleet.is_home(key, data_centre)).count()
    };
    let home_count = count_homes(&fleet);
    assert!((1..100).contains(&home_count), "the instance is the home of {home_count} targets");
    let memory = resident_memory().saturating_sub(before) as f64;
    let changed = InstanceRecord { state: InstanceState::Dead, ..record(5) };
    fleet.answer_exchange(record(1), vec![changed], fleet.config.digest());
    let started = Instant::now();
    count_homes(&fleet);
    PlannedFleetCost { memory, home_check_time: started.elapsed() }
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

fn start(profile: TimingProfile, instances: u32, groups: u32) -> Lab {
    let mut settings: LabSettings = Deployment::MIDSHIRE.settings();
    let template = settings.services[0].clone();
    settings.services = (0..groups)
        .map(|number| {
            let mut service = template.clone();
            service.service = format!("service-{number}").as_str().into();
            service.group = format!("group-{number}").as_str().into();
            for (index, member) in service.members.iter_mut().enumerate() {
                member.data_centre =
                    LAB_DATA_CENTRES[(number as usize + index) % LAB_DATA_CENTRES.len()].into();
            }
            service
        })
        .collect();
    settings.instances = (0..instances)
        .map(|number| LabInstanceSettings {
            id: format!("n{number}").as_str().into(),
            data_centre: LAB_DATA_CENTRES[number as usize % LAB_DATA_CENTRES.len()].into(),
        })
        .collect();
    #[allow(clippy::expect_used)]
    let lab = Lab::start_with(settings, profile.timing).expect("loopback addresses are free");
    lab
}
