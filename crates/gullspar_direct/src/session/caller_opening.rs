//! Opens a caller's session: checks the service and the key, and chooses the instance that serves it.

use std::rc::Rc;

use gullspar_model::{CustomerName, NotRun, ServiceName};
use gullspar_statement::{
    Answer, CallerLink, CallerLinkError, CallerMessage, Failure, FailureCode, TransactionStatus,
};

use crate::session::caller_session::{Session, no_such_service};
use crate::session::opening::Opening;
use crate::session::refusal;
use crate::session::relay::{self, Relay};
use crate::session::session_end::{EndReason, SessionEnd};
use crate::session::session_start::SessionStart;
use crate::{ForwardedSession, Proxy, RelayMessage, RelayedLink, Route};

/// Serves one caller until it disconnects or the instance shuts down.
pub async fn serve_caller(proxy: Rc<Proxy>, link: Box<dyn CallerLink>) {
    proxy.shutdown.session_opened();
    let mut service = None;
    let ended = open(&proxy, link, &mut service).await;
    record_end(&proxy, service.as_ref(), &ended);
    proxy.shutdown.session_closed();
}

/// Serves a caller whose session another instance has forwarded; the session is not forwarded again.
pub async fn serve_relayed_caller(
    proxy: Rc<Proxy>,
    link: Box<dyn RelayedLink>,
    forwarded: ForwardedSession,
) {
    proxy.shutdown.session_opened();
    if let Err(err) = open_forwarded(&proxy, link, forwarded).await {
        log_broken(&err);
    }
    proxy.shutdown.session_closed();
}

fn log_broken(err: &CallerLinkError) {
    log::debug!(reason = err.to_string().as_str(); "G0728 a caller's session ended with an error");
}

/// Counts the end of a session, and logs it if this instance closed the caller's connection. Nothing is in progress on it then.
fn record_end(
    proxy: &Proxy,
    service: Option<&ServiceName>,
    ended: &Result<EndReason, CallerLinkError>,
) {
    let reason = match ended {
        Ok(reason) => *reason,
        Err(err) => {
            log_broken(err);
            EndReason::of(err)
        }
    };
    proxy.borders.stats.session_ended(reason);
    if reason != EndReason::CallerGone {
        log::info!(service = service.map_or("-", |it| it.as_str()), reason = reason.name(); "G0820 a caller's connection was closed by this instance");
    }
}

/// Reads the opening message, then serves the session here or forwards it. Sets `service` once it is known.
async fn open(
    proxy: &Rc<Proxy>,
    mut link: Box<dyn CallerLink>,
    service: &mut Option<ServiceName>,
) -> Result<EndReason, CallerLinkError> {
    let first = link.next().await?;
    proxy.discovery.wait().await;
    let is_gone = first.is_none();
    let Some(opening) = read_opening(first, &mut *link).await? else {
        return Ok(if is_gone { EndReason::CallerGone } else { EndReason::Malformed });
    };
    *service = Some(opening.service.clone());
    let Admitted { route, customer } = match admit(proxy, &opening, None).await {
        Ok(admitted) => admitted,
        Err(answer) => {
            link.reply(&answer).await?;
            return Ok(EndReason::Refused);
        }
    };
    let other_homes = proxy.other_homes(&route.group);
    let use_counter = proxy.rotation.recent_use.counter(&route);
    use_counter.record();
    let end = match other_homes.or_else(|| proxy.forwarding_candidates(&route.group)) {
        Some(homes) => {
            let version = proxy.directory.version();
            let forwarded =
                ForwardedSession { catalogue_version: version, group: route.group.clone() };
            Relay::run(proxy, link, opening, forwarded, &homes, use_counter).await?
        }
        None => {
            let start = SessionStart::new(opening, customer).counted_by(use_counter);
            Session::serve_session(proxy, link, start).await?
        }
    };
    continue_until_ended(proxy, end).await
}

/// Serves or forwards a session in turn, wherever it continues, on the same connection of its caller.
async fn continue_until_ended(
    proxy: &Rc<Proxy>,
    mut end: SessionEnd,
) -> Result<EndReason, CallerLinkError> {
    loop {
        end = match end {
            SessionEnd::Ended(reason) => return Ok(reason),
            SessionEnd::Forward(session) => Relay::resume(proxy, *session).await?,
            SessionEnd::ServeHere(session, unanswered) => {
                // The customer is looked up before each statement.
                let start = SessionStart::new(Opening::of(&session.restored), None)
                    .restored(Some(session.restored))
                    .continued_with(unanswered)
                    .counted_by(session.use_counter);
                Session::serve_session(proxy, session.caller, start).await?
            }
        };
    }
}

/// Reads the message that opens or restores a forwarded session, then serves the session.
async fn open_forwarded(
    proxy: &Rc<Proxy>,
    mut link: Box<dyn RelayedLink>,
    forwarded: ForwardedSession,
) -> Result<(), CallerLinkError> {
    let first = link.first().await?;
    proxy.discovery.wait().await;
    let (opening, restored) = match first {
        Some(RelayMessage::Restore(restored)) => (Opening::of(&restored), Some(restored)),
        Some(RelayMessage::Caller(message)) => {
            match read_opening(Some(message), &mut *link).await? {
                Some(opening) => (opening, None),
                None => return Ok(()),
            }
        }
        Some(RelayMessage::Ended) | None => return Ok(()),
    };
    let Admitted { route, customer } = match admit(proxy, &opening, Some(&forwarded)).await {
        Ok(admitted) => admitted,
        Err(answer) => return link.reply(&answer).await,
    };
    let candidates = proxy.forwarding_candidates(&route.group);
    proxy.hold_group(&route.group);
    if candidates.is_some() {
        return link.reply(&relay::no_home(proxy)).await;
    }
    let start = SessionStart::new(opening, customer).restored(restored);
    Session::serve_session(proxy, link, start).await.map(|_| ())
}

/// The content of the first message; `None` if it opens no session, after the caller was told so.
async fn read_opening(
    first: Option<CallerMessage>,
    link: &mut dyn CallerLink,
) -> Result<Option<Opening>, CallerLinkError> {
    match first {
        Some(CallerMessage::Open { service, key }) => return Ok(Some(Opening { service, key })),
        Some(_) => {
            let text = "the first message of a session must open a service";
            let failure = Failure::new(FailureCode::Malformed, text);
            link.reply(&Answer::failed(failure, TransactionStatus::Idle)).await?;
        }
        None => log::debug!("G0729 a caller disconnected without opening a session"),
    }
    Ok(None)
}

/// The route and the customer of an admitted session.
struct Admitted {
    route: Route,
    customer: Option<CustomerName>,
}

/// Checks whether the caller may open the session.
///
/// # Errors
///
/// Fails with the answer that refuses the session.
async fn admit(
    proxy: &Rc<Proxy>,
    opening: &Opening,
    forwarded: Option<&ForwardedSession>,
) -> Result<Admitted, Answer> {
    let refused = |failure| Answer::failed(failure, TransactionStatus::Idle);
    if let Some(sender) = forwarded
        && !proxy.wait_until_caught_up(opening, sender).await
    {
        // The instance that forwarded the session tries another home.
        return Err(relay::no_home(proxy));
    }
    let Some(catalogue) = proxy.directory.catalogue() else {
        return Err(refused(refusal::not_run(NotRun::Unreachable)));
    };
    let service = &opening.service;
    let Some(route) = catalogue.routes.get(service).cloned() else {
        log::info!(service = service.as_str(), version = catalogue.version; "G0730 a caller asked for an unknown service");
        return Err(refused(no_such_service(service)));
    };
    let Ok(customer) = catalogue.identify(&route, opening.key.as_ref()) else {
        log::info!(service = service.as_str(), version = catalogue.version, store_silent_ms:? = proxy.store_silent_for().map(|it| it.as_millis()); "G0765 a caller's key is unknown");
        proxy.borders.stats.key_refused();
        return Err(refused(refusal::unknown_key()));
    };
    if let Some(reason) = proxy.session_refusal(&route, forwarded.is_some()) {
        proxy.borders.stats.opening_refused(proxy.shutdown.partition_state());
        log::info!(service = service.as_str(), reason = reason.text(), retry_after_ms = reason.retry_after_ms(); "G0764 a session was refused when it was opened");
        return Err(refused(refusal::not_run(reason)));
    }
    Ok(Admitted { route, customer })
}
