//! Signals that end a process in good order.

use futures::future;

/// `SIGINT` and `SIGTERM` on Linux.
const INTERRUPT: i32 = 2;
const TERMINATE: i32 = 15;

/// `SIGHUP` on Linux.
const HANG_UP: i32 = 1;

/// Waits for SIGHUP, by which operators say that the settings file has changed.
///
/// Unless somebody waits for it, the signal ends the process.
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
    // Whichever comes first ends the wait; one that can't be waited for ends the process, which is
    // seen at once and loses nothing.
    let _ = future::select(interrupt, terminate).await;
}
