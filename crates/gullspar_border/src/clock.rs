//! Time, as instances see it.

use std::future::Future;
use std::time::Instant;

use futures::future::{self, Either, LocalBoxFuture};

use crate::BootInstant;

/// A monotonic clock.
///
/// Deadlines are instants; nothing stores a duration. See `docs/design/time.md` for why no
/// safety argument rests on this clock.
pub trait Clock {
    /// The present instant.
    fn now(&self) -> Instant;

    /// The present instant on a clock that also counts the time during which the machine was suspended.
    fn boot_now(&self) -> BootInstant;

    /// Waits until `deadline`; returns at once if it has passed.
    fn sleep_until(&self, deadline: Instant) -> LocalBoxFuture<'static, ()>;
}

/// A deadline passed before the awaited thing happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadlinePassed;

/// Awaits `fut`, but no longer than until `deadline`.
///
/// The future is dropped when time is up. A read that is dropped may have taken bytes with it, so
/// whoever times out a read on a [`Link`](crate::Link) must not use that link again.
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
