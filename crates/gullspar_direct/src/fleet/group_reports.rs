//! Sends reports about groups to the instances that share them.

use gullspar_model::GroupName;

use crate::{PeerMessage, Proxy};

impl Proxy {
    /// Sends each group peer the reports about the groups that both monitor, as the messages that `encode` makes of them.
    pub(crate) fn send_group_reports<T: Clone>(
        &self,
        reports: &[T],
        group: impl Fn(&T) -> &GroupName,
        encode: impl Fn(&[T]) -> Vec<PeerMessage>,
    ) {
        for address in self.peers.group_peers(|_| true) {
            let shared = self.peers.shared_groups(address);
            let selected = reports.iter().filter(|it| shared.contains(group(it)));
            let selected: Vec<T> = selected.cloned().collect();
            if selected.is_empty() {
                continue;
            }
            for message in encode(&selected) {
                self.borders.peers.send(address, &message);
            }
        }
    }
}
