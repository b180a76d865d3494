//! The event loop: callers, ingresses, daemons beside targets, and targets in virtual time.

mod agent;
mod caller;
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

/// The shortest and longest time one way between two nodes in microseconds.
const HOP_MICROS: std::ops::Range<u64> = 200..900;

/// The time between a daemon and the target beside it.
const LOCAL_DELAY: Duration = Duration::from_micros(50);

/// The time in which a running target notices that a connection was closed.
const CANCEL_NOTICE: Duration = Duration::from_millis(2);

/// The part of the deadline that is kept for the way back between the nodes.
const HOP_MARGIN: Duration = Duration::from_millis(2);

/// The time between two announcements of a target.
const ANNOUNCE: Duration = Duration::from_secs(1);

/// The stated bound on an answer after its deadline.
pub const ANSWER_BOUND: Duration = Duration::from_millis(5);

/// `RouterVersion` is what decides in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterVersion {
    /// This project.
    Wagtail,
    /// First free target, unbounded queue, three blind retries.
    Naive,
    /// This project with one part broken.
    Broken(BrokenPart),
}

/// `WorldOptions` are the settings of a run.
#[derive(Debug, Clone)]
pub struct WorldOptions {
    /// What decides.
    pub version: RouterVersion,
    /// The fleet.
    pub size: DeploymentSize,
    /// The mix of the calls.
    pub mix: WorkMix,
    /// What goes wrong.
    pub faults: FaultPlan,
    /// The settings beside each target, before its slots and tenants are filled in.
    pub admit: AdmitOptions,
    /// The seed of the delays and faults.
    pub seed: u64,
}

/// `CallEnd` is the end of a call as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The target's answer came.
    Answered,
    /// The call was refused.
    Refused(RunVerdict),
    /// The caller's patience ended without an answer.
    Unanswered,
    /// The caller went away early.
    Gone,
}

/// `CallRecord` is a call and its end.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The call.
    pub plan: CallPlan,
    /// The end and its moment at the caller.
    pub end: Option<(LocalMoment, CallEnd)>,
    /// The attempts.
    pub attempts: Vec<usize>,
    /// What the ingress knows of it.
    state: IngressCall,
}

/// `ConnectionState` is how the connection of an order stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    /// The order has none, or gave it back.
    Idle,
    /// The order holds it.
    Held,
    /// The daemon closed it to cancel the order.
    Closed,
}

/// `Attempt` is one attempt of a call.
#[derive(Debug, Clone)]
struct Attempt {
    /// The call.
    call: usize,
    /// The node beside the target.
    node: usize,
    /// The moment at which the ingress sent it.
    sent: LocalMoment,
    /// The moment at which it reached the daemon beside the target.
    arrived: LocalMoment,
    /// The deadline beside the target.
    deadline: LocalMoment,
    /// Whether the ingress still waits for it.
    open: bool,
    /// Whether the daemon beside the target owes it an answer.
    owed: bool,
    /// The final answers that the daemon gave.
    finals: u32,
    /// The moment at which its order reaches the target.
    starts: LocalMoment,
    /// The connection to the target.
    connection: ConnectionState,
    /// Whether its answer was cut off.
    truncated: bool,
    /// The place of its run in the log.
    run: Option<usize>,
}

/// `Reply` is what a daemon beside a target sends back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reply {
    /// The answer of the run of an identifier.
    Answer {
        /// The identifier whose run was answered.
        identifier: usize,
        /// Whether the body is whole.
        whole: bool,
    },
    /// A refusal.
    Refusal {
        /// The reason.
        refusal: AdmitRefusal,
        /// Whether the request may have run.
        verdict: RunVerdict,
    },
}

/// `WorldEvent` is something that happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WorldEvent {
    /// A call reaches its ingress.
    Call(usize),
    /// An attempt reaches the daemon beside its target.
    Arrive(usize),
    /// A daemon's wake-up time is reached.
    Tick(usize),
    /// A target announces itself.
    Announce(usize),
    /// An order reaches the target.
    Start(usize),
    /// A run ends.
    RunEnd(usize),
    /// The daemon learns of the end of an order.
    Report(usize, WorkOutcome),
    /// The target notices that a connection was closed.
    Notice(usize),
    /// A reply reaches the ingress.
    Reply(usize, Reply, Option<LoadHint>),
    /// A cancellation reaches the daemon beside the target.
    Cancel(usize),
    /// The time of an attempt is over at the ingress.
    AttemptTimeout(usize),
    /// The deadline of an attempt has passed beside the target.
    DeadlineCheck(usize),
    /// The caller's patience is over.
    Patience(usize),
    /// The caller goes away early.
    Gone(usize),
}

/// `ScheduledEvent` is an event in the order of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ScheduledEvent {
    /// The moment.
    at: LocalMoment,
    /// The order among the events of one moment.
    sequence: u64,
    /// The event.
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

/// `AgentNode` is a daemon and the target beside it.
#[derive(Debug)]
struct AgentNode {
    /// What decides.
    policy: Box<dyn AdmitPolicy>,
    /// The target.
    target: FakeTarget,
    /// The scheduled tick.
    tick: Option<LocalMoment>,
    /// The kept answers: the ticket and the identifier whose run was answered.
    kept: BTreeMap<u64, usize>,
}

/// `World` is one run.
#[derive(Debug)]
pub struct World {
    /// The settings.
    options: WorldOptions,
    /// The moment.
    now: LocalMoment,
    /// What happens next.
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    /// The order of the next event.
    sequence: u64,
    /// The source of the delays and faults.
    rng: ChaCha8Rng,
    /// The calls.
    calls: Vec<CallRecord>,
    /// The attempts; the place is the ticket.
    attempts: Vec<Attempt>,
    /// The daemons beside the targets.
    agents: Vec<AgentNode>,
    /// The ingresses.
    ingresses: Vec<Box<dyn IngressPolicy>>,
    /// The log of all targets.
    runs: Vec<RunRecord>,
    /// The runs of each non-idempotent identifier.
    identifier_runs: BTreeMap<usize, u32>,
    /// The names of the tenants.
    tenants: Vec<TenantName>,
    /// The name of the short operation.
    short: OperationName,
    /// The name of the long operation.
    long: OperationName,
    /// The moment after which targets announce themselves no more.
    last_call: LocalMoment,
    /// The invariants.
    checks: InvariantChecks,
}

/// `WorldResult` is what a run left.
#[derive(Debug)]
pub struct WorldResult {
    /// The calls and their ends.
    pub calls: Vec<CallRecord>,
    /// The log of all targets.
    pub runs: Vec<RunRecord>,
    /// The attempts.
    pub attempts: usize,
    /// The invariants.
    pub checks: InvariantChecks,
}

impl World {
    /// Runs until nothing more happens.
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

    /// Does one event.
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
            WorldEvent::DeadlineCheck(attempt) => self.check_owed(attempt),
            WorldEvent::Patience(call) => self.end_call(call, CallEnd::Unanswered),
            WorldEvent::Gone(call) => self.caller_gone(call),
        }
    }

    /// Returns whether a part is broken in this run.
    fn is_broken(&self, part: BrokenPart) -> bool {
        self.options.version == RouterVersion::Broken(part)
    }

    /// Schedules an event.
    fn schedule(&mut self, at: LocalMoment, event: WorldEvent) {
        self.sequence += 1;
        self.events.push(Reverse(ScheduledEvent {
            at,
            sequence: self.sequence,
            event,
        }));
    }
}
