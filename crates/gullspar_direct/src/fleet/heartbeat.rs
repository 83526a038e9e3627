//! What instances tell each other several times a second.

use std::net::SocketAddr;

use gullspar_membership::{Gossip, Member};
use gullspar_model::{GroupName, InstanceId, MemberName, Revision, record};

use crate::ClaimNote;

record! {
    /// How an instance sees the leader of a group.
    #[derive(Copy)]
    pub enum LeaderHealth {
        /// It answered lately as the leader.
        Leads,
        /// It does not answer.
        Unresponsive,
        /// Members answer, and none of them leads.
        NoLeader,
        /// Not looked for long enough to say.
        Unsure,
    }
}

record! {
    /// One group as an instance sees it.
    pub struct GroupView {
        pub group: GroupName,
        pub leader: Option<MemberName>,
        pub health: LeaderHealth,
        /// The newest claim that the sender knows.
        pub claim: Option<ClaimNote>,
    }
}

impl GroupView {
    /// Whether this tells more than that time has passed.
    pub(crate) fn is_changed_from(&self, old: &GroupView) -> bool {
        let claim = |it: &GroupView| it.claim.as_ref().map(|it| (it.token, it.holder.clone()));
        let age_ms = |it: &GroupView| it.claim.as_ref().map_or(u64::MAX, |it| it.age_ms);
        (&self.leader, self.health) != (&old.leader, old.health)
            || claim(self) != claim(old)
            // Its holder has acted again.
            || age_ms(self) < age_ms(old)
    }
}

record! {
    /// One instance's news; it fits a datagram, and each replaces the one before.
    pub struct Heartbeat {
        pub gossip: Gossip,
        pub catalogue_version: u64,
        pub target_revision: Revision,
        /// How long ago the sender knew of an instance that reaches the platform's store, itself included.
        pub store_age_ms: Option<u32>,
        /// How long ago the sender knew of a home in its data centre that reaches its leaders, itself included.
        pub home_age_ms: Option<u32>,
        /// The groups that the sender and the receiver look at.
        pub views: Vec<GroupView>,
    }
}

impl Heartbeat {
    /// The sender.
    pub(crate) fn member(&self) -> &Member {
        &self.gossip.from.member
    }

    pub(crate) fn from(&self) -> &InstanceId {
        &self.member().id
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.member().address
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.gossip.from.leaving
    }

    /// What the sender says of `group`; `None` if it does not look at it.
    pub(crate) fn view(&self, group: &GroupName) -> Option<&GroupView> {
        self.views.iter().find(|it| it.group == *group)
    }
}
