//! Serving, draining and moving slices, as steps of the ownership task.

use crate::{
    agent::AgentCommand,
    control::ControlBody,
    ownership::{
        command::{MemoryNotice, OwnershipCommand},
        task::OwnershipTask,
        view::SliceLeases,
    },
};
use compio::{net::TcpStream, time::timeout};
use std::time::Duration;
use tracing::{info, warn};
use wagtail_admit::MemoryTransfer;
use wagtail_assign::{AssignAction, LoadMessage, LoadSample};
use wagtail_core::{
    ids::{LeaseEpoch, NodeName, ServiceName},
    ports::TargetGrant,
    slice::SliceId,
    units::LocalMoment,
};
use wagtail_lease::{LeaseEvent, LeaseProblem};
use wagtail_net::clock;

/// The longest wait for a connection to the destination of a move.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

impl OwnershipTask {
    /// Starts serving a slice: updates the route, and gives the agent the slice's grant and request
    /// memory.
    pub(super) fn serve(&mut self, slice: SliceId, epoch: LeaseEpoch) {
        info!(event = "slice-served", %slice, epoch = epoch.0);
        let now = clock::now();
        let index = slice.index;

        self.options.view.clear_problem(&slice);
        self.options.view.routes().borrow_mut().learn_answer(
            &slice,
            &self.options.identity.name,
            Some(epoch),
        );

        // A node that already served the slice still has the request memory itself.
        let memory = if self.epochs.contains_key(&slice) {
            None
        } else {
            Some(self.memories.take(now, &slice, epoch))
        };
        self.epochs.insert(slice, epoch);
        self.renew_grants(now);
        self.options.agent.tell(AgentCommand::SliceGained {
            slice: index,
            memory,
        });

        let actions = self.placing.serve(now, index);
        self.assign(actions);
    }

    /// Stops serving a slice and revokes its grant at the target.
    pub(super) fn stop_serving(&mut self, slice: &SliceId, epoch: LeaseEpoch) {
        info!(event = "slice-stopped", %slice, epoch = epoch.0);

        self.epochs.remove(slice);
        let revoked = TargetGrant {
            slice: slice.index,
            epoch,
            valid_ms: 0,
        };
        self.options.agent.tell(AgentCommand::Grant(vec![revoked]));
        self.options
            .agent
            .tell(AgentCommand::SliceLost { slice: slice.index });

        let actions = self.placing.stop(clock::now(), slice.index);
        self.assign(actions);
    }

    /// Sends the request memory of a drained slice to the destination of its move, and reports the
    /// drain to the lease machine.
    pub(super) fn slice_drained(&mut self, index: u32, memory: MemoryTransfer) {
        let drained = self.epochs.iter().find(|(slice, _)| slice.index == index);
        let Some((slice, &epoch)) = drained else {
            return;
        };
        let slice = slice.clone();

        // The memory is sent before the hand-over, on the same connection, so it arrives first.
        if let Some(to) = self.memories.record_transfer(clock::now(), &slice) {
            let notice = MemoryNotice {
                slice: slice.clone(),
                epoch,
                memory,
            };
            self.options.outbox.send(&to, ControlBody::Memory(notice));
        }

        self.drive(LeaseEvent::Drained { slice, epoch });
    }

    /// Performs the actions of the assignment machine.
    pub(super) fn assign(&mut self, actions: Vec<AssignAction>) {
        let Some(service) = self.placing.service().cloned() else {
            return;
        };

        for action in actions {
            match action {
                AssignAction::Claim { slice } => self.claim(SliceId::new(service.clone(), slice)),
                AssignAction::Move { slice, to, reason } => {
                    info!(event = "slice-move", %service, slice, to = %to, ?reason);
                    self.move_slice(SliceId::new(service.clone(), slice), to);
                }
                AssignAction::SendLoad { to, message } => {
                    let service = service.clone();
                    self.options
                        .outbox
                        .send(&to, ControlBody::Load { service, message });
                }
                AssignAction::SplitKey { slice, key } => {
                    info!(event = "hot-key", %service, slice, key = &*key);
                }
            }
        }
    }

    /// Claims a slice that has no lease record.
    fn claim(&mut self, slice: SliceId) {
        self.memories.record_first_claim(&slice);
        self.drive(LeaseEvent::Claim { slice });
    }

    /// Probes the destination of a move before the move begins: a node that shares no lease set
    /// with this one may be down without anybody having noticed.
    fn move_slice(&self, slice: SliceId, to: NodeName) {
        let entry = self.options.fleet.load().nodes.get(&to).cloned();
        let handle = self.handle.clone();

        let probe = async move {
            let reachable = match entry {
                Some(entry) => {
                    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(entry.peers)).await;
                    matches!(connected, Ok(Ok(_)))
                }
                None => false,
            };
            handle.tell(OwnershipCommand::MoveProbed {
                slice,
                to,
                reachable,
            });
        };
        compio::runtime::spawn(probe).detach();
    }

    /// Starts the move of a slice if its destination is reachable and no earlier attempt stands in
    /// the way; otherwise reports the move as failed to the assignment.
    pub(super) fn move_probed(&mut self, slice: SliceId, to: NodeName, reachable: bool) {
        let now = clock::now();
        let index = slice.index;

        if reachable && self.memories.begin_move(now, &slice, &to) {
            self.placing.begin_move(index, to.clone());
            self.drive(LeaseEvent::Move { slice, to });
        } else {
            info!(event = "slice-move-refused", %slice, to = %to, reachable);
            let actions = self.placing.refuse_move(now, index);
            self.assign(actions);
        }
    }

    /// Passes the measured load of this node's target to the assignment.
    pub(super) fn load_measured(&mut self, sample: LoadSample) {
        let actions = self.placing.measure(clock::now(), sample);

        self.assign(actions);
    }

    /// Passes the load of a peer's target to the assignment if it serves the same service.
    pub(super) fn load_received(&mut self, service: &ServiceName, message: LoadMessage) {
        if self.placing.service() == Some(service) {
            let actions = self.placing.receive(clock::now(), message);
            self.assign(actions);
        }
    }

    /// Records whether the target responds; the slices of a target that does not move away.
    pub(super) fn target_answers(&mut self, answers: bool) {
        if !self.placing.set_target_up(answers) {
            return;
        }

        if answers {
            info!(event = "target-answers");
        } else {
            warn!(
                event = "target-lost",
                advice = "restart the target; its slices move away"
            );
        }

        let fleet = self.options.fleet.load();
        let actions = self.placing.apply_fleet(clock::now(), &fleet);
        self.assign(actions);
    }

    /// Sends the target the grants of all slices that this node may serve now, each valid until its
    /// lease ends.
    pub(super) fn renew_grants(&self, now: LocalMoment) {
        let grants = self.epochs.keys().filter_map(|slice| {
            let grant = self.options.view.may_serve(now, slice)?;
            let valid_ms = u64::try_from(grant.until.since(now).as_millis()).unwrap_or(0);

            Some(TargetGrant {
                slice: slice.index,
                epoch: grant.epoch,
                valid_ms,
            })
        });

        self.options
            .agent
            .tell(AgentCommand::Grant(grants.collect()));
    }

    /// Logs a problem of the lease machine and keeps it for the status. A refused move is also
    /// reported to the assignment.
    pub(super) fn report(&mut self, slice: Option<SliceId>, problem: LeaseProblem) {
        let subject = slice.as_ref().map(ToString::to_string).unwrap_or_default();
        warn!(
            event = "lease-problem",
            slice = subject,
            ?problem,
            advice = problem.advice()
        );

        if let (LeaseProblem::MoveRefused { .. }, Some(slice)) = (&problem, &slice) {
            let actions = self.placing.refuse_move(clock::now(), slice.index);
            self.assign(actions);
        }

        // Losing a race for a claim is normal and needs no operator.
        if !matches!(problem, LeaseProblem::AlreadyOwned { .. }) {
            self.options.view.keep_problem(slice, problem);
        }
    }
}
