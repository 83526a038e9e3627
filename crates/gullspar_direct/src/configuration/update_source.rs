//! Which instance is asked for what it has newer.

use std::net::SocketAddr;

use gullspar_model::DataCentre;

use crate::Member;

/// The choice among the instances that are ahead.
///
/// Near ones go first: chosen from all, nearly all would be in another data centre. Each instance begins with another
/// one, so that not all ask the same. One that did not answer is followed by the next, near or not: an instance whose
/// heartbeats arrive may still be out of reach, and asked again and again it would keep the news from this one for as
/// long as the cut lasts.
pub(crate) struct UpdateSource {
    turn: usize,
    /// The last one asked did not answer.
    failed: bool,
}

impl UpdateSource {
    /// Begins with an instance that follows from `random`.
    pub(crate) fn starting_with(random: u64) -> UpdateSource {
        UpdateSource { turn: random as usize, failed: false }
    }

    /// The instance of `ahead` to ask now, seen from `own`.
    pub(crate) fn pick(&self, ahead: &[Member], own: &DataCentre) -> Option<SocketAddr> {
        let near: Vec<&Member> = ahead.iter().filter(|it| it.data_centre == *own).collect();
        let all = ahead.iter().collect();
        let choice = if self.failed || near.is_empty() { all } else { near };
        let at = self.turn.checked_rem(choice.len())?;
        Some(choice[at].address)
    }

    pub(crate) fn answered(&mut self) {
        self.failed = false;
    }

    pub(crate) fn failed(&mut self) {
        self.turn = self.turn.wrapping_add(1);
        self.failed = true;
    }
}
