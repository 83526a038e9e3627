//! Transactions of callers.
//!
//! A target is taken only when the first statement comes: callers pause after BEGIN as well, and a
//! connection held meanwhile would be missing to others.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::within;
use gullspar_model::{Access, MemberName, NotRun};
use gullspar_statement::{Answer, Failure, FailureCode, TargetCommand, TransactionStatus};

use crate::groups::group::Group;
use crate::reading::read_path::Place;
use crate::session::refusal;
use crate::session::request::Request;
use crate::session::trace::Trace;
use crate::targets::attempt::{End, Surroundings};
use crate::targets::connection_pool::Lease;
use crate::{Freshness, Proxy};

/// Pause before the target that holds a transaction is asked again after it was too busy.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// Pause before another place is looked for when none can take the transaction.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// A connection inside a transaction.
struct Held {
    around: Surroundings,
    lease: Lease,
}

/// A caller's open transaction.
pub(crate) struct Transaction {
    group: Rc<Group>,
    read_only: bool,
    held: Option<Held>,
    begun: bool,
    failed: bool,
    wrote: bool,
    /// It counts against its customer's limit already.
    pub(crate) charged: bool,
    /// Where it runs.
    pub(crate) trace: Trace,
}

/// Why a transaction did not begin at one place; another may be tried.
enum NotBegun {
    NotRun(NotRun),
    /// Its first statement failed there.
    Failed(Answer),
}

/// How the end of a transaction went.
pub(crate) struct Ended {
    pub(crate) answer: Answer,
    /// It succeeded, and something was written.
    pub(crate) wrote: bool,
}

impl Transaction {
    pub(crate) fn new(group: Rc<Group>, read_only: bool) -> Transaction {
        Transaction {
            group,
            read_only,
            held: None,
            begun: false,
            failed: false,
            wrote: false,
            charged: false,
            trace: Trace::default(),
        }
    }

    pub(crate) fn group(&self) -> Rc<Group> {
        Rc::clone(&self.group)
    }

    pub(crate) fn status(&self) -> TransactionStatus {
        if self.failed { TransactionStatus::Failed } else { TransactionStatus::Open }
    }

    /// Runs a statement inside the transaction.
    pub(crate) async fn run(&mut self, proxy: &Rc<Proxy>, req: &Request) -> Answer {
        if self.read_only && req.access == Access::Write {
            let text = "the transaction only reads";
            return self.fail(Failure::new(FailureCode::ReadOnly, text));
        }
        self.wrote |= req.access == Access::Write;
        let mut answer = if self.begun {
            self.go_on(proxy, req).await
        } else {
            self.begin_and_run(proxy, req).await
        };
        self.failed |= answer.status != TransactionStatus::Open;
        answer.status = self.status();
        answer
    }

    /// Commits.
    pub(crate) async fn commit(mut self, proxy: &Rc<Proxy>, req: &Request) -> Ended {
        if self.failed {
            let failure = refusal::rolled_back("the transaction had failed");
            self.roll_back();
            return Ended::refused(failure);
        }
        if self.wrote && !proxy.can_confirm(&self.group) {
            // Committed, it could not be told to have succeeded; rolled back, the caller may try elsewhere.
            let failure = refusal::rolled_back("the leader may be about to be replaced");
            log::info!(request = req.id.as_str(), group = self.group.name.as_str(), reason = failure.text.as_str(); "G0726 a transaction is refused");
            self.roll_back();
            return Ended::refused(failure);
        }
        let mut answer = if self.begun {
            self.go_on(proxy, req).await
        } else {
            self.begin_and_run(proxy, req).await
        };
        let succeeded = answer.result.is_ok();
        if succeeded {
            if let Some(held) = self.held.take() {
                held.lease.give_back();
            }
        } else {
            self.roll_back();
        }
        answer.status = TransactionStatus::Idle;
        Ended { answer, wrote: succeeded && self.wrote }
    }

    /// Ends the transaction without keeping anything; nobody has to wait for it.
    pub(crate) fn roll_back(&mut self) {
        if let Some(held) = self.held.take() {
            let Held { around, lease } = held;
            compio::runtime::spawn(async move { around.roll_back(lease).await }).detach();
        }
    }

    /// Fails it: nothing of it will be kept.
    pub(crate) fn fail(&mut self, failure: Failure) -> Answer {
        self.failed = true;
        Answer::failed(failure, TransactionStatus::Failed)
    }

    /// Runs a statement on the connection that the transaction has.
    async fn go_on(&mut self, proxy: &Proxy, req: &Request) -> Answer {
        let clock = &proxy.borders.clock;
        loop {
            let Some(Held { around, lease }) = self.held.take() else {
                return self.fail(refusal::rolled_back("the transaction was lost"));
            };
            // It may hold what others wait for, so it goes before them.
            let permit = around.target.admission.enter_now();
            let result = around.run_raw(req, permit, lease, None).await;
            let (answer, lease) = match result {
                Ok(answered) => answered,
                Err(end) => {
                    proxy.borders.stats.transaction_lost();
                    return self.lost(req, &end);
                }
            };
            if let Some(lease) = lease {
                self.held = Some(Held { around, lease });
            }
            let busy = answer.result.as_ref().is_err_and(|it| it.code == FailureCode::Congested);
            let again = clock.now() + BUSY_PAUSE;
            if !busy || answer.status != TransactionStatus::Open || again >= req.deadline {
                return answer;
            }
            clock.sleep_until(again).await;
        }
    }

    /// The connection is gone in the middle of a statement.
    ///
    /// Before a commit was sent, and where nothing was written, nothing can be kept any more.
    fn lost(&mut self, req: &Request, end: &End) -> Answer {
        log::info!(request = req.id.as_str(), group = self.group.name.as_str(), wrote = self.wrote; "G0725 a transaction's connection is lost");
        let failure = match end {
            End::Lost if req.commits && self.wrote => {
                refusal::unknown("the connection broke at commit")
            }
            End::Silent if req.commits && self.wrote => refusal::timed_out(),
            _ => refusal::rolled_back("the target was lost"),
        };
        self.fail(failure)
    }

    /// Opens the transaction somewhere and runs its first statement there.
    async fn begin_and_run(&mut self, proxy: &Rc<Proxy>, req: &Request) -> Answer {
        let clock = &proxy.borders.clock;
        let mut tried: Vec<MemberName> = Vec::new();
        let mut last = NotRun::NoPrimary;
        let mut failed = None;
        while clock.now() < req.deadline {
            let Some(place) = self.place(proxy, req, &tried) else {
                if proxy.should_fail_fast(&self.group) {
                    break;
                }
                tried.clear();
                let pause = (clock.now() + LOOK_AGAIN).min(req.deadline);
                // Either way a place is looked for again.
                let _ = within(&**clock, pause, self.group.listen()).await;
                continue;
            };
            tried.push(place.target.member());
            place.note(&mut self.trace);
            match self.begin_at(proxy, req, place).await {
                Ok(answer) => {
                    self.begun = true;
                    return answer;
                }
                Err(NotBegun::NotRun(reason)) => last = reason,
                Err(NotBegun::Failed(answer)) if failed.is_some() => return answer,
                Err(NotBegun::Failed(answer)) => failed = Some(answer),
            }
        }
        if let Some(answer) = failed {
            return answer;
        }
        let failure = refusal::not_run(last);
        log::info!(request = req.id.as_str(), group = self.group.name.as_str(), reason = failure.text.as_str(); "G0726 a transaction is refused");
        self.fail(failure)
    }

    fn place(&self, proxy: &Proxy, req: &Request, tried: &[MemberName]) -> Option<Place> {
        if self.read_only && req.freshness != Freshness::Latest {
            return proxy.place(&self.group, req, tried);
        }
        let target = self.group.serving_leader().filter(|it| !tried.contains(&it.member()))?;
        Some(Place { target, at_least: None, reading_age: None })
    }

    /// Tries one place. Whatever went wrong there, nothing of the transaction is kept: its connection is
    /// closed, and nothing was told to the caller, so that another place may be tried.
    async fn begin_at(
        &mut self,
        proxy: &Rc<Proxy>,
        req: &Request,
        place: Place,
    ) -> Result<Answer, NotBegun> {
        let permit = place.target.admit(req).await?;
        let around = Surroundings {
            borders: proxy.borders.clone(),
            group: Rc::clone(&self.group),
            target: Rc::clone(&place.target),
        };
        let mut lease = around.lease(req, req.deadline).await?;
        let begin = match place.at_least {
            None => TargetCommand::Begin,
            Some(_) => TargetCommand::BeginReadOnly {
                at_least: Some(proxy.needed_point(&self.group, req).ok_or(NotRun::Behind)?.point),
            },
        };
        if let TargetCommand::BeginReadOnly { at_least: Some(point) } = begin {
            let begun = around.open_transaction(req, &mut lease, begin).await;
            if let Err(End::NotRun(NotRun::Behind)) = begun {
                place.target.note_behind(point, proxy.borders.clock.now());
            }
            begun.map_err(reason_of)?;
        } else {
            around.open_transaction(req, &mut lease, begin).await.map_err(reason_of)?;
        }
        let started: Instant = proxy.borders.clock.now();
        let result = around.run_raw(req, permit, lease, None).await;
        match result {
            Ok((answer, lease)) => {
                let refused = answer.result.as_ref().is_err_and(Failure::did_not_run);
                // One that only reads may begin anew on another target.
                let failed = answer.result.as_ref().is_err_and(Failure::failed_there)
                    && place.at_least.is_some();
                if refused || failed {
                    if let Some(lease) = lease {
                        around.roll_back(lease).await;
                    }
                    if failed {
                        return Err(NotBegun::Failed(answer));
                    }
                    place.target.avoid(proxy.borders.clock.now());
                    return Err(NotRun::Overloaded { retry_after_ms: 50 }.into());
                }
                self.held = lease.map(|lease| Held { around, lease });
                Ok(answer)
            }
            Err(_) => {
                let took = proxy.borders.clock.now().saturating_duration_since(started);
                log::info!(request = req.id.as_str(), took_ms = took.as_millis() as u64; "G0727 a transaction's first statement was lost");
                Err(NotRun::ConnectionLost.into())
            }
        }
    }
}

impl From<NotRun> for NotBegun {
    fn from(reason: NotRun) -> NotBegun {
        NotBegun::NotRun(reason)
    }
}

fn reason_of(end: End) -> NotRun {
    match end {
        End::NotRun(reason) => reason,
        End::Refused(reason) => reason,
        End::Answered(_) | End::Lost | End::Silent => NotRun::Unreachable,
    }
}

impl Ended {
    fn refused(failure: Failure) -> Ended {
        Ended { answer: Answer::failed(failure, TransactionStatus::Idle), wrote: false }
    }
}
