//! The task that drives the lease machine.

use crate::{
    agent::{AgentCommand, AgentHandle},
    control::{ControlBody, ControlOutbox},
    fleet::{FleetCell, FleetState, LEASE_PREFIX},
    memories::MemoryBook,
    timer,
};
use compio::time::sleep;
use futures_channel::mpsc::{self, UnboundedReceiver, UnboundedSender};
use serde::{Deserialize, Serialize};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    fmt::Debug,
    rc::Rc,
    time::Duration,
};
use tracing::{info, warn};
use wagtail_admit::MemoryTransfer;
use wagtail_assign::placement::{PlacementTarget, place_slice};
use wagtail_core::{
    CoreError,
    ids::{LeaseEpoch, NodeIdentity, NodeName, ServiceName},
    lease::LeaseRecord,
    ports::{PlatformStore, StoredValue, TargetGrant},
    slice::SliceId,
    units::LocalMoment,
    verdict::RunVerdict,
};
use wagtail_lease::{
    LeaseAction, LeaseEvent, LeaseMachine, LeaseMessage, LeaseProblem, LeaseSummary, MemberInfo,
    ServeGrant, VersionedRecord, WriteOutcome,
};
use wagtail_net::clock;
use wagtail_route::{RouteHint, RouteTable};

/// The time without a change of the fleet after which slices without a record are claimed.
const CLAIM_SETTLE: Duration = Duration::from_secs(1);

/// The time between two renewals of the grants at a target that checks fencing.
const GRANT_INTERVAL: Duration = Duration::from_millis(200);

/// The pause before the records are listed again after a failure.
const LIST_PAUSE: Duration = Duration::from_millis(500);

/// The time between two reads of the same record for its owner.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The identifier of a read that the machine did not ask for.
const REFRESH: u64 = 0;

/// `SliceLeases` answers for the leases of this node at this instant.
pub trait SliceLeases: Debug {
    /// Returns the right to dispatch work of a slice now.
    fn may_serve(&self, now: LocalMoment, slice: &SliceId) -> Option<ServeGrant>;

    /// Returns the newest known owner of a slice.
    fn owner(&self, slice: &SliceId) -> Option<NodeName>;
}

/// `MemoryNotice` is what the former owner of a slice remembers of its requests.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct MemoryNotice {
    /// The slice.
    pub slice: SliceId,
    /// The epoch under which the former owner served it.
    pub epoch: LeaseEpoch,
    /// The remembered requests.
    pub memory: MemoryTransfer,
}

/// `OwnershipCommand` is what the ownership task is told.
#[derive(Debug)]
pub enum OwnershipCommand {
    /// The configuration or the nodes changed.
    FleetChanged,
    /// A message of another daemon's lease machine arrived.
    Received {
        /// The start of the daemon that sent it.
        from: NodeIdentity,
        /// The message.
        message: LeaseMessage,
    },
    /// All records under a prefix were read.
    Listed {
        /// The service whose records were read.
        service: ServiceName,
        /// The records.
        records: Vec<StoredValue>,
    },
    /// The records of a service could not be read.
    ListFailed {
        /// The service.
        service: ServiceName,
    },
    /// One record was read, or the read failed.
    Read {
        /// The slice.
        slice: SliceId,
        /// The identifier of the read.
        read_id: u64,
        /// The stored record, or the failure.
        outcome: wagtail_core::Result<Option<StoredValue>>,
    },
    /// A write of a record ended.
    Written {
        /// The identifier of the write.
        write_id: u64,
        /// What became of it.
        outcome: WriteOutcome,
    },
    /// Nothing of a slice that is to move is at the target any more.
    SliceDrained {
        /// The index of the slice in the service of the target.
        slice: u32,
        /// What the next owner must know of its requests.
        memory: MemoryTransfer,
    },
    /// The former owner of a slice sent what it remembers of its requests.
    Memory(MemoryNotice),
    /// No node that was tried owns a slice.
    Refresh {
        /// The slice.
        slice: SliceId,
    },
    /// A slice is to move to another node.
    Move {
        /// The slice.
        slice: SliceId,
        /// The new owner.
        to: NodeName,
    },
}

/// `OwnershipHandle` tells the ownership task.
#[derive(Debug, Clone)]
pub struct OwnershipHandle(UnboundedSender<OwnershipCommand>);

impl OwnershipHandle {
    /// Tells the task something.
    pub fn tell(&self, command: OwnershipCommand) {
        // Only a daemon that ends has no ownership task.
        drop(self.0.unbounded_send(command));
    }
}

/// `OwnershipView` answers for the leases, for the tasks that do not own them.
#[derive(Debug, Clone)]
pub struct OwnershipView {
    machine: Rc<RefCell<LeaseMachine>>,
    routes: Rc<RefCell<RouteTable>>,
    problems: Rc<RefCell<BTreeMap<Option<SliceId>, LeaseProblem>>>,
}

impl OwnershipView {
    /// Makes the view of a machine that has just started.
    pub fn new(machine: LeaseMachine) -> Self {
        Self {
            machine: Rc::new(RefCell::new(machine)),
            routes: Rc::default(),
            problems: Rc::default(),
        }
    }

    /// Returns the routes that this daemon knows of.
    pub fn routes(&self) -> &Rc<RefCell<RouteTable>> {
        &self.routes
    }

    /// Returns the state of the leases.
    pub fn summary(&self) -> LeaseSummary {
        self.machine.borrow().summary()
    }

    /// Returns the newest problem of each slice.
    pub fn problems(&self) -> Vec<(Option<SliceId>, LeaseProblem)> {
        let problems = self.problems.borrow();

        problems
            .iter()
            .map(|(slice, problem)| (slice.clone(), problem.clone()))
            .collect()
    }
}

impl SliceLeases for OwnershipView {
    fn may_serve(&self, now: LocalMoment, slice: &SliceId) -> Option<ServeGrant> {
        self.machine.borrow().may_serve(now, slice)
    }

    fn owner(&self, slice: &SliceId) -> Option<NodeName> {
        let machine = self.machine.borrow();

        machine.owner_hint(slice).map(|hint| hint.owner.name)
    }
}

/// `OwnershipOptions` are the collaborators of the ownership task.
#[derive(Debug)]
pub struct OwnershipOptions {
    /// The present start of this daemon.
    pub identity: NodeIdentity,
    /// The platform.
    pub store: Rc<dyn PlatformStore>,
    /// The shared state of the fleet.
    pub fleet: FleetCell,
    /// The leases.
    pub view: OwnershipView,
    /// The agent task.
    pub agent: AgentHandle,
    /// The control connections.
    pub outbox: Rc<ControlOutbox>,
}

/// `ServiceRecords` is how far the records of a service are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServiceRecords {
    /// They are being read.
    Reading,
    /// They were read.
    Known,
}

/// `OwnershipTask` owns the lease machine and its calls of the platform.
#[derive(Debug)]
struct OwnershipTask {
    options: OwnershipOptions,
    handle: OwnershipHandle,
    commands: UnboundedReceiver<OwnershipCommand>,
    records: BTreeMap<ServiceName, ServiceRecords>,
    epochs: BTreeMap<SliceId, LeaseEpoch>,
    memories: MemoryBook,
    gone: BTreeSet<NodeIdentity>,
    refreshed: BTreeMap<SliceId, LocalMoment>,
    claim_at: Option<LocalMoment>,
    grant_at: LocalMoment,
}

/// Makes the handle of a task that is not spawned yet, with the channel that it will read.
pub fn channel() -> (OwnershipHandle, UnboundedReceiver<OwnershipCommand>) {
    let (sender, commands) = mpsc::unbounded();

    (OwnershipHandle(sender), commands)
}

/// Spawns the ownership task.
pub fn spawn(
    handle: OwnershipHandle,
    commands: UnboundedReceiver<OwnershipCommand>,
    options: OwnershipOptions,
) {
    let task = OwnershipTask {
        options,
        handle,
        commands,
        records: BTreeMap::new(),
        epochs: BTreeMap::new(),
        memories: MemoryBook::default(),
        gone: BTreeSet::new(),
        refreshed: BTreeMap::new(),
        claim_at: None,
        grant_at: LocalMoment::ZERO,
    };

    compio::runtime::spawn(task.run()).detach();
}

impl OwnershipTask {
    /// Takes commands and due times in for as long as the daemon runs.
    async fn run(mut self) {
        loop {
            let due = self.next_due();

            match timer::next_until(&mut self.commands, Some(due)).await {
                timer::Waited::Item(command) => self.take(command),
                timer::Waited::Due => self.tick(),
                timer::Waited::Closed => return,
            }
        }
    }

    /// Returns when the task has something to do by itself.
    fn next_due(&self) -> LocalMoment {
        let lease = self.options.view.machine.borrow().next_wakeup();
        let due = lease.min(self.grant_at);

        self.claim_at.map_or(due, |claim| due.min(claim))
    }

    /// Does what is due.
    fn tick(&mut self) {
        let now = clock::now();

        self.drive(LeaseEvent::Tick);

        if self.claim_at.is_some_and(|claim| claim <= now) {
            self.claim_at = None;
            self.claim_slices();
        }
        if self.grant_at <= now {
            self.grant_at = now + GRANT_INTERVAL;
            self.renew_grants(now);
        }
    }

    /// Takes one command in.
    fn take(&mut self, command: OwnershipCommand) {
        match command {
            OwnershipCommand::FleetChanged => self.fleet_changed(),
            OwnershipCommand::Received { from, message } => {
                self.drive(LeaseEvent::Received { from, message });
            }
            OwnershipCommand::Listed { service, records } => self.listed(service, &records),
            OwnershipCommand::ListFailed { service } => {
                self.records.remove(&service);
                self.read_services();
            }
            OwnershipCommand::Read {
                slice,
                read_id,
                outcome,
            } => self.record_read(slice, read_id, outcome),
            OwnershipCommand::Written { write_id, outcome } => {
                self.drive(LeaseEvent::WriteFinished { write_id, outcome });
            }
            OwnershipCommand::SliceDrained { slice, memory } => self.slice_drained(slice, memory),
            OwnershipCommand::Memory(notice) => self.memories.receive(clock::now(), notice),
            OwnershipCommand::Refresh { slice } => self.refresh(slice),
            OwnershipCommand::Move { slice, to } => self.move_slice(slice, to),
        }
    }

    /// Gives the machine an event and does what it asks for.
    fn drive(&mut self, event: LeaseEvent) {
        let actions = self
            .options
            .view
            .machine
            .borrow_mut()
            .handle(clock::now(), event);

        for action in actions {
            self.act(action);
        }
    }

    /// Does one thing that the machine asks for.
    fn act(&mut self, action: LeaseAction) {
        match action {
            LeaseAction::Send { to, message } => {
                self.options.outbox.send(&to, ControlBody::Lease(message));
            }
            LeaseAction::ReadRecord { slice, read_id } => self.read_record(slice, read_id),
            LeaseAction::WriteRecord {
                record,
                expected_version,
            } => {
                self.write_record(record, expected_version);
            }
            LeaseAction::Serve { slice, epoch } => self.serve(slice, epoch),
            LeaseAction::Drain { slice, epoch } => {
                info!(event = "slice-draining", %slice, epoch = epoch.0);
                self.options
                    .agent
                    .tell(AgentCommand::SliceStopping { slice: slice.index });
            }
            LeaseAction::Stop { slice, epoch } => self.stop_serving(&slice, epoch),
            LeaseAction::Learned { record } => {
                self.options
                    .view
                    .routes
                    .borrow_mut()
                    .learn(RouteHint::from(&record));
            }
            LeaseAction::Report { slice, problem } => self.report(slice, problem),
        }
    }

    /// Tells the machine of the members, and reads the records of new services.
    fn fleet_changed(&mut self) {
        let fleet = self.options.fleet.load();
        let members = fleet.nodes.values().map(|entry| MemberInfo {
            identity: entry.identity.clone(),
            zone: entry.zone.clone(),
            service: entry.service.clone(),
            draining: fleet.is_leaving(entry),
        });

        self.drive(LeaseEvent::MembersChanged(members.collect()));
        for spec in &fleet.config.services {
            let service = spec.name.clone();
            self.drive(LeaseEvent::ServiceFencing {
                service,
                fenced: spec.fenced,
            });
        }

        for gone in &fleet.config.gone {
            if self.gone.insert(gone.clone()) {
                self.drive(LeaseEvent::NodeGone {
                    name: gone.name.clone(),
                });
            }
        }

        self.options.agent.tell(AgentCommand::ConfigChanged);
        self.read_services();
        self.claim_at = Some(clock::now() + CLAIM_SETTLE);
    }

    /// Reads the records of the keyed services that were not read yet.
    fn read_services(&mut self) {
        let fleet = self.options.fleet.load();

        for spec in fleet.config.services.iter().filter(|spec| spec.keyed) {
            if self.records.contains_key(&spec.name) {
                continue;
            }

            self.records
                .insert(spec.name.clone(), ServiceRecords::Reading);
            self.spawn_list(spec.name.clone());
        }
    }

    /// Spawns the call that lists the records of a service.
    fn spawn_list(&self, service: ServiceName) {
        let store = Rc::clone(&self.options.store);
        let handle = self.handle.clone();

        let call = async move {
            let prefix = format!("{LEASE_PREFIX}{service}/");

            match store.list(&prefix).await {
                Ok(batch) => {
                    handle.tell(OwnershipCommand::Listed {
                        service,
                        records: batch.changed,
                    });
                }
                Err(error) => {
                    warn!(event = "platform-failed", call = "list-leases", %error);
                    sleep(LIST_PAUSE).await;
                    handle.tell(OwnershipCommand::ListFailed { service });
                }
            }
        };
        compio::runtime::spawn(call).detach();
    }

    /// Takes the records of a service in.
    fn listed(&mut self, service: ServiceName, records: &[StoredValue]) {
        info!(event = "leases-listed", %service, records = records.len());

        let mut versioned = Vec::new();
        for stored in records {
            if let Some(record) = parse_record(stored) {
                versioned.push(record);
            } else {
                warn!(event = "lease-unreadable", key = %stored.key);
            }
        }

        for stored in &versioned {
            self.options
                .view
                .routes
                .borrow_mut()
                .learn(RouteHint::from(&stored.record));
        }
        self.drive(LeaseEvent::RecordsListed(versioned));

        self.records.insert(service, ServiceRecords::Known);
        self.claim_at = Some(clock::now() + CLAIM_SETTLE);
    }

    /// Claims the slices without a record that the placement gives to this node.
    fn claim_slices(&mut self) {
        let fleet = self.options.fleet.load();
        let node = self.options.identity.name.clone();
        let Some(service) = fleet
            .nodes
            .get(&node)
            .and_then(|entry| entry.service.clone())
        else {
            return;
        };
        let known = self.records.get(&service) == Some(&ServiceRecords::Known);
        let Some(spec) = fleet
            .config
            .service(&service)
            .filter(|spec| spec.keyed && known)
        else {
            return;
        };

        let targets = claim_targets(&fleet, &service);

        for index in 0..spec.slices {
            let slice = SliceId::new(service.clone(), index);
            let unclaimed = self.options.view.routes.borrow().hint(&slice).is_none();

            if unclaimed && place_slice(&slice, &targets).as_ref() == Some(&node) {
                self.memories.expect_first(&slice);
                self.drive(LeaseEvent::Claim { slice });
            }
        }
    }

    /// Reads the record of a slice whose owner is not known, at most once in a while.
    fn refresh(&mut self, slice: SliceId) {
        let now = clock::now();
        self.refreshed
            .retain(|_, at| now.since(*at) < REFRESH_INTERVAL);

        if !self.refreshed.contains_key(&slice) {
            self.refreshed.insert(slice.clone(), now);
            self.read_record(slice, REFRESH);
        }
    }

    /// Spawns the read of a record.
    fn read_record(&self, slice: SliceId, read_id: u64) {
        let store = Rc::clone(&self.options.store);
        let handle = self.handle.clone();

        let call = async move {
            let outcome = store.get(&record_key(&slice)).await;
            handle.tell(OwnershipCommand::Read {
                slice,
                read_id,
                outcome,
            });
        };
        compio::runtime::spawn(call).detach();
    }

    /// Takes a record in, or the failure to read it.
    fn record_read(
        &mut self,
        slice: SliceId,
        read_id: u64,
        outcome: wagtail_core::Result<Option<StoredValue>>,
    ) {
        let event = match outcome {
            Ok(stored) => {
                let stored = stored.as_ref().and_then(parse_record);
                if let Some(versioned) = &stored {
                    let hint = RouteHint::from(&versioned.record);
                    self.options.view.routes.borrow_mut().learn(hint);
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

    /// Spawns the conditional write of a record.
    fn write_record(&self, record: LeaseRecord, expected: u64) {
        let store = Rc::clone(&self.options.store);
        let handle = self.handle.clone();

        let call = async move {
            let outcome = match serde_json::to_string(&record) {
                Ok(value) => {
                    store
                        .update(&record_key(&record.slice), &value, expected)
                        .await
                }
                Err(error) => Err(CoreError::malformed(error.to_string())),
            };
            if let Err(error) = &outcome {
                warn!(event = "platform-failed", call = "write-lease", slice = %record.slice, %error);
            }

            let outcome = write_outcome(&outcome);
            handle.tell(OwnershipCommand::Written {
                write_id: record.write_id,
                outcome,
            });
        };
        compio::runtime::spawn(call).detach();
    }

    /// Begins to serve a slice.
    fn serve(&mut self, slice: SliceId, epoch: LeaseEpoch) {
        info!(event = "slice-served", %slice, epoch = epoch.0);

        self.options
            .view
            .problems
            .borrow_mut()
            .remove(&Some(slice.clone()));
        self.options.view.routes.borrow_mut().learn_answer(
            &slice,
            &self.options.identity.name,
            Some(epoch),
        );

        let index = slice.index;
        let memory = if self.epochs.contains_key(&slice) {
            None
        } else {
            Some(self.memories.take(clock::now(), &slice, epoch))
        };
        self.epochs.insert(slice, epoch);
        self.renew_grants(clock::now());
        self.options.agent.tell(AgentCommand::SliceGained {
            slice: index,
            memory,
        });
    }

    /// Ends the service of a slice.
    fn stop_serving(&mut self, slice: &SliceId, epoch: LeaseEpoch) {
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
    }

    /// Tells the machine that nothing of a slice is at the target any more.
    fn slice_drained(&mut self, index: u32, memory: MemoryTransfer) {
        let drained = self.epochs.iter().find(|(slice, _)| slice.index == index);
        let Some((slice, &epoch)) = drained else {
            return;
        };
        let slice = slice.clone();

        // The memory goes ahead of the hand-over, on the same connection.
        if let Some(to) = self.memories.send_to(clock::now(), &slice) {
            let notice = MemoryNotice {
                slice: slice.clone(),
                epoch,
                memory,
            };
            self.options.outbox.send(&to, ControlBody::Memory(notice));
        }

        self.drive(LeaseEvent::Drained { slice, epoch });
    }

    /// Begins the move of a slice to another node.
    fn move_slice(&mut self, slice: SliceId, to: NodeName) {
        if self.memories.begin_move(clock::now(), &slice, &to) {
            info!(event = "slice-move", %slice, to = %to);
            self.drive(LeaseEvent::Move { slice, to });
        }
    }

    /// Renews the grants of a target that checks fencing, until the leases end.
    fn renew_grants(&self, now: LocalMoment) {
        let machine = self.options.view.machine.borrow();
        let grants = self.epochs.keys().filter_map(|slice| {
            let grant = machine.may_serve(now, slice)?;
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

    /// Logs a problem and keeps it for the status.
    fn report(&self, slice: Option<SliceId>, problem: LeaseProblem) {
        let subject = slice.as_ref().map(ToString::to_string).unwrap_or_default();
        warn!(
            event = "lease-problem",
            slice = subject,
            ?problem,
            advice = problem.advice()
        );

        self.options
            .view
            .problems
            .borrow_mut()
            .insert(slice, problem);
    }
}

/// Returns the targets that may claim slices of a service.
pub fn claim_targets(fleet: &FleetState, service: &ServiceName) -> Vec<PlacementTarget> {
    fleet
        .targets(service)
        .filter(|entry| !fleet.is_leaving(entry))
        .map(|entry| PlacementTarget::new(entry.identity.name.clone(), 1))
        .collect()
}

/// Returns the key of a slice's record.
pub fn record_key(slice: &SliceId) -> String {
    format!("{LEASE_PREFIX}{slice}")
}

/// Reads a stored record.
fn parse_record(stored: &StoredValue) -> Option<VersionedRecord> {
    let record = serde_json::from_str(&stored.value).ok()?;

    Some(VersionedRecord {
        version: stored.version,
        record,
    })
}

/// Returns what the machine is told of a write.
fn write_outcome(outcome: &wagtail_core::Result<u64>) -> WriteOutcome {
    match outcome {
        Ok(version) => WriteOutcome::Written { version: *version },
        Err(CoreError::VersionConflict { .. }) => WriteOutcome::Conflict { stored: None },
        Err(error) if error.verdict() == RunVerdict::NotRun => WriteOutcome::Refused,
        Err(_) => WriteOutcome::Unknown,
    }
}
