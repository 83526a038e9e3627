//! The targets of one group.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use gullspar_model::{DataCentre, GroupName, MemberName};
use gullspar_statement::TargetSpec;

/// The targets of one group in use, with what is often asked about them.
pub(crate) struct GroupTargets {
    /// Ordered by name.
    pub(crate) targets: Vec<Rc<TargetSpec>>,
    /// The largest number of statements that any one of them runs at once.
    pub(crate) slots: u32,
    /// Where they are.
    pub(crate) data_centres: Rc<BTreeSet<DataCentre>>,
}

impl GroupTargets {
    /// Sorts `targets` by group.
    pub(crate) fn by_group(targets: Vec<Rc<TargetSpec>>) -> BTreeMap<GroupName, Rc<GroupTargets>> {
        let mut by_group: BTreeMap<GroupName, Vec<Rc<TargetSpec>>> = BTreeMap::new();
        for target in targets {
            by_group.entry(target.group.clone()).or_default().push(target);
        }
        by_group.into_iter().map(|(group, it)| (group, Rc::new(GroupTargets::new(it)))).collect()
    }

    /// Whether `member` is one of them.
    pub(crate) fn has(&self, member: &MemberName) -> bool {
        self.targets.iter().any(|it| it.member == *member)
    }

    fn new(targets: Vec<Rc<TargetSpec>>) -> GroupTargets {
        let slots = targets.iter().map(|it| it.slots).max().unwrap_or(0);
        let data_centres = targets.iter().map(|it| it.data_centre.clone()).collect();
        GroupTargets { targets, slots, data_centres: Rc::new(data_centres) }
    }
}
