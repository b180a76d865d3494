//! The task that owns the admission and the target.

use crate::{
    agent::{
        answer::{RefusalAnswer, refusal_answer},
        command::{AgentCommand, AgentHandle, TargetNotice},
        order::{KeptAnswer, OrderEnd, OrderJob},
        work::AgentWork,
    },
    fleet::FleetCell,
    identifier::issued_moment,
    latency::LatencyHandle,
    ownership::{OwnershipCommand, OwnershipHandle, SliceLeases},
    timer,
};
use bytes::Bytes;
use futures_channel::{
    mpsc::{self, UnboundedReceiver},
    oneshot::Sender,
};
use std::{collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};
use tracing::{debug, info, warn};
use wagtail_admit::{
    AdmitAction, AdmitEvent, AdmitMachine, AdmitOptions, AdmitRefusal, IdentifierAge,
    MemoryTransfer, WorkArrival, WorkOutcome,
};
use wagtail_assign::{AssignOptions, LoadMeter};
use wagtail_core::{
    CoreError,
    ids::NodeName,
    ports::{TargetAnswer, TargetGrant, TargetOrder, TargetPort},
    request::RequestHead,
    service::ServiceSpec,
    slice::{KeyHash, SliceId},
    units::LocalMoment,
    verdict::RunVerdict,
};
use wagtail_net::{clock, stop::StopSignal};
use wagtail_peer::stream::WholeBody;
use wagtail_target::HttpTarget;

/// The time after which a repeat is expected to find a target that has announced itself.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);

/// The time after which a repeat is expected to find the owner of a key.
const NOT_OWNER_RETRY: Duration = Duration::from_millis(300);

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
struct TargetState {
    notice: TargetNotice,
    port: Rc<dyn TargetPort>,
    admission: AdmitMachine,
}

/// `AgentTask` owns the admission, the work and the port to the target.
#[derive(Debug)]
struct AgentTask {
    options: AgentOptions,
    handle: AgentHandle,
    commands: UnboundedReceiver<AgentCommand>,
    target: Option<TargetState>,
    works: BTreeMap<u64, AgentWork>,
    kept: BTreeMap<u64, KeptAnswer>,
    served: Vec<u32>,
    stopping: bool,
    meter: LoadMeter,
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
                timer::Waited::Item(command) => self.take(command),
                timer::Waited::Due => self.admit(AdmitEvent::Tick),
                timer::Waited::Closed => return,
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

    /// Takes a request in.
    fn submit(
        &mut self,
        ticket: u64,
        head: RequestHead,
        body: Bytes,
        deadline: LocalMoment,
        reply: Sender<TargetAnswer>,
    ) {
        let spec = self.spec_of(&head);
        let slice = spec.as_ref().and_then(|spec| slice_index(spec, &head));
        let arrival = arrival(ticket, &head, deadline, slice);
        let service = head.service.clone();
        let key = head.key.clone();
        let work = AgentWork {
            head,
            body,
            slice,
            deadline,
            reply: Some(reply),
            order: None,
        };
        self.works.insert(ticket, work);

        if let Some(slice) = slice.filter(|_| spec.is_some()) {
            let slice = SliceId::new(service, slice);
            if self
                .options
                .leases
                .may_serve(clock::now(), &slice)
                .is_none()
            {
                self.refuse(
                    ticket,
                    AdmitRefusal::NotOwner,
                    RunVerdict::NotRun,
                    NOT_OWNER_RETRY,
                );
                return;
            }
        }

        if self.target.is_none() || spec.is_none() {
            let code = if self.stopping {
                "stopping"
            } else {
                "no-target"
            };
            self.refuse_plain(ticket, code, "no target of the service is beside this node");
            return;
        }

        if let (Some(slice), Some(key)) = (slice, key) {
            self.meter.record(slice, &key);
        }
        self.admit(AdmitEvent::Arrived(arrival));
    }

    /// Returns the declared service of a request when the target beside this node serves it.
    fn spec_of(&self, head: &RequestHead) -> Option<ServiceSpec> {
        let target = self.target.as_ref()?;

        if target.notice.service != head.service {
            return None;
        }

        self.options
            .fleet
            .load()
            .config
            .service(&head.service)
            .cloned()
    }

    /// Gives the admission an event and does what it asks for.
    fn admit(&mut self, event: AdmitEvent) {
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
            AdmitAction::AllDone => self.options.done.give(),
        }
    }

    /// Sends an order to the target, if the lease still allows it.
    fn dispatch(&mut self, ticket: u64) {
        let now = clock::now();
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        let Some(target) = &self.target else {
            return;
        };

        let mut until = work.deadline;
        let mut epoch = None;

        if let Some(slice) = work.slice {
            let slice = SliceId::new(work.head.service.clone(), slice);
            let Some(grant) = self.options.leases.may_serve(now, &slice) else {
                self.handle.tell(AgentCommand::OrderEnded {
                    ticket,
                    end: OrderEnd::Failed {
                        error: not_owner(&slice, &*self.options.leases),
                    },
                    took: Duration::ZERO,
                });
                return;
            };
            until = until.min(grant.until);
            epoch = Some(grant.epoch);
        }

        let order = TargetOrder {
            head: work.head.clone(),
            body: work.body.clone(),
            slice: work.slice,
            epoch,
            time_left: until.since(now),
        };
        debug!(event = "order-dispatched", request_id = %order.head.id, ticket);

        let job = OrderJob {
            ticket,
            order,
            target: Rc::clone(&target.port),
            agent: self.handle.clone(),
        };
        work.order = Some(compio::runtime::spawn(job.run()));
    }

    /// Gives a refusal as the final answer.
    fn refuse(
        &mut self,
        ticket: u64,
        refusal: AdmitRefusal,
        verdict: RunVerdict,
        retry_after: Duration,
    ) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };

        let owner = work.slice.and_then(|slice| {
            let slice = SliceId::new(work.head.service.clone(), slice);
            self.options.leases.owner(&slice)
        });
        debug!(
            event = "request-refused", request_id = %work.head.id, refusal = refusal.as_str(),
            verdict = verdict.as_str()
        );

        let answer = refusal_answer(refusal, verdict, retry_after, owner);
        let answer = answer.into_answer(&work.head.id, &self.options.node);
        work.answer(answer);
        self.forget_if_over(ticket);
    }

    /// Refuses a request that reached no admission.
    fn refuse_plain(&mut self, ticket: u64, code: &str, message: &str) {
        if let Some(work) = self.works.get_mut(&ticket) {
            let refusal = RefusalAnswer {
                status: 503,
                code: Arc::from(code),
                message: Arc::from(message),
                verdict: RunVerdict::NotRun,
                owner: None,
                retry_after: Some(NO_TARGET_RETRY),
            };
            work.answer(refusal.into_answer(&work.head.id, &self.options.node));
        }

        self.forget_if_over(ticket);
    }

    /// Drops the order of an arrival, which closes its connection to the target.
    fn cancel(&mut self, ticket: u64) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };

        if work.order.take().is_some() {
            self.handle.tell(AgentCommand::OrderEnded {
                ticket,
                end: OrderEnd::Abandoned,
                took: Duration::ZERO,
            });
        }
    }

    /// Gives the kept answer of an earlier arrival.
    fn replay(&mut self, ticket: u64, of: u64) {
        let Some(kept) = self.kept.get(&of).cloned() else {
            let verdict = RunVerdict::Unknown;
            self.refuse(ticket, AdmitRefusal::Duplicate, verdict, Duration::ZERO);
            return;
        };

        if let Some(work) = self.works.get_mut(&ticket) {
            let body = Box::new(WholeBody::new(kept.body));
            work.answer(TargetAnswer {
                head: kept.head,
                body,
            });
        }

        self.forget_if_over(ticket);
    }

    /// Passes the head of a target's answer on.
    fn answer_started(&mut self, ticket: u64, answer: TargetAnswer) {
        if let Some(work) = self.works.get_mut(&ticket) {
            work.answer(answer);
        }
    }

    /// Takes the end of an order in.
    fn order_ended(&mut self, ticket: u64, end: OrderEnd, took: Duration) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };
        work.order = None;

        let outcome = match end {
            OrderEnd::Answered { bytes, kept } => {
                self.options
                    .latency
                    .record(&work.head.tenant, work.head.class, took);
                if let Some(kept) = kept {
                    self.kept.insert(ticket, kept);
                }
                WorkOutcome::Answered { bytes }
            }
            OrderEnd::Failed { error } => {
                warn!(event = "order-failed", request_id = %work.head.id, %error);
                notice_failure(&self.options.ownership, &error);
                outcome_of(&error)
            }
            OrderEnd::Abandoned => WorkOutcome::Abandoned,
        };

        self.admit(AdmitEvent::Finished {
            ticket,
            outcome,
            took,
        });
        self.forget_if_over(ticket);
    }

    /// Takes in that nobody waits for an answer.
    fn caller_gone(&mut self, ticket: u64) {
        if let Some(work) = self.works.get_mut(&ticket) {
            work.reply = None;
            self.admit(AdmitEvent::Cancelled { ticket });
        }

        self.forget_if_over(ticket);
    }

    /// Forgets a work that is over.
    fn forget_if_over(&mut self, ticket: u64) {
        if self.works.get(&ticket).is_some_and(AgentWork::is_over) {
            self.works.remove(&ticket);
        }
    }

    /// Takes an announcement in: a new target, a restarted one, or one that leaves.
    fn announced(&mut self, notice: TargetNotice) {
        let fleet = self.options.fleet.load();
        let Some(spec) = fleet.config.service(&notice.service) else {
            return;
        };

        self.options
            .ownership
            .tell(OwnershipCommand::TargetAnswers(true));

        match &mut self.target {
            Some(target) if target.notice.address == notice.address => {
                let restarted = target.notice.started_ms != notice.started_ms;
                let leaves = notice.draining && !target.notice.draining;
                target.notice = notice;

                if restarted {
                    info!(event = "target-restarted");
                    self.admit(AdmitEvent::TargetStarted);
                }
                if leaves {
                    info!(event = "target-leaves");
                }
            }
            _ => {
                info!(event = "target-announced", service = %notice.service, address = %notice.address);
                self.target = Some(self.target_state(notice, spec));
                self.admit(AdmitEvent::TargetStarted);
                for slice in self.served.clone() {
                    self.admit(AdmitEvent::SliceGained { slice });
                }
            }
        }
    }

    /// Makes the state of a target that announced itself for the first time.
    fn target_state(&self, notice: TargetNotice, spec: &ServiceSpec) -> TargetState {
        let port = HttpTarget::new(
            self.options.node.clone(),
            notice.service.clone(),
            notice.address,
        );
        let options = AdmitOptions::for_service(spec);
        let admission = AdmitMachine::new(options, self.options.seed);

        TargetState {
            notice,
            port: Rc::new(port),
            admission,
        }
    }

    /// Takes in that the target has gone silent. Its work ends by itself at the deadlines.
    fn target_silent(&self) {
        if self.target.is_some() {
            warn!(
                event = "target-silent",
                advice = "look whether the target's process runs"
            );
            self.options
                .ownership
                .tell(OwnershipCommand::TargetAnswers(false));
        }
    }

    /// Takes in that the node serves a slice.
    fn slice_gained(&mut self, slice: u32, memory: Option<MemoryTransfer>) {
        if !self.served.contains(&slice) {
            self.served.push(slice);
        }

        // Memory goes first, so that no repeat slips in before it.
        if let (Some(target), Some(memory)) = (&mut self.target, memory) {
            target.admission.import_memory(clock::now(), slice, memory);
        }

        self.admit(AdmitEvent::SliceGained { slice });
    }

    /// Takes in that a slice is to move.
    fn slice_stopping(&mut self, slice: u32) {
        if self.target.is_none() {
            self.slice_drained(slice);
            return;
        }

        self.admit(AdmitEvent::SliceStopping { slice });
    }

    /// Takes in that the lease of a slice has ended.
    fn slice_lost(&mut self, slice: u32) {
        self.served.retain(|&served| served != slice);
        self.meter.forget(slice);
        self.admit(AdmitEvent::SliceLost { slice });
    }

    /// Tells the ownership task that nothing of a slice is at the target any more.
    fn slice_drained(&mut self, slice: u32) {
        let now = clock::now();
        let memory = match &self.target {
            Some(target) => target.admission.transfer_memory(now, slice),
            None => MemoryTransfer::Lost,
        };

        self.options
            .ownership
            .tell(OwnershipCommand::SliceDrained { slice, memory });
    }

    /// Tells the ownership task of the load of the slices.
    fn measure_load(&mut self) {
        let sample = self.meter.sample(clock::now());
        // Settings that had to wait for running orders are tried again.
        self.config_changed();

        self.options
            .ownership
            .tell(OwnershipCommand::LoadMeasured(sample));
    }

    /// Renews the grants of a target that checks fencing.
    fn grant(&self, grants: Vec<TargetGrant>) {
        let Some(target) = &self.target else {
            return;
        };

        if !target.notice.fenced || grants.is_empty() {
            return;
        }

        let port = Rc::clone(&target.port);
        let renewal = async move {
            if let Err(error) = port.grant(grants).await {
                warn!(event = "grant-failed", %error);
            }
        };
        compio::runtime::spawn(renewal).detach();
    }

    /// Takes a new configuration over into the admission.
    fn config_changed(&mut self) {
        let fleet = self.options.fleet.load();
        let Some(target) = &mut self.target else {
            return;
        };

        if let Some(spec) = fleet.config.service(&target.notice.service) {
            target
                .admission
                .set_options(AdmitOptions::for_service(spec));
        }
    }

    /// Takes nothing new from now on.
    fn stop(&mut self) {
        self.stopping = true;

        if self.target.is_none() {
            self.options.done.give();
        }

        self.admit(AdmitEvent::Stop);
    }

    /// Answers a question for the state.
    fn summary(&self, reply: Sender<Option<wagtail_admit::AdmitSummary>>) {
        let summary = self
            .target
            .as_ref()
            .map(|target| target.admission.summary());

        // Somebody who has gone needs no state.
        drop(reply.send(summary));
    }
}

/// Makes the admission's view of a request.
fn arrival(
    ticket: u64,
    head: &RequestHead,
    deadline: LocalMoment,
    slice: Option<u32>,
) -> WorkArrival {
    let age = identifier_age(head);

    WorkArrival {
        ticket,
        id: head.id.clone(),
        tenant: head.tenant.clone(),
        operation: head.operation.clone(),
        class: head.class,
        idempotent: head.idempotent,
        deadline,
        slice,
        age,
    }
}

/// Returns what is known of the age of a request's identifier.
fn identifier_age(head: &RequestHead) -> IdentifierAge {
    if head.id_made {
        return IdentifierAge::Made;
    }

    issued_moment(clock::now(), &head.id).map_or(IdentifierAge::Unknown, IdentifierAge::Issued)
}

/// Returns the slice of a request's key.
fn slice_index(spec: &ServiceSpec, head: &RequestHead) -> Option<u32> {
    let key = head.key.as_ref().filter(|_| spec.keyed)?;

    Some(KeyHash::new(key.as_bytes()).slice_index(spec.slices))
}

/// Tells the ownership task of a target that takes no connection.
fn notice_failure(ownership: &OwnershipHandle, error: &CoreError) {
    if matches!(
        error,
        CoreError::Unavailable {
            verdict: RunVerdict::NotRun,
            ..
        }
    ) {
        ownership.tell(OwnershipCommand::TargetAnswers(false));
    }
}

/// Makes the error of a dispatch without a lease.
fn not_owner(slice: &SliceId, leases: &dyn SliceLeases) -> CoreError {
    CoreError::NotOwner {
        slice: slice.index,
        owner: leases.owner(slice),
    }
}

/// Returns what the admission is told of a failed order.
fn outcome_of(error: &CoreError) -> WorkOutcome {
    match error {
        CoreError::Overloaded { .. } => WorkOutcome::Shed,
        _ => WorkOutcome::Failed {
            verdict: error.verdict(),
        },
    }
}
