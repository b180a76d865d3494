//! The task that owns the admission and the port to the target.

use crate::{
    agent::{
        command::{AgentCommand, AgentHandle, TargetNotice},
        order::KeptResponse,
        target::GrantHealth,
        work::AgentWork,
    },
    fleet::FleetCell,
    latency::LatencyHandle,
    ownership::{OwnershipHandle, SliceLeases},
    timer,
};
use futures_channel::{
    mpsc::{self, UnboundedReceiver},
    oneshot::Sender,
};
use std::{collections::BTreeMap, rc::Rc};
use wagtail_admit::{AdmitAction, AdmitEvent, AdmitMachine, AdmitSummary};
use wagtail_assign::{AssignOptions, LoadMeter};
use wagtail_core::{ids::NodeName, ports::TargetPort};
use wagtail_net::{clock, stop::StopSignal};

/// `AgentOptions` holds the collaborators of the agent task.
#[derive(Debug)]
pub struct AgentOptions {
    /// The name of this node.
    pub node: NodeName,
    /// The shared state of the fleet.
    pub fleet: FleetCell,
    /// The leases, which are checked again before each dispatch.
    pub leases: Rc<dyn SliceLeases>,
    /// The ownership task, which is notified of drained slices, the load and the state of the
    /// target.
    pub ownership: OwnershipHandle,
    /// The recorder of the latencies by tenant and class.
    pub latency: LatencyHandle,
    /// The signal that is triggered when all work has ended after [`AgentCommand::Stop`].
    pub done: StopSignal,
    /// The seed of the random choices of the admission.
    pub seed: u64,
}

/// `TargetState` is an announced target with its admission.
#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) notice: TargetNotice,
    pub(super) port: Rc<dyn TargetPort>,
    pub(super) admission: AdmitMachine,
}

/// `AgentTask` owns the admission, the requests and the port to the target.
#[derive(Debug)]
pub(super) struct AgentTask {
    pub(super) options: AgentOptions,
    pub(super) handle: AgentHandle,
    pub(super) target: Option<TargetState>,
    /// The requests that the task holds, by their tickets.
    pub(super) work_by_ticket: BTreeMap<u64, AgentWork>,
    /// The responses that are kept for retries, by the ticket of the first request.
    pub(super) kept: BTreeMap<u64, KeptResponse>,
    /// The indices of the slices that this node serves.
    pub(super) served: Vec<u32>,
    pub(super) stopping: bool,
    pub(super) meter: LoadMeter,
    pub(super) grants: GrantHealth,
    commands: UnboundedReceiver<AgentCommand>,
}

/// Spawns the agent task.
pub fn spawn(
    handle: AgentHandle,
    commands: UnboundedReceiver<AgentCommand>,
    options: AgentOptions,
) {
    let task = AgentTask {
        options,
        handle,
        commands,
        target: None,
        work_by_ticket: BTreeMap::new(),
        kept: BTreeMap::new(),
        served: Vec::new(),
        stopping: false,
        meter: LoadMeter::new(clock::now(), AssignOptions::default().rate_window),
        grants: GrantHealth::default(),
    };

    compio::runtime::spawn(task.run()).detach();
}

/// Creates the handle of a task that is not spawned yet, and the channel that the task will read.
pub fn channel(node: NodeName) -> (AgentHandle, UnboundedReceiver<AgentCommand>) {
    let (sender, commands) = mpsc::unbounded();

    (AgentHandle::new(node, sender), commands)
}

impl AgentTask {
    /// Handles commands and due timers until all handles are gone.
    async fn run(mut self) {
        loop {
            let due = self
                .target
                .as_ref()
                .and_then(|target| target.admission.next_wakeup());

            match timer::next_until(&mut self.commands, due).await {
                timer::WaitOutcome::Item(command) => self.take(command),
                timer::WaitOutcome::Due => self.admit(AdmitEvent::Tick),
                timer::WaitOutcome::Closed => return,
            }
        }
    }

    /// Handles one command.
    fn take(&mut self, command: AgentCommand) {
        match command {
            AgentCommand::Submit {
                ticket,
                head,
                body,
                deadline,
                reply,
            } => {
                self.submit(ticket, head, body, deadline, reply);
            }
            AgentCommand::CallerGone { ticket } => self.caller_gone(ticket),
            AgentCommand::HeadArrived { ticket, response } => self.head_arrived(ticket, response),
            AgentCommand::JobEnded { ticket, end, took } => self.job_ended(ticket, end, took),
            AgentCommand::Announced(notice) => self.announced(notice),
            AgentCommand::TargetSilent => self.target_silent(),
            AgentCommand::SliceGained { slice, memory } => self.slice_gained(slice, memory),
            AgentCommand::SliceStopping { slice } => self.slice_stopping(slice),
            AgentCommand::SliceLost { slice } => self.slice_lost(slice),
            AgentCommand::MeasureLoad => self.measure_load(),
            AgentCommand::Grant(grants) => self.grant(grants),
            AgentCommand::ConfigChanged => self.config_changed(),
            AgentCommand::Stop => self.stop(),
            AgentCommand::Target(reply) => {
                // Sending only fails when the receiver has gone.
                drop(reply.send(self.target.as_ref().map(|target| target.notice.clone())));
            }
            AgentCommand::Summary(reply) => self.summary(reply),
        }
    }

    /// Passes an event to the admission and performs the actions that it returns.
    pub(super) fn admit(&mut self, event: AdmitEvent) {
        let Some(target) = &mut self.target else {
            return;
        };

        let actions = target.admission.handle(clock::now(), event);
        for action in actions {
            self.act(&action);
        }
    }

    /// Performs one action of the admission.
    fn act(&mut self, action: &AdmitAction) {
        match *action {
            AdmitAction::Dispatch { ticket } => self.dispatch(ticket),
            AdmitAction::Refuse {
                ticket,
                refusal,
                verdict,
                retry_after,
            } => {
                self.refuse(ticket, refusal, verdict, retry_after);
            }
            AdmitAction::CancelAtTarget { ticket } => self.cancel(ticket),
            AdmitAction::Replay { ticket, of } => self.replay(ticket, of),
            AdmitAction::Keep { .. } => {}
            AdmitAction::Forget { ticket } => {
                self.kept.remove(&ticket);
            }
            AdmitAction::SliceDrained { slice } => self.slice_drained(slice),
            AdmitAction::AllDone => self.options.done.trigger(),
        }
    }

    /// Sends the state of the admission to `reply`.
    fn summary(&self, reply: Sender<Option<AdmitSummary>>) {
        let summary = self
            .target
            .as_ref()
            .map(|target| target.admission.summary());

        // Sending only fails when the receiver has gone.
        drop(reply.send(summary));
    }
}
