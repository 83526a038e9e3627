//! Latency of writes that wait for a majority, compared with an acknowledgement of the primary alone.

use std::process::ExitCode;
use std::time::Duration;

use gullspar_bench::{Bounds, ClosedLoop, Deployment, LoopResult};

fn main() -> ExitCode {
    let mut bounds = Bounds::default();
    println!("lag ms  direct p50 ms  gullspar p50 ms  p99 ms  writes/s of 8 callers");
    for lag_ms in [1, 10, 100] {
        let mut settings = Deployment::KAHURANGI.settings();
        settings.lag_ms = lag_ms;
        let lab = Deployment::start(settings);
        let service = &lab.services()[0];
        let group = service.group.as_str();
        let primary = lab.primary(group);
        let target = lab.targets(group).find(|it| Some(&it.member) == primary.as_ref());
        let Some(target) = target else { return ExitCode::FAILURE };
        let local_instances = lab
            .instances
            .iter()
            .filter(|it| it.addresses.data_centre == target.data_centre)
            .map(|it| it.addresses.caller)
            .collect();
        let direct = measure(vec![target.address], true, service.service.as_str());
        let proxied = measure(local_instances, false, service.service.as_str());
        println!(
            "{lag_ms:>6} {:>14.2} {:>16.2} {:>7.2} {:>22.0}",
            direct.done.quantile_ms(0.5),
            proxied.done.quantile_ms(0.5),
            proxied.done.quantile_ms(0.99),
            proxied.rate()
        );
        // The lag of one replica, the network round trip to it, and the acknowledgement of the primary.
        let lower_bound = lag_ms as f64 + 1.0 + direct.done.quantile_ms(0.5);
        bounds.at_most(
            &format!("lag {lag_ms} ms: p50 against the least that the rule allows"),
            proxied.done.quantile_ms(0.5) / lower_bound,
            2.0,
        );
    }
    bounds.finish()
}

fn measure(
    addresses: Vec<std::net::SocketAddr>,
    without_password: bool,
    service: &str,
) -> LoopResult {
    ClosedLoop {
        addresses,
        user: "technician".to_owned(),
        service: service.to_owned(),
        sql: "INSERT INTO ledger VALUES ('x')".to_owned(),
        connections: 8,
        warm_up: Duration::from_secs(1),
        measure: Duration::from_secs(3),
        pause: Duration::ZERO,
        without_password,
    }
    .run()
}
