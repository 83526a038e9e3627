//! Waits for the signals that shut a process down or make it reload its settings.

use futures::future;

/// `SIGINT` and `SIGTERM` on Linux.
const INTERRUPT: i32 = 2;
const TERMINATE: i32 = 15;

/// `SIGHUP` on Linux.
const HANG_UP: i32 = 1;

/// Waits for SIGHUP, which operators send after changing the settings file.
///
/// While nothing waits for it, the signal ends the process. If the signal can't be handled, this
/// never returns.
pub async fn hangup_signal() {
    if compio::signal::unix::signal(HANG_UP).await.is_err() {
        future::pending::<()>().await;
    }
}

/// Waits for SIGINT or SIGTERM.
pub async fn termination_signal() {
    let interrupt = compio::signal::unix::signal(INTERRUPT);
    let terminate = compio::signal::unix::signal(TERMINATE);
    futures::pin_mut!(interrupt, terminate);
    // An error ends the wait as well, so the process stops rather than run without these signals.
    let _ = future::select(interrupt, terminate).await;
}
