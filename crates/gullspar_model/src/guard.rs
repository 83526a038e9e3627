//! Guards that promises rest on, so that a test can switch one off and see that its check can fail.
//!
//! Without the feature `guard_switches`, which only tests ask for, every guard holds and the question costs
//! nothing. `docs/guards.md` lists each with the check that misses it.

/// A decision without which a promise would be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A write is acknowledged only when a majority holds it.
    MajorityHolds,
    /// The longest log among the fenced is promoted.
    LongestLog,
    /// A read waits for its session's floor.
    Floor,
    /// A session without a token learns its floor from the primary.
    Anchor,
    /// A request key is looked up before the request runs.
    RequestKey,
    /// A silent primary is deposed only while a majority is reachable and a fresh call to it fails.
    FreshCall,
    /// Configuration is only ever applied upward.
    UpwardOnly,
    /// A token is bound to its caller.
    TokenSignature,
}

impl Guard {
    /// Whether the guard is in place.
    #[cfg(not(feature = "guard_switches"))]
    #[inline(always)]
    pub fn is_enabled(self) -> bool {
        true
    }

    /// Whether the guard is in place.
    #[cfg(feature = "guard_switches")]
    pub fn is_enabled(self) -> bool {
        switches::OFF.load(std::sync::atomic::Ordering::Relaxed) & (1 << self as u32) == 0
    }

    /// Takes the guard away until the switch is dropped.
    #[cfg(feature = "guard_switches")]
    pub fn switch_off(self) -> switches::SwitchedOff {
        switches::OFF.fetch_or(1 << self as u32, std::sync::atomic::Ordering::Relaxed);
        switches::SwitchedOff(self)
    }
}

/// Whether a test wants the instance to stand still after this step of a promotion, once.
#[cfg(not(feature = "guard_switches"))]
#[inline(always)]
pub fn should_pause_promotion_after(_step: u32) -> bool {
    false
}

/// Whether a test wants the instance to stand still after this step of a promotion, once.
#[cfg(feature = "guard_switches")]
pub fn should_pause_promotion_after(step: u32) -> bool {
    use std::sync::atomic::Ordering;
    let wanted =
        switches::PAUSE_AFTER.compare_exchange(step + 1, 0, Ordering::Relaxed, Ordering::Relaxed);
    wanted.is_ok()
}

/// Switches, for tests.
#[cfg(feature = "guard_switches")]
pub mod switches {
    use std::sync::atomic::{AtomicU32, Ordering};

    pub(super) static OFF: AtomicU32 = AtomicU32::new(0);

    /// Puts the guard back when dropped.
    pub struct SwitchedOff(pub(super) super::Guard);

    /// The step of a promotion after which its instance stands still, counted from one; 0 for none.
    pub(super) static PAUSE_AFTER: AtomicU32 = AtomicU32::new(0);

    /// Lets the next promotion's instance stand still after this step, counted from zero.
    pub fn pause_promotion_after(step: u32) {
        PAUSE_AFTER.store(step + 1, Ordering::Relaxed);
    }

    impl Drop for SwitchedOff {
        fn drop(&mut self) {
            OFF.fetch_and(!(1 << self.0 as u32), Ordering::Relaxed);
        }
    }
}
