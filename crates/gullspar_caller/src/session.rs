//! One caller's session, from authentication to the end.

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
use crate::cancel_registry::Registered;
use crate::local_command::LocalSetting;
use crate::outcome_report::{not_run_report, refusal, unknown_report};
use crate::plan::Plan;
use crate::request::{Request, RequestEnd};
use crate::request_reader::{Incoming, RequestReader};
use crate::router::{self, Routed, Routing};
use crate::scram_exchange::{self, Verifier};
use crate::session_settings::local_command;
use crate::session_state::{HeldLane, SessionState, TransactionState};
use crate::startup::{self, SessionRequest};
use crate::statement::StatementKind;
use crate::stats::Counted;
use crate::{CallerServer, RequestKind};

/// How long a read may wait for a replica to reach the session's floor before another target is
/// tried; weighed in `docs/design/staleness.md`.
const FLOOR_WAIT_MS: u64 = 20;

/// A session that has been authenticated.
pub(crate) struct Session {
    pub(crate) server: Rc<CallerServer>,
    pub(crate) state: SessionState,
    pub(crate) reader: RequestReader,
    registered: Registered,
    /// Kept from one wait to the next.
    leaving: Option<EventListener>,
}

impl Session {
    /// Authenticates the caller and opens its session; `None` if it was refused.
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
        let verifier = verifier.unwrap_or_else(Verifier::for_stranger);
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
        let registered = server.cancels.register(&*server.fleet.borders().entropy);
        let mut session = Session {
            server: Rc::clone(server),
            state,
            reader: RequestReader::default(),
            registered,
            leaving: None,
        };
        for (name, value) in settings {
            if let Err(report) = session.apply_startup_setting(&name, &value) {
                startup::refuse(channel, &report).await?;
                return Ok(None);
            }
        }
        session.welcome(channel).await?;
        Ok(Some(session))
    }

    fn apply_startup_setting(&mut self, name: &str, value: &str) -> Result<(), ErrorReport> {
        let Some(own) = name.strip_prefix("gullspar.") else {
            self.state.settings.push(format!("SET {name} = '{}'", value.replace('\'', "''")));
            return Ok(());
        };
        let Some(setting) = LocalSetting::by_name(own) else {
            let text = format!("unrecognized setting \"{name}\"");
            return Err(ErrorReport::fatal("42704", text));
        };
        self.set(setting, value).map_err(|it| ErrorReport { severity: "FATAL".to_owned(), ..it })
    }

    async fn welcome(&self, channel: &mut Channel) -> Result<(), WireError> {
        channel.queue(Frame::new(target::AUTHENTICATION, &[0; 4]).bytes());
        queue_server_parameters(channel.outgoing());
        let mut key = BytesMut::new();
        key.put_i32(self.registered.process);
        key.put_i32(self.registered.secret);
        channel.queue(Frame::new(target::BACKEND_KEY, &key).bytes());
        channel.queue(ready(status::IDLE).bytes());
        channel.flush().await
    }

    /// Serves requests until the caller leaves or the instance shuts down.
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

    /// Waits for the caller to send something; `false` when the session ends instead.
    async fn wait_for_request(&mut self, channel: &mut Channel) -> Result<bool, WireError> {
        if channel.has_unread() {
            return Ok(true);
        }
        if self.state.continues() {
            channel.wait_readable().await?;
            return Ok(true);
        }
        let fleet = Rc::clone(&self.server.fleet);
        let leaving = self.leaving.get_or_insert_with(|| fleet.listen_leaving());
        if !fleet.is_leaving() {
            let readable = channel.wait_readable();
            futures::pin_mut!(readable);
            if let Either::Left((result, _)) = future::select(readable, leaving).await {
                result?;
                return Ok(true);
            }
            // The read is given up, and the connection with it.
        }
        // Nothing of this session is in flight; its caller finds another instance.
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
        let continues = self.state.continues();
        let routing = if continues {
            self.run_on_held(&unit, &mut sink, deadline).await
        } else {
            self.route(&req, &plan, unit, &mut sink, deadline).await
        };
        let saw_error = sink.saw_error;
        self.count(&plan, &routing, clock.now().saturating_duration_since(started));
        self.settle(&req, &plan, &routing, saw_error);
        self.conclude(channel, &req, routing, continues, deadline).await
    }

    fn unit(&mut self, req: &Request, plan: &Plan) -> Unit {
        let state = &mut self.state;
        let marked = req.statements.first().and_then(|it| it.request_key.clone());
        let request_key = marked
            .or_else(|| {
                // The key given by SET goes with the next request that can commit.
                if plan.commits { state.request_key.take() } else { None }
            })
            .filter(|_| Guard::RequestKey.is_enabled());
        let continues = state.continues();
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
            keep: plan.keep,
            dirties: plan.dirties,
            settings: state.settings.clone(),
            priority: state.class.priority,
            remaining_ms: 0,
            requirement: LaneRequirement {
                floor: state.floor,
                max_age_ms: state.age_limit_ms(),
                wait_ms: FLOOR_WAIT_MS,
                confirm: plan.anchors,
            },
            request_key,
            payload: req.payload.len() as u64,
        };
        Unit { head, payload: req.payload.clone() }
    }

    async fn run_on_held(
        &mut self,
        unit: &Unit,
        sink: &mut CallerSink<'_>,
        deadline: Instant,
    ) -> Routing {
        let on_primary = unit.head.on_primary;
        let Some(mut held) = self.state.held.take() else {
            let outcome = Outcome::NotRun(NotRun::TransactionLost);
            return Routing { outcome, lane: None, on_primary, target: None };
        };
        let target = Some(TargetKey::new(&unit.head.group, &held.member));
        let clock = Rc::clone(&self.server.fleet.borders().clock);
        let mut unit = unit.clone();
        let remaining = deadline.saturating_duration_since(clock.now());
        unit.head.remaining_ms = remaining.as_millis() as u64;
        self.registered.set_running(Some(held.lane.canceller()));
        let run = held.lane.run(&unit, sink);
        let result = self.server.router.unless_superseded(&unit.head, run).await;
        self.registered.set_running(None);
        let Some(result) = result else {
            let outcome = router::superseded(&unit.head);
            return Routing { outcome, lane: None, on_primary, target };
        };
        match result {
            Ok(outcome) => {
                let sound = !matches!(outcome, Outcome::Unknown(_));
                let lane = sound.then_some(held);
                Routing { outcome, lane, on_primary, target }
            }
            Err(_) => {
                let outcome = router::lost_on_lane(&unit.head);
                Routing { outcome, lane: None, on_primary, target }
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
    ) -> Routing {
        let marked = req.statements.iter().all(|it| it.idempotent);
        let repeatable =
            router::reads_only(&unit.head) || marked || unit.head.request_key.is_some();
        let object = Rc::clone(&self.state.object);
        let mut routed = Routed {
            unit,
            group: &object.group,
            deadline,
            repeatable,
            replica_allowed: plan.replica_allowed,
        };
        let registered = &self.registered;
        let on_lane = |cancel: Option<Canceller>| registered.set_running(cancel);
        self.server.router.route(&mut routed, sink, &on_lane).await
    }

    fn count(&self, plan: &Plan, routing: &Routing, took: Duration) {
        let kind = match (plan.access, routing.on_primary) {
            (Access::Write, _) => RequestKind::Write,
            (Access::Read, true) => RequestKind::PrimaryRead,
            (Access::Read, false) => RequestKind::ReplicaRead,
        };
        let state = &self.state;
        self.server.stats.count(&Counted {
            service: &state.service,
            class_name: &state.class_name,
            class: &state.class,
            kind,
            outcome: &routing.outcome,
            took,
            target: routing.target.as_ref(),
        });
    }

    /// Takes what the request changed over into the session.
    fn settle(&mut self, req: &Request, plan: &Plan, routing: &Routing, saw_error: bool) {
        let Outcome::Done { point, .. } = &routing.outcome else { return };
        if let Some(point) = point
            && (plan.commits || plan.anchors)
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
                self.reader.forget();
            }
            _ => {}
        }
        self.state.pinned |= plan.keep;
    }

    async fn conclude(
        &mut self,
        channel: &mut Channel,
        req: &Request,
        routing: Routing,
        continued: bool,
        deadline: Instant,
    ) -> Result<(), WireError> {
        let Routing { outcome, lane, on_primary, .. } = routing;
        match outcome {
            Outcome::Done { status: byte, .. } => {
                self.adopt_status(byte, on_primary, lane);
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
                self.give_up_lane(if lost { None } else { lane });
                if was_open {
                    self.state.transaction = TransactionState::Failed { on_target: false };
                }
                self.fail(channel, req, &not_run_report(reason)).await
            }
            Outcome::Unknown(reason) => {
                self.give_up_lane(None);
                self.state.transaction = TransactionState::Idle;
                log::info!("G0402 a request of {} ended unknown: {reason:?}", self.state.service);
                let late = self.server.fleet.borders().clock.now() >= deadline;
                self.fail(channel, req, &unknown_report(reason, late)).await
            }
        }
    }

    fn adopt_status(&mut self, byte: u8, on_primary: bool, lane: Option<HeldLane>) {
        let before = self.state.transaction;
        self.state.batch_open = byte == status::BATCH_OPEN;
        self.state.transaction = match byte {
            status::IN_TRANSACTION => TransactionState::Open { on_primary },
            status::FAILED => TransactionState::Failed { on_target: true },
            status::BATCH_OPEN => before,
            _ => TransactionState::Idle,
        };
        self.state.held = lane;
        if !self.state.continues() {
            let lane = self.state.held.take();
            self.give_up_lane(lane);
        }
    }

    pub(crate) fn give_up_lane(&mut self, lane: Option<HeldLane>) {
        self.state.held = None;
        self.state.batch_open = false;
        if let Some(lane) = lane {
            self.server.router.give_back(lane);
        }
    }
}
