//! A caller's session that this instance serves.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

use futures::future::{self, Either};
use gullspar_model::{Access, CustomerName, LogPoint, RequestId, ServiceName};
use gullspar_statement::{
    Answer, CallerLink, CallerLinkError, CallerMessage, Failure, FailureCode, TransactionStatus,
};

use crate::fleet::rotation::UseCounter;
use crate::session::opening::Opening;
use crate::session::session_end::{EndReason, HandedOver, SessionEnd};
use crate::session::session_start::SessionStart;
use crate::session::trace::Trace;
use crate::writing::transaction::Transaction;
use crate::{Phase, Proxy, RestoredSession, Route, SessionValues};

/// The state of one session.
pub(crate) struct Session {
    pub(super) proxy: Rc<Proxy>,
    link: Box<dyn CallerLink>,
    pub(super) opening: Opening,
    /// The customer found by the last check of the key.
    pub(super) customer: Option<CustomerName>,
    /// Counts the statements of a caller that is connected to this instance; `None` for a forwarded session.
    pub(super) use_counter: Option<UseCounter>,
    pub(super) values: SessionValues,
    pub(super) own_commit: Option<LogPoint>,
    pub(super) transaction: Option<Transaction>,
    /// The route with which the open transaction began.
    pub(super) route: Option<Route>,
    /// When the open transaction is rolled back unless a statement arrives.
    pub(super) idle_deadline: Option<Instant>,
    /// How the current or last statement was served.
    pub(super) trace: Trace,
    /// The access of the current statement; `None` if it needs no target.
    pub(super) target_access: Option<Access>,
    /// Whether the next operation is a read that was already sent to another home.
    pub(super) repeats_read: bool,
    /// Messages to serve before those that arrive.
    backlog: VecDeque<CallerMessage>,
    /// Whether the other side was asked to end the session; the session is served until the other side ends it.
    end_requested: bool,
}

/// An event that a session waits for.
enum Event {
    Message(CallerMessage),
    Gone,
    TransactionIdle,
    Departure(Departure),
}

/// What this instance does with a session that it should no longer serve.
#[derive(Clone, Copy)]
enum Departure {
    Close(EndReason),
    ServeElsewhere,
}

pub(crate) fn no_such_service(service: &ServiceName) -> Failure {
    Failure::new(FailureCode::NoSuchService, format!("service {service} does not exist"))
}

impl Session {
    /// Serves an admitted session until it ends or another instance should serve it.
    pub(crate) async fn serve_session(
        proxy: &Rc<Proxy>,
        mut link: Box<dyn CallerLink>,
        start: SessionStart,
    ) -> Result<SessionEnd, CallerLinkError> {
        if start.backlog.is_none() {
            link.reply(&Answer::done_locally(TransactionStatus::Idle)).await?;
        }
        let mut session = Session {
            proxy: Rc::clone(proxy),
            link,
            opening: start.opening,
            customer: start.customer,
            use_counter: start.use_counter,
            values: start.values,
            own_commit: start.own_commit,
            transaction: None,
            route: None,
            idle_deadline: None,
            trace: Trace::default(),
            target_access: None,
            repeats_read: start.repeats_read,
            backlog: start.backlog.unwrap_or_default(),
            end_requested: false,
        };
        let served = session.serve().await;
        if let Err(err) = &served {
            session.send_error(err).await;
        }
        session.abort_transaction();
        match (served?, session.use_counter.take()) {
            (Departure::ServeElsewhere, Some(use_counter)) => {
                Ok(SessionEnd::Forward(Box::new(session.hand_over(use_counter))))
            }
            (Departure::Close(reason), _) => Ok(SessionEnd::Ended(reason)),
            // The instance that forwards the session moves it.
            (Departure::ServeElsewhere, None) => Ok(SessionEnd::Ended(EndReason::CallerGone)),
        }
    }

    /// What another instance needs to continue the session. Its backlog is empty, since that is served before a departure.
    fn hand_over(self, use_counter: UseCounter) -> HandedOver {
        let restored = RestoredSession {
            service: self.opening.service,
            key: self.opening.key,
            values: self.values,
            own_commit: self.own_commit,
            repeats_read: false,
        };
        HandedOver { caller: self.link, use_counter, restored }
    }

    /// Returns when this instance no longer serves the session.
    async fn serve(&mut self) -> Result<Departure, CallerLinkError> {
        loop {
            match self.next_event().await? {
                Event::Message(CallerMessage::Statement(statement)) => {
                    if let Err(failure) = self.identify() {
                        self.abort_transaction();
                        let answer = Answer::failed(failure, TransactionStatus::Idle);
                        self.link.reply(&answer).await?;
                        return Ok(Departure::Close(EndReason::KeyRefused));
                    }
                    let answer = self.answer(statement).await;
                    self.link.reply(&answer).await?;
                }
                Event::Message(CallerMessage::Malformed { id, reason }) => {
                    let answer = self.malformed(&id, &reason);
                    self.link.reply(&answer).await?;
                }
                Event::Message(CallerMessage::Open { .. }) => {
                    let answer = self.malformed(&"-".into(), "the session is already open");
                    self.link.reply(&answer).await?;
                }
                Event::Message(CallerMessage::Close) | Event::Gone => {
                    return Ok(Departure::Close(EndReason::CallerGone));
                }
                Event::Departure(departure) => {
                    if !self.link.request_end().await? {
                        return Ok(departure);
                    }
                    self.end_requested = true;
                }
                Event::TransactionIdle => self.roll_back_idle(),
            }
        }
    }

    async fn next_event(&mut self) -> Result<Event, CallerLinkError> {
        if let Some(message) = self.backlog.pop_front() {
            return Ok(Event::Message(message));
        }
        loop {
            let changed = self.proxy.shutdown.listen();
            if let Some(departure) = self.due_departure() {
                return Ok(Event::Departure(departure));
            }
            let clock = Rc::clone(&self.proxy.borders.clock);
            let idle = async {
                match self.idle_deadline {
                    Some(deadline) => clock.sleep_until(deadline).await,
                    None => future::pending().await,
                }
            };
            let other = future::select(changed, Box::pin(idle));
            match future::select(self.link.next(), other).await {
                Either::Left((message, _)) => {
                    return Ok(message?.map_or(Event::Gone, Event::Message));
                }
                Either::Right((Either::Left(_), _)) => {}
                Either::Right((Either::Right(_), _)) => return Ok(Event::TransactionIdle),
            }
        }
    }

    /// What to do with this session now, because of a shutdown, a partition or a move of the group's home; `None` if it stays.
    ///
    /// A connection is not closed while a request waits to be read. The other side is asked to end a session only once.
    fn due_departure(&self) -> Option<Departure> {
        let shutdown = &self.proxy.shutdown;
        let departure = match self.transaction {
            None if shutdown.should_close_idle() => {
                Some(Departure::Close(shutdown.closing_reason()))
            }
            None => self.should_be_served_elsewhere().then_some(Departure::ServeElsewhere),
            Some(_) => (shutdown.phase() >= Phase::ClosingAll)
                .then_some(Departure::Close(EndReason::Shutdown)),
        };
        departure.filter(|_| !self.end_requested && self.link.is_quiet())
    }

    /// Whether this session should be served by another instance.
    fn should_be_served_elsewhere(&self) -> bool {
        let route = self.proxy.directory.route(&self.opening.service);
        route.is_some_and(|it| {
            self.proxy.is_giving_up(&it.group)
                || self.proxy.forwarding_candidates(&it.group).is_some()
        })
    }

    pub(super) fn status(&self) -> TransactionStatus {
        self.transaction.as_ref().map_or(TransactionStatus::Idle, Transaction::status)
    }

    pub(super) fn malformed(&self, id: &RequestId, reason: &str) -> Answer {
        log::info!(request = id.as_str(), reason = reason; "G0731 a statement is malformed");
        Answer::failed(Failure::new(FailureCode::Malformed, reason), self.status())
    }

    /// Rolls back a transaction that was idle for too long, which frees its connection.
    fn roll_back_idle(&mut self) {
        self.idle_deadline = None;
        if let Some(transaction) = &mut self.transaction {
            log::info!(service = self.opening.service.as_str(); "G0732 an idle transaction is rolled back");
            transaction.roll_back();
        }
    }

    /// Sends the caller the reason if its session ends because of an unreadable message.
    async fn send_error(&mut self, err: &CallerLinkError) {
        if let CallerLinkError::Unreadable(reason) = err {
            let failure = Failure::new(FailureCode::TooLarge, *reason);
            // The session ends whether or not the reply arrives.
            let _ = self.link.reply(&Answer::failed(failure, self.status())).await;
        }
    }

    pub(super) fn abort_transaction(&mut self) {
        if let Some(mut transaction) = self.transaction.take() {
            transaction.roll_back();
        }
    }
}
