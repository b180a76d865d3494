//! The way to the target on this VM.

use crate::{
    messages::{AnswerFields, NotRunFields, OrderHead, PeerReply, ReplyBody},
    ports::{OrderFields, WireDialect},
    settings::SidecarSettings,
    view::FleetView,
};
use bytes::{Bytes, BytesMut};
use compio::time::{sleep, timeout};
use futures_channel::oneshot;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tracing::{info, warn};
use wagtail_core::{
    CoreError, Result,
    heartbeat::TargetHeartbeat,
    ports::{BodyStream, LocalFuture},
    request::HeaderField,
    units::LocalMoment,
    verdict::RunVerdict,
};
use wagtail_gate::{
    AdmissionGate, GateAction, GateArrival, GateOptions, GateRefusal,
    origins::RouteOrigins,
    pressure::{CallPressure, WorkThrottle},
};
use wagtail_net::{
    client::{HttpPool, PoolOptions, PooledAnswer},
    clock,
};
use wagtail_peer::{
    answer::PeerAnswer,
    stream::{EmptyBody, WholeBody},
};
use wagtail_route::pick::LoadReport;
use wagtail_shard::{
    keeper::{HoldKeeper, KeeperOptions},
    load::{KeyCounter, RangeLoad},
    planner::TargetStatus,
};

/// The reason of a refusal by a node that is about to stop.
pub const NODE_STOPPING: &str = "node-stopping";

/// The longest time to open a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The time that a hold must still last when a request starts.
const HOLD_MARGIN: Duration = Duration::from_millis(100);

/// The longest wait for a key that the table names this target for and that it is about to get.
const GRANT_WAIT: Duration = Duration::from_millis(150);

/// The time between two looks for such a key.
const GRANT_LOOK: Duration = Duration::from_millis(15);

/// The largest answer that is read whole before it is passed on, so that a broken one can be
/// tried again, in bytes.
const WHOLE_ANSWER_BYTES: u64 = 32 << 10;

/// The pieces into which the load of a target's keys is cut.
const LOAD_PIECES: usize = 24;

/// The weight of the latest answer in the share of failures.
const FAILURE_WEIGHT: f32 = 0.05;

/// The pause that is asked for while a key has no holder, in milliseconds.
const NO_HOLDER_PAUSE_MS: u32 = 300;

/// The time between two refused connections after which the target's process has ended.
const REFUSED_INTERVAL: Duration = Duration::from_millis(60);

/// `TargetDoor` is the only way to the target on this VM. It counts the slots, holds the
/// connections and knows what the target was granted.
#[derive(Debug, Clone)]
pub struct TargetDoor {
    settings: Rc<SidecarSettings>,
    dialect: Rc<dyn WireDialect>,
    view: FleetView,
    state: Rc<RefCell<DoorState>>,
    pool: HttpPool,
}

/// `DoorState` is what the door knows of its target.
#[derive(Debug)]
struct DoorState {
    gate: AdmissionGate,
    keeper: HoldKeeper,
    keys: KeyCounter,
    origins: RouteOrigins,
    pressure: CallPressure,
    throttle: WorkThrottle,
    work_priority: u32,
    waiters: HashMap<u64, oneshot::Sender<Admission>>,
    next_ticket: u64,
    failed_share: f32,
    slots: u32,
    leaving_since: Option<LocalMoment>,
    ended: bool,
    stopping: bool,
    beat_at: Option<LocalMoment>,
}

/// `Admission` is what becomes of a request at the gate.
#[derive(Debug)]
enum Admission {
    Started,
    Refused {
        refusal: GateRefusal,
        pause: Duration,
    },
}

/// `SlotGuard` returns a slot, or a place in the queue, when it is dropped.
#[derive(Debug)]
struct SlotGuard {
    door: TargetDoor,
    ticket: u64,
    started: Cell<bool>,
    worked: Cell<bool>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.door
            .give_back(self.ticket, self.started.get(), self.worked.get());
    }
}

/// `SlotBody` is the body of an answer that holds its slot until it is read whole.
#[derive(Debug)]
struct SlotBody {
    answer: PooledAnswer,
    guard: Option<SlotGuard>,
}

impl BodyStream for SlotBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(async move {
            let part = self.answer.next().await;
            match &part {
                Ok(None) => {
                    self.guard.take();
                }
                Err(_) => {
                    if let Some(guard) = self.guard.take() {
                        guard.door.note_result(true);
                    }
                }
                Ok(Some(_)) => {}
            }

            part
        })
    }
}

impl TargetDoor {
    /// Makes the door of a target that has not been heard of.
    pub fn new(
        settings: Rc<SidecarSettings>,
        dialect: Rc<dyn WireDialect>,
        view: FleetView,
        options: KeeperOptions,
    ) -> Self {
        let pool_options = PoolOptions {
            connect_timeout: CONNECT_TIMEOUT,
            ..PoolOptions::default()
        };
        let state = DoorState {
            gate: AdmissionGate::new(GateOptions::default()),
            keeper: HoldKeeper::new(Arc::clone(&settings.node), options, clock::now()),
            keys: KeyCounter::default(),
            origins: RouteOrigins::default(),
            pressure: CallPressure::default(),
            throttle: WorkThrottle::default(),
            work_priority: u32::MAX,
            waiters: HashMap::new(),
            next_ticket: 0,
            failed_share: 0.0,
            slots: 0,
            leaving_since: None,
            ended: false,
            stopping: false,
            beat_at: None,
        };

        Self {
            pool: HttpPool::with_options(settings.target, pool_options),
            settings,
            dialect,
            view,
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Lets a function use the keeper of the target's holds.
    pub fn with_keeper<T>(&self, use_keeper: impl FnOnce(&mut HoldKeeper) -> T) -> T {
        use_keeper(&mut self.state.borrow_mut().keeper)
    }

    /// Starts over with a new life of the target.
    pub fn begin_life(&self, beat: &TargetHeartbeat) {
        self.pool.clear();
        let actions = {
            let mut state = self.state.borrow_mut();
            state.ended = false;
            state.leaving_since = None;
            state.failed_share = 0.0;
            state.gate.set_closed(false)
        };
        self.carry_out(actions);

        info!(
            event = "target-started", life = %beat.life, slots = beat.slots,
            warm_up_ms = beat.warm_up_left.as_millis()
        );
    }

    /// Takes over what a heartbeat of the present life says.
    pub fn note_beat(&self, beat: &TargetHeartbeat, now: LocalMoment) {
        let actions = {
            let mut state = self.state.borrow_mut();
            state.beat_at = Some(now);
            state.slots = beat.slots;
            state.gate.set_slots(beat.slots, now)
        };
        self.carry_out(actions);

        if beat.draining {
            self.leave(now);
        }
    }

    /// Takes note that the target is leaving. A target without keys receives nothing more; one
    /// with keys goes on until they have moved or the time to drain is almost over.
    pub fn leave(&self, now: LocalMoment) {
        let first = {
            let mut state = self.state.borrow_mut();
            let first = state.leaving_since.is_none();
            state.leaving_since.get_or_insert(now);
            first
        };
        if !first {
            return;
        }
        info!(event = "target-leaving");

        if self.is_keyed() {
            let door = self.clone();
            let rest = self.settings.drain.mul_f32(0.8);
            compio::runtime::spawn(async move {
                sleep(rest).await;
                // A new life has opened the door again.
                if door.state.borrow().leaving_since == Some(now) {
                    door.close();
                }
            })
            .detach();
        } else {
            self.close();
        }
    }

    /// Refuses all new work.
    pub fn close(&self) {
        let actions = self.state.borrow_mut().gate.set_closed(true);
        self.carry_out(actions);
    }

    /// Refuses new work that another node can do, as this node is about to stop.
    pub fn stop(&self) {
        self.state.borrow_mut().stopping = true;
    }

    /// Returns the requests that run or wait at the target.
    pub fn in_flight(&self) -> u32 {
        let state = self.state.borrow();

        state.gate.running() + state.gate.waiting()
    }

    /// Returns whether the target takes new work and means to stay.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();

        // A node that stops says so to who asks; it is back before a record would be of use.
        state.beat_at.is_some() && state.leaving_since.is_none() && !state.ended
    }

    /// Returns the requests that the target runs at a time.
    pub fn slots(&self) -> u32 {
        self.state.borrow().slots
    }

    /// Returns the rank of the work that the target runs lately.
    pub fn work_priority(&self) -> u32 {
        self.state.borrow().work_priority
    }

    /// Takes note of the share of new work that a service asks for which the target called.
    pub fn note_callee(&self, share: f32) {
        self.state.borrow_mut().throttle.report(share, clock::now());
    }

    /// Returns the load that is told to the caller of a request.
    fn load_for(&self, is_call: bool) -> LoadReport {
        let begin_share = is_call.then(|| self.state.borrow().pressure.share());

        LoadReport {
            begin_share,
            ..self.load()
        }
    }

    /// Returns the load that is told with each answer.
    pub fn load(&self) -> LoadReport {
        let state = self.state.borrow();

        LoadReport {
            running: state.gate.running(),
            waiting: state.gate.waiting(),
            slots: state.gate.slots(),
            service_ms: state.gate.service_seconds() * 1_000.0,
            failed_share: state.failed_share,
            begin_share: None,
        }
    }

    /// Returns the state of the target for the planner of its service.
    pub fn status(&self) -> TargetStatus {
        let ready = self.is_ready();
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let silent = state
            .beat_at
            .is_none_or(|at| now.since(at) > self.settings.heartbeat * 2);

        let granted = state.keeper.granted().to_vec();
        let most = LOAD_PIECES.div_ceil(granted.len().max(1)).max(2);
        let pieces: Vec<RangeLoad> = granted
            .iter()
            .flat_map(|range| state.keys.pieces(range.from, range.to, most, now))
            .collect();

        TargetStatus {
            node: Arc::clone(&self.settings.node),
            life: state.keeper.life().cloned(),
            ready: ready && !silent,
            capacity: state.gate.capacity(),
            pieces,
        }
    }

    /// Runs a request at the target, or says that it did not run.
    pub async fn serve(&self, order: &OrderHead, body: Bytes) -> PeerAnswer<PeerReply> {
        let arrived = clock::now();
        let deadline = arrived + Duration::from_millis(u64::from(order.time_left_ms));

        if let Some(refusal) = self.check(order) {
            return self.not_run(order, refusal);
        }
        let is_call = self.observe(order);
        if let Some(key) = order.key
            && let Some(refusal) = self.wait_for_key(key, deadline).await
        {
            return self.not_run(order, refusal);
        }

        let admitted = self.admit(order, is_call, deadline).await;
        let guard = match admitted {
            Ok(guard) => guard,
            Err(refusal) => return self.not_run(order, refusal),
        };
        if let Some(key) = order.key
            && !self.holds(key)
        {
            return self.not_run(order, self.other_holder(key));
        }

        let mut answer = self.dispatch(order, body, deadline, guard).await;
        if is_call {
            tell_load(&mut answer.head.body, self.load_for(true));
        }
        answer
    }

    /// Takes note of where a request began; returns whether it is a call of running work.
    fn observe(&self, order: &OrderHead) -> bool {
        let mut state = self.state.borrow_mut();
        let is_call = state.origins.observe(&order.route, &order.caller_service);

        if is_call {
            state.pressure.called(order.caller_priority);
        } else {
            state.work_priority = order.priority;
        }

        let wait = state
            .gate
            .expected_wait(is_call, order.priority, clock::now());
        let objective = Duration::from_millis(u64::from(order.objective_ms));
        state
            .pressure
            .arrived(is_call, order.priority, wait, objective);
        is_call
    }

    /// Returns why a request cannot run here at all.
    fn check(&self, order: &OrderHead) -> Option<NotRunFields> {
        let state = self.state.borrow();
        let reason = if order.service != self.settings.service {
            "other-service"
        } else if state.ended || state.keeper.life().is_none() {
            "target-down"
        } else if state.stopping {
            // Whatever began now would be cut off by the end of the process.
            NODE_STOPPING
        } else {
            return None;
        };

        Some(elsewhere(reason))
    }

    /// Counts an arrival for a key and waits a little when the target is about to get it.
    async fn wait_for_key(&self, key: u16, deadline: LocalMoment) -> Option<NotRunFields> {
        let began = clock::now();
        self.state.borrow_mut().keys.count(key, began);

        while !self.holds(key) {
            let now = clock::now();
            if !self.is_named(key) || now >= deadline {
                return Some(self.other_holder(key));
            }
            // The key comes with the answer to the next heartbeat.
            let rest = self.next_beat().since(now);
            if now.since(began) > GRANT_WAIT || rest > GRANT_WAIT {
                return Some(NotRunFields {
                    reason: Arc::from("key-not-granted"),
                    pause_ms: u32::try_from((rest + GRANT_LOOK).as_millis()).unwrap_or(u32::MAX),
                    elsewhere: false,
                    ..elsewhere("")
                });
            }
            sleep(GRANT_LOOK).await;
        }

        None
    }

    /// Returns the moment at which the next heartbeat of the target is expected.
    fn next_beat(&self) -> LocalMoment {
        let beat_at = self.state.borrow().beat_at;

        beat_at.map_or(LocalMoment::ZERO, |at| at + self.settings.heartbeat)
    }

    /// Returns whether the target holds a key.
    fn holds(&self, key: u16) -> bool {
        self.state
            .borrow()
            .keeper
            .holds(key, clock::now(), HOLD_MARGIN)
    }

    /// Returns whether the table names this target for a key.
    fn is_named(&self, key: u16) -> bool {
        let state = self.state.borrow();
        let Some(versioned) = self.view.table(&self.settings.service) else {
            return false;
        };

        state.keeper.life().is_some_and(|life| {
            versioned.table.row(key).is_some_and(|row| {
                row.is_of(life) && row.state == wagtail_shard::table::RowState::Held
            })
        })
    }

    /// Makes the refusal of a key that the target does not hold.
    fn other_holder(&self, key: u16) -> NotRunFields {
        let holder = self
            .view
            .table(&self.settings.service)
            .and_then(|versioned| {
                let row = versioned.table.row(key)?;
                row.holder.as_ref().map(|holder| Arc::clone(&holder.node))
            })
            .filter(|node| *node != self.settings.node);

        NotRunFields {
            reason: Arc::from("key-not-held"),
            pause_ms: NO_HOLDER_PAUSE_MS,
            reached_target: false,
            elsewhere: holder.is_some(),
            holder,
            load: None,
        }
    }

    /// Waits for a slot.
    async fn admit(
        &self,
        order: &OrderHead,
        is_call: bool,
        deadline: LocalMoment,
    ) -> std::result::Result<SlotGuard, NotRunFields> {
        let now = clock::now();
        if !is_call && !self.state.borrow_mut().throttle.admit(now) {
            let pause = GateOptions::default().min_pause * 2;
            return Err(self.refused(order, is_call, GateRefusal::CalleeBusy, pause));
        }

        let (sender, receiver) = oneshot::channel();
        let (ticket, actions) = {
            let mut state = self.state.borrow_mut();
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            state.waiters.insert(ticket, sender);

            let objective = Duration::from_millis(u64::from(order.objective_ms));
            let elapsed = Duration::from_millis(u64::from(order.elapsed_ms));
            let arrival = GateArrival {
                ticket,
                class: Arc::clone(&order.route),
                is_call,
                priority: order.priority,
                objective_left: objective.saturating_sub(elapsed),
                objective,
                deadline,
            };
            (ticket, state.gate.arrive(arrival, now))
        };
        let guard = SlotGuard {
            door: self.clone(),
            ticket,
            started: Cell::new(false),
            worked: Cell::new(false),
        };
        self.carry_out(actions);

        match receiver.await {
            Ok(Admission::Started) => {
                guard.started.set(true);
                Ok(guard)
            }
            Ok(Admission::Refused { refusal, pause }) => {
                Err(self.refused(order, is_call, refusal, pause))
            }
            // The gate always answers; a lost answer is a refusal.
            Err(_canceled) => Err(elsewhere("gate-lost")),
        }
    }

    /// Makes the refusal of the gate.
    fn refused(
        &self,
        order: &OrderHead,
        is_call: bool,
        refusal: GateRefusal,
        pause: Duration,
    ) -> NotRunFields {
        NotRunFields {
            reason: Arc::from(refusal.as_str()),
            pause_ms: u32::try_from(pause.as_millis()).unwrap_or(u32::MAX),
            reached_target: false,
            elsewhere: order.key.is_none(),
            holder: None,
            load: Some(self.load_for(is_call)),
        }
    }

    /// Sends a request to the target and turns what comes back into an answer.
    async fn dispatch(
        &self,
        order: &OrderHead,
        body: Bytes,
        deadline: LocalMoment,
        guard: SlotGuard,
    ) -> PeerAnswer<PeerReply> {
        let time_left = deadline.since(clock::now());
        let request = match self.request(order, body, time_left) {
            Ok(request) => request,
            Err(reason) => {
                warn!(event = "order-malformed", request_id = %order.id, reason = %reason);
                return self.not_run(order, elsewhere("malformed"));
            }
        };

        let sent = timeout(time_left, self.pool.send(request)).await;
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) if error.verdict() == RunVerdict::NotRun => {
                drop(guard);
                self.check_process();
                return self.not_run(order, elsewhere("target-unreachable"));
            }
            Ok(Err(error)) => {
                self.note_result(true);
                return self.failed(order, "target-broke-off", &error.to_string());
            }
            Err(_elapsed) => return self.failed(order, "target-too-late", ""),
        };

        self.judge(order, answer, guard).await
    }

    /// Tells a whole answer from a refusal and from what belongs to another request.
    async fn judge(
        &self,
        order: &OrderHead,
        mut answer: PooledAnswer,
        guard: SlotGuard,
    ) -> PeerAnswer<PeerReply> {
        let parts = answer.parts();
        let status = parts.status;
        let fields = self.dialect.read_target(status, &parts.headers);

        if fields.not_run {
            self.note_result(status != StatusCode::MISDIRECTED_REQUEST);
            let refusal = NotRunFields {
                reached_target: true,
                load: Some(self.load()),
                ..elsewhere("target-refused")
            };
            return self.not_run(order, refusal);
        }
        if fields.id.as_ref() != Some(&order.id) {
            self.note_result(true);
            return self.failed(order, "other-answer", "");
        }
        if status.is_success() && !fields.is_genuine {
            self.note_result(true);
            return self.failed(order, "answer-not-genuine", "");
        }

        guard.worked.set(true);
        self.note_result(status.is_server_error());
        let headers = end_to_end(&parts.headers);
        let length = content_length(&parts.headers);
        if status != StatusCode::OK || length.is_none_or(|length| length > WHOLE_ANSWER_BYTES) {
            let body = SlotBody {
                answer,
                guard: Some(guard),
            };
            return self.answered(status, headers, Box::new(body));
        }

        match read_whole(&mut answer).await {
            Ok(whole) => {
                drop(guard);
                self.answered(status, headers, Box::new(WholeBody::new(whole)))
            }
            Err(error) => {
                self.note_result(true);
                self.failed(order, "answer-cut-short", &error.to_string())
            }
        }
    }

    /// Makes the HTTP request to the target.
    fn request(
        &self,
        order: &OrderHead,
        body: Bytes,
        time_left: Duration,
    ) -> std::result::Result<Request<Full<Bytes>>, String> {
        let method = Method::from_bytes(order.method.as_bytes()).map_err(|e| e.to_string())?;
        let path: Uri = order
            .path
            .parse()
            .map_err(|error: http::uri::InvalidUri| error.to_string())?;
        let mut headers = HeaderMap::with_capacity(order.headers.len() + 4);
        for field in &order.headers {
            let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|e| e.to_string())?;
            let value = HeaderValue::from_maybe_shared(field.value.clone())
                .map_err(|error| error.to_string())?;
            headers.append(name, value);
        }

        let target_id = {
            let state = self.state.borrow();
            let life = state.keeper.life().ok_or("no target")?;
            Arc::clone(&life.id)
        };
        self.dialect.write_order(
            &mut headers,
            &OrderFields {
                time_left,
                caller_service: &order.caller_service,
                target_id: &target_id,
            },
        );

        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path;
        *request.headers_mut() = headers;

        Ok(request)
    }

    /// Finds out whether the target's process has ended. Its keys are free at once then.
    fn check_process(&self) {
        let door = self.clone();
        let life = self.state.borrow().keeper.life().cloned();

        compio::runtime::spawn(async move {
            if !door.pool.is_refused().await {
                return;
            }
            sleep(REFUSED_INTERVAL).await;
            if !door.pool.is_refused().await {
                return;
            }

            let mut state = door.state.borrow_mut();
            // A target that leaves may close its port while it still works.
            if state.keeper.life() == life.as_ref() && state.leaving_since.is_none() && !state.ended
            {
                warn!(event = "target-ended", reason = "connections are refused");
                state.ended = true;
                state.keeper.target_ended();
                let actions = state.gate.set_closed(true);
                drop(state);
                door.carry_out(actions);
            }
        })
        .detach();
    }

    /// Returns whether the process of the target has ended.
    pub fn has_ended(&self) -> bool {
        self.state.borrow().ended
    }

    /// Returns whether the target's service divides its keys among its targets.
    pub fn is_keyed(&self) -> bool {
        self.view.hosts().is_some_and(|hosts| {
            hosts
                .service(&self.settings.service)
                .is_some_and(|entry| entry.keyed)
        })
    }

    /// Returns a slot or a place in the queue.
    fn give_back(&self, ticket: u64, started: bool, worked: bool) {
        let actions = {
            let mut state = self.state.borrow_mut();
            let unanswered = state.waiters.remove(&ticket).is_some();
            if unanswered && !started {
                state.gate.cancel(ticket);
            }
            state.gate.finished(ticket, worked, clock::now())
        };
        self.carry_out(actions);
    }

    /// Tells waiting requests what the gate decided.
    fn carry_out(&self, actions: Vec<GateAction>) {
        for action in actions {
            let (ticket, admission) = match action {
                GateAction::Start { ticket } => (ticket, Admission::Started),
                GateAction::Refuse {
                    ticket,
                    refusal,
                    pause,
                } => (ticket, Admission::Refused { refusal, pause }),
            };
            let waiter = self.state.borrow_mut().waiters.remove(&ticket);

            // A request whose caller just left gives its slot back by its guard.
            if let Some(waiter) = waiter {
                drop(waiter.send(admission));
            }
        }
    }

    /// Takes note of how a request ended.
    fn note_result(&self, failed: bool) {
        let mut state = self.state.borrow_mut();
        let latest = if failed { 1.0 } else { 0.0 };
        state.failed_share += (latest - state.failed_share) * FAILURE_WEIGHT;
    }

    /// Makes the answer that passes the target's on.
    fn answered(
        &self,
        status: StatusCode,
        headers: Vec<HeaderField>,
        body: Box<dyn BodyStream>,
    ) -> PeerAnswer<PeerReply> {
        let fields = AnswerFields {
            status: status.as_u16(),
            headers,
            load: self.load(),
        };

        PeerAnswer::new(self.reply(ReplyBody::Answer(fields)), body)
    }

    /// Makes the answer of a request that did not run.
    fn not_run(&self, order: &OrderHead, fields: NotRunFields) -> PeerAnswer<PeerReply> {
        tracing::debug!(
            event = "order-refused", request_id = %order.id, reason = %fields.reason,
            key = order.key, pause_ms = fields.pause_ms
        );

        PeerAnswer::new(self.reply(ReplyBody::NotRun(fields)), Box::new(EmptyBody))
    }

    /// Makes the answer of a request that may have run.
    fn failed(&self, order: &OrderHead, reason: &str, cause: &str) -> PeerAnswer<PeerReply> {
        info!(
            event = "order-failed", request_id = %order.id, route = %order.route, reason, cause
        );
        let body = ReplyBody::Failed {
            reason: Arc::from(reason),
            load: self.load(),
        };

        PeerAnswer::new(self.reply(body), Box::new(EmptyBody))
    }

    /// Adds the versions of what this node knows.
    fn reply(&self, body: ReplyBody) -> PeerReply {
        PeerReply {
            versions: self.view.versions(),
            body,
        }
    }
}

/// Replaces the load that an answer tells.
fn tell_load(body: &mut ReplyBody, told: LoadReport) {
    match body {
        ReplyBody::Answer(fields) => fields.load = told,
        ReplyBody::NotRun(fields) => fields.load = Some(told),
        ReplyBody::Failed { load, .. } => *load = told,
        ReplyBody::Status(_)
        | ReplyBody::Store(_)
        | ReplyBody::Snapshot { .. }
        | ReplyBody::Noted => {}
    }
}

/// Makes a refusal of a request that another target may run.
fn elsewhere(reason: &str) -> NotRunFields {
    NotRunFields {
        reason: Arc::from(reason),
        pause_ms: NO_HOLDER_PAUSE_MS,
        reached_target: false,
        elsewhere: true,
        holder: None,
        load: None,
    }
}

/// Reads the whole body of an answer.
async fn read_whole(answer: &mut PooledAnswer) -> Result<Bytes, CoreError> {
    let mut whole = BytesMut::new();
    while let Some(part) = answer.next().await? {
        whole.extend_from_slice(&part);
    }

    Ok(whole.freeze())
}

/// Returns the length that an answer announces.
fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(http::header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// The header fields that concern one connection only.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the header fields that travel from end to end.
pub fn end_to_end(headers: &HeaderMap) -> Vec<HeaderField> {
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();

    headers
        .iter()
        .filter(|(name, _)| {
            !HOP_BY_HOP.contains(&name.as_str())
                && !named.iter().any(|other| other == name.as_str())
        })
        .map(|(name, value)| HeaderField {
            name: Arc::from(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
