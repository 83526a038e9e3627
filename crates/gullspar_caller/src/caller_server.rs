//! Serves callers' connections.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use gullspar_border::{Link, within};
use gullspar_fleet::Fleet;
use gullspar_model::TokenKey;
use gullspar_wire::{Channel, ErrorReport, WireError};

use crate::session::Session;
use crate::startup::{self, Opening};
use crate::{CallerStats, CancelRegistry, Classifier, Router};

/// How long a caller may take to start a session.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// How long to wait for a caller to close its side of the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// How callers are served.
#[derive(Clone)]
pub struct CallerSettings {
    /// Maximum number of connected callers.
    pub max_callers: u64,
    /// The key that session tokens are signed with.
    pub token_key: TokenKey,
}

/// State shared by all sessions of an instance.
pub struct CallerServer {
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) router: Rc<Router>,
    pub(crate) cancels: Rc<CancelRegistry>,
    pub(crate) stats: Rc<CallerStats>,
    pub(crate) classifier: Classifier,
    pub(crate) settings: CallerSettings,
    connected: Cell<u64>,
}

impl CallerServer {
    /// Creates a server without connections.
    pub fn new(
        fleet: Rc<Fleet>,
        router: Rc<Router>,
        cancels: Rc<CancelRegistry>,
        stats: Rc<CallerStats>,
        settings: CallerSettings,
    ) -> Rc<CallerServer> {
        Rc::new(CallerServer {
            fleet,
            router,
            cancels,
            stats,
            classifier: Classifier::default(),
            settings,
            connected: Cell::new(0),
        })
    }

    /// Number of callers connected now.
    pub fn connected(&self) -> u64 {
        self.connected.get()
    }

    /// Serves one connection until it ends.
    pub async fn serve(self: Rc<Self>, link: Box<dyn Link>) {
        self.connected.set(self.connected.get() + 1);
        let mut channel = Channel::new(link, Channel::DEFAULT_LIMIT);
        match self.serve_channel(&mut channel).await {
            Ok(()) | Err(WireError::Closed) => {}
            Err(err) => self.report_error(&mut channel, &err).await,
        }
        let clock = &self.fleet.borders().clock;
        // The connection is closed even if the caller does not close its side in time.
        let _ = within(&**clock, clock.now() + CLOSE_TIMEOUT, channel.finish()).await;
        self.connected.set(self.connected.get() - 1);
    }

    /// Sends a protocol error to the caller before its connection is closed.
    async fn report_error(&self, channel: &mut Channel, err: &WireError) {
        log::info!("G0401 a caller's connection ended: {err}");
        if matches!(err, WireError::Malformed(_) | WireError::TooLarge(..)) {
            let report = ErrorReport::fatal("08P01", err.to_string());
            // A failure to send changes nothing: the connection is closed anyway.
            let _ = startup::refuse(channel, &report).await;
        }
    }

    async fn serve_channel(self: &Rc<Self>, channel: &mut Channel) -> Result<(), WireError> {
        let clock = Rc::clone(&self.fleet.borders().clock);
        let deadline = clock.now() + STARTUP_TIMEOUT;
        let opening = within(&*clock, deadline, startup::read_opening(channel));
        // Without the timeout, connections that never start a session would use up the limit.
        let Ok(opening) = opening.await else { return Ok(()) };
        let request = match opening? {
            Opening::Session(request) => request,
            Opening::Cancel { process, secret } => {
                self.cancels.cancel(process, secret);
                return Ok(());
            }
        };
        if self.connected.get() > self.settings.max_callers {
            let report = ErrorReport::fatal("53300", "too many callers on this instance")
                .with_hint("not run; connect again, another instance may have room");
            return startup::refuse(channel, &report).await;
        }
        let started = Box::pin(Session::start(self, channel, request));
        let Ok(session) = within(&*clock, deadline, started).await else { return Ok(()) };
        match session? {
            Some(mut session) => session.serve(channel).await,
            None => Ok(()),
        }
    }
}
