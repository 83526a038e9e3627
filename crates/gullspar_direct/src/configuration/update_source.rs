//! Selects the instance from which newer configuration and targets are fetched.

use std::net::SocketAddr;

use gullspar_model::DataCentre;

use crate::Member;

/// Rotates through the instances that have newer versions than this one.
///
/// Instances of the own data centre are preferred. Each instance starts at a different offset, so that not all ask the
/// same one. After a failure the next instance of any data centre is asked: an instance whose heartbeats arrive may still
/// be unreachable, and asking only it would block updates for as long as a partition lasts.
pub(crate) struct UpdateSource {
    offset: usize,
    /// Whether the last instance that was asked did not answer.
    failed: bool,
}

impl UpdateSource {
    /// Creates a source that starts at an offset derived from `random`.
    pub(crate) fn starting_with(random: u64) -> UpdateSource {
        UpdateSource { offset: random as usize, failed: false }
    }

    /// The address of the instance to ask now, out of those `ahead`; `own` is the data centre of this instance.
    pub(crate) fn pick(&self, ahead: &[Member], own: &DataCentre) -> Option<SocketAddr> {
        let near: Vec<&Member> = ahead.iter().filter(|it| it.data_centre == *own).collect();
        let all = ahead.iter().collect();
        let candidates = if self.failed || near.is_empty() { all } else { near };
        let index = self.offset.checked_rem(candidates.len())?;
        Some(candidates[index].address)
    }

    /// Records that the instance answered.
    pub(crate) fn answered(&mut self) {
        self.failed = false;
    }

    /// Records that the instance did not answer.
    pub(crate) fn failed(&mut self) {
        self.offset = self.offset.wrapping_add(1);
        self.failed = true;
    }
}
