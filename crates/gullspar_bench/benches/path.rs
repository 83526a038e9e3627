//! Cost of a statement through one instance, compared with a plain relay and a direct connection.
//!
//! Uses trivial targets, because a simulated group would be the bottleneck.

use std::process::ExitCode;
use std::time::Duration;

use gullspar_bench::{
    Bounds, ClosedLoop, Deployment, LoopResult, Relay, TrivialTarget, processor_time,
};
use gullspar_lab::{Lab, LabSettings};
use serde_json::json;

const MEASURE: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let mut bounds = Bounds::default();
    let Ok(target) = TrivialTarget::start(false) else { return ExitCode::FAILURE };
    let Ok(relay) = Relay::start(target.address) else { return ExitCode::FAILURE };
    let lab = start_lab_with_trivial_targets(1);
    let instance = lab.instances[0].addresses.caller;
    println!("connections  way       statements/s  p50 ms  p99 ms  processor µs each");
    // `CONNECTIONS=64` measures only this number of connections, for example for profiling.
    let only_size = std::env::var("CONNECTIONS").ok().and_then(|it| it.parse().ok());
    for connections in only_size.map_or(vec![1, 64, 1000], |it| vec![it]) {
        let direct = measure("direct", connections, target.address, true, "none");
        let relayed = measure("relay", connections, relay.address, true, "relay");
        let proxied = measure("gullspar", connections, instance, false, "gullspar-");
        let what = format!("{connections} connections");
        bounds.at_most(
            &format!("{what}: p50 against the relay's"),
            proxied.done.quantile_ms(0.5) / relayed.done.quantile_ms(0.5),
            1.5,
        );
        bounds.at_least(
            &format!("{what}: throughput against the relay's"),
            proxied.rate() / relayed.rate(),
            0.6,
        );
        drop(direct);
    }
    drop(lab);
    // The same if another instance is the home of the targets, so that each statement is forwarded over a lane.
    let lab = start_lab_with_trivial_targets(2);
    for connections in [1, 64, 1000] {
        let address = lab.instances[0].addresses.caller;
        measure("by lane", connections, address, false, "gullspar-");
    }
    bounds.finish()
}

fn measure(
    path_name: &str,
    connections: usize,
    address: std::net::SocketAddr,
    without_password: bool,
    thread: &str,
) -> LoopResult {
    let warm_up = Duration::from_millis(1500);
    let running = ClosedLoop {
        addresses: vec![address],
        user: "any".to_owned(),
        service: "tours".to_owned(),
        sql: "SELECT n FROM numbers WHERE n = 1".to_owned(),
        connections,
        warm_up,
        measure: MEASURE,
        pause: Duration::ZERO,
        without_password,
    }
    .start();
    std::thread::sleep(warm_up);
    let before = processor_time(thread);
    std::thread::sleep(MEASURE);
    let used = processor_time(thread) - before;
    let result = running.finish();
    println!(
        "{connections:>11}  {path_name:<8} {:>13.0} {:>7.3} {:>7.3} {:>18.1}",
        result.rate(),
        result.done.quantile_ms(0.5),
        result.done.quantile_ms(0.99),
        used.as_secs_f64() * 1e6 / result.done.len().max(1) as f64
    );
    result
}

/// Starts instances with a trivial primary and two trivial replicas in the data centre of the last instance.
fn start_lab_with_trivial_targets(instances: usize) -> Lab {
    let text = include_str!("../../gullspar_lab/resources/small.jsonc");
    #[allow(clippy::expect_used)]
    let mut settings = LabSettings::parse("small", text).expect("valid lab file");
    settings.one_way_us = 0;
    settings.instances.truncate(instances);
    let data_centre = settings.instances[instances - 1].data_centre.to_string();
    let service = &mut settings.services[0];
    service.slots = 64;
    service.connections = 106;
    let lab = Deployment::start(settings);
    let key = "gullspar/services/tours";
    #[allow(clippy::expect_used)]
    let mut object = lab.store.get(key).expect("the lab creates its service");
    for (index, member) in
        object.value["group"]["members"].as_array_mut().into_iter().flatten().enumerate()
    {
        #[allow(clippy::expect_used)]
        let target = TrivialTarget::start(index == 0).expect("loopback addresses are free");
        member["address"] = json!(target.address.to_string());
        member["data_centre"] = json!(data_centre);
        member["name"] = json!(format!("t{index}"));
    }
    object.value["group"]["name"] = json!("trivial");
    let group_state =
        json!({"claimed": 1, "claim": "bench", "term": 1, "primary": "t0", "history": []});
    // Cannot conflict: there is no other writer of these objects.
    let _ = lab.store.put("gullspar/groups/trivial", 0, group_state);
    let _ = lab.store.put(key, object.version, object.value);
    std::thread::sleep(Duration::from_secs(1));
    lab
}
