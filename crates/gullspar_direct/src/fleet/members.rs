//! The list of the instances that take work.

use std::collections::BTreeMap;
use std::ops::Deref;

use gullspar_membership::{Member, by_data_centre};
use gullspar_model::DataCentre;

/// The instances that take work, also grouped by data centre.
#[derive(Debug, Default)]
pub struct Members {
    all: Vec<Member>,
    by_data_centre: BTreeMap<DataCentre, Vec<Member>>,
}

impl Members {
    /// Groups `all` by data centre.
    pub fn new(all: Vec<Member>) -> Members {
        let owned = |it: Vec<&Member>| it.into_iter().cloned().collect();
        let by_data_centre = by_data_centre(&all);
        let by_data_centre = by_data_centre
            .into_iter()
            .map(|(data_centre, it)| (data_centre.clone(), owned(it)))
            .collect();
        Members { by_data_centre, all }
    }

    /// The instances in `data_centre`.
    pub(crate) fn near(&self, data_centre: &DataCentre) -> &[Member] {
        self.by_data_centre.get(data_centre).map_or(&[], Vec::as_slice)
    }

    /// The data centres that have instances, in order of their names.
    pub(crate) fn data_centres(&self) -> impl ExactSizeIterator<Item = &DataCentre> {
        self.by_data_centre.keys()
    }
}

impl Deref for Members {
    type Target = [Member];

    fn deref(&self) -> &[Member] {
        &self.all
    }
}
