//! Opens a forwarded session at one of several homes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use gullspar_border::{DeadlinePassed, PeerError, within};
use gullspar_model::InstanceId;
use gullspar_statement::{Answer, FailureCode};

use crate::{ForwardedSession, HomeLink, Member, Proxy, RelayMessage, RelayReply};

/// How long opening a session at a home may take. This is long enough for the load after an outage, when all sessions are
/// opened again.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a home may take until the next one is tried as well.
///
/// Callers close a session that is not opened within 2 s, and the shortest deadline of a request is 1.2 s. A tenth of it
/// leaves time for the request, and is many round trips between data centres.
const NEXT_HOME_DELAY: Duration = Duration::from_millis(120);

/// Maximum number of homes tried at the same time, so that openings at busy homes at most double.
const MAX_CONCURRENT_OPENINGS: usize = 2;

/// A home from which nothing was received for this long may be unreachable if this instance is isolated. An instance is
/// isolated after a silence of the same length.
const HEARD_TTL: Duration = Duration::from_millis(700);

/// A home and the connection to it.
pub(super) struct Home {
    pub(super) member: Member,
    pub(super) link: Box<dyn HomeLink>,
}

/// Which homes are tried, and how.
struct OpeningPlan {
    homes: Vec<Member>,
    timeout: Duration,
    next_home_delay: Duration,
    max_concurrent: usize,
}

impl OpeningPlan {
    /// Unresponsive homes are tried only if there are no others.
    ///
    /// While this instance is isolated, they are not tried at all, nor those at which an opening has just failed. If nothing
    /// was received from the others recently, they are tried together and only briefly: the caller's retry may reach an
    /// instance that is not isolated.
    fn new(proxy: &Proxy, homes: &[Member]) -> OpeningPlan {
        let select = |is_selected: &dyn Fn(&InstanceId) -> bool| -> Vec<Member> {
            homes.iter().filter(|it| is_selected(&it.id)).cloned().collect()
        };
        let responsive = select(&|it| !proxy.is_unresponsive(it));
        if !proxy.peers.is_isolated(proxy.borders.clock.boot_now()) {
            let homes = if responsive.is_empty() { homes.to_vec() } else { responsive };
            return OpeningPlan::in_turn(homes);
        }
        let heard = select(&|it| !proxy.is_unresponsive(it) && proxy.has_heard_from(it, HEARD_TTL));
        if !heard.is_empty() {
            return OpeningPlan::in_turn(heard);
        }
        let homes = select(&|it| !proxy.is_unresponsive(it) && !proxy.is_avoided(it));
        let max_concurrent = homes.len();
        let timeout = NEXT_HOME_DELAY;
        OpeningPlan { homes, timeout, next_home_delay: Duration::ZERO, max_concurrent }
    }

    fn in_turn(homes: Vec<Member>) -> OpeningPlan {
        OpeningPlan {
            homes,
            timeout: OPEN_TIMEOUT,
            next_home_delay: NEXT_HOME_DELAY,
            max_concurrent: MAX_CONCURRENT_OPENINGS,
        }
    }
}

/// Opens a session with the message `first` at the first of `homes` that answers with anything but
/// [`FailureCode::Congested`].
///
/// Returns the home and its answer, which may be another failure; `None` if there is no such home.
pub(super) async fn open(
    proxy: &Rc<Proxy>,
    homes: &[Member],
    first: &RelayMessage,
    forwarded: &ForwardedSession,
) -> Option<(Answer, Home)> {
    let clock = &proxy.borders.clock;
    let plan = OpeningPlan::new(proxy, homes);
    let mut untried = plan.homes.into_iter();
    let mut attempts = FuturesUnordered::new();
    let mut next_at = clock.now();
    loop {
        while (clock.now() >= next_at || attempts.is_empty())
            && attempts.len() < plan.max_concurrent
            && let Some(home) = untried.next()
        {
            let deadline = clock.now() + plan.timeout;
            let (proxy, first) = (Rc::clone(proxy), first.clone());
            attempts.push(attempt(proxy, home, first, forwarded.clone(), deadline));
            next_at = clock.now() + plan.next_home_delay;
        }
        let has_next = attempts.len() < plan.max_concurrent && untried.len() > 0;
        let next_due = match has_next {
            true => clock.sleep_until(next_at),
            false => future::pending().boxed_local(),
        };
        match future::select(attempts.next(), next_due).await {
            Either::Left((Some(Some(opened)), _)) => {
                // The other homes' sessions are closed when they have answered. Until then they are observed.
                compio::runtime::spawn(attempts.for_each(|_| future::ready(()))).detach();
                return Some(opened);
            }
            Either::Left((Some(None), _)) => next_at = clock.now(),
            Either::Left((None, _)) => return None,
            Either::Right(_) => {}
        }
    }
}

async fn attempt(
    proxy: Rc<Proxy>,
    home: Member,
    first: RelayMessage,
    forwarded: ForwardedSession,
    deadline: Instant,
) -> Option<(Answer, Home)> {
    let clock = &proxy.borders.clock;
    let unanswered = proxy.statement_sent(&home);
    let opened =
        within(&**clock, deadline, open_at(&proxy, &home, &first, forwarded, deadline)).await;
    let reason = match opened {
        Ok(Ok((answer, link))) => {
            unanswered.answered();
            if !is_refusal(&answer) {
                return Some((answer, Home { member: home, link }));
            }
            "it can't serve the group".to_owned()
        }
        Ok(Err(PeerError::NoAnswer(reason))) => {
            if clock.now() < deadline {
                proxy.home_connection_lost(&home.id);
            }
            reason
        }
        Err(DeadlinePassed) => "the deadline passed".to_owned(),
    };
    proxy.avoid_home(&home.id);
    log::info!(home = home.id.as_str(), reason = reason.as_str(); "G0746 a session could not be opened at a home");
    None
}

async fn open_at(
    proxy: &Proxy,
    home: &Member,
    first: &RelayMessage,
    forwarded: ForwardedSession,
    deadline: Instant,
) -> Result<(Answer, Box<dyn HomeLink>), PeerError> {
    let mut link = proxy.borders.peers.open_session(home.address, forwarded, deadline).await?;
    link.send(first).await?;
    match link.next().await? {
        Some(RelayReply::Answer(answer)) => Ok((answer, link)),
        Some(RelayReply::Ending) | None => Err(PeerError::NoAnswer("it disconnected".to_owned())),
    }
}

/// Whether the home refused the session for a reason that may not apply to another home.
fn is_refusal(answer: &Answer) -> bool {
    answer.result.as_ref().is_err_and(|it| it.code == FailureCode::Congested)
}
