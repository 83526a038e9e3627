//! Serves the messages of one connection in order.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::portal::{Portal, Prepared};
use super::sql_text::statements;
use super::{SqlError, wire};
use crate::Faults;
use crate::faults::TargetFault;
use crate::group::control::ControlCall;
use crate::group::sql_result::SqlResult;
use crate::group::{Member, Members};
use bytes::Buf;
use compio::net::TcpStream;
use futures::future;
use gullspar_model::{MemberName, Term};
use gullspar_net::TcpLink;
use gullspar_wire::{
    Channel, ErrorReport, Frame, WireError, caller, queue_server_parameters, ready,
    startup_parameters, status, target,
};

/// A connection is closed after this time without a message while its transaction holds the member's
/// lock.
const IDLE_IN_TRANSACTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves one connection until the other side closes it or the member stops.
pub(crate) async fn run(
    stream: TcpStream,
    name: MemberName,
    members: Members,
    faults: Arc<Faults>,
) {
    let Some(member) = members.get(&name).map(Rc::clone) else { return };
    let stop = wait_for_stop(Rc::clone(&member), Arc::clone(&faults));
    let channel = Channel::new(Box::new(TcpLink::new(stream)), Channel::DEFAULT_LIMIT);
    let mut session = Session {
        channel,
        name,
        members,
        member,
        faults,
        guard: None,
        pending_writes: Vec::new(),
        failed: false,
        failed_batch: false,
        transaction_term: None,
        statements: HashMap::new(),
        portals: HashMap::new(),
        counted: false,
    };
    {
        let serve = session.serve();
        futures::pin_mut!(serve, stop);
        // The first to finish ends the session and thereby the connection.
        let _ = future::select(serve, stop).await;
    }
    session.close();
}

async fn wait_for_stop(member: Rc<RefCell<Member>>, faults: Arc<Faults>) {
    let target = member.borrow().target.clone();
    loop {
        let changed = faults.listen();
        if faults.target(&target) == TargetFault::Stopped {
            return;
        }
        changed.await;
    }
}

/// The state of one connection.
pub(super) struct Session {
    pub(super) channel: Channel,
    pub(super) name: MemberName,
    pub(super) members: Members,
    pub(super) member: Rc<RefCell<Member>>,
    pub(super) faults: Arc<Faults>,
    /// The member's lock, held from the first statement of a transaction to its end.
    pub(super) guard: Option<async_lock::MutexGuardArc<()>>,
    /// Writing statements of the open transaction, with their values inlined.
    pub(super) pending_writes: Vec<String>,
    /// Whether a statement of the open transaction failed.
    pub(super) failed: bool,
    /// Whether messages are skipped up to the next Sync.
    failed_batch: bool,
    /// The member's term when the open transaction began.
    pub(super) transaction_term: Option<Term>,
    pub(super) statements: HashMap<String, Prepared>,
    pub(super) portals: HashMap<String, Portal>,
    /// Whether the connection is included in the member's count of connections.
    counted: bool,
}

impl Session {
    async fn serve(&mut self) -> Result<(), WireError> {
        if !self.start().await? {
            return Ok(());
        }
        loop {
            let next = self.channel.next();
            let frame = if self.guard.is_some() {
                match compio::time::timeout(IDLE_IN_TRANSACTION_TIMEOUT, next).await {
                    Ok(frame) => frame?,
                    Err(_) => return Ok(()),
                }
            } else {
                next.await?
            };
            self.wait_while_hung().await;
            match frame.kind() {
                caller::TERMINATE => return Ok(()),
                caller::QUERY => self.simple(&frame).await?,
                caller::SYNC => {
                    self.failed_batch = false;
                    self.finish().await?;
                }
                caller::FLUSH => self.channel.flush().await?,
                _ if self.failed_batch => {}
                _ => {
                    if let Err(err) = self.extended(&frame).await {
                        self.failed_batch = true;
                        self.report(&err);
                    }
                }
            }
        }
    }

    async fn start(&mut self) -> Result<bool, WireError> {
        const SSL_REQUEST: u32 = 80_877_103;
        const CANCEL_REQUEST: u32 = 80_877_102;
        let (code, body) = loop {
            let mut head = self.channel.next_raw(8).await?;
            let length = head.get_u32() as usize;
            let code = head.get_u32();
            if code == SSL_REQUEST {
                self.channel.queue(b"N");
                self.channel.flush().await?;
                continue;
            }
            break (code, self.channel.next_raw(length.saturating_sub(8)).await?);
        };
        if code == CANCEL_REQUEST {
            return Ok(false);
        }
        startup_parameters(&body)?;
        self.wait_while_hung().await;
        let (cost, limit) = {
            let member = self.member.borrow();
            (member.connection_cost_ms, member.settings.connections)
        };
        self.counted = self.member.borrow().counts.connect(limit);
        if !self.counted {
            ErrorReport::fatal("53300", "too many connections").encode(self.channel.outgoing());
            self.channel.flush().await?;
            return Ok(false);
        }
        compio::time::sleep(Duration::from_millis(cost)).await;
        self.channel.queue(Frame::new(target::AUTHENTICATION, &[0; 4]).bytes());
        queue_server_parameters(self.channel.outgoing());
        self.channel.queue(Frame::new(target::BACKEND_KEY, &[0; 8]).bytes());
        self.channel.queue(ready(status::IDLE).bytes());
        self.channel.flush().await?;
        Ok(true)
    }

    async fn wait_while_hung(&self) {
        let target = self.member.borrow().target.clone();
        loop {
            let changed = self.faults.listen();
            if self.faults.target(&target) != TargetFault::Hung {
                return;
            }
            changed.await;
        }
    }

    fn report(&mut self, err: &SqlError) {
        if self.guard.is_some() {
            self.failed = true;
        }
        ErrorReport::error(err.code, err.message.clone()).encode(self.channel.outgoing());
    }

    async fn finish(&mut self) -> Result<(), WireError> {
        let state = match (self.guard.is_some(), self.failed) {
            (false, _) => status::IDLE,
            (true, false) => status::IN_TRANSACTION,
            (true, true) => status::FAILED,
        };
        // A member that starts to hang during a statement must not answer it either.
        self.wait_while_hung().await;
        self.channel.queue(ready(state).bytes());
        self.channel.flush().await
    }

    async fn simple(&mut self, frame: &Frame) -> Result<(), WireError> {
        let text = frame.first_text()?.to_owned();
        match self.run_script(&text).await {
            Ok(results) => {
                for result in results {
                    if !result.columns.is_empty() {
                        self.channel.queue(wire::row_description(&result.columns).bytes());
                    }
                    wire::rows(&result, self.channel.outgoing());
                }
            }
            Err(err) => self.report(&err),
        }
        self.finish().await
    }

    async fn run_script(&mut self, text: &str) -> Result<Vec<SqlResult>, SqlError> {
        if ControlCall::parse(text).is_some() {
            return Ok(vec![self.run_statement(text, &[]).await?]);
        }
        let mut results = Vec::new();
        for part in statements(text) {
            results.push(self.run_statement(part, &[]).await?);
        }
        Ok(results)
    }

    fn close(&mut self) {
        self.roll_back();
        if self.counted {
            self.member.borrow().counts.disconnect();
        }
    }
}
