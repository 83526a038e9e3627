//! Transactions of callers.
//!
//! A connection is taken only for the first statement: callers also pause after BEGIN, and a connection held
//! during that pause would not be available to others.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::within;
use gullspar_model::{Access, MemberName, NotRun};
use gullspar_statement::{Answer, Failure, FailureCode, TargetCommand, TransactionStatus};

use crate::groups::group::Group;
use crate::reading::read_path::SelectedTarget;
use crate::session::refusal;
use crate::session::request::Request;
use crate::session::trace::Trace;
use crate::targets::attempt::{AttemptContext, AttemptOutcome};
use crate::targets::connection_pool::Lease;
use crate::{Freshness, Proxy};

/// Delay before a statement of an open transaction is sent again to a target that was too busy.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(15);

/// Delay before target selection is repeated when no target can take the transaction.
const SELECTION_RETRY_DELAY: Duration = Duration::from_millis(25);

/// The connection that a transaction is open on.
struct OpenConnection {
    context: AttemptContext,
    lease: Lease,
}

/// A caller's open transaction.
pub(crate) struct Transaction {
    group: Rc<Group>,
    read_only: bool,
    connection: Option<OpenConnection>,
    begun: bool,
    failed: bool,
    wrote: bool,
    /// Whether the transaction has been charged to its customer's limit.
    pub(crate) charged: bool,
    /// The target that runs the transaction, for the log.
    pub(crate) trace: Trace,
}

/// Why a transaction did not begin on one target; another target may be tried.
enum BeginError {
    NotRun(NotRun),
    /// The first statement failed on the target.
    Failed(Answer),
}

/// The outcome of a commit.
pub(crate) struct CommitOutcome {
    pub(crate) answer: Answer,
    /// Whether the commit succeeded and the transaction had written something.
    pub(crate) wrote: bool,
}

impl Transaction {
    pub(crate) fn new(group: Rc<Group>, read_only: bool) -> Transaction {
        Transaction {
            group,
            read_only,
            connection: None,
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

    pub(crate) fn is_read_only(&self) -> bool {
        self.read_only
    }

    pub(crate) fn status(&self) -> TransactionStatus {
        if self.failed { TransactionStatus::Failed } else { TransactionStatus::Open }
    }

    /// Runs a statement inside the transaction.
    pub(crate) async fn run(&mut self, proxy: &Rc<Proxy>, req: &Request) -> Answer {
        if self.read_only && req.access == Access::Write {
            let text = "the transaction is read-only";
            return self.fail(Failure::new(FailureCode::ReadOnly, text));
        }
        self.wrote |= req.access == Access::Write;
        let mut answer = if self.begun {
            self.run_on_connection(proxy, req).await
        } else {
            self.begin_and_run(proxy, req).await
        };
        self.failed |= answer.status != TransactionStatus::Open;
        answer.status = self.status();
        answer
    }

    /// Commits the transaction.
    pub(crate) async fn commit(mut self, proxy: &Rc<Proxy>, req: &Request) -> CommitOutcome {
        if self.failed {
            let failure = refusal::rolled_back("the transaction had failed");
            self.roll_back();
            return CommitOutcome::refused(failure);
        }
        if self.wrote && !proxy.can_confirm_commits(&self.group) {
            // A commit could not be acknowledged. After a rollback the caller may retry through another instance.
            let failure = refusal::rolled_back("the leader may be about to be replaced");
            log::info!(request = req.id.as_str(), group = self.group.name.as_str(), reason = failure.text.as_str(); "G0726 a transaction is refused");
            self.roll_back();
            return CommitOutcome::refused(failure);
        }
        let mut answer = if self.begun {
            self.run_on_connection(proxy, req).await
        } else {
            self.begin_and_run(proxy, req).await
        };
        let succeeded = answer.result.is_ok();
        if succeeded {
            if let Some(connection) = self.connection.take() {
                connection.lease.return_to_pool();
            }
        } else {
            self.roll_back();
        }
        answer.status = TransactionStatus::Idle;
        CommitOutcome { answer, wrote: succeeded && self.wrote }
    }

    /// Rolls the transaction back in the background.
    pub(crate) fn roll_back(&mut self) {
        if let Some(connection) = self.connection.take() {
            let OpenConnection { context, lease } = connection;
            compio::runtime::spawn(async move { context.roll_back(lease).await }).detach();
        }
    }

    /// Marks the transaction as failed, so that it can only be rolled back.
    pub(crate) fn fail(&mut self, failure: Failure) -> Answer {
        self.failed = true;
        Answer::failed(failure, TransactionStatus::Failed)
    }

    /// Runs a statement on the connection that the transaction is open on.
    async fn run_on_connection(&mut self, proxy: &Proxy, req: &Request) -> Answer {
        let clock = &proxy.borders.clock;
        loop {
            let Some(OpenConnection { context, lease }) = self.connection.take() else {
                return self.fail(refusal::rolled_back("the transaction was lost"));
            };
            // An open transaction may hold locks that others wait for, so it does not queue behind them.
            let permit = context.target.admission.acquire_now();
            let result = context.run_raw(req, permit, lease, None).await;
            let (answer, lease) = match result {
                Ok(answered) => answered,
                Err(end) => {
                    proxy.borders.stats.transaction_lost();
                    return self.fail_lost(req, &end);
                }
            };
            if let Some(lease) = lease {
                self.connection = Some(OpenConnection { context, lease });
            }
            let is_busy = answer.result.as_ref().is_err_and(|it| it.code == FailureCode::Congested);
            let retry_at = clock.now() + BUSY_RETRY_DELAY;
            if !is_busy || answer.status != TransactionStatus::Open || retry_at >= req.deadline {
                return answer;
            }
            clock.sleep_until(retry_at).await;
        }
    }

    /// Fails the transaction after its connection was lost during a statement.
    ///
    /// The outcome is unknown only if a commit was sent and something was written; otherwise it is rolled back.
    fn fail_lost(&mut self, req: &Request, end: &AttemptOutcome) -> Answer {
        log::info!(request = req.id.as_str(), group = self.group.name.as_str(), wrote = self.wrote; "G0725 a transaction's connection was lost");
        let failure = match end {
            AttemptOutcome::Lost if req.commits && self.wrote => {
                refusal::unknown("the connection broke at commit")
            }
            AttemptOutcome::Silent if req.commits && self.wrote => refusal::timed_out(),
            _ => refusal::rolled_back("the target was lost"),
        };
        self.fail(failure)
    }

    /// Opens the transaction on a target and runs its first statement there, trying other targets on failure.
    async fn begin_and_run(&mut self, proxy: &Rc<Proxy>, req: &Request) -> Answer {
        let clock = &proxy.borders.clock;
        let mut tried: Vec<MemberName> = Vec::new();
        let mut last_reason = NotRun::NoPrimary;
        let mut failed_answer = None;
        while clock.now() < req.deadline {
            let Some(selected) = self.select_target(proxy, req, &tried) else {
                if proxy.should_fail_fast(&self.group) {
                    break;
                }
                tried.clear();
                let retry_at = (clock.now() + SELECTION_RETRY_DELAY).min(req.deadline);
                // Selection is repeated whether or not the group changed.
                let _ = within(&**clock, retry_at, self.group.listen()).await;
                continue;
            };
            tried.push(selected.target.member());
            selected.record_in(&mut self.trace);
            match self.begin_on(proxy, req, selected).await {
                Ok(answer) => {
                    self.begun = true;
                    return answer;
                }
                Err(BeginError::NotRun(reason)) => last_reason = reason,
                Err(BeginError::Failed(answer)) if failed_answer.is_some() => return answer,
                Err(BeginError::Failed(answer)) => failed_answer = Some(answer),
            }
        }
        if let Some(answer) = failed_answer {
            return answer;
        }
        let failure = refusal::not_run(last_reason);
        log::info!(request = req.id.as_str(), group = self.group.name.as_str(), reason = failure.text.as_str(); "G0726 a transaction is refused");
        self.fail(failure)
    }

    /// Selects a target that has not been tried yet.
    fn select_target(
        &self,
        proxy: &Proxy,
        req: &Request,
        tried: &[MemberName],
    ) -> Option<SelectedTarget> {
        if self.read_only && req.freshness != Freshness::Latest {
            return proxy.select_read_target(&self.group, req, tried);
        }
        let target = self.group.serving_leader().filter(|it| !tried.contains(&it.member()))?;
        Some(SelectedTarget { target, at_least: None, sample_age: None })
    }

    /// Tries to begin the transaction on one target.
    ///
    /// After an error, the transaction has left nothing on that target and the caller has received no answer, so
    /// another target may be tried.
    async fn begin_on(
        &mut self,
        proxy: &Rc<Proxy>,
        req: &Request,
        selected: SelectedTarget,
    ) -> Result<Answer, BeginError> {
        let permit = selected.target.admit(req).await?;
        let context = AttemptContext {
            borders: proxy.borders.clone(),
            group: Rc::clone(&self.group),
            target: Rc::clone(&selected.target),
        };
        let mut lease = context.lease(req, req.deadline).await?;
        let begin = match selected.at_least {
            None => TargetCommand::Begin,
            Some(_) => TargetCommand::BeginReadOnly {
                at_least: Some(proxy.required_point(&self.group, req).ok_or(NotRun::Behind)?.point),
            },
        };
        if let TargetCommand::BeginReadOnly { at_least: Some(point) } = begin {
            let begun = context.open_transaction(req, &mut lease, begin).await;
            if let Err(AttemptOutcome::NotRun(NotRun::Behind)) = begun {
                selected.target.record_behind(point, proxy.borders.clock.now());
            }
            begun.map_err(not_run_reason)?;
        } else {
            context.open_transaction(req, &mut lease, begin).await.map_err(not_run_reason)?;
        }
        let started: Instant = proxy.borders.clock.now();
        let result = context.run_raw(req, permit, lease, None).await;
        match result {
            Ok((answer, lease)) => {
                let was_refused = answer.result.as_ref().is_err_and(Failure::has_not_run);
                // A transaction that only reads may begin again on another target.
                let has_failed = answer.result.as_ref().is_err_and(Failure::has_failed_on_target)
                    && selected.at_least.is_some();
                if was_refused || has_failed {
                    if let Some(lease) = lease {
                        context.roll_back(lease).await;
                    }
                    if has_failed {
                        return Err(BeginError::Failed(answer));
                    }
                    selected.target.avoid(proxy.borders.clock.now());
                    return Err(NotRun::Overloaded { retry_after_ms: 50 }.into());
                }
                self.connection = lease.map(|lease| OpenConnection { context, lease });
                Ok(answer)
            }
            Err(_) => {
                let took = proxy.borders.clock.now().saturating_duration_since(started);
                log::info!(request = req.id.as_str(), took_ms = took.as_millis() as u64; "G0727 the connection was lost during a transaction's first statement");
                Err(NotRun::ConnectionLost.into())
            }
        }
    }
}

impl From<NotRun> for BeginError {
    fn from(reason: NotRun) -> BeginError {
        BeginError::NotRun(reason)
    }
}

/// Why a transaction could not be opened.
fn not_run_reason(end: AttemptOutcome) -> NotRun {
    match end {
        AttemptOutcome::NotRun(reason) => reason,
        AttemptOutcome::Refused(reason) => reason,
        AttemptOutcome::Answered(_) | AttemptOutcome::Lost | AttemptOutcome::Silent => {
            NotRun::Unreachable
        }
    }
}

impl CommitOutcome {
    fn refused(failure: Failure) -> CommitOutcome {
        CommitOutcome { answer: Answer::failed(failure, TransactionStatus::Idle), wrote: false }
    }
}
