//! Forwards a caller's session to a home: an instance that holds the connections to the session's group.
//!
//! If the home becomes unresponsive or its connection is lost, the session continues at another home, or here. See
//! `docs/design/unresponsive-homes.md`.

use std::rc::Rc;
use std::time::Duration;

use futures::future::{self, Either};
use gullspar_border::{PeerError, within};
use gullspar_model::NotRun;
use gullspar_statement::{
    Answer, CallerLink, CallerLinkError, CallerMessage, Failure, FailureCode, TransactionStatus,
};

use crate::fleet::rotation::UseCounter;
use crate::session::caller_session::no_such_service;
use crate::session::forwarded_state::{ForwardedState, Recovery};
use crate::session::home_opening::{self, Home};
use crate::session::opening::Opening;
use crate::session::refusal;
use crate::session::session_end::{EndReason, HandedOver, SessionEnd};
use crate::{ForwardedSession, Member, Phase, Proxy, RelayMessage, RelayReply, SessionValues};

/// A caller's session that is forwarded to its home.
pub(crate) struct Relay {
    proxy: Rc<Proxy>,
    caller: Box<dyn CallerLink>,
    opening: Opening,
    use_counter: UseCounter,
    /// `None` after the home was lost or has ended the session, until the next statement.
    home: Option<Home>,
    state: ForwardedState,
    /// Whether the home asked to end the session.
    ending: bool,
    /// Whether the last answer was that the key is no longer valid, after which the home ends the session.
    is_key_refused: bool,
}

/// An event that a relay waits for.
enum Event {
    Caller(Result<Option<CallerMessage>, CallerLinkError>),
    Home(Result<Option<RelayReply>, PeerError>),
    /// The shutdown's phase changed, or a home became unresponsive.
    Changed,
}

/// What follows after an event was handled.
enum Next {
    Continue,
    Close(EndReason),
    ServeHere,
}

/// The result of moving a session.
enum Moved {
    ToHome,
    ToThisInstance,
    /// The new home was lost at once.
    Lost,
    /// No instance can serve the session now; the caller has its answers.
    Nowhere,
    /// The session was refused for good; the caller has the answer.
    Refused,
}

impl Relay {
    /// Opens the session at one of `homes` and forwards it until either side ends it.
    pub(crate) async fn run(
        proxy: &Rc<Proxy>,
        mut caller: Box<dyn CallerLink>,
        opening: Opening,
        forwarded: ForwardedSession,
        homes: &[Member],
        use_counter: UseCounter,
    ) -> Result<SessionEnd, CallerLinkError> {
        let first = RelayMessage::Caller(opening.message());
        let Some((opened, home)) = home_opening::open(proxy, homes, &first, &forwarded).await
        else {
            caller.reply(&no_home(proxy)).await?;
            return Ok(SessionEnd::Ended(EndReason::Refused));
        };
        caller.reply(&opened).await?;
        let state = ForwardedState::new(SessionValues::default(), None);
        let mut relay = Relay::new(proxy, caller, opening, use_counter, state);
        relay.home = Some(home);
        relay.forward_all().await
    }

    /// Forwards a session that this instance has served, from its next statement on, until either side ends it.
    pub(crate) async fn resume(
        proxy: &Rc<Proxy>,
        session: HandedOver,
    ) -> Result<SessionEnd, CallerLinkError> {
        let HandedOver { caller, use_counter, restored } = session;
        let opening = Opening::of(&restored);
        let state = ForwardedState::new(restored.values, restored.own_commit);
        Relay::new(proxy, caller, opening, use_counter, state).forward_all().await
    }

    /// Creates a relay without a home; the next statement opens the session at one.
    fn new(
        proxy: &Rc<Proxy>,
        caller: Box<dyn CallerLink>,
        opening: Opening,
        use_counter: UseCounter,
        state: ForwardedState,
    ) -> Relay {
        Relay {
            proxy: Rc::clone(proxy),
            caller,
            opening,
            use_counter,
            home: None,
            state,
            ending: false,
            is_key_refused: false,
        }
    }

    async fn forward_all(mut self) -> Result<SessionEnd, CallerLinkError> {
        loop {
            self.leave_home_if_due();
            if self.can_close() {
                return Ok(SessionEnd::Ended(self.proxy.shutdown.closing_reason()));
            }
            let next = match self.next_event().await {
                Event::Changed => match self.waits_for_unresponsive_home() {
                    true => self.recover().await?,
                    false => Next::Continue,
                },
                Event::Caller(message) => match message? {
                    None | Some(CallerMessage::Close) => Next::Close(EndReason::CallerGone),
                    Some(message) => self.forward(message).await?,
                },
                Event::Home(Ok(Some(reply))) => self.handle_reply(reply).await?,
                Event::Home(_) => self.handle_lost_connection().await?,
            };
            match next {
                Next::Continue => {}
                Next::Close(reason) => return Ok(SessionEnd::Ended(reason)),
                Next::ServeHere => return Ok(self.hand_over()),
            }
        }
    }

    /// Leaves a home that has asked to end the session, or one that is no longer needed, once no request is in progress. The next
    /// statement opens the session elsewhere, or here.
    ///
    /// A home that asks to end a session with an open transaction rolls it back.
    fn leave_home_if_due(&mut self) {
        if self.state.unanswered.is_empty() && (self.ending || self.should_return()) {
            self.home = None;
            self.ending = false;
        }
    }

    /// Whether the session is idle and this instance is a home of its group that can serve it. The session was moved away while
    /// it could not.
    fn should_return(&self) -> bool {
        let is_idle = self.home.is_some() && self.state.status == TransactionStatus::Idle;
        is_idle
            && self
                .proxy
                .directory
                .route(&self.opening.service)
                .is_some_and(|it| self.proxy.is_working_home(&it.group))
    }

    /// Whether no request is in progress or waits to be read, and this instance closes its callers' connections.
    fn can_close(&self) -> bool {
        let shutdown = &self.proxy.shutdown;
        let is_due = match self.state.status {
            TransactionStatus::Idle => shutdown.should_close_idle(),
            _ => shutdown.phase() >= Phase::ClosingAll,
        };
        is_due && self.state.unanswered.is_empty() && self.caller.is_quiet()
    }

    fn waits_for_unresponsive_home(&self) -> bool {
        !self.state.unanswered.is_empty() && self.is_home_unresponsive()
    }

    fn is_home_unresponsive(&self) -> bool {
        self.home.as_ref().is_some_and(|it| self.proxy.is_unresponsive(&it.member.id))
    }

    async fn next_event(&mut self) -> Event {
        let shutdown_changed = self.proxy.shutdown.listen();
        let home_lost = self.proxy.home_monitor.listen();
        if self.waits_for_unresponsive_home() {
            return Event::Changed;
        }
        let ending = self.ending;
        let caller = async {
            if ending {
                // The home accepts no more messages.
                future::pending().await
            } else {
                self.caller.next().await
            }
        };
        let home = async {
            match &mut self.home {
                Some(home) => home.link.next().await,
                None => future::pending().await,
            }
        };
        futures::pin_mut!(caller, home);
        let changed = future::select(shutdown_changed, home_lost);
        match future::select(future::select(caller, home), changed).await {
            Either::Left((Either::Left((message, _)), _)) => Event::Caller(message),
            Either::Left((Either::Right((reply, _)), _)) => Event::Home(reply),
            Either::Right(_) => Event::Changed,
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

    /// Forwards a message to the home, or to another one if the home is lost.
    async fn forward(&mut self, message: CallerMessage) -> Result<Next, CallerLinkError> {
        if self.state.unanswered.is_empty()
            && let Err(failure) = self.check_key()
        {
            // Closing the session makes the home roll back an open transaction.
            let answer = Answer::failed(failure, TransactionStatus::Idle);
            return self.reply_and_close(answer, EndReason::KeyRefused).await;
        }
        let route = self.proxy.directory.route(&self.opening.service);
        let timeout = route.map_or(Duration::ZERO, |it| Duration::from_millis(it.statement_ms));
        self.use_counter.record();
        self.state.push(message, self.proxy.borders.clock.now() + timeout);
        if self.home.is_none() || self.is_home_unresponsive() {
            return self.recover().await;
        }
        match self.send_unsent().await {
            Ok(()) => Ok(Next::Continue),
            Err(_) => self.handle_lost_connection().await,
        }
    }

    /// Sends the home all messages that it does not have yet.
    async fn send_unsent(&mut self) -> Result<(), PeerError> {
        let Some(home) = &mut self.home else { return Ok(()) };
        for unanswered in self.state.unanswered.iter_mut().filter(|it| it.observed.is_none()) {
            unanswered.is_sent = true;
            unanswered.observed = Some(self.proxy.statement_sent(&home.member));
            let message = RelayMessage::Caller(unanswered.message.clone());
            let lost = std::pin::pin!(self.proxy.until_unresponsive(&home.member.id));
            // A silent home stops reading, so sending a long statement does not end.
            match future::select(home.link.send(&message), lost).await {
                Either::Left((sent, _)) => sent?,
                Either::Right(_) => return Err(PeerError::no_answer("the home is unresponsive")),
            }
        }
        Ok(())
    }

    async fn handle_reply(&mut self, reply: RelayReply) -> Result<Next, CallerLinkError> {
        match reply {
            RelayReply::Answer(answer) => {
                self.state.apply(&answer);
                self.is_key_refused = is_unauthenticated(&answer);
                self.caller.reply(&answer).await?;
                Ok(Next::Continue)
            }
            RelayReply::Ending => {
                self.ending = true;
                let Some(home) = &mut self.home else { return Ok(Next::Continue) };
                match home.link.send(&RelayMessage::Ended).await {
                    Ok(()) => Ok(Next::Continue),
                    Err(_) => self.handle_lost_connection().await,
                }
            }
        }
    }

    async fn handle_lost_connection(&mut self) -> Result<Next, CallerLinkError> {
        if self.is_key_refused && self.state.unanswered.is_empty() {
            return Ok(Next::Close(EndReason::KeyRefused));
        }
        if let Some(home) = &self.home
            && !self.proxy.is_unresponsive(&home.member.id)
        {
            log::info!(home = home.member.id.as_str(), unanswered = self.state.unanswered.len(); "G0747 the connection to a session's home was lost");
            self.proxy.avoid_home(&home.member.id);
            self.proxy.home_connection_lost(&home.member.id);
        }
        self.recover().await
    }

    /// Gives up the home, and repeats or ends what is unanswered.
    ///
    /// Late answers of the home are dropped with its connection, and it rolls back an open transaction.
    async fn recover(&mut self) -> Result<Next, CallerLinkError> {
        let lost = self.home.take().map(|it| it.member.id);
        let lost = lost.as_ref().map_or("-", |it| it.as_str());
        self.ending = false;
        self.state.unanswered.iter_mut().for_each(|it| it.observed = None);
        loop {
            match self.state.recovery() {
                Recovery::Idle => return Ok(Next::Continue),
                Recovery::InDoubt => {
                    self.record_outcome(lost, "unknown");
                    let failure = refusal::unknown("the instance that served the session was lost");
                    let answer = Answer::failed(failure, TransactionStatus::Idle);
                    return self.reply_and_close(answer, EndReason::InDoubt).await;
                }
                Recovery::TransactionLost => {
                    if self.state.status == TransactionStatus::Open {
                        self.record_outcome(lost, "rolled_back");
                    }
                    if let Some(answer) = self.state.fail_transaction() {
                        self.caller.reply(&answer).await?;
                    }
                }
                Recovery::Repeat => match self.move_session(lost).await? {
                    Moved::ToHome | Moved::Nowhere => return Ok(Next::Continue),
                    Moved::ToThisInstance => return Ok(Next::ServeHere),
                    Moved::Refused => return Ok(Next::Close(EndReason::Refused)),
                    Moved::Lost => {}
                },
            }
        }
    }

    /// Continues the session at another home, or here, and repeats the unanswered messages.
    async fn move_session(&mut self, lost: &str) -> Result<Moved, CallerLinkError> {
        let clock = &self.proxy.borders.clock;
        let oldest = self.state.unanswered.front();
        let (deadline, is_sent) =
            oldest.map_or((clock.now(), false), |it| (it.deadline, it.is_sent));
        if is_sent && clock.now() >= deadline {
            self.record_outcome(lost, "timed_out");
            return self.fail_unanswered(|_| refusal::timed_out()).await;
        }
        let Some(route) = self.proxy.directory.route(&self.opening.service) else {
            let failure = no_such_service(&self.opening.service);
            self.caller.reply(&Answer::failed(failure, TransactionStatus::Idle)).await?;
            return Ok(Moved::Refused);
        };
        let candidates = self.proxy.other_homes(&route.group);
        let Some(homes) = candidates.or_else(|| self.proxy.forwarding_candidates(&route.group))
        else {
            self.proxy.keep_group(&route.group);
            self.record_move(lost, self.proxy.own.id.as_str(), "here");
            return Ok(Moved::ToThisInstance);
        };
        let forwarded = ForwardedSession {
            catalogue_version: self.proxy.directory.version(),
            group: route.group,
        };
        let first = RelayMessage::Restore(self.state.restored(&self.opening));
        let opened = home_opening::open(&self.proxy, &homes, &first, &forwarded);
        let Ok(Some((answer, home))) = within(&**clock, deadline, opened).await else {
            self.record_outcome(lost, if is_sent { "unknown" } else { "not_run" });
            return self.fail_unanswered(no_home_failure).await;
        };
        if answer.result.is_err() {
            self.caller.reply(&answer).await?;
            return Ok(Moved::Refused);
        }
        self.record_move(lost, home.member.id.as_str(), "moved");
        self.home = Some(home);
        if self.send_unsent().await.is_ok() {
            return Ok(Moved::ToHome);
        }
        self.home = None;
        self.state.unanswered.iter_mut().for_each(|it| it.observed = None);
        Ok(Moved::Lost)
    }

    /// Answers all unanswered messages with the failure for a message that was or was not sent before. The session stays
    /// open and moves at its next statement.
    async fn fail_unanswered(
        &mut self,
        failure: impl Fn(bool) -> Failure,
    ) -> Result<Moved, CallerLinkError> {
        while let Some(unanswered) = self.state.unanswered.pop_front() {
            let answer = Answer::failed(failure(unanswered.is_sent), TransactionStatus::Idle);
            self.caller.reply(&answer).await?;
        }
        Ok(Moved::Nowhere)
    }

    async fn reply_and_close(
        &mut self,
        answer: Answer,
        reason: EndReason,
    ) -> Result<Next, CallerLinkError> {
        self.caller.reply(&answer).await?;
        Ok(Next::Close(reason))
    }

    fn record_move(&self, lost: &str, to: &str, outcome: &'static str) {
        log::info!(service = self.opening.service.as_str(), from = lost, to = to, repeated = self.state.unanswered.len(); "G0780 a forwarded session continues at another instance");
        self.proxy.borders.stats.home_lost(outcome);
    }

    fn record_outcome(&self, lost: &str, outcome: &'static str) {
        log::info!(service = self.opening.service.as_str(), home = lost, outcome = outcome, unanswered = self.state.unanswered.len(); "G0781 what a session had in progress ended with its home");
        self.proxy.borders.stats.home_lost(outcome);
    }

    fn hand_over(self) -> SessionEnd {
        let restored = self.state.restored(&self.opening);
        let unanswered = self.state.unanswered.into_iter().map(|it| it.message).collect();
        let session = HandedOver { caller: self.caller, use_counter: self.use_counter, restored };
        SessionEnd::ServeHere(Box::new(session), unanswered)
    }
}

fn is_unauthenticated(answer: &Answer) -> bool {
    answer.result.as_ref().is_err_and(|it| it.code == FailureCode::Unauthenticated)
}

/// The failure of a message while no home can serve its session.
fn no_home_failure(is_sent: bool) -> Failure {
    match is_sent {
        true => refusal::unknown("the instance that served the session was lost"),
        false => refusal::not_run(NotRun::Unreachable),
    }
}

/// The answer when no home can serve the session.
pub(crate) fn no_home(proxy: &Proxy) -> Answer {
    Answer::failed(refusal::not_run(proxy.unreachable_reason()), TransactionStatus::Idle)
}
