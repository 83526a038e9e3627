//! A caller over channels instead of a connection.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures::channel::mpsc;
use futures::future::{self, LocalBoxFuture};
use futures::{FutureExt, StreamExt};
use gullspar_customer::KeyFingerprint;
use gullspar_model::Access;
use gullspar_statement::{
    Action, Answer, CallerLink, CallerLinkError, CallerMessage, Definition, FailureCode, Statement,
};

/// The caller's side.
pub struct FakeCaller {
    tx: RefCell<Option<mpsc::UnboundedSender<CallerMessage>>>,
    answers: RefCell<mpsc::UnboundedReceiver<Answer>>,
    unread: Rc<Cell<usize>>,
}

/// The instance's side.
pub struct FakeCallerLink {
    rx: mpsc::UnboundedReceiver<CallerMessage>,
    answers: mpsc::UnboundedSender<Answer>,
    unread: Rc<Cell<usize>>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl FakeCaller {
    pub fn new() -> (FakeCaller, FakeCallerLink) {
        let (tx, rx) = mpsc::unbounded();
        let (answers, answered) = mpsc::unbounded();
        let unread: Rc<Cell<usize>> = Rc::default();
        let caller = FakeCaller {
            tx: RefCell::new(Some(tx)),
            answers: RefCell::new(answered),
            unread: Rc::clone(&unread),
        };
        (caller, FakeCallerLink { rx, answers, unread })
    }

    fn send(&self, message: CallerMessage) {
        self.unread.set(self.unread.get() + 1);
        let _ = self.tx.borrow().as_ref().map(|it| it.unbounded_send(message));
    }

    pub async fn open(&self, service: &str) {
        self.open_with_key(service, None).await;
    }

    pub async fn open_with_key(&self, service: &str, key: Option<&str>) {
        let key = key.map(KeyFingerprint::of);
        self.send(CallerMessage::Open { service: service.into(), key });
        assert_eq!(self.next().await.map(|it| it.result), Some(Ok(None)), "the session opens");
    }

    /// Opens a session that must be refused; gives the code.
    pub async fn open_err(&self, service: &str) -> FailureCode {
        self.open_err_with_key(service, None).await
    }

    pub async fn open_err_with_key(&self, service: &str, key: Option<&str>) -> FailureCode {
        let key = key.map(KeyFingerprint::of);
        self.send(CallerMessage::Open { service: service.into(), key });
        let answer = self.next().await.expect("the session answers");
        answer.result.expect_err(service).code
    }

    /// Sends a statement without waiting for its answer.
    pub fn send_statement(&self, text: &str) {
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed).to_string();
        let action = action(text);
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

    /// Sends a statement whose success is expected; gives its rows.
    pub async fn execute_ok(&self, text: &str) -> Vec<String> {
        let answer = self.execute(text).await;
        assert!(answer.result.is_ok(), "{text}: {:?}", answer.result);
        answer.rows.iter().map(ToString::to_string).collect()
    }

    /// Sends a statement that must fail; gives the code.
    pub async fn execute_err(&self, text: &str) -> FailureCode {
        let answer = self.execute(text).await;
        answer.result.expect_err(text).code
    }

    /// The next answer, or `None` when the session is closed.
    pub async fn next(&self) -> Option<Answer> {
        future::poll_fn(|cx| self.answers.borrow_mut().poll_next_unpin(cx)).await
    }

    /// Whether an answer waits to be read.
    pub fn has_answer(&self) -> bool {
        self.answers.borrow_mut().try_recv().is_ok()
    }

    /// Leaves without a word.
    pub fn disconnect(&self) {
        self.tx.borrow_mut().take();
    }
}

fn action(text: &str) -> Action {
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
        _ => panic!("{text} is no statement"),
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
