//! What an instance knows about its data centre's rotation.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use gullspar_model::{GroupName, InstanceId};

use crate::fleet::rotation::{Coordinator, GroupUse, Participant, RecentUse, Ruling};

/// The exchange with coordinators, and what applies to this instance.
pub(crate) struct RotationState {
    pub(crate) recent_use: RecentUse,
    pub(super) participant: RefCell<Participant>,
    pub(super) coordinator: RefCell<Coordinator>,
    /// The uses when this instance began to report. Retries of refused callers would distort later ones.
    pub(super) frozen_uses: RefCell<Option<Vec<GroupUse>>>,
    /// Whether this instance lacked contact, and the groups whose leader it reached, when it last checked.
    pub(super) last_view: RefCell<(bool, Vec<GroupName>)>,
    /// Whether the fleet had homes when this instance began to report. As instances on the other side are declared dead,
    /// connections may suffice for the others, which must not change the way of deciding.
    pub(super) is_coordinated: Cell<bool>,
    /// Whether openings of groups that can't be served are refused.
    pub(super) is_restricted: Cell<bool>,
    pub(super) ruling: RefCell<Ruling>,
    /// When leaving rotation takes effect; `None` while this instance is in rotation.
    pub(super) out_at: Cell<Option<Instant>>,
}

impl RotationState {
    pub(crate) fn new(own: InstanceId) -> RotationState {
        RotationState {
            recent_use: RecentUse::default(),
            participant: RefCell::default(),
            coordinator: RefCell::new(Coordinator::new(own)),
            frozen_uses: RefCell::default(),
            last_view: RefCell::default(),
            is_coordinated: Cell::new(false),
            is_restricted: Cell::new(false),
            ruling: RefCell::new(Ruling::NotNeeded),
            out_at: Cell::new(None),
        }
    }
}
