//! Memory of idle callers on one instance.
//!
//! Both ends of each connection are in this process, so the figure is an upper bound.

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
        // The first ones fill caches and allocators.
        for _ in 0..200 {
            clients.extend(one(address).await);
        }
        compio::time::sleep(Duration::from_secs(1)).await;
        let before = resident_memory();
        let first = clients.len();
        while clients.len() < CALLERS {
            clients.extend(one(address).await);
        }
        compio::time::sleep(Duration::from_secs(2)).await;
        let each = (resident_memory() - before) as f64 / (clients.len() - first) as f64;
        println!("{} idle callers, {:.1} KB each, both ends", clients.len(), each / 1024.0);
        bounds.at_most("KB for an idle caller", each / 1024.0, 16.0);
    });
    bounds.finish()
}

/// A caller that has read once, as callers have, and now waits.
async fn one(address: std::net::SocketAddr) -> Option<Client> {
    let mut client = Client::connect(address, "visitor", "listings", None).await.ok()?;
    client.query("SELECT id FROM slots WHERE id = 1").await.ok()?;
    Some(client)
}
