//! Forwards a caller's session to a home: an instance that holds the connections to the session's group.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either, LocalBoxFuture};
use gullspar_border::{DeadlinePassed, PeerError, within};
use gullspar_model::{InstanceId, record};
use gullspar_statement::{
    Answer, CallerLink, CallerLinkError, CallerMessage, Failure, FailureCode, TransactionStatus,
};

use crate::fleet::rotation::UseCounter;
use crate::session::opening::Opening;
use crate::session::refusal;
use crate::{ForwardedSession, Member, Phase, Proxy};

/// How long opening a session at a home may take before the next home is tried. This is long enough for the load after
/// an outage, when all sessions are opened again.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

record! {
    /// What the instance that a caller is connected to sends to the home.
    pub enum RelayMessage {
        Caller(CallerMessage),
        /// Reply to [`RelayReply::Ending`]: no more messages follow.
        Ended,
    }
}

record! {
    /// What the home sends back.
    pub enum RelayReply {
        Answer(Answer),
        /// The home wants to end the session; it still answers what was sent before.
        ///
        /// Without this message, closing the session could lose a request that is on its way between the two instances.
        Ending,
    }
}

/// A connection to a home, for one session.
pub trait HomeLink {
    /// Sends one message.
    fn send<'a>(
        &'a mut self,
        message: &'a RelayMessage,
    ) -> LocalBoxFuture<'a, Result<(), PeerError>>;

    /// The next reply; `None` when the home has closed the connection. Cancel-safe.
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<RelayReply>, PeerError>>;
}

/// A home and the connection to it.
pub(crate) struct Home {
    id: InstanceId,
    link: Box<dyn HomeLink>,
}

/// Opens a session at the first of `homes` that answers with anything but [`FailureCode::Congested`].
///
/// Returns the home and its answer, which may be another failure; `None` if there is no such home.
pub(crate) async fn open(
    proxy: &Proxy,
    homes: &[Member],
    opening: &Opening,
    forwarded: &ForwardedSession,
) -> Option<(Answer, Home)> {
    let clock = &proxy.borders.clock;
    for home in homes {
        let deadline = clock.now() + OPEN_TIMEOUT;
        let opened =
            within(&**clock, deadline, open_at(proxy, home, opening, forwarded, deadline)).await;
        let reason = match opened {
            Ok(Ok((answer, link))) if !is_refusal(&answer) => {
                return Some((answer, Home { id: home.id.clone(), link }));
            }
            Ok(Ok(_)) => "it can't serve the group".to_owned(),
            Ok(Err(PeerError::NoAnswer(reason))) => reason,
            Err(DeadlinePassed) => "the deadline passed".to_owned(),
        };
        proxy.avoid_home(&home.id);
        log::info!(home = home.id.as_str(), reason = reason.as_str(); "G0746 a session could not be opened at a home");
    }
    None
}

async fn open_at(
    proxy: &Proxy,
    home: &Member,
    opening: &Opening,
    forwarded: &ForwardedSession,
    deadline: Instant,
) -> Result<(Answer, Box<dyn HomeLink>), PeerError> {
    let peers = &proxy.borders.peers;
    let mut link = peers.open_session(home.address, forwarded.clone(), deadline).await?;
    link.send(&RelayMessage::Caller(opening.message())).await?;
    match link.next().await? {
        Some(RelayReply::Answer(answer)) => Ok((answer, link)),
        Some(RelayReply::Ending) | None => Err(PeerError::NoAnswer("it disconnected".to_owned())),
    }
}

/// Whether the home refused the session for a reason that may not apply to another home.
fn is_refusal(answer: &Answer) -> bool {
    answer.result.as_ref().is_err_and(|it| it.code == FailureCode::Congested)
}

/// A caller's session that is forwarded to its home.
pub(crate) struct Relay {
    pub(crate) proxy: Rc<Proxy>,
    pub(crate) caller: Box<dyn CallerLink>,
    opening: Opening,
    home: Home,
    use_counter: UseCounter,
    /// Messages that are not yet answered.
    unanswered: usize,
    status: TransactionStatus,
    /// Whether the home asked to end the session.
    ending: bool,
}

/// An event that a relay waits for.
enum Event {
    Caller(Result<Option<CallerMessage>, CallerLinkError>),
    Home(Result<Option<RelayReply>, PeerError>),
    Shutdown,
}

impl Relay {
    pub(crate) fn new(
        proxy: Rc<Proxy>,
        caller: Box<dyn CallerLink>,
        opening: Opening,
        home: Home,
        use_counter: UseCounter,
    ) -> Relay {
        let status = TransactionStatus::Idle;
        Relay { proxy, caller, opening, home, use_counter, unanswered: 0, status, ending: false }
    }

    /// Forwards messages and answers until either side ends the session.
    pub(crate) async fn run(mut self) -> Result<(), CallerLinkError> {
        loop {
            if self.can_end() {
                return Ok(());
            }
            match self.next_event().await {
                Event::Shutdown => {}
                Event::Caller(message) => match message? {
                    None | Some(CallerMessage::Close) => return Ok(()),
                    Some(message) => {
                        if !self.forward(message).await? {
                            return Ok(());
                        }
                    }
                },
                Event::Home(Ok(Some(RelayReply::Answer(answer)))) => {
                    self.unanswered = self.unanswered.saturating_sub(1);
                    self.status = answer.status;
                    self.caller.reply(&answer).await?;
                }
                Event::Home(Ok(Some(RelayReply::Ending))) => {
                    self.ending = true;
                    if self.home.link.send(&RelayMessage::Ended).await.is_err() {
                        return self.handle_home_loss().await;
                    }
                }
                Event::Home(_) => return self.handle_home_loss().await,
            }
        }
    }

    /// Whether no request is in progress and one of the two instances wants to end the session.
    fn can_end(&self) -> bool {
        let shutdown = &self.proxy.shutdown;
        let is_due = match self.status {
            TransactionStatus::Idle => self.ending || shutdown.should_close_idle(),
            _ => self.ending || shutdown.phase() >= Phase::ClosingAll,
        };
        is_due && self.unanswered == 0 && (self.ending || self.caller.is_quiet())
    }

    async fn next_event(&mut self) -> Event {
        let changed = self.proxy.shutdown.listen();
        let ending = self.ending;
        let caller = async {
            if ending {
                // The home accepts no more messages.
                future::pending().await
            } else {
                self.caller.next().await
            }
        };
        futures::pin_mut!(caller);
        let home = self.home.link.next();
        match future::select(future::select(caller, home), changed).await {
            Either::Left((Either::Left((message, _)), _)) => Event::Caller(message),
            Either::Left((Either::Right((reply, _)), _)) => Event::Home(reply),
            Either::Right(_) => Event::Shutdown,
        }
    }

    /// Checks that the session's key is still valid here; the home may have an older configuration.
    ///
    /// # Errors
    ///
    /// Fails if the key is no longer valid.
    fn check_key(&self) -> Result<(), Failure> {
        match self.proxy.directory.route(&self.opening.service) {
            Some(route) => self.proxy.identify(&route, &self.opening).map(|_| ()),
            // If the service no longer exists, the home reports this to the caller.
            None => Ok(()),
        }
    }

    /// Forwards a message to the home; `false` if the session ends, after the caller was answered.
    async fn forward(&mut self, message: CallerMessage) -> Result<bool, CallerLinkError> {
        if self.unanswered == 0
            && let Err(failure) = self.check_key()
        {
            // Closing the session makes the home roll back an open transaction.
            let answer = Answer::failed(failure, TransactionStatus::Idle);
            self.caller.reply(&answer).await?;
            return Ok(false);
        }
        self.unanswered += 1;
        self.use_counter.record();
        if self.home.link.send(&RelayMessage::Caller(message)).await.is_err() {
            self.handle_home_loss().await?;
            return Ok(false);
        }
        Ok(true)
    }

    /// Avoids the home, and reports that the outcome of an unanswered request is unknown, because it may have run.
    async fn handle_home_loss(&mut self) -> Result<(), CallerLinkError> {
        log::info!(home = self.home.id.as_str(), unanswered = self.unanswered; "G0747 the connection to a session's home was lost");
        self.proxy.avoid_home(&self.home.id);
        if self.unanswered > 0 {
            let failure =
                refusal::unknown("the connection to the instance that served the session was lost");
            self.caller.reply(&Answer::failed(failure, TransactionStatus::Idle)).await?;
        }
        Ok(())
    }
}

/// The answer when no home can serve the session.
pub(crate) fn no_home(proxy: &Proxy) -> Answer {
    Answer::failed(refusal::not_run(proxy.unreachable_reason()), TransactionStatus::Idle)
}
