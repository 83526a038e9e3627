//! The clock of an instance.

use std::future::Future;
use std::time::Instant;

use futures::future::{self, Either, LocalBoxFuture};

use crate::BootInstant;

/// A monotonic clock.
///
/// Time limits are passed as deadlines, not as durations. Safety must not depend on this clock, see
/// `docs/design/time.md`.
pub trait Clock {
    /// Returns the current instant.
    fn now(&self) -> Instant;

    /// Returns the current instant of a clock that also runs while the machine is suspended.
    fn boot_now(&self) -> BootInstant;

    /// Waits until `deadline`; returns at once if it has passed.
    fn sleep_until(&self, deadline: Instant) -> LocalBoxFuture<'static, ()>;
}

/// The deadline passed before the future completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadlinePassed;

/// Awaits `fut` until `deadline` at the latest.
///
/// The future is dropped at the deadline. Dropping a read may lose bytes, so a [`Link`](crate::Link) must not be
/// used again after a read on it has timed out.
pub async fn within<F: Future>(
    clock: &dyn Clock,
    deadline: Instant,
    fut: F,
) -> Result<F::Output, DeadlinePassed> {
    futures::pin_mut!(fut);
    match future::select(fut, clock.sleep_until(deadline)).await {
        Either::Left((output, _)) => Ok(output),
        Either::Right(((), _)) => Err(DeadlinePassed),
    }
}
