//! The tokio timers that tarpc uses.

use std::sync::OnceLock;

use tokio::runtime::{Builder, EnterGuard, Handle};

/// Enters a tokio context for tarpc's timers, until the guard is dropped.
///
/// One thread of the process drives the timers. It does no input or output.
pub fn enter_timer_context() -> EnterGuard<'static> {
    static TIMERS: OnceLock<Handle> = OnceLock::new();
    TIMERS.get_or_init(start_timer_thread).enter()
}

#[allow(clippy::expect_used)]
fn start_timer_thread() -> Handle {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime with only timers opens nothing that can fail");
    let handle = runtime.handle().clone();
    std::thread::spawn(move || runtime.block_on(std::future::pending::<()>()));
    handle
}
