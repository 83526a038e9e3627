//! How many of its contacts an instance hears.

use std::ops::AddAssign;

use gullspar_model::record;

use crate::Class;

record! {
    /// Contacts of one class.
    #[derive(Copy, Default)]
    pub struct Tally {
        pub heard: u32,
        /// Those heard and those silent; one that was met a moment ago is neither.
        pub known: u32,
    }
}

record! {
    /// Contacts of an instance that it hears, by class.
    #[derive(Copy, Default)]
    pub struct LinkCounts {
        pub near: Tally,
        pub far: Tally,
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Tally) {
        self.heard += other.heard;
        self.known += other.known;
    }
}

impl Tally {
    /// Whether more than half of the known contacts are silent.
    pub(crate) fn is_mostly_silent(self) -> bool {
        2 * self.heard < self.known
    }
}

impl LinkCounts {
    /// Contacts of either class that are heard.
    pub(crate) fn heard(&self) -> usize {
        (self.near.heard + self.far.heard) as usize
    }

    pub(crate) fn of(&self, class: Class) -> Tally {
        match class {
            Class::Near => self.near,
            Class::Far => self.far,
        }
    }

    pub(crate) fn of_mut(&mut self, class: Class) -> &mut Tally {
        match class {
            Class::Near => &mut self.near,
            Class::Far => &mut self.far,
        }
    }
}
