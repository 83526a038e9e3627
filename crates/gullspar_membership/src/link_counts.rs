//! Numbers of responsive contacts.

use std::ops::AddAssign;

use gullspar_model::record;

use crate::Proximity;

record! {
    /// Numbers of near or of far contacts.
    #[derive(Copy, Default)]
    pub struct Tally {
        pub responsive: u32,
        /// Responsive and silent contacts; new contacts are neither.
        pub known: u32,
    }
}

record! {
    /// Numbers of an instance's contacts by proximity.
    #[derive(Copy, Default)]
    pub struct LinkCounts {
        pub near: Tally,
        pub far: Tally,
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Tally) {
        self.responsive += other.responsive;
        self.known += other.known;
    }
}

impl Tally {
    /// Whether more than half of the known contacts are silent.
    pub(crate) fn is_mostly_silent(self) -> bool {
        2 * self.responsive < self.known
    }
}

impl LinkCounts {
    /// Number of responsive contacts, near and far.
    pub(crate) fn responsive(&self) -> usize {
        (self.near.responsive + self.far.responsive) as usize
    }

    pub(crate) fn of(&self, proximity: Proximity) -> Tally {
        match proximity {
            Proximity::Near => self.near,
            Proximity::Far => self.far,
        }
    }

    pub(crate) fn of_mut(&mut self, proximity: Proximity) -> &mut Tally {
        match proximity {
            Proximity::Near => &mut self.near,
            Proximity::Far => &mut self.far,
        }
    }
}
