//! What goes with a session that one instance hands on to another.

use std::time::Duration;

use gullspar_border::within;
use gullspar_model::{GroupName, record};

use crate::Proxy;
use crate::session::opening::Opening;

/// How long a home that is behind waits for the configuration of whoever handed a session on: a heartbeat and a fetch
/// take 250 ms. The other one waits 400 ms before it tries the next home.
const CATCH_UP_WITHIN: Duration = Duration::from_millis(300);

record! {
    /// What the instance that hands a session on goes by.
    pub struct ForwardedSession {
        pub catalogue_version: u64,
        /// The group that serves the session there.
        pub group: GroupName,
    }
}

impl Proxy {
    fn agrees(&self, opening: &Opening, sender: &ForwardedSession) -> bool {
        let Some(catalogue) = self.directory.catalogue() else { return false };
        let route = catalogue.routes.get(&opening.service);
        let admits = route.is_some_and(|it| {
            it.group == sender.group && catalogue.identify(it, opening.key.as_ref()).is_ok()
        });
        admits || catalogue.version >= sender.catalogue_version
    }

    /// Whether this instance goes by as new a configuration as `sender` does for a session; waits a little for it.
    ///
    /// A home that is back from a suspension or a cut goes by an old one for a moment. Its word is passed on by an
    /// instance that knows better: seen as a caller that was refused a service 6 s after it was added.
    pub(crate) async fn catches_up(&self, opening: &Opening, sender: &ForwardedSession) -> bool {
        let clock = &self.borders.clock;
        let deadline = clock.now() + CATCH_UP_WITHIN;
        loop {
            let changed = self.directory.listen();
            if self.agrees(opening, sender) {
                return true;
            }
            if within(&**clock, deadline, changed).await.is_err() {
                log::info!(service = opening.service.as_str(), version = self.directory.version(), wanted = sender.catalogue_version; "G0762 a session is not taken: its sender has a newer configuration");
                return false;
            }
        }
    }
}
