//! What an instance sends along with a session that it forwards, and how the receiver checks it.

use std::time::Duration;

use gullspar_border::within;
use gullspar_model::{GroupName, record};

use crate::Proxy;
use crate::session::opening::Opening;

/// How long a home with an older configuration waits for the one that the sender has. It must be shorter than the
/// sender's timeout, after which the sender tries the next home.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);

record! {
    /// The configuration by which an instance forwarded a session.
    pub struct ForwardedSession {
        pub catalogue_version: u64,
        /// The group to which that configuration routes the session's service.
        pub group: GroupName,
    }
}

impl Proxy {
    /// Whether this instance can admit the session, or has a configuration that is at least as new as the sender's.
    fn is_up_to_date_for(&self, opening: &Opening, sender: &ForwardedSession) -> bool {
        let Some(catalogue) = self.directory.catalogue() else { return false };
        let route = catalogue.routes.get(&opening.service);
        let can_admit = route.is_some_and(|it| {
            it.group == sender.group && catalogue.identify(it, opening.key.as_ref()).is_ok()
        });
        can_admit || catalogue.version >= sender.catalogue_version
    }

    /// Waits briefly until this instance can admit the session or has a configuration as new as the sender's; `false`
    /// if neither happens in time.
    ///
    /// A home that returns from a suspension or a partition has an old configuration for a moment. It must not refuse a
    /// service that the sender already knows.
    pub(crate) async fn wait_until_caught_up(
        &self,
        opening: &Opening,
        sender: &ForwardedSession,
    ) -> bool {
        let clock = &self.borders.clock;
        let deadline = clock.now() + CATCH_UP_TIMEOUT;
        loop {
            let changed = self.directory.listen();
            if self.is_up_to_date_for(opening, sender) {
                return true;
            }
            if within(&**clock, deadline, changed).await.is_err() {
                log::info!(service = opening.service.as_str(), version = self.directory.version(), wanted = sender.catalogue_version; "G0762 a forwarded session is refused: its sender has a newer configuration");
                return false;
            }
        }
    }
}
