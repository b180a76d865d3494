//! Forwards requests to the target on this VM.
//!
//! - [`serve`](TargetProxy::serve): decides whether and when a request may run here.
//! - `dispatch`: sends the request to the target and classifies its response.
//! - `crashes`: what ran at the target when its process ended.
//! - `slots`: guards that free a slot or a queue position when they are dropped.
//! - `ending`: watches whether the target's process has ended.
//! - `evacuation`: refuses requests while the zone of the target is evacuated.
//! - `warmth`: protects a cold target.
//! - `notices`: what the target states about itself in its responses.
//! - `replies`: builds the replies to other nodes.

mod crashes;
mod dispatch;
mod ending;
mod evacuation;
mod notices;
mod replies;
mod serve;
mod slots;
mod warmth;

use crate::{
    memory::NodeMemory, outcomes::RequestRecorder, pacing::NodeLink, ports::WireDialect,
    settings::SidecarSettings, view::FleetView,
};
use compio::time::sleep;
use event_listener::Event;
use futures_channel::oneshot;
use notices::NoticeState;
use replies::millis_up;
use slots::Admission;
use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};
use tracing::info;
use wagtail_core::{
    heartbeat::{TargetHeartbeat, TargetIncarnation},
    units::LocalMoment,
};
use wagtail_gate::{
    AdmissionGate, GateOptions,
    capacity::CapacityOptions,
    limit::LimitOptions,
    origins::RouteOrigins,
    process_end::{EndDetector, EndOptions},
    runs::RunTracker,
    shutdown::{ShutdownGate, ShutdownPlan},
    sizes::ResponseSizes,
    warmup::TargetWarmth,
};
use wagtail_net::{
    client::{HttpPool, PoolOptions},
    clock,
    traffic::TrafficMeter,
};
use wagtail_route::pick::LoadReport;
use wagtail_shard::{
    keeper::{GrantKeeper, KeeperOptions},
    load::{KeyCounter, RangeLoad},
    planner::TargetStatus,
};

/// The reason code of a refusal by a node that is shutting down.
pub const NODE_STOPPING: &str = "node-stopping";

/// The reason code of a refusal because the target refuses connections.
const TARGET_UNREACHABLE: &str = "target-unreachable";

/// The time limit for opening a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The share of the drain time for which a leaving target with keys keeps serving. The rest is for
/// requests that are on their way to it.
const SERVING_SHARE: f32 = 0.8;

/// The pace in percent from which a target declines requests that another one may run.
const SLOW_PACE: u32 = 200;

/// The milliseconds that a kilobyte takes at one byte per second.
const KILOBYTE_MS: f32 = 1_024.0 * 1_000.0;

/// The approximate number of key ranges for which a target's load is reported to the planner.
const LOAD_PIECES: usize = 24;

/// `TargetProxy` forwards requests to the target on this VM. All requests to the target go through
/// it. It limits their concurrency, pools the connections and tracks the key ranges granted to the
/// target.
#[derive(Debug, Clone)]
pub struct TargetProxy {
    settings: Rc<SidecarSettings>,
    dialect: Rc<dyn WireDialect>,
    view: FleetView,
    recorder: Rc<RequestRecorder>,
    link: NodeLink,
    memory: NodeMemory,
    state: Rc<RefCell<ProxyState>>,
    /// Notified when the target states its leave in a response.
    departed: Rc<Event>,
    /// Notified when the process of the target has ended without a leave.
    crashed: Rc<Event>,
    pool: HttpPool,
}

/// `ProxyState` holds the admission queue, the grants and the last known state of the target.
#[derive(Debug)]
struct ProxyState {
    gate: AdmissionGate,
    keeper: GrantKeeper,
    keys: KeyCounter,
    origins: RouteOrigins,
    waiters: HashMap<u64, oneshot::Sender<Admission>>,
    next_ticket: u64,
    failed_share: f32,
    response_sizes: ResponseSizes,
    notices: NoticeState,
    runs: RunTracker,
    end_detector: EndDetector,
    shutdown: ShutdownGate,
    /// The latest incarnation of the target that has sent a heartbeat.
    incarnation: Option<TargetIncarnation>,
    /// The incarnation of the target whose process a task checks.
    checked: Option<TargetIncarnation>,
    slots: u32,
    leaving_since: Option<LocalMoment>,
    /// The end of the drain time of a leaving target with keys.
    serving_until: Option<LocalMoment>,
    ended: bool,
    stopping: bool,
    last_heartbeat: Option<LocalMoment>,
    /// The warmth of the target that was logged last.
    warmth: TargetWarmth,
    /// The version of the configuration that the rate for a cold target is from.
    cold_rate_version: u64,
}

impl TargetProxy {
    /// Creates a proxy for a target that has not sent a heartbeat yet.
    pub fn new(
        settings: Rc<SidecarSettings>,
        dialect: Rc<dyn WireDialect>,
        view: FleetView,
        recorder: Rc<RequestRecorder>,
        options: KeeperOptions,
    ) -> Self {
        let pool_options = PoolOptions {
            connect_timeout: CONNECT_TIMEOUT,
            ..PoolOptions::default()
        };
        let gate_options = GateOptions {
            limit: LimitOptions::with_grace(settings.limit_grace),
            warmup: warmth::warmup_options(&settings),
            capacity: CapacityOptions {
                is_enabled: settings.learns_capacity,
                ..CapacityOptions::default()
            },
            ..GateOptions::default()
        };
        let state = ProxyState {
            gate: AdmissionGate::new(gate_options),
            keeper: GrantKeeper::new(Arc::clone(&settings.node), options, clock::now()),
            keys: KeyCounter::default(),
            origins: RouteOrigins::default(),
            waiters: HashMap::new(),
            next_ticket: 0,
            failed_share: 0.0,
            response_sizes: ResponseSizes::default(),
            notices: NoticeState::default(),
            runs: RunTracker::default(),
            end_detector: EndDetector::new(EndOptions::default(), clock::now()),
            shutdown: ShutdownGate::default(),
            incarnation: None,
            checked: None,
            slots: 0,
            leaving_since: None,
            serving_until: None,
            ended: false,
            stopping: false,
            last_heartbeat: None,
            warmth: TargetWarmth::Warm,
            cold_rate_version: 0,
        };

        Self {
            pool: HttpPool::with_options(settings.target, pool_options),
            link: NodeLink::new(settings.link_mbps),
            memory: NodeMemory::new(settings.memory),
            settings,
            dialect,
            view,
            recorder,
            state: Rc::new(RefCell::new(state)),
            departed: Rc::default(),
            crashed: Rc::default(),
        }
    }

    /// Returns this proxy with a meter of the bytes that this node sends to others.
    #[must_use]
    pub fn with_meter(self, sent: TrafficMeter) -> Self {
        Self {
            link: self.link.with_meter(sent),
            ..self
        }
    }

    /// Calls a function with the keeper of the target's grants and returns its result.
    pub fn with_keeper<T>(&self, use_keeper: impl FnOnce(&mut GrantKeeper) -> T) -> T {
        use_keeper(&mut self.state.borrow_mut().keeper)
    }

    /// Resets the state for a new incarnation of the target and admits requests again, unless that
    /// incarnation announced its leave before this heartbeat, which `has_departed` states.
    pub fn begin_incarnation(
        &self,
        target_heartbeat: &TargetHeartbeat,
        has_departed: bool,
        now: LocalMoment,
    ) {
        self.pool.clear();
        self.record_replaced(&target_heartbeat.life);
        let actions = {
            let mut state = self.state.borrow_mut();
            state.ended = false;
            state.end_detector.begin_incarnation();
            state.leaving_since = has_departed.then_some(now);
            state.serving_until = None;
            state.failed_share = 0.0;
            state.notices = NoticeState::default();
            state.gate.forget_load(now);
            let mut actions = state.gate.set_limit(None, now);
            actions.extend(state.gate.set_closed(has_departed));
            actions
        };
        self.apply_actions(actions);

        info!(
            event = "target-started", life = %target_heartbeat.life,
            version = %target_heartbeat.version, slots = target_heartbeat.slots,
            sequence = target_heartbeat.sequence, draining = target_heartbeat.draining,
            has_departed,
            warm_up_ms = target_heartbeat.warm_up_left.as_millis()
        );
    }

    /// Records the slots and the draining flag of a heartbeat of the current incarnation.
    pub fn record_heartbeat(&self, target_heartbeat: &TargetHeartbeat, now: LocalMoment) {
        // Before the slots, as a target that has become cold must not get what is queued.
        self.record_warm_up(target_heartbeat.warm_up_left, now);
        let actions = {
            let mut state = self.state.borrow_mut();
            state.last_heartbeat = Some(now);
            state.end_detector.heard(now);
            state.slots = target_heartbeat.slots;
            state.gate.set_slots(target_heartbeat.slots, now)
        };
        self.apply_actions(actions);

        if target_heartbeat.draining {
            self.leave(now);
        }
    }

    /// Records that the target is leaving. A target without keys receives no further requests. One
    /// with keys keeps serving while they move, for `SERVING_SHARE` of the drain time.
    pub fn leave(&self, now: LocalMoment) {
        if !self.mark_leaving(now) {
            return;
        }

        if self.is_keyed() {
            let serving_time = self.settings.drain.mul_f32(SERVING_SHARE);
            self.state.borrow_mut().serving_until = Some(now + serving_time);

            let proxy = self.clone();
            compio::runtime::spawn(async move {
                sleep(serving_time).await;
                proxy.close_if_drained();
            })
            .detach();
        } else {
            self.close();
        }
    }

    /// Closes the gate if the drain time of a target with keys is over, and returns whether it is. This
    /// is checked with each request as well, because timers stand still while the VM is suspended.
    fn close_if_drained(&self) -> bool {
        let now = clock::now();
        let is_drained = self
            .state
            .borrow()
            .serving_until
            .is_some_and(|until| now >= until);

        if is_drained {
            self.close();
        }
        is_drained
    }

    /// Records that the target announced its leave to a previous process of this node. Its drain time
    /// may be over, so it receives no further requests even if it has keys.
    pub fn leave_at_once(&self, now: LocalMoment) {
        if self.mark_leaving(now) {
            self.close();
        }
    }

    /// Records since when the target has been leaving. Returns `false` if it was leaving already.
    fn mark_leaving(&self, now: LocalMoment) -> bool {
        let mut state = self.state.borrow_mut();
        if state.leaving_since.is_some() {
            return false;
        }
        state.leaving_since = Some(now);
        let life = state.keeper.life().map(ToString::to_string);
        info!(
            event = "target-leaving",
            life = life.as_deref().unwrap_or("")
        );

        true
    }

    /// Refuses all queued and new requests; running ones go on.
    pub fn close(&self) {
        let actions = self.state.borrow_mut().gate.set_closed(true);
        self.apply_actions(actions);
    }

    /// Refuses requests that would be cut off by the end of this node's shutdown.
    pub fn start_drain(&self, plan: ShutdownPlan) {
        self.state.borrow_mut().shutdown.start(plan);
    }

    /// Refuses new requests because this node is shutting down; another node may run them.
    pub fn stop(&self) {
        self.state.borrow_mut().stopping = true;
    }

    /// Returns the number of requests that run at the target or wait for a slot.
    pub fn in_flight(&self) -> u32 {
        let state = self.state.borrow();

        state.gate.running() + state.gate.waiting()
    }

    /// Returns whether the target is leaving.
    pub fn is_leaving(&self) -> bool {
        self.state.borrow().leaving_since.is_some()
    }

    /// Returns whether the target has sent a heartbeat and is neither leaving nor ended.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();

        // `stopping` is left out: a stopping node refuses requests itself, and it is back before an
        // updated record would be of use.
        state.last_heartbeat.is_some() && state.leaving_since.is_none() && !state.ended
    }

    /// Returns the number of requests that the target can run concurrently.
    pub fn slots(&self) -> u32 {
        self.state.borrow().slots
    }

    /// Returns the number of requests that the target handles well concurrently.
    pub fn learned_slots(&self) -> u32 {
        self.state.borrow().gate.slots()
    }

    /// Returns the stated pace of this VM in percent, 100 if none is valid.
    pub fn stated_pace(&self) -> u32 {
        self.state.borrow().gate.pace(clock::now())
    }

    /// Returns the load of the target, without what concerns the route of a request.
    #[expect(clippy::cast_possible_truncation, reason = "a rate needs few digits")]
    pub fn load(&self) -> LoadReport {
        let now = clock::now();
        let mut state = self.state.borrow_mut();

        LoadReport {
            running: state.gate.running(),
            waiting: state.gate.waiting(),
            slots: state.gate.slots(),
            service_ms: state.gate.service_seconds() * 1_000.0,
            route_ms: 0.0,
            failed_share: state.failed_share,
            limited_ms: millis_up(state.gate.limit_wait(now)),
            cold_ms: millis_up(state.gate.limits().cold_left(now)),
            link_wait_ms: millis_up(self.link.wait()),
            link_kb_ms: KILOBYTE_MS / self.link.bulk_rate() as f32,
        }
    }

    /// Returns the state of the target for the planner of its service. A target counts as not ready
    /// if its last heartbeat is more than two intervals old, or while its zone is evacuated.
    pub fn status(&self) -> TargetStatus {
        let ready = self.is_ready() && !self.is_evacuated();
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let silent = state
            .last_heartbeat
            .is_none_or(|at| now.since(at) > self.settings.heartbeat * 2);

        let granted = state.keeper.granted().to_vec();
        let max_pieces = LOAD_PIECES.div_ceil(granted.len().max(1)).max(2);
        let pieces: Vec<RangeLoad> = granted
            .iter()
            .flat_map(|range| state.keys.pieces(range.from, range.to, max_pieces, now))
            .collect();

        TargetStatus {
            node: Arc::clone(&self.settings.node),
            life: state.keeper.life().cloned(),
            ready: ready && !silent,
            capacity: state.gate.capacity(now),
            pieces,
        }
    }

    /// Returns the network link of this VM.
    pub fn link(&self) -> &NodeLink {
        &self.link
    }

    /// Returns the memory of this process for bodies.
    pub fn memory(&self) -> &NodeMemory {
        &self.memory
    }

    /// Returns whether the process of the target has ended.
    pub fn has_ended(&self) -> bool {
        self.state.borrow().ended
    }

    /// Returns whether the keys of the target's service are divided among its targets.
    pub fn is_keyed(&self) -> bool {
        self.view.hosts().is_some_and(|hosts| {
            hosts
                .service(&self.settings.service)
                .is_some_and(|entry| entry.keyed)
        })
    }
}
