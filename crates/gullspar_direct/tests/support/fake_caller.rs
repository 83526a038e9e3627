//! A caller that talks to an instance over channels instead of a connection.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures::channel::mpsc;
use futures::future::{self, LocalBoxFuture};
use futures::{FutureExt, StreamExt};
use gullspar_customer::KeyFingerprint;
use gullspar_model::Access;
use gullspar_statement::{
    Action, Answer, CallerLink, CallerLinkError, CallerMessage, Definition, Failure, FailureCode,
    Statement,
};

/// The caller's end of a session.
pub struct FakeCaller {
    tx: RefCell<Option<mpsc::UnboundedSender<CallerMessage>>>,
    answers: RefCell<mpsc::UnboundedReceiver<Answer>>,
    /// Messages that the instance has not read yet.
    unread: Rc<Cell<usize>>,
}

/// The instance's end of a session.
pub struct FakeCallerLink {
    rx: mpsc::UnboundedReceiver<CallerMessage>,
    answers: mpsc::UnboundedSender<Answer>,
    unread: Rc<Cell<usize>>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl FakeCaller {
    pub fn new() -> (FakeCaller, FakeCallerLink) {
        let (tx, rx) = mpsc::unbounded();
        let (answers, answers_rx) = mpsc::unbounded();
        let unread: Rc<Cell<usize>> = Rc::default();
        let caller = FakeCaller {
            tx: RefCell::new(Some(tx)),
            answers: RefCell::new(answers_rx),
            unread: Rc::clone(&unread),
        };
        (caller, FakeCallerLink { rx, answers, unread })
    }

    fn send(&self, message: CallerMessage) {
        self.unread.set(self.unread.get() + 1);
        let _ = self.tx.borrow().as_ref().map(|it| it.unbounded_send(message));
    }

    /// Opens a session, and fails the test if the instance refuses it.
    pub async fn open(&self, service: &str) {
        self.open_with_key(service, None).await;
    }

    pub async fn open_with_key(&self, service: &str, key: Option<&str>) {
        let key = key.map(KeyFingerprint::of);
        self.send(CallerMessage::Open { service: service.into(), key });
        assert_eq!(self.next().await.map(|it| it.result), Some(Ok(None)), "the session opens");
    }

    /// Opens a session that must be refused, and returns the failure code.
    pub async fn open_err(&self, service: &str) -> FailureCode {
        self.open_err_with_key(service, None).await
    }

    pub async fn open_err_with_key(&self, service: &str, key: Option<&str>) -> FailureCode {
        let key = key.map(KeyFingerprint::of);
        self.send(CallerMessage::Open { service: service.into(), key });
        self.next_failure(service).await.code
    }

    /// Opens a session that must be refused, and returns the failure.
    pub async fn open_failure(&self, service: &str) -> Failure {
        self.send(CallerMessage::Open { service: service.into(), key: None });
        self.next_failure(service).await
    }

    async fn next_failure(&self, service: &str) -> Failure {
        let answer = self.next().await.expect("the session answers");
        answer.result.expect_err(service)
    }

    /// Sends a statement without waiting for its answer.
    pub fn send_statement(&self, text: &str) {
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed).to_string();
        let action = parse_action(text);
        self.send(CallerMessage::Statement(Statement {
            id: id.as_str().into(),
            text: text.into(),
            action,
        }));
    }

    /// Sends a statement and waits for its answer.
    pub async fn execute(&self, text: &str) -> Answer {
        self.send_statement(text);
        self.next().await.expect("the session answers")
    }

    /// Runs a statement that must succeed, and returns its rows.
    pub async fn execute_ok(&self, text: &str) -> Vec<String> {
        let answer = self.execute(text).await;
        assert!(answer.result.is_ok(), "{text}: {:?}", answer.result);
        answer.rows.iter().map(ToString::to_string).collect()
    }

    /// Runs a statement that must fail, and returns the failure code.
    pub async fn execute_err(&self, text: &str) -> FailureCode {
        let answer = self.execute(text).await;
        answer.result.expect_err(text).code
    }

    /// Waits for the next answer; `None` if the session was closed.
    pub async fn next(&self) -> Option<Answer> {
        future::poll_fn(|cx| self.answers.borrow_mut().poll_next_unpin(cx)).await
    }

    /// Whether an answer has arrived. That answer is discarded.
    pub fn has_answer(&self) -> bool {
        self.answers.borrow_mut().try_recv().is_ok()
    }

    /// Closes the connection without sending anything.
    pub fn disconnect(&self) {
        self.tx.borrow_mut().take();
    }
}

fn parse_action(text: &str) -> Action {
    let words: Vec<&str> = text.splitn(4, ' ').collect();
    match words.as_slice() {
        ["BEGIN"] => Action::Begin { read_only: false },
        ["BEGIN", "READ"] => Action::Begin { read_only: true },
        ["COMMIT"] => Action::Commit,
        ["ROLLBACK"] => Action::RollBack,
        ["READ", ..] => Action::Read,
        ["WRITE", ..] => Action::Write,
        ["SET", name, value] => Action::Set { name: (*name).into(), value: (*value).into() },
        ["PREPARE", name, access, shape] => Action::Prepare {
            name: (*name).into(),
            definition: Definition {
                access: if *access == "READ" { Access::Read } else { Access::Write },
                shape: (*shape).into(),
            },
        },
        ["EXECUTE", name, rest @ ..] => {
            Action::Execute { name: (*name).into(), arguments: rest.join(" ").into() }
        }
        ["DEALLOC", name] => Action::Deallocate { name: (*name).into() },
        _ => panic!("invalid statement: {text}"),
    }
}

impl CallerLink for FakeCallerLink {
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Option<CallerMessage>, CallerLinkError>> {
        async move {
            let message = self.rx.next().await;
            if message.is_some() {
                self.unread.set(self.unread.get() - 1);
            }
            Ok(message)
        }
        .boxed_local()
    }

    fn reply<'a>(
        &'a mut self,
        answer: &'a Answer,
    ) -> LocalBoxFuture<'a, Result<(), CallerLinkError>> {
        let _ = self.answers.unbounded_send(answer.clone());
        async { Ok(()) }.boxed_local()
    }

    fn is_quiet(&self) -> bool {
        self.unread.get() == 0
    }
}
