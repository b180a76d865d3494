//! The task that owns the lease machine and the assignment machine.

use crate::{
    agent::{AgentCommand, AgentHandle},
    control::{ControlBody, ControlOutbox},
    fleet::FleetCell,
    ownership::{
        calls::{RecordCalls, parse_record},
        command::{OwnershipCommand, OwnershipHandle},
        memories::HandoverTracker,
        names::NameInterner,
        placing::PlacingState,
        view::OwnershipView,
    },
    timer,
};
use futures_channel::mpsc::UnboundedReceiver;
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tracing::{info, warn};
use wagtail_core::{
    Result,
    ids::{LeaseEpoch, NodeIdentity, ServiceName},
    ports::{PlatformStore, StoredValue},
    slice::SliceId,
    units::LocalMoment,
};
use wagtail_lease::{LeaseAction, LeaseEvent};
use wagtail_net::clock;
use wagtail_route::RouteHint;

/// The time between two renewals of the grants at a target that checks fencing tokens.
const GRANT_INTERVAL: Duration = Duration::from_millis(200);

/// The time between two measurements of the target's load.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest time between two reads of records whose owner is unknown. It limits the node and
/// not each slice, as all nodes may read at the same time.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The identifier of reads that the lease machine did not request.
const REFRESH_READ_ID: u64 = 0;

/// `OwnershipOptions` are the collaborators of the ownership task.
#[derive(Debug)]
pub struct OwnershipOptions {
    /// The name and incarnation of this daemon.
    pub identity: NodeIdentity,
    /// The platform, which stores the lease records.
    pub store: Rc<dyn PlatformStore>,
    /// The shared state of the fleet.
    pub fleet: FleetCell,
    /// The lease machine, the routes and the problems, as the other tasks read them.
    pub view: OwnershipView,
    /// The agent task, which dispatches to the target.
    pub agent: AgentHandle,
    /// The control connections to the peers.
    pub outbox: Rc<ControlOutbox>,
    /// The seed of the assignment machine.
    pub seed: u64,
}

/// `ServiceRecords` is the reading state of a service's lease records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServiceRecords {
    /// The records are being read.
    Reading,
    /// The records were read.
    Known,
}

/// `OwnershipTask` owns the lease machine, the assignment machine and the calls for lease records.
#[derive(Debug)]
pub(super) struct OwnershipTask {
    pub(super) options: OwnershipOptions,
    pub(super) calls: RecordCalls,
    pub(super) placing: PlacingState,
    pub(super) memories: HandoverTracker,
    pub(super) names: NameInterner,
    /// The reading state of each keyed service's records; absent before the first read and after
    /// a failed one.
    pub(super) records: BTreeMap<ServiceName, ServiceRecords>,
    /// The lease epochs of the slices that this node serves.
    pub(super) epochs: BTreeMap<SliceId, LeaseEpoch>,
    /// The nodes that were reported to the lease machine as lost.
    pub(super) gone: BTreeSet<NodeIdentity>,
    pub(super) handle: OwnershipHandle,
    commands: UnboundedReceiver<OwnershipCommand>,
    refresh_at: LocalMoment,
    grant_at: LocalMoment,
    measure_at: LocalMoment,
}

/// Spawns the ownership task.
pub fn spawn(
    handle: OwnershipHandle,
    commands: UnboundedReceiver<OwnershipCommand>,
    options: OwnershipOptions,
) {
    let task = OwnershipTask {
        calls: RecordCalls::new(Rc::clone(&options.store), handle.clone()),
        handle,
        placing: PlacingState::new(options.identity.name.clone(), options.seed),
        memories: HandoverTracker::default(),
        names: NameInterner::default(),
        records: BTreeMap::new(),
        epochs: BTreeMap::new(),
        gone: BTreeSet::new(),
        commands,
        refresh_at: LocalMoment::ZERO,
        grant_at: LocalMoment::ZERO,
        measure_at: LocalMoment::ZERO,
        options,
    };

    compio::runtime::spawn(task.run()).detach();
}

impl OwnershipTask {
    /// Handles commands and due times for as long as the daemon runs.
    async fn run(mut self) {
        loop {
            let due = self.next_due();

            match timer::next_until(&mut self.commands, Some(due)).await {
                timer::WaitOutcome::Item(command) => self.handle_command(command),
                timer::WaitOutcome::Due => self.tick(),
                timer::WaitOutcome::Closed => return,
            }
        }
    }

    /// Returns the earliest time at which work falls due without a command.
    fn next_due(&self) -> LocalMoment {
        let lease = self.options.view.next_wakeup();

        lease.min(self.grant_at).min(self.measure_at)
    }

    /// Does the periodic work that is due.
    fn tick(&mut self) {
        let now = clock::now();

        self.drive(LeaseEvent::Tick);

        if self.grant_at <= now {
            self.grant_at = now + GRANT_INTERVAL;
            self.renew_grants(now);
        }
        if self.measure_at <= now {
            self.measure_at = now + MEASURE_INTERVAL;
            self.report_unowned();
            self.options.agent.tell(AgentCommand::MeasureLoad);
        }
    }

    /// Handles one command.
    fn handle_command(&mut self, command: OwnershipCommand) {
        match command {
            OwnershipCommand::FleetChanged => self.fleet_changed(),
            OwnershipCommand::Received { from, message } => {
                self.drive(LeaseEvent::Received { from, message });
            }
            OwnershipCommand::Listed { service, records } => self.records_listed(service, &records),
            OwnershipCommand::ListFailed { service } => {
                self.records.remove(&service);
                self.read_services();
            }
            OwnershipCommand::Read {
                slice,
                read_id,
                outcome,
            } => {
                self.record_read(slice, read_id, outcome);
            }
            OwnershipCommand::Written { write_id, outcome } => {
                self.drive(LeaseEvent::WriteFinished { write_id, outcome });
            }
            OwnershipCommand::SliceDrained { slice, memory } => self.slice_drained(slice, memory),
            OwnershipCommand::Memory(notice) => self.memories.receive(clock::now(), notice),
            OwnershipCommand::Refresh { slice } => self.refresh(slice),
            OwnershipCommand::MoveProbed {
                slice,
                to,
                reachable,
            } => {
                self.move_probed(slice, to, reachable);
            }
            OwnershipCommand::LoadMeasured(sample) => self.load_measured(sample),
            OwnershipCommand::LoadReceived { service, message } => {
                self.load_received(&service, message);
            }
            OwnershipCommand::TargetAnswers(answers) => self.target_answers(answers),
        }
    }

    /// Passes an event to the lease machine and performs the actions that it returns.
    pub(super) fn drive(&mut self, event: LeaseEvent) {
        for action in self.options.view.handle(event) {
            self.perform(action);
        }
    }

    /// Performs one action of the lease machine.
    fn perform(&mut self, action: LeaseAction) {
        match action {
            LeaseAction::Send { to, message } => {
                self.options.outbox.send(&to, ControlBody::Lease(message));
            }
            LeaseAction::ReadRecord { slice, read_id } => self.calls.read(slice, read_id),
            LeaseAction::WriteRecord {
                record,
                expected_version,
            } => {
                self.calls.write(record, expected_version);
            }
            LeaseAction::Serve { slice, epoch } => self.serve(slice, epoch),
            LeaseAction::Drain { slice, epoch } => {
                info!(event = "slice-draining", %slice, epoch = epoch.0);
                self.options
                    .agent
                    .tell(AgentCommand::SliceStopping { slice: slice.index });
            }
            LeaseAction::Stop { slice, epoch } => self.stop_serving(&slice, epoch),
            LeaseAction::Learned { record } => self.options.view.learn(RouteHint::from(&record)),
            LeaseAction::Report { slice, problem } => self.report(slice, problem),
        }
    }

    /// Reads the record of a slice whose owner is unknown, at most once per [`REFRESH_INTERVAL`].
    fn refresh(&mut self, slice: SliceId) {
        let now = clock::now();

        if now >= self.refresh_at {
            self.refresh_at = now + REFRESH_INTERVAL;
            self.calls.read(slice, REFRESH_READ_ID);
        }
    }

    /// Passes a read record, or the failure of the read, to the lease machine.
    fn record_read(&mut self, slice: SliceId, read_id: u64, outcome: Result<Option<StoredValue>>) {
        let event = match outcome {
            Ok(stored) => {
                let mut stored = stored.as_ref().and_then(parse_record);
                if let Some(versioned) = &mut stored {
                    self.names.share(&mut versioned.record);
                    self.options.view.learn(RouteHint::from(&versioned.record));
                }
                LeaseEvent::RecordRead {
                    slice,
                    read_id,
                    stored,
                }
            }
            Err(error) => {
                warn!(event = "platform-failed", call = "get-lease", %slice, %error);
                LeaseEvent::ReadFailed { slice, read_id }
            }
        };

        self.drive(event);
    }
}
