//! The task that owns the admission and the target.

use crate::{
    agent::{
        command::{AgentCommand, AgentHandle, TargetNotice},
        order::KeptAnswer,
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

/// `AgentOptions` are the collaborators of the agent task.
#[derive(Debug)]
pub struct AgentOptions {
    /// The name of this node.
    pub node: NodeName,
    /// The shared state of the fleet.
    pub fleet: FleetCell,
    /// The leases, asked again before each dispatch.
    pub leases: Rc<dyn SliceLeases>,
    /// The ownership task, which is told of drained slices.
    pub ownership: OwnershipHandle,
    /// The latencies for each tenant and class.
    pub latency: LatencyHandle,
    /// The signal that is given when all work has ended after a stop.
    pub done: StopSignal,
    /// The seed of the admission.
    pub seed: u64,
}

/// `TargetState` is an announced target with its admission.
#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) notice: TargetNotice,
    pub(super) port: Rc<dyn TargetPort>,
    pub(super) admission: AdmitMachine,
}

/// `AgentTask` owns the admission, the work and the port to the target.
#[derive(Debug)]
pub(super) struct AgentTask {
    pub(super) options: AgentOptions,
    pub(super) handle: AgentHandle,
    pub(super) target: Option<TargetState>,
    pub(super) works: BTreeMap<u64, AgentWork>,
    /// The answers that are kept for repeats of their requests, by the first's number.
    pub(super) kept: BTreeMap<u64, KeptAnswer>,
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
        works: BTreeMap::new(),
        kept: BTreeMap::new(),
        served: Vec::new(),
        stopping: false,
        meter: LoadMeter::new(clock::now(), AssignOptions::default().rate_window),
        grants: GrantHealth::default(),
    };

    compio::runtime::spawn(task.run()).detach();
}

/// Makes the handle of a task that is not spawned yet, with the channel that it will read.
pub fn channel(node: NodeName) -> (AgentHandle, UnboundedReceiver<AgentCommand>) {
    let (sender, commands) = mpsc::unbounded();

    (AgentHandle::new(node, sender), commands)
}

impl AgentTask {
    /// Takes commands and due times in until all handles are gone.
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

    /// Takes one command in.
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
            AgentCommand::AnswerStarted { ticket, answer } => self.answer_started(ticket, answer),
            AgentCommand::OrderEnded { ticket, end, took } => self.order_ended(ticket, end, took),
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
                // Somebody who has gone needs no notice.
                drop(reply.send(self.target.as_ref().map(|target| target.notice.clone())));
            }
            AgentCommand::Summary(reply) => self.summary(reply),
        }
    }

    /// Gives the admission an event and does what it asks for.
    pub(super) fn admit(&mut self, event: AdmitEvent) {
        let Some(target) = &mut self.target else {
            return;
        };

        let actions = target.admission.handle(clock::now(), event);
        for action in actions {
            self.act(&action);
        }
    }

    /// Does one thing that the admission asks for.
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

    /// Answers a question for the state.
    fn summary(&self, reply: Sender<Option<AdmitSummary>>) {
        let summary = self
            .target
            .as_ref()
            .map(|target| target.admission.summary());

        // Somebody who has gone needs no state.
        drop(reply.send(summary));
    }
}
