//! The heartbeat that instances exchange several times a second.

use std::net::SocketAddr;

use gullspar_membership::{Gossip, Member};
use gullspar_model::{GroupName, InstanceId, MemberName, Revision, record};

use crate::ClaimReport;

record! {
    /// The state of a group's leader as an instance sees it.
    #[derive(Copy)]
    pub enum LeaderHealth {
        /// It answered recently as the leader.
        Leads,
        /// It does not answer, or its target is no longer listed.
        Unresponsive,
        /// Members answer, but none of them is the leader.
        NoLeader,
        /// The instance has not polled the group for long enough to say.
        Unsure,
    }
}

record! {
    /// The state of one group as an instance sees it.
    pub struct GroupView {
        pub group: GroupName,
        pub leader: Option<MemberName>,
        pub health: LeaderHealth,
        /// The newest claim known to the sender.
        pub claim: Option<ClaimReport>,
    }
}

impl GroupView {
    /// Whether this view differs from `old` in more than a claim that has grown older.
    pub(crate) fn is_changed_from(&self, old: &GroupView) -> bool {
        let claim = |it: &GroupView| it.claim.as_ref().map(|it| (it.token, it.holder.clone()));
        let age_ms = |it: &GroupView| it.claim.as_ref().map_or(u64::MAX, |it| it.age_ms);
        (&self.leader, self.health) != (&old.leader, old.health)
            || claim(self) != claim(old)
            // A younger claim means that its holder has acted again.
            || age_ms(self) < age_ms(old)
    }
}

record! {
    /// The state of one instance. It fits a datagram and replaces the sender's previous heartbeat.
    pub struct Heartbeat {
        pub gossip: Gossip,
        pub catalogue_version: u64,
        pub target_revision: Revision,
        /// Age of the newest known contact of any instance with the platform's store, the sender
        /// included.
        pub store_age_ms: Option<u32>,
        /// Age of the newest report that a home in the sender's data centre reaches its leaders,
        /// the sender included.
        pub home_age_ms: Option<u32>,
        /// The groups that both the sender and the receiver monitor.
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

    /// Sorts the views by group, for [`Heartbeat::view`].
    pub(crate) fn sort_views(&mut self) {
        self.views.sort_by(|a, b| a.group.cmp(&b.group));
    }

    /// The sender's view of `group`; `None` if it does not monitor the group. The views must be sorted.
    pub(crate) fn view(&self, group: &GroupName) -> Option<&GroupView> {
        let at = self.views.binary_search_by(|it| it.group.cmp(group)).ok()?;
        self.views.get(at)
    }

    /// The groups that both the sender and the receiver monitor.
    pub(crate) fn groups(&self) -> impl Iterator<Item = &GroupName> {
        self.views.iter().map(|it| &it.group)
    }
}
