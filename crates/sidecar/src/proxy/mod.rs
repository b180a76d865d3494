//! The way to the target on this VM.
//!
//! - [`serve`](TargetProxy::serve): whether a request may run here, and when.
//! - `dispatch`: the exchange with the target.
//! - `slots`: slots and places in the queue that return when they are dropped.
//! - `replies`: what other nodes are told.
//! - [`headers`]: the header fields that travel from end to end.

mod dispatch;
pub mod headers;
mod replies;
mod serve;
mod slots;

use crate::{
    outcomes::RequestRecorder, ports::WireDialect, settings::SidecarSettings, view::FleetView,
};
use compio::time::sleep;
use futures_channel::oneshot;
use slots::Admission;
use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};
use tracing::info;
use wagtail_core::{heartbeat::TargetHeartbeat, units::LocalMoment};
use wagtail_gate::{
    AdmissionGate, GateOptions,
    origins::RouteOrigins,
    pressure::{CallPressure, WorkThrottle},
};
use wagtail_net::{
    client::{HttpPool, PoolOptions},
    clock,
};
use wagtail_route::pick::LoadReport;
use wagtail_shard::{
    keeper::{GrantKeeper, KeeperOptions},
    load::{KeyCounter, RangeLoad},
    planner::TargetStatus,
};

/// The reason of a refusal by a node that is about to stop.
pub const NODE_STOPPING: &str = "node-stopping";

/// The longest time to open a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The pieces into which the load of a target's keys is cut.
const LOAD_PIECES: usize = 24;

/// `TargetProxy` is the only way to the target on this VM. It counts the slots, holds the
/// connections and knows what the target was granted.
#[derive(Debug, Clone)]
pub struct TargetProxy {
    settings: Rc<SidecarSettings>,
    dialect: Rc<dyn WireDialect>,
    view: FleetView,
    recorder: Rc<RequestRecorder>,
    state: Rc<RefCell<ProxyState>>,
    pool: HttpPool,
}

/// `ProxyState` is what the door knows of its target.
#[derive(Debug)]
struct ProxyState {
    gate: AdmissionGate,
    keeper: GrantKeeper,
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

impl TargetProxy {
    /// Makes the door of a target that has not been heard of.
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
        let state = ProxyState {
            gate: AdmissionGate::new(GateOptions::default()),
            keeper: GrantKeeper::new(Arc::clone(&settings.node), options, clock::now()),
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
            recorder,
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Lets a function use the keeper of the target's holds.
    pub fn with_keeper<T>(&self, use_keeper: impl FnOnce(&mut GrantKeeper) -> T) -> T {
        use_keeper(&mut self.state.borrow_mut().keeper)
    }

    /// Starts over with a new life of the target.
    pub fn begin_incarnation(&self, beat: &TargetHeartbeat) {
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
    pub fn record_heartbeat(&self, beat: &TargetHeartbeat, now: LocalMoment) {
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
            let proxy = self.clone();
            let rest = self.settings.drain.mul_f32(0.8);
            compio::runtime::spawn(async move {
                sleep(rest).await;
                // A new life has opened the door again.
                if proxy.state.borrow().leaving_since == Some(now) {
                    proxy.close();
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
    pub fn record_begin_share(&self, share: f32) {
        self.state.borrow_mut().throttle.report(share, clock::now());
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
}
