//! The clock of the machine.

use std::time::Instant;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::Clock;

/// Reads the monotonic clock and sleeps on the runtime's timers.
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn sleep_until(&self, deadline: Instant) -> LocalBoxFuture<'static, ()> {
        async move { compio::time::sleep_until(deadline).await }.boxed_local()
    }
}
