//! The share of reads that replicas serve in the load mix of each deployment, with every read after a write checked.

use std::process::ExitCode;
use std::time::Duration;

use gullspar_bench::{Bounds, ClosedLoop, Deployment, class_counts, status};
use gullspar_lab::{Lab, Workload, WorkloadSettings};

/// The reading callers of one class in the mix.
struct Readers {
    user: &'static str,
    callers: usize,
}

fn main() -> ExitCode {
    let mut bounds = Bounds::default();
    println!("deployment  class        replica reads  primary reads  share");
    let midshire = [
        Readers { user: "visitor", callers: 40 },
        Readers { user: "partner", callers: 8 },
        Readers { user: "coordinator", callers: 4 },
    ];
    measure(Deployment::MIDSHIRE, &midshire, "coordinator", "slots", &mut bounds);
    let kahurangi = [
        Readers { user: "dispatcher", callers: 20 },
        Readers { user: "office", callers: 10 },
        Readers { user: "technician", callers: 4 },
    ];
    measure(Deployment::KAHURANGI, &kahurangi, "technician", "vans", &mut bounds);
    bounds.finish()
}

fn measure(
    deployment: Deployment,
    mix: &[Readers],
    writer: &str,
    table: &str,
    bounds: &mut Bounds,
) {
    let lab = Deployment::start(deployment.settings());
    let service = lab.services()[0].service.to_string();
    let loops: Vec<_> = mix.iter().map(|readers| read(&lab, &service, readers, table)).collect();
    // Writers reconnect to another instance after a write. Their reads must see it, with or without a token.
    let without_token = write(&lab, &service, writer, false);
    let with_token = write(&lab, &service, writer, true);
    std::thread::sleep(Duration::from_secs(6));
    let histories = [without_token.stop(), with_token.stop()];
    for running in loops {
        running.finish();
    }
    let Some(status) = status(&lab) else { return bounds.at_least("status", 0.0, 1.0) };
    for readers in mix {
        let counts = class_counts(&status, readers.user);
        let reads = counts.replica_reads + counts.primary_reads;
        let share = counts.replica_reads as f64 / reads.max(1) as f64;
        println!(
            "{:<11} {:<11} {:>14} {:>14} {share:>6.3}",
            deployment.name, readers.user, counts.replica_reads, counts.primary_reads
        );
        // Sessions of the writers' class without a token read from the primary first, so their share depends on the
        // length of sessions. The other classes may always read from replicas.
        if readers.user != writer {
            let what = format!("{} {}: share on replicas", deployment.name, readers.user);
            bounds.at_least(&what, share, 0.95);
        }
    }
    let reads: u64 = histories.iter().map(|it| it.reads).sum();
    let stale: usize = histories.iter().map(|it| it.stale.len()).sum();
    println!("{:<11} read-backs {reads}, stale {stale}", deployment.name);
    bounds.at_most(&format!("{}: stale read-backs", deployment.name), stale as f64, 0.0);
    bounds.at_least(&format!("{}: read-backs", deployment.name), reads as f64, 50.0);
}

fn read(lab: &Lab, service: &str, readers: &Readers, table: &str) -> gullspar_bench::RunningLoop {
    ClosedLoop {
        addresses: lab.instances.iter().map(|it| it.addresses.caller).collect(),
        user: readers.user.to_owned(),
        service: service.to_owned(),
        sql: format!("SELECT * FROM {table}"),
        connections: readers.callers,
        warm_up: Duration::from_millis(500),
        measure: Duration::from_secs(5),
        pause: Duration::from_millis(20),
        without_password: false,
    }
    .start()
}

fn write(lab: &Lab, service: &str, writer: &str, carry_token: bool) -> Workload {
    Workload::start(WorkloadSettings {
        addresses: lab.instances.iter().map(|it| it.addresses.caller).collect(),
        service: service.to_owned(),
        user: writer.to_owned(),
        callers: 4,
        pause: Duration::from_millis(20),
        read_back: true,
        carry_token,
        keyed: false,
        prefix: format!("t{carry_token}-"),
    })
}
