//! Opens a caller's session: checks the service and the key, and chooses the instance that serves it.

use std::rc::Rc;

use gullspar_model::{CustomerName, GroupName, NotRun};
use gullspar_statement::{
    Answer, CallerLink, CallerLinkError, CallerMessage, Failure, FailureCode, TransactionStatus,
};

use crate::fleet::rotation::UseCounter;
use crate::session::caller_session::{Session, no_such_service};
use crate::session::opening::Opening;
use crate::session::refusal;
use crate::session::relay::{self, Relay};
use crate::{ForwardedSession, Member, Proxy, Route};

/// Serves one caller until it disconnects or the instance shuts down.
pub async fn serve_caller(proxy: Rc<Proxy>, link: Box<dyn CallerLink>) {
    serve(proxy, link, None).await;
}

/// Serves a caller whose session another instance has forwarded; the session is not forwarded again.
pub async fn serve_relayed_caller(
    proxy: Rc<Proxy>,
    link: Box<dyn CallerLink>,
    forwarded: ForwardedSession,
) {
    serve(proxy, link, Some(forwarded)).await;
}

async fn serve(proxy: Rc<Proxy>, link: Box<dyn CallerLink>, forwarded: Option<ForwardedSession>) {
    proxy.shutdown.session_opened();
    if let Err(err) = open(&proxy, link, forwarded).await {
        log::debug!(reason = err.to_string().as_str(); "G0728 a caller's session ended with an error");
    }
    proxy.shutdown.session_closed();
}

/// Reads the opening message, then serves the session here or forwards it.
async fn open(
    proxy: &Rc<Proxy>,
    mut link: Box<dyn CallerLink>,
    forwarded: Option<ForwardedSession>,
) -> Result<(), CallerLinkError> {
    let opening = link.next().await?;
    proxy.discovery.wait().await;
    let failure = match opening {
        Some(CallerMessage::Open { service, key }) => {
            let opening = Opening { service, key };
            match admit(proxy, &opening, forwarded.as_ref()).await {
                Ok(Admitted { route, customer }) => {
                    return serve_opened(proxy, link, opening, route, customer, forwarded).await;
                }
                Err(answer) => return link.reply(&answer).await,
            }
        }
        Some(_) => Failure::new(
            FailureCode::Malformed,
            "the first message of a session must open a service",
        ),
        None => {
            log::debug!("G0729 a caller disconnected without opening a session");
            return Ok(());
        }
    };
    link.reply(&Answer::failed(failure, TransactionStatus::Idle)).await
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

/// Serves the session here or forwards it.
async fn serve_opened(
    proxy: &Rc<Proxy>,
    mut link: Box<dyn CallerLink>,
    opening: Opening,
    route: Route,
    customer: Option<CustomerName>,
    forwarded: Option<ForwardedSession>,
) -> Result<(), CallerLinkError> {
    let candidates = proxy.forwarding_candidates(&route.group);
    if forwarded.is_some() {
        proxy.hold_group(&route.group);
        if candidates.is_some() {
            return link.reply(&relay::no_home(proxy)).await;
        }
        return Session::serve_session(proxy, link, opening, customer, None).await;
    }
    let use_counter = proxy.rotation.recent_use.counter(&route);
    use_counter.record();
    match proxy.other_homes(&route.group).or(candidates) {
        Some(homes) => forward(proxy, link, opening, route.group, &homes, use_counter).await,
        None => Session::serve_session(proxy, link, opening, customer, Some(use_counter)).await,
    }
}

async fn forward(
    proxy: &Rc<Proxy>,
    mut link: Box<dyn CallerLink>,
    opening: Opening,
    group: GroupName,
    homes: &[Member],
    use_counter: UseCounter,
) -> Result<(), CallerLinkError> {
    let forwarded = ForwardedSession { catalogue_version: proxy.directory.version(), group };
    let Some((opened, home)) = relay::open(proxy, homes, &opening, &forwarded).await else {
        return link.reply(&relay::no_home(proxy)).await;
    };
    link.reply(&opened).await?;
    Relay::new(Rc::clone(proxy), link, opening, home, use_counter).run().await
}
