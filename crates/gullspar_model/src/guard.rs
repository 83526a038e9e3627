//! Safety checks that a test can disable to prove that another test detects their absence.
//!
//! Without the feature `guard_switches`, which only tests enable, all guards are always enabled and the check is
//! compiled away. `docs/guards.md` lists each guard with the test that detects its absence.

/// A check on which a guarantee of the proxy depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A write is acknowledged only when a majority holds it.
    MajorityHolds,
    /// The member with the longest log among the fenced ones is promoted.
    LongestLog,
    /// A read waits until the target has reached the session's floor.
    Floor,
    /// A session without a token gets its floor from the primary.
    Anchor,
    /// A request's key is looked up before the request runs, to detect a repetition.
    RequestKey,
    /// A silent primary is replaced only if a majority is reachable and another call to it fails.
    FreshCall,
    /// Configuration is only replaced by a newer version.
    UpwardOnly,
    /// A token is only valid for the caller that it was issued to.
    TokenSignature,
}

impl Guard {
    /// Whether the guard is enabled.
    #[cfg(not(feature = "guard_switches"))]
    #[inline(always)]
    pub fn is_enabled(self) -> bool {
        true
    }

    /// Whether the guard is enabled.
    #[cfg(feature = "guard_switches")]
    pub fn is_enabled(self) -> bool {
        switches::DISABLED.load(std::sync::atomic::Ordering::Relaxed) & (1 << self as u32) == 0
    }

    /// Disables the guard until the returned value is dropped.
    #[cfg(feature = "guard_switches")]
    pub fn switch_off(self) -> switches::SwitchedOff {
        switches::DISABLED.fetch_or(1 << self as u32, std::sync::atomic::Ordering::Relaxed);
        switches::SwitchedOff(self)
    }
}

/// Whether a test asked for a pause after this step of a promotion. Returns true only once for each request.
#[cfg(not(feature = "guard_switches"))]
#[inline(always)]
pub fn should_pause_promotion_after(_step: u32) -> bool {
    false
}

/// Whether a test asked for a pause after this step of a promotion. Returns true only once for each request.
#[cfg(feature = "guard_switches")]
pub fn should_pause_promotion_after(step: u32) -> bool {
    use std::sync::atomic::Ordering;
    let taken =
        switches::PAUSE_AFTER.compare_exchange(step + 1, 0, Ordering::Relaxed, Ordering::Relaxed);
    taken.is_ok()
}

/// Switches for tests.
#[cfg(feature = "guard_switches")]
pub mod switches {
    use std::sync::atomic::{AtomicU32, Ordering};

    pub(super) static DISABLED: AtomicU32 = AtomicU32::new(0);

    /// Enables the guard again when dropped.
    pub struct SwitchedOff(pub(super) super::Guard);

    /// The step of a promotion after which its instance pauses, counted from one; 0 for none.
    pub(super) static PAUSE_AFTER: AtomicU32 = AtomicU32::new(0);

    /// Makes the instance of the next promotion pause after this step, counted from zero.
    pub fn pause_promotion_after(step: u32) {
        PAUSE_AFTER.store(step + 1, Ordering::Relaxed);
    }

    impl Drop for SwitchedOff {
        fn drop(&mut self) {
            DISABLED.fetch_and(!(1 << self.0 as u32), Ordering::Relaxed);
        }
    }
}
