//! How many instances there are, as instances tell each other.

use std::cell::Cell;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::record;

use crate::peer_table::COUNTS_FOR;

record! {
    /// A count of the instances that were heard, and how old it is.
    ///
    /// An instance that starts behind a cut has heard only those on its side and would take them for all: it called
    /// itself ready, and its callers waited for leaders until their time was over, seen as 290 of 310 callers of
    /// a data centre within two seconds. A neighbour that was there before the cut knows better. The age goes
    /// with the count, so that passing it on makes it no younger.
    #[derive(Copy)]
    pub struct CountNote {
        pub instances: u32,
        pub age_ms: u64,
    }
}

/// The best count that others told, for as long as the instances in it would count if they had been heard.
#[derive(Default)]
pub(crate) struct CountBook {
    told: Cell<Option<Told>>,
}

/// More instances count for more, then the later count, which holds for longer.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Told {
    instances: usize,
    at: BootInstant,
}

impl CountBook {
    /// Takes what another instance told at `now`.
    pub(crate) fn take(&self, note: CountNote, now: BootInstant) {
        let at = now.minus(Duration::from_millis(note.age_ms));
        let told = Told { instances: note.instances as usize, at };
        if self.standing(now).is_none_or(|it| told > it) {
            self.told.set(Some(told));
        }
    }

    /// The instances that others told of; 0 if nobody did of late.
    pub(crate) fn instances(&self, now: BootInstant) -> usize {
        self.standing(now).map_or(0, |it| it.instances)
    }

    /// What to tell others at `now`, where `heard` instances are known at first hand.
    pub(crate) fn to_tell(&self, heard: usize, now: BootInstant) -> CountNote {
        let told = self.standing(now).filter(|it| it.instances > heard);
        let (instances, at) = told.map_or((heard, now), |it| (it.instances, it.at));
        CountNote { instances: instances as u32, age_ms: now.since(at).as_millis() as u64 }
    }

    fn standing(&self, now: BootInstant) -> Option<Told> {
        self.told.get().filter(|it| now.since(it.at) < COUNTS_FOR)
    }
}
