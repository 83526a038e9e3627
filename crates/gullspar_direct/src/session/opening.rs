//! The service and the key with which a caller opened its session.

use gullspar_customer::KeyFingerprint;
use gullspar_model::{CustomerName, ServiceName};
use gullspar_statement::{CallerMessage, Failure};

use crate::session::refusal;
use crate::{Proxy, RestoredSession, Route};

/// The content of a caller's opening message.
#[derive(Clone, Debug)]
pub(crate) struct Opening {
    pub(crate) service: ServiceName,
    pub(crate) key: Option<KeyFingerprint>,
}

impl Opening {
    /// The opening of a session that moves to this instance.
    pub(crate) fn of(restored: &RestoredSession) -> Opening {
        Opening { service: restored.service.clone(), key: restored.key }
    }

    /// The message that opens the same session at another instance.
    pub(crate) fn message(&self) -> CallerMessage {
        CallerMessage::Open { service: self.service.clone(), key: self.key }
    }
}

impl Proxy {
    /// The customer that the session belongs to according to the configuration in force.
    ///
    /// # Errors
    ///
    /// Fails if the route needs a key and the session's key belongs to no customer.
    pub(crate) fn identify(
        &self,
        route: &Route,
        opening: &Opening,
    ) -> Result<Option<CustomerName>, Failure> {
        let Some(catalogue) = self.directory.catalogue() else { return Ok(None) };
        catalogue.identify(route, opening.key.as_ref()).map_err(|_| {
            log::info!(service = opening.service.as_str(), version = catalogue.version; "G0766 a session's key is no longer valid");
            self.borders.stats.key_refused();
            refusal::unknown_key()
        })
    }
}
