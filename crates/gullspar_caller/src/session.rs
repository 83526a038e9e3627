//! A caller's session, from authentication until the connection closes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{BufMut, BytesMut};
use event_listener::EventListener;
use futures::future::{self, Either};
use gullspar_model::{Access, Guard, NotRun, Outcome, TargetKey};
use gullspar_target::{Canceller, Unit};
use gullspar_wire::{
    Channel, ErrorReport, Frame, LaneRequirement, LaneUnit, WireError, queue_server_parameters,
    ready, status, target,
};

use crate::caller_sink::CallerSink;
use crate::cancel_registry::CancelRegistration;
use crate::local_command::LocalSetting;
use crate::outcome_report::{not_run_report, refusal, unknown_report};
use crate::plan::Plan;
use crate::request::{Request, RequestEnd};
use crate::request_reader::{Incoming, RequestReader};
use crate::router::{self, RouteResult, RoutedRequest};
use crate::scram_exchange::{self, Verifier};
use crate::session_settings::local_command;
use crate::session_state::{HeldLane, SessionState, TransactionState};
use crate::startup::{self, SessionRequest};
use crate::statement::StatementKind;
use crate::stats::FinishedRequest;
use crate::{CallerServer, RequestKind};

/// How long a read may wait for a replica to reach the session's floor before another target is
/// tried, in milliseconds.
const MAX_FLOOR_WAIT_MS: u64 = 20;

/// An authenticated session.
pub(crate) struct Session {
    pub(crate) server: Rc<CallerServer>,
    pub(crate) state: SessionState,
    pub(crate) reader: RequestReader,
    registration: CancelRegistration,
    /// Notified when the instance starts to leave; reused across waits.
    leaving_listener: Option<EventListener>,
}

impl Session {
    /// Authenticates the caller and opens its session; `None` if the caller was refused.
    pub(crate) async fn start(
        server: &Rc<CallerServer>,
        channel: &mut Channel,
        request: SessionRequest,
    ) -> Result<Option<Session>, WireError> {
        let SessionRequest { service, caller, settings } = request;
        let Some(versioned) = server.fleet.config.service(&service) else {
            let text = format!("there is no service \"{service}\"");
            startup::refuse(channel, &ErrorReport::fatal("3D000", text)).await?;
            return Ok(None);
        };
        let object = versioned.object;
        let spec = object.callers.get(&caller);
        let verifier = spec.and_then(|it| Verifier::parse(&it.verifier));
        let known = verifier.is_some();
        let verifier = verifier.unwrap_or_else(Verifier::for_unknown_caller);
        let authentic = scram_exchange::authenticate(channel, verifier).await?;
        let class = object.class_of(&caller).copied();
        let (true, true, Some(class), Some(spec)) = (authentic, known, class, spec) else {
            let text = format!("password authentication failed for \"{caller}\"");
            startup::refuse(channel, &ErrorReport::fatal("28P01", text)).await?;
            return Ok(None);
        };
        let state = SessionState {
            class_name: spec.class.clone(),
            service,
            caller,
            class,
            floor: None,
            anchored: false,
            max_age_ms: None,
            deadline_ms: None,
            request_key: None,
            settings: Vec::new(),
            transaction: TransactionState::Idle,
            pinned: false,
            batch_open: false,
            batch_commits: false,
            held: None,
            object: Rc::clone(&object),
        };
        let registration = server.cancels.register(&*server.fleet.borders().entropy);
        let mut session = Session {
            server: Rc::clone(server),
            state,
            reader: RequestReader::default(),
            registration,
            leaving_listener: None,
        };
        for (name, value) in settings {
            if let Err(report) = session.apply_startup_setting(&name, &value) {
                startup::refuse(channel, &report).await?;
                return Ok(None);
            }
        }
        session.complete_startup(channel).await?;
        Ok(Some(session))
    }

    /// Applies one of gullspar's settings, or keeps any other to be set on connections.
    fn apply_startup_setting(&mut self, name: &str, value: &str) -> Result<(), ErrorReport> {
        let Some(local_name) = name.strip_prefix("gullspar.") else {
            self.state.settings.push(format!("SET {name} = '{}'", value.replace('\'', "''")));
            return Ok(());
        };
        let Some(setting) = LocalSetting::by_name(local_name) else {
            let text = format!("unrecognized setting \"{name}\"");
            return Err(ErrorReport::fatal("42704", text));
        };
        self.set(setting, value).map_err(|it| ErrorReport { severity: "FATAL".to_owned(), ..it })
    }

    /// Sends the messages that follow a successful authentication, up to ReadyForQuery.
    async fn complete_startup(&self, channel: &mut Channel) -> Result<(), WireError> {
        channel.queue(Frame::new(target::AUTHENTICATION, &[0; 4]).bytes());
        queue_server_parameters(channel.outgoing());
        let mut key = BytesMut::new();
        key.put_i32(self.registration.process);
        key.put_i32(self.registration.secret);
        channel.queue(Frame::new(target::BACKEND_KEY, &key).bytes());
        channel.queue(ready(status::IDLE).bytes());
        channel.flush().await
    }

    /// Serves requests until the caller disconnects or the instance shuts down.
    pub(crate) async fn serve(&mut self, channel: &mut Channel) -> Result<(), WireError> {
        loop {
            if !self.wait_for_request(channel).await? {
                return Ok(());
            }
            let reading = self.reader.next(channel, &self.server.classifier);
            match Box::pin(reading).await? {
                Incoming::Terminate => return Ok(()),
                Incoming::Request(req) => Box::pin(self.answer(channel, req)).await?,
            }
        }
    }

    /// Waits for the caller to send data; `false` if the instance is leaving and the session was ended.
    async fn wait_for_request(&mut self, channel: &mut Channel) -> Result<bool, WireError> {
        if channel.has_unread() {
            return Ok(true);
        }
        if self.state.needs_held_lane() {
            channel.wait_readable().await?;
            return Ok(true);
        }
        let fleet = Rc::clone(&self.server.fleet);
        let leaving = self.leaving_listener.get_or_insert_with(|| fleet.listen_leaving());
        if !fleet.is_leaving() {
            let readable = channel.wait_readable();
            futures::pin_mut!(readable);
            if let Either::Left((result, _)) = future::select(readable, leaving).await {
                result?;
                return Ok(true);
            }
            // The pending read is dropped, and the session ends.
        }
        // The session has nothing in flight, so the caller can reconnect to another instance.
        let text = "terminating connection: the instance is shutting down";
        let report = ErrorReport::fatal("57P01", text).with_hint("not run; connect again");
        startup::refuse(channel, &report).await?;
        Ok(false)
    }

    async fn answer(&mut self, channel: &mut Channel, req: Request) -> Result<(), WireError> {
        if let TransactionState::Failed { on_target: false } = self.state.transaction {
            return self.answer_in_lost_transaction(channel, &req).await;
        }
        if let Some(report) = refusal(&req) {
            return self.fail(channel, &req, &report).await;
        }
        if let Some(command) = local_command(&req) {
            return self.answer_locally(channel, &req, command).await;
        }
        let clock = Rc::clone(&self.server.fleet.borders().clock);
        let started = clock.now();
        let deadline = started + self.state.time_limit();
        let plan = Plan::new(&mut self.state, &req);
        if let Some(versioned) = self.server.fleet.config.service(&self.state.service) {
            self.state.object = versioned.object;
        }
        let unit = self.unit(&req, &plan);
        let mut sink = CallerSink::new(channel);
        let continues = self.state.needs_held_lane();
        let routing = if continues {
            self.run_on_held(&unit, &mut sink, deadline).await
        } else {
            self.route(&req, &plan, unit, &mut sink, deadline).await
        };
        let saw_error = sink.saw_error;
        self.record_stats(&plan, &routing, clock.now().saturating_duration_since(started));
        self.apply_outcome(&req, &plan, &routing, saw_error);
        self.answer_outcome(channel, &req, routing, continues, deadline).await
    }

    /// Builds the unit of work that is sent to the target.
    fn unit(&mut self, req: &Request, plan: &Plan) -> Unit {
        let state = &mut self.state;
        let comment_key = req.statements.first().and_then(|it| it.request_key.clone());
        let request_key = comment_key
            .or_else(|| {
                // A key given by SET applies to the next request that can commit.
                if plan.commits { state.request_key.take() } else { None }
            })
            .filter(|_| Guard::RequestKey.is_enabled());
        let continues = state.needs_held_lane();
        let on_primary = match &state.held {
            Some(held) if continues => held.on_primary,
            _ => !plan.replica_allowed,
        };
        let head = LaneUnit {
            service: state.service.clone(),
            group: state.object.group.name.clone(),
            member: "".into(),
            caller: state.caller.clone(),
            access: plan.access,
            on_primary,
            acknowledge: plan.acknowledge && (on_primary || !continues),
            continues,
            commits: plan.commits,
            keep_connection: plan.keeps_connection,
            changes_settings: plan.changes_settings,
            settings: state.settings.clone(),
            priority: state.class.priority,
            remaining_ms: 0,
            requirement: LaneRequirement {
                floor: state.floor,
                max_age_ms: state.age_limit_ms(),
                wait_ms: MAX_FLOOR_WAIT_MS,
                confirm: plan.anchors_floor,
            },
            request_key,
            payload: req.payload.len() as u64,
        };
        Unit { head, payload: req.payload.clone() }
    }

    /// Runs a unit on the lane that the session holds.
    async fn run_on_held(
        &mut self,
        unit: &Unit,
        sink: &mut CallerSink<'_>,
        deadline: Instant,
    ) -> RouteResult {
        let on_primary = unit.head.on_primary;
        let Some(mut held) = self.state.held.take() else {
            let outcome = Outcome::NotRun(NotRun::TransactionLost);
            return RouteResult { outcome, lane: None, on_primary, target: None };
        };
        let target = Some(TargetKey::new(&unit.head.group, &held.member));
        let clock = Rc::clone(&self.server.fleet.borders().clock);
        let mut unit = unit.clone();
        let remaining = deadline.saturating_duration_since(clock.now());
        unit.head.remaining_ms = remaining.as_millis() as u64;
        self.registration.set_canceller(Some(held.lane.canceller()));
        let run = held.lane.run(&unit, sink);
        let result = self.server.router.unless_superseded(&unit.head, run).await;
        self.registration.set_canceller(None);
        let Some(result) = result else {
            let outcome = router::superseded_outcome(&unit.head);
            return RouteResult { outcome, lane: None, on_primary, target };
        };
        match result {
            Ok(outcome) => {
                let is_reusable = !matches!(outcome, Outcome::Unknown(_));
                let lane = is_reusable.then_some(held);
                RouteResult { outcome, lane, on_primary, target }
            }
            Err(_) => {
                let outcome = router::broken_lane_outcome(&unit.head);
                RouteResult { outcome, lane: None, on_primary, target }
            }
        }
    }

    async fn route(
        &mut self,
        req: &Request,
        plan: &Plan,
        unit: Unit,
        sink: &mut CallerSink<'_>,
        deadline: Instant,
    ) -> RouteResult {
        let idempotent = req.statements.iter().all(|it| it.idempotent);
        let repeatable =
            router::is_read_only(&unit.head) || idempotent || unit.head.request_key.is_some();
        let object = Rc::clone(&self.state.object);
        let mut routed = RoutedRequest {
            unit,
            group: &object.group,
            deadline,
            repeatable,
            replica_allowed: plan.replica_allowed,
        };
        let registration = &self.registration;
        let set_canceller = |cancel: Option<Canceller>| registration.set_canceller(cancel);
        self.server.router.route(&mut routed, sink, &set_canceller).await
    }

    fn record_stats(&self, plan: &Plan, routing: &RouteResult, took: Duration) {
        let kind = match (plan.access, routing.on_primary) {
            (Access::Write, _) => RequestKind::Write,
            (Access::Read, true) => RequestKind::PrimaryRead,
            (Access::Read, false) => RequestKind::ReplicaRead,
        };
        let state = &self.state;
        self.server.stats.record(&FinishedRequest {
            service: &state.service,
            class_name: &state.class_name,
            class: &state.class,
            kind,
            outcome: &routing.outcome,
            took,
            target: routing.target.as_ref(),
        });
    }

    /// Updates the session's floor, settings and pinning after a request that completed.
    fn apply_outcome(
        &mut self,
        req: &Request,
        plan: &Plan,
        routing: &RouteResult,
        saw_error: bool,
    ) {
        let Outcome::Done { point, .. } = &routing.outcome else { return };
        if let Some(point) = point
            && (plan.commits || plan.anchors_floor)
        {
            self.state.raise_floor(*point);
            self.state.anchored = true;
        }
        if saw_error {
            return;
        }
        match req.statements.as_slice() {
            [one] if one.kind == StatementKind::Set => {
                self.state.settings.extend(req.text.clone());
            }
            [one] if one.kind == StatementKind::Reset => {
                self.state.settings.clear();
                self.reader.clear();
            }
            _ => {}
        }
        self.state.pinned |= plan.keeps_connection;
    }

    /// Answers the caller by the outcome, and keeps or releases the lane.
    async fn answer_outcome(
        &mut self,
        channel: &mut Channel,
        req: &Request,
        routing: RouteResult,
        continued: bool,
        deadline: Instant,
    ) -> Result<(), WireError> {
        let RouteResult { outcome, lane, on_primary, .. } = routing;
        match outcome {
            Outcome::Done { status: byte, .. } => {
                self.apply_status(byte, on_primary, lane);
                if req.end == RequestEnd::Flush {
                    return channel.flush().await;
                }
                self.report_token(channel);
                channel.queue(ready(byte).bytes());
                channel.flush().await
            }
            Outcome::NotRun(reason) => {
                let lost = continued || reason == NotRun::TransactionLost;
                let was_open = self.state.transaction != TransactionState::Idle;
                self.release_lane(if lost { None } else { lane });
                if was_open {
                    self.state.transaction = TransactionState::Failed { on_target: false };
                }
                self.fail(channel, req, &not_run_report(reason)).await
            }
            Outcome::Unknown(reason) => {
                self.release_lane(None);
                self.state.transaction = TransactionState::Idle;
                log::info!(
                    "G0402 the outcome of a request to service {} is unknown: {reason:?}",
                    self.state.service
                );
                let late = self.server.fleet.borders().clock.now() >= deadline;
                self.fail(channel, req, &unknown_report(reason, late)).await
            }
        }
    }

    /// Sets the transaction state from a ReadyForQuery status byte.
    fn apply_status(&mut self, byte: u8, on_primary: bool, lane: Option<HeldLane>) {
        let before = self.state.transaction;
        self.state.batch_open = byte == status::BATCH_OPEN;
        self.state.transaction = match byte {
            status::IN_TRANSACTION => TransactionState::Open { on_primary },
            status::FAILED => TransactionState::Failed { on_target: true },
            status::BATCH_OPEN => before,
            _ => TransactionState::Idle,
        };
        self.state.held = lane;
        if !self.state.needs_held_lane() {
            let lane = self.state.held.take();
            self.release_lane(lane);
        }
    }

    /// Ends the use of the held lane, and returns `lane` to the pool if there is one.
    pub(crate) fn release_lane(&mut self, lane: Option<HeldLane>) {
        self.state.held = None;
        self.state.batch_open = false;
        if let Some(lane) = lane {
            self.server.router.return_lane(lane);
        }
    }
}
