//! Throughput and latency under overload, uneven load, a noisy neighbour, and after a third of the instances died.

use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gullspar_bench::{Bounds, ClosedLoop, Deployment, RunningLoop};
use gullspar_lab::{Lab, LabSettings};

const MEASURE: Duration = Duration::from_secs(4);

/// How long a statement holds a slot. The capacity of a target is its number of slots divided by this time.
const STATEMENT_US: u64 = 5_000;

fn main() -> ExitCode {
    let mut bounds = Bounds::default();
    if std::env::var("ONLY").is_err() {
        overload(&mut bounds);
    }
    uneven_load(&mut bounds);
    noisy_neighbour(&mut bounds);
    kill_a_third(&mut bounds);
    bounds.finish()
}

fn settings() -> LabSettings {
    let mut settings = Deployment::MIDSHIRE.settings();
    settings.statement_us = STATEMENT_US;
    settings
}

fn addresses(lab: &Lab) -> Vec<std::net::SocketAddr> {
    lab.instances.iter().map(|it| it.addresses.caller).collect()
}

fn readers(lab: &Lab, service: &str, user: &str, connections: usize) -> ClosedLoop {
    ClosedLoop {
        addresses: addresses(lab),
        user: user.to_owned(),
        service: service.to_owned(),
        sql: "SELECT * FROM slots".to_owned(),
        connections,
        warm_up: Duration::from_millis(1500),
        measure: MEASURE,
        pause: Duration::ZERO,
        without_password: false,
    }
}

/// The number of callers whose load is about the capacity of two replicas, with a pause of 100 ms after each response.
const CALLERS: usize = 190;

/// The deadline of visitors, which cannot be met for all statements at five times the capacity.
const VISITOR_DEADLINE_MS: u64 = 400;

fn overload(bounds: &mut Bounds) {
    println!(
        "load  callers  visitors/s  coordinators/s  coordinators p99 ms  refused/s  refusal p99 ms"
    );
    // Two replicas serve the visitors: ten slots with 200 statements per second each.
    let mut peak = 0.0_f64;
    for load_factor in [1, 2, 5] {
        let mut settings = settings();
        if let Some(class) = settings.services[0].classes.get_mut("visitor") {
            class.deadline_ms = VISITOR_DEADLINE_MS;
        }
        let lab = Deployment::start(settings);
        let callers = CALLERS * load_factor;
        let coordinators = readers(&lab, "listings", "coordinator", 4).start();
        let mut visitors = readers(&lab, "listings", "visitor", callers);
        visitors.pause = Duration::from_millis(100);
        visitors.warm_up = Duration::from_secs(5);
        let result = visitors.run();
        let coordinators = coordinators.finish();
        let throughput = result.rate() + coordinators.rate();
        peak = peak.max(throughput);
        println!(
            "{load_factor:>4} {callers:>8} {:>11.0} {:>15.0} {:>20.1} {:>10.0} {:>15.1}",
            result.rate(),
            coordinators.rate(),
            coordinators.done.quantile_ms(0.99),
            result.refused.len() as f64 / result.seconds,
            result.refused.quantile_ms(0.99)
        );
        if load_factor == 5 {
            let deadline = VISITOR_DEADLINE_MS as f64;
            bounds.at_least(
                "work at five times the capacity against the peak",
                throughput / peak,
                0.9,
            );
            bounds.at_most(
                "coordinators' p99 in deadlines",
                coordinators.done.quantile_ms(0.99) / 2000.0,
                1.0,
            );
            bounds.at_most(
                "visitors' p99 in deadlines",
                result.done.quantile_ms(0.99) / deadline,
                1.0,
            );
            bounds.at_most(
                "refusals' p99 in deadlines",
                result.refused.quantile_ms(0.99) / deadline,
                0.1,
            );
        }
    }
}

fn uneven_load(bounds: &mut Bounds) {
    let lab = Deployment::start(settings());
    let even = readers(&lab, "listings", "visitor", 60).run();
    let mut single = readers(&lab, "listings", "visitor", 60);
    single.addresses.truncate(1);
    let single = single.run();
    println!("evenly spread {:.0}/s, all at one instance {:.0}/s", even.rate(), single.rate());
    if let Some(status) = gullspar_bench::status(&lab) {
        let counts = gullspar_bench::class_counts(&status, "visitor");
        println!(
            "reads on replicas {}, on primaries {}",
            counts.replica_reads, counts.primary_reads
        );
    }
    bounds.at_least("all at one of nine against evenly spread", single.rate() / even.rate(), 0.9);
}

fn noisy_neighbour(bounds: &mut Bounds) {
    let lab = Deployment::start(settings());
    let baseline = readers(&lab, "bookings", "visitor", 8).run();
    let noisy_loops: Vec<RunningLoop> = vec![readers(&lab, "listings", "visitor", 200).start()];
    let with_noise = readers(&lab, "bookings", "visitor", 8).run();
    for noisy_loop in noisy_loops {
        noisy_loop.finish();
    }
    println!(
        "quiet service p99: alone {:.1} ms, beside a noisy one {:.1} ms",
        baseline.done.quantile_ms(0.99),
        with_noise.done.quantile_ms(0.99)
    );
    bounds.at_most(
        "a quiet service's p99 beside a noisy one against alone",
        with_noise.done.quantile_ms(0.99) / baseline.done.quantile_ms(0.99),
        1.5,
    );
}

fn kill_a_third(bounds: &mut Bounds) {
    let mut lab = Deployment::start(settings());
    let before = readers(&lab, "listings", "visitor", 60).run();
    for instance in lab.instances.iter_mut().skip(6) {
        instance.kill();
    }
    // Callers use only the addresses of instances that still run.
    let mut after = readers(&lab, "listings", "visitor", 60);
    after.addresses.truncate(6);
    after.warm_up = Duration::from_secs(2);
    let after = after.run();
    println!("before {:.0}/s, from 2 s after a third died {:.0}/s", before.rate(), after.rate());
    bounds.at_least("throughput 2 s after a third died", after.rate() / before.rate(), 0.95);
    for (target, counts) in &lab.counts {
        let peak = counts.peak_connections.load(Ordering::Relaxed);
        bounds.at_most(&format!("{target}: connections"), f64::from(peak), 30.0);
    }
}
