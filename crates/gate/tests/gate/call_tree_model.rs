//! A model of targets that call a service which has too few slots, in virtual time.

use crate::call_tree_rules::{KINDS, ModelCounts, SingleShare, SingleThrottle};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};
use wagtail_core::units::LocalMoment;
use wagtail_gate::{
    AdmissionGate, GateAction, GateArrival, GateOptions,
    calls::CallProfiles,
    pressure::{CallPressure, WorkArrival},
    throttle::CalleeThrottles,
};

/// The name of the called service.
const CALLEE: &str = "registry-check";

/// The number of targets that call and of targets that are called.
const NODES: [usize; 2] = [61, 16];

/// The slots of a target that calls and of one that is called.
const SLOTS: [u32; 2] = [12, 4];

/// The time in milliseconds within which the response to a call is of use, and that until which the
/// caller waits for it.
const CALL_MILLIS: [u64; 2] = [200, 500];

/// The number of attempts of a caller in all.
const MAX_ATTEMPTS: u32 = 3;

/// The time for which a caller tries, in milliseconds.
const PATIENCE_MILLIS: u64 = 1_500;

/// The service time of a call in milliseconds, at which there is room for two thirds of the calls at
/// the peak.
const CALL_SERVICE_MILLIS: u64 = 40;

/// `ShareRule` decides which new work begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareRule {
    /// All work begins.
    None,
    /// One share for all routes, from an average of waits.
    Single,
    /// A share for each called service, from the work that arrives there.
    ByCallee,
}

/// `ModelOptions` sets the rule, the age of reports and the faults.
#[derive(Debug, Clone, Copy)]
pub struct ModelOptions {
    pub rule: ShareRule,
    pub report_age: Duration,
    pub seconds: u64,
    /// The seconds between which no reports arrive.
    pub silence: (u64, u64),
    /// The second at which all calling nodes lose their state.
    pub restart: Option<u64>,
    /// The second from which outcomes are counted.
    pub count_from: u64,
}

/// `ModelNode` is a target with its node.
#[derive(Debug)]
struct ModelNode {
    gate: AdmissionGate,
    profiles: CallProfiles,
    throttles: CalleeThrottles,
    single_throttle: SingleThrottle,
    pressure: CallPressure,
    single_share: SingleShare,
}

impl ModelNode {
    /// Creates a node without state.
    fn new(slots: u32) -> Self {
        let mut gate = AdmissionGate::new(GateOptions::default());
        gate.set_slots(slots, LocalMoment::ZERO);

        Self {
            gate,
            profiles: CallProfiles::default(),
            throttles: CalleeThrottles::default(),
            single_throttle: SingleThrottle::default(),
            pressure: CallPressure::default(),
            single_share: SingleShare::default(),
        }
    }
}

/// `CallerRequest` is a request of a caller over all its attempts.
#[derive(Debug, Clone, Copy)]
struct CallerRequest {
    kind: usize,
    first_at: LocalMoment,
    attempts: u32,
}

/// `ModelRun` is a request or a call at a target.
#[derive(Debug, Clone, Copy)]
struct ModelRun {
    tier: usize,
    node: usize,
    request: CallerRequest,
    arrived: LocalMoment,
    /// The run that makes this call.
    caller: Option<u64>,
    calls_left: u32,
    is_late: bool,
}

/// `ModelEvent` is an event of the model.
#[derive(Debug, Clone, Copy)]
enum ModelEvent {
    Arrive(CallerRequest),
    Step(u64),
    Report { node: usize, share: f32 },
}

/// `CallTreeModel` runs the model.
#[derive(Debug)]
pub struct CallTreeModel {
    options: ModelOptions,
    random: ChaCha8Rng,
    nodes: [Vec<ModelNode>; 2],
    runs: HashMap<u64, ModelRun>,
    events: BTreeMap<u64, ModelEvent>,
    due: BinaryHeap<Reverse<(LocalMoment, u64)>>,
    next_id: u64,
    now: LocalMoment,
    counts: ModelCounts,
}

impl CallTreeModel {
    /// Runs the model and returns its counts.
    pub fn run(options: ModelOptions, seed: u64) -> ModelCounts {
        let mut model = Self {
            options,
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: [0, 1].map(|tier: usize| {
                (0..NODES[tier])
                    .map(|_| ModelNode::new(SLOTS[tier]))
                    .collect()
            }),
            runs: HashMap::new(),
            events: BTreeMap::new(),
            due: BinaryHeap::new(),
            next_id: 1,
            now: LocalMoment::ZERO,
            counts: ModelCounts::default(),
        };
        model.add_arrivals();

        let mut restart = options.restart;
        while let Some(Reverse((now, id))) = model.due.pop() {
            model.now = now;
            if restart.is_some_and(|second| now >= LocalMoment::from_millis(second * 1_000)) {
                restart = None;
                for node in &mut model.nodes[0] {
                    node.profiles = CallProfiles::default();
                    node.throttles = CalleeThrottles::default();
                    node.single_throttle = SingleThrottle::default();
                }
            }
            if let Some(event) = model.events.remove(&id) {
                model.handle(event);
            }
        }
        model.counts
    }

    /// Adds all first attempts. Those of callers of the calling targets oscillate.
    fn add_arrivals(&mut self) {
        for (index, kind) in KINDS.iter().enumerate() {
            for millis in 0..self.options.seconds * 1_000 {
                let seconds = f64::from(u32::try_from(millis).unwrap()) / 1_000.0;
                let wave = 1.0 + 0.55 * (seconds / 17.0 * std::f64::consts::TAU).sin();
                let factor = if kind.tier == 0 { wave } else { 1.0 };
                let mut expected = kind.per_second * factor / 1_000.0;
                while expected > 0.0 {
                    if self.random.random_bool(expected.min(1.0)) {
                        let first_at = LocalMoment::from_millis(1_000 + millis);
                        let request = CallerRequest {
                            kind: index,
                            first_at,
                            attempts: 0,
                        };
                        self.add(first_at, ModelEvent::Arrive(request));
                        self.counts.offered[index] += u32::from(self.is_counted(first_at));
                    }
                    expected -= 1.0;
                }
            }
        }
    }

    /// Returns whether requests that arrive at a time are counted.
    fn is_counted(&self, at: LocalMoment) -> bool {
        at >= LocalMoment::from_millis((1 + self.options.count_from) * 1_000)
    }

    /// Adds an event.
    fn add(&mut self, at: LocalMoment, event: ModelEvent) {
        self.next_id += 1;
        self.events.insert(self.next_id, event);
        self.due.push(Reverse((at, self.next_id)));
    }

    /// Handles one event.
    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrive(request) => self.arrive(request),
            ModelEvent::Step(ticket) => self.step(ticket),
            ModelEvent::Report { node, share } => {
                let node = &mut self.nodes[0][node];
                node.throttles.report(&Arc::from(CALLEE), share, self.now);
                let single = &mut node.single_throttle;
                single.held_back += (1.0 - share - single.held_back) * 0.25;
                single.reported_at = self.now;
            }
        }
    }

    /// Sends an attempt of a caller to a target.
    fn arrive(&mut self, request: CallerRequest) {
        let kind = KINDS[request.kind];
        let node = self.pick(kind.tier);
        let request = CallerRequest {
            attempts: request.attempts + 1,
            ..request
        };
        let state = &mut self.nodes[kind.tier][node];
        let begins = kind.tier == 1
            || match self.options.rule {
                ShareRule::None => true,
                ShareRule::Single => state.single_throttle.admit(self.now),
                ShareRule::ByCallee => {
                    let profiles = &state.profiles;
                    let calls = |service: &str| profiles.throttled_calls(kind.name, service);
                    state
                        .throttles
                        .admit(kind.priority, calls, self.now)
                        .is_ok()
                }
            };
        if !begins {
            self.counts.entries_held_back +=
                u32::from(request.kind == 1 && self.is_counted(request.first_at));
            self.retry(request, Duration::from_millis(50), false);
            return;
        }

        let calls_left = if request.kind == 0 && self.random.random_bool(0.7) {
            2
        } else {
            0
        };
        self.enter(ModelRun {
            tier: kind.tier,
            node,
            request,
            arrived: self.now,
            caller: None,
            calls_left,
            is_late: false,
        });
    }

    /// Chooses the less loaded of two targets.
    fn pick(&mut self, tier: usize) -> usize {
        let [left, right] = [0, 1].map(|_| self.random.random_range(0..NODES[tier]));
        let load = |node: usize| {
            let gate = &self.nodes[tier][node].gate;
            gate.running() + gate.waiting()
        };

        if load(left) <= load(right) {
            left
        } else {
            right
        }
    }

    /// Asks the gate of a target for a slot.
    fn enter(&mut self, run: ModelRun) {
        let (now, is_call) = (self.now, run.caller.is_some());
        let kind = KINDS[run.request.kind];
        let class: Arc<str> = Arc::from(if is_call { CALLEE } else { kind.name });
        let begun_share = run.caller.map_or(1.0, |caller| {
            self.nodes[0][self.runs[&caller].node]
                .throttles
                .share(CALLEE, now)
        });
        let state = &mut self.nodes[run.tier][run.node];
        let objective = Duration::from_millis(if is_call {
            CALL_MILLIS[0]
        } else {
            kind.objective_millis
        });
        let deadline = if is_call {
            run.arrived + Duration::from_millis(CALL_MILLIS[1])
        } else {
            run.request.first_at + Duration::from_millis(PATIENCE_MILLIS)
        };
        if run.tier == 1 {
            let wait = state.gate.expected_wait(is_call, kind.priority, now);
            if is_call {
                state.pressure.called(kind.priority);
            }
            if is_call || kind.priority <= 1 {
                let objective = objective.as_secs_f32();
                state.single_share.arrived(is_call, wait, objective);
            }
            let arrival = WorkArrival {
                is_call,
                priority: kind.priority,
                service_time: state.gate.service_time(&class),
                begun_share,
            };
            state.pressure.arrived(&arrival, now);
        }

        self.next_id += 1;
        let ticket = self.next_id;
        self.runs.insert(ticket, run);
        let elapsed = now.since(if is_call {
            run.arrived
        } else {
            run.request.first_at
        });
        let arrival = GateArrival {
            ticket,
            class,
            is_call,
            priority: kind.priority,
            objective_left: objective.saturating_sub(elapsed),
            objective,
            deadline,
            repeat_id: None,
        };
        let actions = self.nodes[run.tier][run.node].gate.arrive(arrival, now);
        self.apply(actions);
    }

    /// Carries out the decisions of a gate.
    fn apply(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Start { ticket } => {
                    let run = self.runs[&ticket];
                    let kind = KINDS[run.request.kind];
                    let millis = if run.caller.is_some() {
                        CALL_SERVICE_MILLIS
                    } else {
                        kind.service_millis
                    };
                    if run.tier == 0 {
                        let profiles = &mut self.nodes[0][run.node].profiles;
                        profiles.began(&Arc::from(kind.name), self.now);
                    }
                    let micros = self.random.random_range(millis * 500..millis * 1_500);
                    self.add(
                        self.now + Duration::from_micros(micros),
                        ModelEvent::Step(ticket),
                    );
                }
                GateAction::Refuse {
                    ticket,
                    retry_after,
                    ..
                } => {
                    let run = self.runs.remove(&ticket).unwrap();
                    match run.caller {
                        Some(caller) => self.end_call(run, caller, false),
                        None => self.retry(run.request, retry_after, false),
                    }
                }
            }
        }
    }

    /// Ends the service time of a run or a call. A run then makes its next call or ends.
    fn step(&mut self, ticket: u64) {
        let Some(mut run) = self.runs.get(&ticket).copied() else {
            return;
        };
        if run.calls_left == 0 {
            self.end_run(ticket, true);
            return;
        }

        run.calls_left -= 1;
        self.runs.insert(ticket, run);
        let callee: Arc<str> = Arc::from(CALLEE);
        self.nodes[0][run.node].profiles.called(&callee, self.now);
        let node = self.pick(1);
        self.enter(ModelRun {
            tier: 1,
            node,
            arrived: self.now,
            caller: Some(ticket),
            calls_left: 0,
            ..run
        });
    }

    /// Ends a run or a call at its target.
    fn end_run(&mut self, ticket: u64, succeeded: bool) {
        let run = self.runs.remove(&ticket).unwrap();
        let name = KINDS[run.request.kind].name;
        let state = &mut self.nodes[run.tier][run.node];
        if run.tier == 0 {
            state.profiles.ended(name, self.now);
        }
        let actions = state.gate.finished(ticket, true, self.now);
        self.apply(actions);

        let kind = KINDS[run.request.kind];
        let took = self.now.since(run.request.first_at);
        let in_time = took <= Duration::from_millis(kind.objective_millis) && !run.is_late;
        let is_counted = u32::from(self.is_counted(run.request.first_at));
        match run.caller {
            Some(caller) => {
                let took = self.now.since(run.arrived);
                self.end_call(run, caller, took <= Duration::from_millis(CALL_MILLIS[1]));
            }
            None if succeeded => {
                self.counts.in_time[run.request.kind] += is_counted * u32::from(in_time);
            }
            None => {
                self.counts.wasted_runs += is_counted;
                self.retry(run.request, Duration::from_millis(50), true);
            }
        }
    }

    /// Passes the outcome of a call and the report of its target on to the calling run.
    fn end_call(&mut self, call: ModelRun, caller: u64, succeeded: bool) {
        let Some(mut run) = self.runs.get(&caller).copied() else {
            return;
        };
        let took = self.now.since(call.arrived);
        let objective = Duration::from_millis(CALL_MILLIS[0]);
        let throttles = &mut self.nodes[0][run.node].throttles;
        throttles.call_ended(CALLEE, took.div_duration_f32(objective));
        let state = &self.nodes[1][call.node];
        let share = match self.options.rule {
            ShareRule::Single => state.single_share.share(),
            _ => state.pressure.share(SLOTS[1], self.now),
        };
        let second = self.now.since(LocalMoment::from_millis(1_000)).as_secs();
        if !(self.options.silence.0..self.options.silence.1).contains(&second) {
            let report = ModelEvent::Report {
                node: run.node,
                share,
            };
            self.add(self.now + self.options.report_age, report);
        }

        if !succeeded {
            self.end_run(caller, false);
            return;
        }
        run.is_late |= self.now.since(call.arrived) > Duration::from_millis(CALL_MILLIS[0]);
        self.runs.insert(caller, run);
        self.add(
            self.now + Duration::from_millis(1),
            ModelEvent::Step(caller),
        );
    }

    /// Lets a caller come back after a delay, or give up.
    fn retry(&mut self, request: CallerRequest, delay: Duration, has_failed: bool) {
        let next = self.now + delay.mul_f64(self.random.random_range(0.8..1.6));
        let patience = Duration::from_millis(PATIENCE_MILLIS);
        if request.attempts >= MAX_ATTEMPTS || next >= request.first_at + patience {
            let is_counted = self.is_counted(request.first_at);
            self.counts.failures += u32::from(has_failed && is_counted);
            return;
        }

        self.add(next, ModelEvent::Arrive(request));
    }
}
