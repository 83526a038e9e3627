//! What instances tell each other several times a second.

use std::net::SocketAddr;

use gullspar_model::{DataCentre, GroupName, InstanceId, MemberName, record};

use crate::{ClaimNote, CountNote};

record! {
    /// How an instance sees the leader of a group.
    #[derive(Copy)]
    pub enum Sighting {
        /// It answered lately as the leader.
        Leads,
        /// It does not answer.
        Dark,
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
        pub sighting: Sighting,
        /// The newest claim that the sender knows.
        pub claim: Option<ClaimNote>,
    }
}

record! {
    /// One instance's news; it fits a datagram, and each replaces the one before.
    pub struct Beacon {
        pub from: InstanceId,
        /// Where the sender answers other instances.
        pub address: SocketAddr,
        pub data_centre: DataCentre,
        /// The sender's processor, in thousandths of a core.
        pub strength: u32,
        pub leaving: bool,
        pub catalogue_version: u64,
        pub target_revision: u64,
        /// Whether the sender reached the platform's store lately.
        pub reaches_store: bool,
        pub views: Vec<GroupView>,
        /// The most instances that the sender knows of.
        pub counted: CountNote,
        /// Addresses of some instances that the sender heard lately, others each time.
        pub known: Vec<SocketAddr>,
    }
}

impl Beacon {
    /// What the sender says of `group`; `None` if it does not look at it.
    pub(crate) fn view(&self, group: &GroupName) -> Option<&GroupView> {
        self.views.iter().find(|it| it.group == *group)
    }
}
