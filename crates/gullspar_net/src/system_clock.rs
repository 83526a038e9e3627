//! The system's clock.

use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::{BootInstant, Clock};

/// Reads the monotonic clocks and sleeps on the runtime's timers.
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn boot_now(&self) -> BootInstant {
        let read = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
        // Reading this clock fails only on Linux before 2.6.39, which does not have it.
        let since_boot = read.map(Duration::from).unwrap_or_default();
        BootInstant(since_boot.as_micros() as u64)
    }

    fn sleep_until(&self, deadline: Instant) -> LocalBoxFuture<'static, ()> {
        async move { compio::time::sleep_until(deadline).await }.boxed_local()
    }
}
