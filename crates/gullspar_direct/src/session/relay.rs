//! Handing a caller's session on to an instance that holds connections to its group.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either, LocalBoxFuture};
use gullspar_border::{DeadlinePassed, PeerError, within};
use gullspar_model::{InstanceId, NotRun, record};
use gullspar_statement::{
    Answer, CallerLink, CallerLinkError, CallerMessage, Failure, FailureCode, TransactionStatus,
};

use crate::session::opening::Opening;
use crate::session::refusal;
use crate::{ForwardedSession, Member, Phase, Proxy};

/// How long opening a session at a home may take before the next one is tried: a few milliseconds, and
/// more after a power loss, when all sessions open anew.
const OPEN_WITHIN: Duration = Duration::from_millis(400);

record! {
    /// What the instance that a caller is connected to sends to the home.
    pub enum RelayMessage {
        Caller(CallerMessage),
        /// Nothing more follows, as the home has asked.
        Ended,
    }
}

record! {
    /// What the home sends back.
    pub enum RelayReply {
        Answer(Answer),
        /// The home wants to end the session; whatever was sent before is answered still.
        ///
        /// Closed without it, a request on its way between the two instances would be lost though one of
        /// them had read it.
        Ending,
    }
}

/// The way to a home, for one session.
pub trait HomeLink {
    /// Sends one message.
    fn send<'a>(
        &'a mut self,
        message: &'a RelayMessage,
    ) -> LocalBoxFuture<'a, Result<(), PeerError>>;

    /// The next reply; `None` when the home has gone. A call that is dropped loses nothing.
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<RelayReply>, PeerError>>;
}

/// A home and the way to it.
pub(crate) struct Home {
    id: InstanceId,
    link: Box<dyn HomeLink>,
}

/// Opens a session at the first of `homes` that takes it; gives the answer to the opening as well.
pub(crate) async fn open(
    proxy: &Proxy,
    homes: &[Member],
    opening: &Opening,
    forwarded: &ForwardedSession,
) -> Option<(Answer, Home)> {
    let clock = &proxy.borders.clock;
    for home in homes {
        let deadline = clock.now() + OPEN_WITHIN;
        let opened =
            within(&**clock, deadline, open_at(proxy, home, opening, forwarded, deadline)).await;
        let reason = match opened {
            Ok(Ok((answer, link))) if !refuses(&answer) => {
                return Some((answer, Home { id: home.id.clone(), link }));
            }
            Ok(Ok(_)) => "it can't serve the group either".to_owned(),
            Ok(Err(PeerError::NoAnswer(reason))) => reason,
            Err(DeadlinePassed) => "the deadline passed".to_owned(),
        };
        proxy.avoid_home(&home.id);
        log::info!(home = home.id.as_str(), reason = reason.as_str(); "G0746 a home could not be reached");
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
        Some(RelayReply::Ending) | None => Err(PeerError::NoAnswer("it ends".to_owned())),
    }
}

/// Whether another home may take the session that this one did not.
fn refuses(answer: &Answer) -> bool {
    answer.result.as_ref().is_err_and(|it| it.code == FailureCode::Congested)
}

/// A session that runs elsewhere.
pub(crate) struct Relay {
    pub(crate) proxy: Rc<Proxy>,
    pub(crate) caller: Box<dyn CallerLink>,
    opening: Opening,
    home: Home,
    /// Messages that are not answered yet.
    unanswered: usize,
    status: TransactionStatus,
    ending: bool,
}

/// What a relay waits for.
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
    ) -> Relay {
        let status = TransactionStatus::Idle;
        Relay { proxy, caller, opening, home, unanswered: 0, status, ending: false }
    }

    /// Passes messages on until either side ends.
    pub(crate) async fn run(mut self) -> Result<(), CallerLinkError> {
        loop {
            if self.may_end() {
                return Ok(());
            }
            match self.next_event().await {
                Event::Shutdown => {}
                Event::Caller(message) => match message? {
                    None | Some(CallerMessage::Close) => return Ok(()),
                    Some(message) => {
                        if !self.pass_on(message).await? {
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
                        return self.home_is_gone().await;
                    }
                }
                Event::Home(_) => return self.home_is_gone().await,
            }
        }
    }

    /// Whether nothing is under way and one of the two instances ends.
    fn may_end(&self) -> bool {
        let shutdown = &self.proxy.shutdown;
        let due = match self.status {
            TransactionStatus::Idle => self.ending || shutdown.should_close_idle(),
            _ => self.ending || shutdown.phase() >= Phase::ClosingAll,
        };
        due && self.unanswered == 0 && (self.ending || self.caller.is_quiet())
    }

    async fn next_event(&mut self) -> Event {
        let changed = self.proxy.shutdown.listen();
        let ending = self.ending;
        let caller = async {
            if ending {
                // The home takes nothing more.
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

    /// Whether the session may go on by what this instance knows; the home may not have heard of it yet.
    fn admits(&self) -> Result<(), Failure> {
        match self.proxy.directory.route(&self.opening.service) {
            Some(route) => self.proxy.identify(&route, &self.opening).map(|_| ()),
            // The home answers for a service that is gone.
            None => Ok(()),
        }
    }

    /// Sends a message on; `false` if the home has gone or the session ends, and the caller has been told.
    async fn pass_on(&mut self, message: CallerMessage) -> Result<bool, CallerLinkError> {
        if self.unanswered == 0
            && let Err(failure) = self.admits()
        {
            // Without its session, the home rolls back what is open there.
            let answer = Answer::failed(failure, TransactionStatus::Idle);
            self.caller.reply(&answer).await?;
            return Ok(false);
        }
        self.unanswered += 1;
        if self.home.link.send(&RelayMessage::Caller(message)).await.is_err() {
            self.home_is_gone().await?;
            return Ok(false);
        }
        Ok(true)
    }

    /// Answers what is under way, truthfully: it may have run.
    async fn home_is_gone(&mut self) -> Result<(), CallerLinkError> {
        log::info!(home = self.home.id.as_str(), unanswered = self.unanswered; "G0747 the home of a session is gone");
        self.proxy.avoid_home(&self.home.id);
        if self.unanswered > 0 {
            let failure = refusal::unknown("the instance that served the session is gone");
            self.caller.reply(&Answer::failed(failure, TransactionStatus::Idle)).await?;
        }
        Ok(())
    }
}

/// The answer where no home can be reached.
pub(crate) fn no_home() -> Answer {
    Answer::failed(refusal::not_run(NotRun::Unreachable), TransactionStatus::Idle)
}
