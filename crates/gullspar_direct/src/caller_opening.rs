//! The opening of a caller's session: which service it wants, and which instance serves it.

use std::rc::Rc;

use gullspar_model::{GroupName, NotRun, ServiceName};
use gullspar_statement::{
    Answer, CallerLink, CallerLinkError, CallerMessage, Failure, FailureCode, TransactionStatus,
};

use crate::caller_session::{Session, no_such_service};
use crate::relay::{self, Relay};
use crate::{HandedOn, Member, Proxy, refusal};

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
    if let (Some(CallerMessage::Open { service }), Some(sender)) = (&opening, &handed_on)
        && !proxy.catches_up(service, sender).await
    {
        // Whoever handed it on tries another one.
        return link.reply(&relay::no_home()).await;
    }
    let failure = match opening {
        Some(CallerMessage::Open { service }) => match proxy.directory.route(&service) {
            Some(route) => {
                if let Some(reason) = proxy.refuses_sessions(&route, handed_on.is_some()) {
                    log::info!(service = service.as_str(), reason = reason.text(); "G0764 a session is refused at its opening");
                    let failure = refusal::not_run(reason);
                    return link.reply(&Answer::failed(failure, TransactionStatus::Idle)).await;
                }
                let ways = proxy.ways_around(&route.group);
                if handed_on.is_some() {
                    proxy.hold(&route.group);
                    if ways.is_some() {
                        return link.reply(&relay::no_home()).await;
                    }
                    return Session::serve_to_end(proxy, link, service).await;
                }
                return match proxy.other_homes(&route.group).or(ways) {
                    Some(homes) => hand_on(proxy, link, service, route.group, &homes).await,
                    None => Session::serve_to_end(proxy, link, service).await,
                };
            }
            None if proxy.directory.catalogue().is_some() => {
                log::info!(service = service.as_str(), version = proxy.directory.version(); "G0730 a caller asked for a service that is not there");
                no_such_service(&service)
            }
            None => refusal::not_run(NotRun::Unreachable),
        },
        Some(_) => Failure::new(FailureCode::Malformed, "a session begins by opening a service"),
        None => {
            log::debug!("G0729 a caller did not open a session");
            return Ok(());
        }
    };
    link.reply(&Answer::failed(failure, TransactionStatus::Idle)).await
}

async fn hand_on(
    proxy: &Rc<Proxy>,
    mut link: Box<dyn CallerLink>,
    service: ServiceName,
    group: GroupName,
    homes: &[Member],
) -> Result<(), CallerLinkError> {
    let handed_on = HandedOn { catalogue_version: proxy.directory.version(), group };
    let Some((opened, home)) = relay::open(proxy, homes, &service, &handed_on).await else {
        return link.reply(&relay::no_home()).await;
    };
    link.reply(&opened).await?;
    Relay::new(Rc::clone(proxy), link, home).run().await
}
