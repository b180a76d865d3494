//! The discrete-event simulation of callers, ingresses, daemons and targets.

mod caller;
mod daemon;
mod setup;
mod target_side;

use crate::requests::{
    broken::BrokenPart,
    checks::InvariantChecks,
    faults::FaultPlan,
    ingress::{IngressCall, IngressPolicy},
    naive::AdmitPolicy,
    sizes::DeploymentSize,
    target::{FakeTarget, RunRecord},
    workload::{CallPlan, WorkMix},
};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};
use wagtail_admit::{AdmitOptions, AdmitRefusal, WorkOutcome};
use wagtail_core::{
    ids::{OperationName, TenantName},
    units::LocalMoment,
    verdict::RunVerdict,
};
use wagtail_route::LoadHint;

/// The range of the one-way delay between two nodes in microseconds.
const HOP_MICROS: std::ops::Range<u64> = 200..900;

/// The one-way delay between a daemon and its target.
const LOCAL_DELAY: Duration = Duration::from_micros(50);

/// The time after which a running target notices that a connection was closed.
const CANCEL_NOTICE: Duration = Duration::from_millis(2);

/// The part of the deadline that is reserved for the transfer of the response between the nodes.
const HOP_MARGIN: Duration = Duration::from_millis(2);

/// The interval at which a target announces itself.
const ANNOUNCE: Duration = Duration::from_secs(1);

/// The time by which a response may exceed its deadline.
pub const RESPONSE_BOUND: Duration = Duration::from_millis(5);

/// `RouterVersion` selects the decision logic of a run; reports print the variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterVersion {
    /// The machines of this project.
    Wagtail,
    /// The naive version: first free target, unbounded queue, three unconditional retries.
    Naive,
    /// The machines of this project with one injected fault.
    Broken(BrokenPart),
}

/// `WorldOptions` are the options of a run.
#[derive(Debug, Clone)]
pub struct WorldOptions {
    /// The version that makes the decisions.
    pub version: RouterVersion,
    /// The size of the fleet.
    pub size: DeploymentSize,
    /// The distribution of the calls.
    pub mix: WorkMix,
    /// The faults that are injected.
    pub faults: FaultPlan,
    /// The admission options of each target; slots, connections and tenants are taken from the
    /// fleet and mix.
    pub admit: AdmitOptions,
    /// The seed of the delays and faults.
    pub seed: u64,
}

/// `CallEnd` is the outcome of a call as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The target's response arrived.
    Answered,
    /// The call was refused.
    Refused(RunVerdict),
    /// The caller's patience ended without a response.
    Unanswered,
    /// The caller disconnected early.
    Gone,
}

/// `CallRecord` is a call, its attempts and its outcome.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The call as it was planned.
    pub plan: CallPlan,
    /// The outcome and the moment at which the caller learns of it.
    pub end: Option<(LocalMoment, CallEnd)>,
    /// The indices of its attempts.
    pub attempts: Vec<usize>,
    /// Its state at the ingress.
    state: IngressCall,
}

/// `ConnectionState` is the state of the connection that a dispatched request uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    /// The request has no connection, or has returned it.
    Idle,
    /// The request holds the connection.
    Held,
    /// The daemon closed the connection to cancel the request.
    Closed,
}

/// `Attempt` is one attempt of a call.
#[derive(Debug, Clone)]
struct Attempt {
    /// The index of its call.
    call: usize,
    /// The node of the target.
    node: usize,
    /// The moment at which the ingress sent it.
    sent: LocalMoment,
    /// The moment at which it reached the daemon of the target.
    arrived: LocalMoment,
    /// The deadline at the daemon of the target.
    deadline: LocalMoment,
    /// Whether the ingress still waits for its end.
    open: bool,
    /// Whether the daemon of the target still has to respond to it.
    awaits_response: bool,
    /// The number of final responses that the daemon sent.
    final_responses: u32,
    /// The moment at which the dispatched request reaches the target.
    starts: LocalMoment,
    /// The state of its connection to the target.
    connection: ConnectionState,
    /// Whether its response was truncated.
    truncated: bool,
    /// The index of its run in the log.
    run: Option<usize>,
}

/// `Reply` is the final response of a daemon to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reply {
    /// The response of the run of an identifier.
    Response {
        /// The identifier of the request that ran.
        identifier: usize,
        /// Whether the body is complete.
        whole: bool,
    },
    /// A refusal of the daemon.
    Refusal {
        /// The reason of the refusal.
        refusal: AdmitRefusal,
        /// Whether the request may have run.
        verdict: RunVerdict,
    },
}

/// `WorldEvent` is an event of the simulation; the index is that of the call, attempt or node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WorldEvent {
    /// A call reaches its ingress.
    Call(usize),
    /// An attempt reaches the daemon of its target.
    Arrive(usize),
    /// The wake-up time of a daemon is reached.
    Tick(usize),
    /// A target announces itself.
    Announce(usize),
    /// A dispatched request reaches the target.
    Start(usize),
    /// A run ends.
    RunEnd(usize),
    /// The daemon learns the outcome of a dispatched request.
    Report(usize, WorkOutcome),
    /// The target notices that a connection was closed.
    Notice(usize),
    /// A reply reaches the ingress.
    Reply(usize, Reply, Option<LoadHint>),
    /// A cancellation reaches the daemon of the target.
    Cancel(usize),
    /// An attempt times out at the ingress.
    AttemptTimeout(usize),
    /// The deadline of an attempt has passed at the daemon of the target.
    DeadlineCheck(usize),
    /// The caller stops waiting.
    Patience(usize),
    /// The caller disconnects early.
    Gone(usize),
}

/// `ScheduledEvent` is a queued event, ordered by time and then by sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ScheduledEvent {
    /// The moment at which the event happens.
    at: LocalMoment,
    /// The sequence number, which orders events of the same moment.
    sequence: u64,
    /// The event that happens.
    event: WorldEvent,
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// `DaemonNode` is a daemon and its target.
#[derive(Debug)]
struct DaemonNode {
    /// The admission policy of the daemon.
    policy: Box<dyn AdmitPolicy>,
    /// The simulated target of the daemon.
    target: FakeTarget,
    /// The moment of the scheduled tick, if any.
    tick: Option<LocalMoment>,
    /// The identifier of each kept response by its ticket.
    kept: BTreeMap<u64, usize>,
}

/// `World` is the state of one simulated run.
#[derive(Debug)]
pub struct World {
    /// The options of the run.
    options: WorldOptions,
    /// The present virtual time.
    now: LocalMoment,
    /// The event queue, earliest first.
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    /// The sequence number of the last scheduled event.
    sequence: u64,
    /// The source of randomness for delays and faults.
    rng: ChaCha8Rng,
    /// The calls, including repeats by callers.
    calls: Vec<CallRecord>,
    /// The attempts; the index is the ticket.
    attempts: Vec<Attempt>,
    /// The daemons and their targets, by node.
    daemons: Vec<DaemonNode>,
    /// The ingress policies, by node.
    ingresses: Vec<Box<dyn IngressPolicy>>,
    /// The log of the executions of all targets.
    runs: Vec<RunRecord>,
    /// The number of runs of each non-idempotent identifier.
    identifier_runs: BTreeMap<usize, u32>,
    /// The names of the tenants.
    tenants: Vec<TenantName>,
    /// The name of the short operation.
    short: OperationName,
    /// The name of the long operation.
    long: OperationName,
    /// The send time of the last planned call, after which targets stop announcing themselves.
    last_call: LocalMoment,
    /// The counts of the invariants.
    checks: InvariantChecks,
}

/// `WorldResult` is the outcome of a run.
#[derive(Debug)]
pub struct WorldResult {
    /// The calls and their outcomes.
    pub calls: Vec<CallRecord>,
    /// The log of the executions of all targets.
    pub runs: Vec<RunRecord>,
    /// The number of attempts.
    pub attempts: usize,
    /// The counts of the invariants.
    pub checks: InvariantChecks,
}

impl World {
    /// Runs until the event queue is empty.
    pub fn run(mut self) -> WorldResult {
        while let Some(Reverse(next)) = self.events.pop() {
            self.now = next.at;
            self.step(next.event);
        }

        self.check_ends();

        WorldResult {
            calls: self.calls,
            runs: self.runs,
            attempts: self.attempts.len(),
            checks: self.checks,
        }
    }

    /// Handles one event.
    fn step(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Call(call) => self.call(call),
            WorldEvent::Arrive(attempt) => self.arrive(attempt),
            WorldEvent::Tick(node) => self.tick(node),
            WorldEvent::Announce(node) => self.announce(node),
            WorldEvent::Start(attempt) => self.start(attempt),
            WorldEvent::RunEnd(attempt) => self.run_end(attempt),
            WorldEvent::Report(attempt, outcome) => self.report(attempt, outcome),
            WorldEvent::Notice(attempt) => self.notice(attempt),
            WorldEvent::Reply(attempt, reply, hint) => self.reply(attempt, reply, hint),
            WorldEvent::Cancel(attempt) => self.cancel(attempt),
            WorldEvent::AttemptTimeout(attempt) => self.attempt_timeout(attempt),
            WorldEvent::DeadlineCheck(attempt) => self.check_deadline(attempt),
            WorldEvent::Patience(call) => self.end_call(call, CallEnd::Unanswered),
            WorldEvent::Gone(call) => self.caller_gone(call),
        }
    }

    /// Returns whether this run injects a given fault.
    fn is_broken(&self, part: BrokenPart) -> bool {
        self.options.version == RouterVersion::Broken(part)
    }

    /// Schedules an event after those of the same moment.
    fn schedule(&mut self, at: LocalMoment, event: WorldEvent) {
        self.sequence += 1;
        self.events.push(Reverse(ScheduledEvent {
            at,
            sequence: self.sequence,
            event,
        }));
    }
}
