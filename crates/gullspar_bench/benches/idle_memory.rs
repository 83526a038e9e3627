//! Memory per idle caller of one instance.
//!
//! Both ends of each connection are in this process, so the result is an upper bound.

use std::process::ExitCode;
use std::time::Duration;

use gullspar_bench::{Bounds, Deployment, resident_memory};
use gullspar_lab::Client;

const CALLERS: usize = 6000;

fn main() -> ExitCode {
    let mut bounds = Bounds::default();
    let lab = Deployment::start(Deployment::MIDSHIRE.settings());
    let address = lab.instances[0].addresses.caller;
    let Ok(runtime) = compio::runtime::Runtime::new() else { return ExitCode::FAILURE };
    runtime.block_on(async {
        let mut clients = Vec::with_capacity(CALLERS);
        // The first callers fill caches and allocator pools and are not counted.
        for _ in 0..200 {
            clients.extend(connect_idle_caller(address).await);
        }
        compio::time::sleep(Duration::from_secs(1)).await;
        let before = resident_memory();
        let warm_up_callers = clients.len();
        while clients.len() < CALLERS {
            clients.extend(connect_idle_caller(address).await);
        }
        compio::time::sleep(Duration::from_secs(2)).await;
        let bytes_per_caller =
            (resident_memory() - before) as f64 / (clients.len() - warm_up_callers) as f64;
        println!(
            "{} idle callers, {:.1} KB each, both ends",
            clients.len(),
            bytes_per_caller / 1024.0
        );
        bounds.at_most("KB for an idle caller", bytes_per_caller / 1024.0, 16.0);
    });
    bounds.finish()
}

/// Connects a caller that runs one read and is idle afterwards.
async fn connect_idle_caller(address: std::net::SocketAddr) -> Option<Client> {
    let mut client = Client::connect(address, "visitor", "listings", None).await.ok()?;
    client.query("SELECT id FROM slots WHERE id = 1").await.ok()?;
    Some(client)
}
