//! What control costs an instance, against the number of instances and of groups.
//!
//! No caller is connected, so all that is counted is control. Instances are spread over four data
//! centres of a lab, groups have three members each.

use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gullspar_bench::{Bounds, Deployment, Slope, processor_time, resident_memory};
use gullspar_instance::InstanceTiming;
use gullspar_lab::{Lab, LabInstanceSettings, LabSettings};

const MEASURE: Duration = Duration::from_secs(6);

const PLACES: [&str; 4] = ["derby-a", "derby-b", "nottm-a", "leic-a"];

/// Control of one instance, for each second.
#[derive(Clone, Copy, Debug)]
struct Cost {
    processor_percent: f64,
    peer_messages: f64,
    peer_bytes: f64,
    link_messages: f64,
    link_bytes: f64,
    memory: f64,
    platform_calls: f64,
}

fn main() -> ExitCode {
    let mut bounds = Bounds::default();
    println!(
        "instances  groups  core %  peer msg/s  peer B/s  target msg/s  target B/s  MB each  \
         platform calls/s, all"
    );
    let by_instances: Vec<(f64, Cost)> =
        [8, 32, 128].into_iter().map(|count| (f64::from(count), measure(count, 3))).collect();
    let by_groups: Vec<(f64, Cost)> =
        [2, 8, 24].into_iter().map(|count| (f64::from(count), measure(8, count))).collect();
    let line = |points: &[(f64, Cost)], value: fn(&Cost) -> f64| {
        let points: Vec<(f64, f64)> = points.iter().map(|(x, cost)| (*x, value(cost))).collect();
        Slope::fit(&points)
    };
    let peers = line(&by_instances, |it| it.peer_bytes);
    println!(
        "peer bytes a second and instance: {:.0} + {:.2} for each instance",
        peers.base, peers.each
    );
    let calls = line(&by_instances, |it| it.platform_calls);
    println!(
        "platform calls a second, all: {:.2} + {:.4} for each instance",
        calls.base, calls.each
    );
    // Observed pairs of group and instance: three homes for each group, over eight instances.
    let per_group = |value: fn(&Cost) -> f64| {
        let line = line(&by_groups, value);
        (line.base, line.each * 8.0 / 3.0)
    };
    let (base, each) = per_group(|it| it.processor_percent);
    println!("core % of an instance: {base:.3} + {each:.4} for each group that it observes");
    let (base, each) = per_group(|it| it.link_bytes);
    println!(
        "target bytes/s of an instance: {base:.0} + {each:.0} for each group that it observes"
    );
    let (base, each) = per_group(|it| it.link_messages);
    println!(
        "target messages/s of an instance: {base:.1} + {each:.1} for each group that it observes"
    );
    let small = by_instances[0].1;
    let large = by_instances[2].1;
    bounds.at_most(
        "peer messages an instance, 128 instances against 8",
        large.peer_messages / small.peer_messages,
        1.5,
    );
    bounds.at_most(
        "platform calls, 128 instances against 8",
        large.platform_calls / small.platform_calls,
        2.0,
    );
    bounds.finish()
}

fn measure(instances: u32, groups: u32) -> Cost {
    let lab = start(instances, groups);
    // Until everybody knows everybody.
    std::thread::sleep(Duration::from_secs(4));
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
        memory: resident_memory() as f64 / f64::from(instances) / 1e6,
        platform_calls: (after.platform - before.platform) / MEASURE.as_secs_f64(),
    };
    println!(
        "{instances:>9} {groups:>7} {:>7.3} {:>11.1} {:>9.0} {:>13.1} {:>11.0} {:>8.2} {:>22.2}",
        cost.processor_percent,
        cost.peer_messages,
        cost.peer_bytes,
        cost.link_messages,
        cost.link_bytes,
        cost.memory,
        cost.platform_calls
    );
    cost
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

fn start(instances: u32, groups: u32) -> Lab {
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
    let lab = Lab::start_with(settings, InstanceTiming::default()).expect("loopback is there");
    lab
}
