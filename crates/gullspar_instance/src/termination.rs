//! Waits for the signals that shut a process down or make it reload its settings.

use std::io;
use std::task::{Context, Poll, Waker};

use futures::FutureExt;
use futures::future::{self, LocalBoxFuture};

/// `SIGINT` and `SIGTERM` on Linux.
const INTERRUPT: i32 = 2;
const TERMINATE: i32 = 15;

/// `SIGHUP` on Linux.
const HANG_UP: i32 = 1;

type Listener = LocalBoxFuture<'static, io::Result<()>>;

/// The SIGHUPs that the process receives. Operators send them after changing the settings file.
///
/// From the creation of this value on, no SIGHUP ends the process.
pub struct HangupSignals {
    next: Listener,
    /// A listener that is never awaited. The runtime restores the default action, which ends the process, as soon as the last
    /// listener is gone, and a listener is gone with its first signal.
    _keeper: Listener,
}

impl HangupSignals {
    /// Starts to listen.
    pub fn listen() -> HangupSignals {
        HangupSignals { next: start_listener(), _keeper: start_listener() }
    }

    /// Waits for the next SIGHUP. Signals that arrive before the next call end that call's wait. If the signal can't be
    /// handled, this never returns.
    pub async fn next(&mut self) {
        if (&mut self.next).await.is_err() {
            future::pending::<()>().await;
        }
        self.next = start_listener();
    }
}

/// A listener that is registered already.
fn start_listener() -> Listener {
    let mut listener = compio::signal::unix::signal(HANG_UP).boxed_local();
    let mut cx = Context::from_waker(Waker::noop());
    // The first poll registers it.
    match listener.as_mut().poll(&mut cx) {
        Poll::Ready(result) => future::ready(result).boxed_local(),
        Poll::Pending => listener,
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
