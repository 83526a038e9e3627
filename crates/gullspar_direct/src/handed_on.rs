//! What goes with a session that one instance hands on to another.

use std::time::Duration;

use gullspar_border::within;
use gullspar_model::{GroupName, ServiceName, record};

use crate::Proxy;

/// How long a home that is behind waits for the configuration of whoever handed a session on: a heartbeat and a fetch
/// take 250 ms. The other one waits 400 ms before it tries the next home.
const CATCH_UP_WITHIN: Duration = Duration::from_millis(300);

record! {
    /// What the instance that hands a session on goes by.
    pub struct HandedOn {
        pub catalogue_version: u64,
        /// The group that serves the session there.
        pub group: GroupName,
    }
}

impl Proxy {
    /// Whether this instance goes by as new a configuration as `sender` does for `service`; waits a little for it.
    ///
    /// A home that is back from a suspension or a cut goes by an old one for a moment. Its word is passed on by an
    /// instance that knows better: seen as a caller that was refused a service 6 s after it was added.
    pub(crate) async fn catches_up(&self, service: &ServiceName, sender: &HandedOn) -> bool {
        let clock = &self.borders.clock;
        let deadline = clock.now() + CATCH_UP_WITHIN;
        loop {
            let changed = self.directory.listen();
            let route = self.directory.route(service);
            let agrees = route.is_some_and(|it| it.group == sender.group);
            if agrees || self.directory.version() >= sender.catalogue_version {
                return true;
            }
            if within(&**clock, deadline, changed).await.is_err() {
                log::info!(service = service.as_str(), version = self.directory.version(), wanted = sender.catalogue_version; "G0762 a session is not taken: its sender has a newer configuration");
                return false;
            }
        }
    }
}
