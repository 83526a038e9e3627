//! The opening of a caller's session: which service it wants, and which instance serves it.

use std::rc::Rc;

use gullspar_model::{CustomerName, GroupName, NotRun};
use gullspar_statement::{
    Answer, CallerLink, CallerLinkError, CallerMessage, Failure, FailureCode, TransactionStatus,
};

use crate::session::caller_session::{Session, no_such_service};
use crate::session::opening::Opening;
use crate::session::refusal;
use crate::session::relay::{self, Relay};
use crate::{HandedOn, Member, Proxy, Route};

/// Serves one caller until it leaves or the instance ends.
pub async fn serve_caller(proxy: Rc<Proxy>, link: Box<dyn CallerLink>) {
    serve(proxy, link, None).await;
}

/// Serves a caller that another instance has handed on, here and nowhere else.
pub async fn serve_relayed_caller(
    proxy: Rc<Proxy>,
    link: Box<dyn CallerLink>,
    handed_on: HandedOn,
) {
    serve(proxy, link, Some(handed_on)).await;
}

async fn serve(proxy: Rc<Proxy>, link: Box<dyn CallerLink>, handed_on: Option<HandedOn>) {
    proxy.shutdown.session_opened();
    if let Err(err) = open(&proxy, link, handed_on).await {
        log::debug!(reason = err.to_string().as_str(); "G0728 a caller's session broke off");
    }
    proxy.shutdown.session_closed();
}

/// Reads which service the caller wants, and serves it here or hands it on.
async fn open(
    proxy: &Rc<Proxy>,
    mut link: Box<dyn CallerLink>,
    handed_on: Option<HandedOn>,
) -> Result<(), CallerLinkError> {
    let opening = link.next().await?;
    proxy.discovery.wait().await;
    let failure = match opening {
        Some(CallerMessage::Open { service, key }) => {
            let opening = Opening { service, key };
            match agree(proxy, &opening, handed_on.as_ref()).await {
                Ok(Agreed { route, customer }) => {
                    return serve_opened(proxy, link, opening, route, customer, handed_on).await;
                }
                Err(answer) => return link.reply(&answer).await,
            }
        }
        Some(_) => Failure::new(FailureCode::Malformed, "a session begins by opening a service"),
        None => {
            log::debug!("G0729 a caller did not open a session");
            return Ok(());
        }
    };
    link.reply(&Answer::failed(failure, TransactionStatus::Idle)).await
}

/// Whose session it is, and how it is served.
struct Agreed {
    route: Route,
    customer: Option<CustomerName>,
}

/// Decides whether the caller may open the session; gives the answer to it if not.
async fn agree(
    proxy: &Rc<Proxy>,
    opening: &Opening,
    handed_on: Option<&HandedOn>,
) -> Result<Agreed, Answer> {
    let refused = |failure| Answer::failed(failure, TransactionStatus::Idle);
    if let Some(sender) = handed_on
        && !proxy.catches_up(opening, sender).await
    {
        // Whoever handed it on tries another one.
        return Err(relay::no_home());
    }
    let Some(catalogue) = proxy.directory.catalogue() else {
        return Err(refused(refusal::not_run(NotRun::Unreachable)));
    };
    let service = &opening.service;
    let Some(route) = catalogue.routes.get(service).cloned() else {
        log::info!(service = service.as_str(), version = catalogue.version; "G0730 a caller asked for a service that is not there");
        return Err(refused(no_such_service(service)));
    };
    let Ok(customer) = catalogue.identify(&route, opening.key.as_ref()) else {
        log::info!(service = service.as_str(), version = catalogue.version, store_silent_ms:? = proxy.store_silent_for().map(|it| it.as_millis()); "G0765 a caller's key is unknown");
        proxy.borders.stats.key_refused();
        return Err(refused(refusal::unknown_key()));
    };
    if let Some(reason) = proxy.session_refusal(&route, handed_on.is_some()) {
        log::info!(service = service.as_str(), reason = reason.text(); "G0764 a session is refused at its opening");
        return Err(refused(refusal::not_run(reason)));
    }
    Ok(Agreed { route, customer })
}

/// Serves the session here, or hands it on.
async fn serve_opened(
    proxy: &Rc<Proxy>,
    mut link: Box<dyn CallerLink>,
    opening: Opening,
    route: Route,
    customer: Option<CustomerName>,
    handed_on: Option<HandedOn>,
) -> Result<(), CallerLinkError> {
    let ways = proxy.forwarding_candidates(&route.group);
    if handed_on.is_some() {
        proxy.hold_group(&route.group);
        if ways.is_some() {
            return link.reply(&relay::no_home()).await;
        }
        return Session::serve_to_end(proxy, link, opening, customer).await;
    }
    match proxy.other_homes(&route.group).or(ways) {
        Some(homes) => hand_on(proxy, link, opening, route.group, &homes).await,
        None => Session::serve_to_end(proxy, link, opening, customer).await,
    }
}

async fn hand_on(
    proxy: &Rc<Proxy>,
    mut link: Box<dyn CallerLink>,
    opening: Opening,
    group: GroupName,
    homes: &[Member],
) -> Result<(), CallerLinkError> {
    let handed_on = HandedOn { catalogue_version: proxy.directory.version(), group };
    let Some((opened, home)) = relay::open(proxy, homes, &opening, &handed_on).await else {
        return link.reply(&relay::no_home()).await;
    };
    link.reply(&opened).await?;
    Relay::new(Rc::clone(proxy), link, opening, home).run().await
}
