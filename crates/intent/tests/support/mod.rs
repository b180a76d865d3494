//! A driver of operators, nodes and a faulty platform in virtual time.

#![allow(dead_code, reason = "each test file uses a part of the driver")]

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    time::Duration,
};
use wagtail_core::{
    ids::{NodeIdentity, NodeIncarnation, NodeName, ServiceName, ZoneName},
    service::{ConfigDocument, OperationSpec, ServiceSpec, WorkClass},
    slice::SliceId,
    units::LocalMoment,
};
use wagtail_intent::{
    CallId, ConfigKeeper, ConfigOutcome, FleetView, IntentAction, IntentDocument, IntentError,
    IntentEvent, IntentMachine, IntentReply, KeeperAction, KeeperEvent, KeeperState, NodeView,
    PlanDocument, PlanOutcome, SliceView, WriteOutcome,
};

/// The nodes of a run.
pub const NODES: usize = 5;
/// The operators of a run.
const OPERATORS: usize = 3;
/// The virtual length of a run.
const RUN_TIME: Duration = Duration::from_mins(3);

/// `BrokenPart` is what a run does wrong on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenPart {
    Nothing,
    /// A configuration is written whatever the version of the stored one.
    UnconditionalWrite,
    /// A node takes up any configuration that it is told.
    AnyVersionKept,
    /// A started node believes the first peer that it hears.
    FirstPeerBelieved,
    /// The configuration does not tell which plans made it.
    PlansForgotten,
}

/// `CheckCounts` counts the checks of a run, so that a run that checked nothing fails.
#[derive(Debug, Default, Clone)]
pub struct CheckCounts {
    pub writes: u64,
    pub confirmed: u64,
    pub repeated: u64,
    pub refused: u64,
    pub unknown: u64,
    pub kept: u64,
    pub restarts: u64,
}

#[derive(Debug)]
enum Item {
    Intent(usize, u64, IntentEvent),
    Keeper(usize, u64, KeeperEvent),
    Effect(usize, u64, IntentAction, bool),
    OperatorTurn(usize),
    Poll(usize),
    Gossip(usize),
    Restart(usize),
    Outage(bool),
}

#[derive(Debug)]
struct Node {
    name: NodeName,
    machine: IntentMachine,
    keeper: ConfigKeeper,
    incarnation: u64,
    /// The version that the node ever had in force, over all its starts.
    reached: u64,
}

#[derive(Debug, Default)]
struct Operator {
    plan: Option<PlanDocument>,
    /// The call in progress and the time to give it up.
    call: Option<(CallId, LocalMoment)>,
}

/// `RaceRun` is one run.
#[derive(Debug)]
pub struct RaceRun {
    broken: BrokenPart,
    random: ChaCha8Rng,
    now: LocalMoment,
    queue: BTreeMap<(LocalMoment, u64), Item>,
    sequence: u64,
    nodes: Vec<Node>,
    operators: Vec<Operator>,
    view: FleetView,
    stored: Option<(u64, ConfigDocument)>,
    plans: BTreeMap<String, PlanDocument>,
    revision: u64,
    outage: bool,
    history: Vec<ConfigDocument>,
    confirmed: BTreeMap<String, u64>,
    refused: BTreeSet<String>,
    /// The calls whose write may have reached the platform.
    sent: BTreeSet<CallId>,
    pub counts: CheckCounts,
}

impl RaceRun {
    /// Makes a run.
    pub fn new(seed: u64, broken: BrokenPart) -> Self {
        let mut run = Self {
            broken,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: LocalMoment::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            nodes: (0..NODES).map(|index| make_node(index, 0, 0)).collect(),
            operators: (0..OPERATORS).map(|_| Operator::default()).collect(),
            view: fleet_view(),
            stored: None,
            plans: BTreeMap::new(),
            revision: 0,
            outage: false,
            history: vec![ConfigDocument::default()],
            confirmed: BTreeMap::new(),
            refused: BTreeSet::new(),
            sent: BTreeSet::new(),
            counts: CheckCounts::default(),
        };

        for node in 0..NODES {
            run.after(0, 1_000, Item::Poll(node));
            run.after(0, 1_000, Item::Gossip(node));
            run.after(5_000, 60_000, Item::Restart(node));
        }
        for operator in 0..OPERATORS {
            run.after(0, 2_000, Item::OperatorTurn(operator));
        }
        run.after(10_000, 30_000, Item::Outage(true));

        run
    }

    /// Runs to the end and checks every invariant on the way.
    pub fn run(&mut self) -> Result<(), String> {
        while let Some(((at, _), item)) = self.queue.pop_first() {
            if at > LocalMoment::ZERO + RUN_TIME {
                break;
            }
            self.now = at;
            self.step(item)?;
        }

        self.check_answers()
    }

    /// Queues an item between two delays in milliseconds.
    fn after(&mut self, least: u64, most: u64, item: Item) {
        let delay = Duration::from_millis(self.random.random_range(least..=most));

        self.at(self.now + delay, item);
    }

    fn at(&mut self, at: LocalMoment, item: Item) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), item);
    }

    fn step(&mut self, item: Item) -> Result<(), String> {
        match item {
            Item::Intent(node, incarnation, event) if self.lives(node, incarnation) => {
                let actions = self.nodes[node].machine.handle(self.now, event);
                self.act(node, actions)?;
            }
            Item::Keeper(node, incarnation, event) if self.lives(node, incarnation) => {
                self.tell_keeper(node, event)?;
            }
            Item::Intent(..) | Item::Keeper(..) => {}
            Item::Effect(node, incarnation, action, answered) => {
                self.effect(node, incarnation, action, answered)?;
            }
            Item::OperatorTurn(operator) => {
                self.operator_turn(operator)?;
                self.after(100, 3_000, Item::OperatorTurn(operator));
            }
            Item::Poll(node) => {
                self.poll(node);
                self.after(500, 4_000, Item::Poll(node));
            }
            Item::Gossip(node) => {
                self.gossip(node);
                self.after(300, 700, Item::Gossip(node));
            }
            Item::Restart(node) => {
                let old = &self.nodes[node];
                self.nodes[node] = make_node(node, old.incarnation + 1, old.reached);
                self.nodes[node].keeper = ConfigKeeper::new();
                self.counts.restarts += 1;
                self.after(5_000, 60_000, Item::Restart(node));
            }
            Item::Outage(begins) => {
                self.outage = begins;
                let (least, most) = if begins {
                    (1_000, 40_000)
                } else {
                    (5_000, 30_000)
                };
                self.after(least, most, Item::Outage(!begins));
            }
        }

        Ok(())
    }

    fn lives(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].incarnation == incarnation
    }

    /// Carries out the actions of a machine.
    fn act(&mut self, node: usize, actions: Vec<IntentAction>) -> Result<(), String> {
        let incarnation = self.nodes[node].incarnation;

        for action in actions {
            match action {
                IntentAction::Accepted { document } => {
                    self.tell_keeper(node, KeeperEvent::Accepted { document })?;
                }
                IntentAction::Answer { call, reply } => self.answer(call, reply)?,
                IntentAction::Wake { at } => {
                    self.at(at, Item::Intent(node, incarnation, IntentEvent::Tick));
                }
                call => self.call_platform(node, incarnation, call),
            }
        }

        Ok(())
    }

    /// Sends a call to the platform; it may be lost, late, or lose its answer.
    fn call_platform(&mut self, node: usize, incarnation: u64, call: IntentAction) {
        if let IntentAction::WriteConfig { call, .. } = &call {
            self.sent.insert(*call);
        }
        if self.outage {
            if self.random.random_bool(0.5)
                && let Some(event) = refuse_call(&call)
            {
                if let IntentAction::WriteConfig { call, .. } = &call {
                    self.sent.remove(call);
                }
                self.after(1, 50, Item::Intent(node, incarnation, event));
            }

            return;
        }

        let answered = self.random.random_bool(0.8);
        let latest = if self.random.random_bool(0.1) {
            5_000
        } else {
            50
        };

        if self.random.random_bool(0.95) {
            self.after(1, latest, Item::Effect(node, incarnation, call, answered));
        }
    }

    /// Lets a call take effect and answers it.
    fn effect(
        &mut self,
        node: usize,
        incarnation: u64,
        call: IntentAction,
        answered: bool,
    ) -> Result<(), String> {
        let event = match call {
            IntentAction::ReadConfig { call, attempt } => IntentEvent::ConfigRead {
                call,
                attempt,
                outcome: self.read_config(),
            },
            IntentAction::ReadPlan {
                call,
                attempt,
                plan,
            } => IntentEvent::PlanRead {
                call,
                attempt,
                outcome: self.plans.get(&plan).map_or(PlanOutcome::Absent, |plan| {
                    PlanOutcome::Found {
                        plan: Box::new(plan.clone()),
                    }
                }),
            },
            IntentAction::WritePlan {
                call,
                attempt,
                plan,
            } => {
                let outcome = match self.plans.entry(plan.id.clone()) {
                    Entry::Occupied(_) => WriteOutcome::Conflict,
                    Entry::Vacant(entry) => {
                        entry.insert(*plan);
                        WriteOutcome::Written
                    }
                };

                IntentEvent::PlanWritten {
                    call,
                    attempt,
                    outcome,
                }
            }
            IntentAction::WriteConfig {
                call,
                attempt,
                document,
                expected,
            } => {
                let outcome = self.write_config(document, expected)?;
                if outcome == WriteOutcome::Conflict {
                    self.sent.remove(&call);
                }

                IntentEvent::ConfigWritten {
                    call,
                    attempt,
                    outcome,
                }
            }
            other => return Err(format!("not a call: {other:?}")),
        };

        if answered {
            self.after(1, 50, Item::Intent(node, incarnation, event));
        }

        Ok(())
    }

    fn read_config(&self) -> ConfigOutcome {
        match &self.stored {
            Some((version, document)) => {
                let mut document = document.clone();
                if self.broken == BrokenPart::PlansForgotten {
                    document.recent.clear();
                }

                ConfigOutcome::Found {
                    version: *version,
                    document,
                }
            }
            None => ConfigOutcome::Absent,
        }
    }

    /// Writes the configuration and checks that it follows the one before.
    fn write_config(
        &mut self,
        document: ConfigDocument,
        expected: u64,
    ) -> Result<WriteOutcome, String> {
        let found = self.stored.as_ref().map_or(0, |(version, _)| *version);

        if found != expected && self.broken != BrokenPart::UnconditionalWrite {
            return Ok(WriteOutcome::Conflict);
        }

        let last = self.history.last().map_or(0, |last| last.version);
        if document.version != last + 1 {
            return Err(format!(
                "version {} follows {last}: an accepted configuration is lost",
                document.version
            ));
        }
        for (plan, version) in &self.confirmed {
            let stamped = document.recent.iter().any(|stamp| &stamp.plan == plan);
            if !stamped && version + 64 > document.version {
                return Err(format!("{plan} was confirmed and is not remembered"));
            }
        }
        if self.refused.contains(&document.plan) {
            return Err(format!("{} was refused and is in force", document.plan));
        }

        self.revision += 7;
        self.stored = Some((self.revision, document.clone()));
        self.history.push(document);
        self.counts.writes += 1;

        Ok(WriteOutcome::Written)
    }

    /// Takes an answer to an operator and checks it against what is in force.
    fn answer(&mut self, call: CallId, reply: IntentReply) -> Result<(), String> {
        let waiting = |operator: &Operator| operator.call.is_some_and(|(open, _)| open == call);
        let Some(index) = self.operators.iter().position(waiting) else {
            return Ok(());
        };
        self.operators[index].call = None;
        let Some(plan) = self.operators[index].plan.clone() else {
            if let IntentReply::Planned { plan } = reply {
                self.operators[index].plan = Some(*plan);
            }

            return Ok(());
        };

        match reply {
            IntentReply::Confirmed { version } => self.note_confirmed(index, &plan, version),
            IntentReply::Failed {
                error: IntentError::Unavailable,
            } if self.sent.contains(&call) => Err(format!(
                "{} may be in force and was called not run",
                plan.id
            )),
            IntentReply::Failed {
                error: IntentError::OutcomeUnknown { .. } | IntentError::Unavailable,
            } => {
                self.counts.unknown += 1;

                Ok(())
            }
            IntentReply::Failed { error } => {
                self.operators[index].plan = None;

                self.note_refused(&plan, &error)
            }
            IntentReply::Planned { .. } => Err("a confirmation was answered by a plan".into()),
        }
    }

    fn note_confirmed(
        &mut self,
        operator: usize,
        plan: &PlanDocument,
        version: u64,
    ) -> Result<(), String> {
        let in_force = usize::try_from(version)
            .ok()
            .and_then(|version| self.history.get(version))
            .is_some_and(|document| document.plan == plan.id);

        if !in_force || version != plan.base_version + 1 {
            return Err(format!("{} did not make version {version}", plan.id));
        }

        let earlier = self.confirmed.insert(plan.id.clone(), version);
        if earlier.is_some_and(|earlier| earlier != version) {
            return Err(format!("{} was confirmed under two versions", plan.id));
        }
        self.counts.confirmed += 1;
        self.counts.repeated += u64::from(earlier.is_some());

        // Some operators confirm a second time, as from another window.
        if self.random.random_bool(0.7) {
            self.operators[operator].plan = None;
        }

        Ok(())
    }

    fn note_refused(&mut self, plan: &PlanDocument, error: &IntentError) -> Result<(), String> {
        let in_force = self.history.iter().any(|document| document.plan == plan.id);

        if in_force && !matches!(error, IntentError::ExpiredPlan { .. }) {
            return Err(format!("{} is in force and was refused: {error}", plan.id));
        }
        if !matches!(error, IntentError::ExpiredPlan { .. }) {
            self.refused.insert(plan.id.clone());
            self.counts.refused += 1;
        }

        Ok(())
    }

    /// Lets an operator plan, confirm, or give up a call that its node forgot.
    fn operator_turn(&mut self, index: usize) -> Result<(), String> {
        if let Some((_, until)) = self.operators[index].call {
            if self.now >= until {
                self.operators[index].call = None;
            }

            return Ok(());
        }

        self.sequence += 1;
        let call = CallId(self.sequence);
        let node = self.random.random_range(0..NODES);
        let plan = self.operators[index].plan.clone();
        self.operators[index].call = Some((call, self.now + Duration::from_secs(15)));

        let event = match plan {
            None => IntentEvent::PlanRequested {
                call,
                intent: self.draw_intent(),
                view: self.view.clone(),
                nonce: self.random.random(),
            },
            Some(plan) => IntentEvent::ConfirmRequested {
                call,
                plan: plan.id,
                base_version: plan.base_version,
                view: self.view.clone(),
                held: self.nodes[node].keeper.document().version,
            },
        };
        let actions = self.nodes[node].machine.handle(self.now, event);

        self.act(node, actions)
    }

    fn draw_intent(&mut self) -> IntentDocument {
        let slots = self.random.random_range(1..100);

        IntentDocument {
            services: vec![service_spec("agenda", slots)],
            ..IntentDocument::default()
        }
    }

    /// Reads the platform for the keeper of a node.
    fn poll(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        let event = if self.outage || self.random.random_bool(0.1) {
            KeeperEvent::PlatformFailed
        } else {
            KeeperEvent::PlatformRead {
                document: self.stored.as_ref().map(|(_, document)| document.clone()),
            }
        };

        // The answer may be late, and so older than what is in force by then.
        self.after(1, 2_000, Item::Keeper(node, incarnation, event));
    }

    /// Tells a random peer the version in force, late and sometimes not at all.
    fn gossip(&mut self, node: usize) {
        let peer = self.random.random_range(0..NODES);
        let event = KeeperEvent::PeerVersion {
            peer: self.nodes[node].name.clone(),
            version: self.nodes[node].keeper.document().version,
        };

        if peer != node && self.random.random_bool(0.8) {
            let incarnation = self.nodes[peer].incarnation;
            self.after(1, 2_000, Item::Keeper(peer, incarnation, event));
        }
    }

    /// Hands an event to a keeper and checks that its version only grows.
    fn tell_keeper(&mut self, node: usize, event: KeeperEvent) -> Result<(), String> {
        let starting = self.nodes[node].keeper.state() == KeeperState::Starting;
        let believes = match self.broken {
            BrokenPart::AnyVersionKept => true,
            BrokenPart::FirstPeerBelieved => starting,
            _ => false,
        };

        if believes && let KeeperEvent::PeerDocument { document, .. } = &event {
            let document = document.clone();

            return self.check_kept(node, &document);
        }

        for action in self.nodes[node].keeper.handle(event) {
            match action {
                KeeperAction::PutInForce { document } => self.check_kept(node, &document)?,
                KeeperAction::FetchFromPeer { peer, .. } => self.send_document(&peer, node),
                KeeperAction::SendToPeer { peer } => {
                    let to = self.nodes.iter().position(|other| other.name == peer);
                    let from = self.nodes[node].name.clone();
                    if let Some(to) = to {
                        self.send_document(&from, to);
                    }
                }
                KeeperAction::ReportMismatch { version } => {
                    return Err(format!("two configurations have version {version}"));
                }
                KeeperAction::ReadPlatform | KeeperAction::ReportReverted { .. } => {}
            }
        }

        Ok(())
    }

    /// Sends the configuration in force from one node to another, late.
    fn send_document(&mut self, from: &NodeName, to: usize) {
        let sender = self.nodes.iter().find(|node| &node.name == from);
        let Some(document) = sender.map(|node| node.keeper.document().clone()) else {
            return;
        };
        let incarnation = self.nodes[to].incarnation;
        let event = KeeperEvent::PeerDocument {
            peer: from.clone(),
            document,
        };

        self.after(1, 4_000, Item::Keeper(to, incarnation, event));
    }

    fn check_kept(&mut self, node: usize, document: &ConfigDocument) -> Result<(), String> {
        let kept = &mut self.nodes[node];
        let accepted = usize::try_from(document.version)
            .ok()
            .and_then(|version| self.history.get(version));

        if accepted != Some(document) {
            return Err(format!("{} took what was never accepted", kept.name));
        }
        if document.version < kept.reached {
            return Err(format!(
                "{} went back from version {} to {}",
                kept.name, kept.reached, document.version
            ));
        }
        kept.reached = document.version;
        self.counts.kept += 1;

        Ok(())
    }

    /// Checks all answers once more against the whole history.
    fn check_answers(&self) -> Result<(), String> {
        for (plan, version) in &self.confirmed {
            let index = usize::try_from(*version).map_err(|error| error.to_string())?;
            if &self.history[index].plan != plan {
                return Err(format!("{plan} was confirmed and is lost"));
            }
        }

        let lost = self
            .history
            .iter()
            .find(|document| self.refused.contains(&document.plan));

        lost.map_or(Ok(()), |document| {
            Err(format!("{} was refused and was in force", document.plan))
        })
    }
}

/// Returns the event of a call that the platform refused, as nothing was done.
fn refuse_call(call: &IntentAction) -> Option<IntentEvent> {
    match call {
        IntentAction::ReadConfig { call, attempt } => Some(IntentEvent::ConfigRead {
            call: *call,
            attempt: *attempt,
            outcome: ConfigOutcome::Failed,
        }),
        IntentAction::ReadPlan { call, attempt, .. } => Some(IntentEvent::PlanRead {
            call: *call,
            attempt: *attempt,
            outcome: PlanOutcome::Failed,
        }),
        IntentAction::WritePlan { call, attempt, .. } => Some(IntentEvent::PlanWritten {
            call: *call,
            attempt: *attempt,
            outcome: WriteOutcome::NotRun,
        }),
        IntentAction::WriteConfig { call, attempt, .. } => Some(IntentEvent::ConfigWritten {
            call: *call,
            attempt: *attempt,
            outcome: WriteOutcome::NotRun,
        }),
        _ => None,
    }
}

fn make_node(index: usize, incarnation: u64, reached: u64) -> Node {
    let seed = u64::try_from(index).unwrap() * 1_000 + incarnation;

    Node {
        name: NodeName::new(format!("vm-{index}")).unwrap(),
        machine: IntentMachine::new(seed),
        keeper: ConfigKeeper::new(),
        incarnation,
        reached,
    }
}

/// Makes the declaration of a keyed service with a read and a write.
pub fn service_spec(name: &str, slots: u32) -> ServiceSpec {
    let operation = |name: &str, method: &str, idempotent| OperationSpec {
        name: name.to_owned().try_into().unwrap(),
        method: method.to_owned(),
        path: "/slots".to_owned(),
        idempotent,
        class: WorkClass::Short,
    };

    ServiceSpec {
        name: ServiceName::new(name).unwrap(),
        keyed: true,
        slices: 8,
        slots,
        connections: 120,
        fenced: false,
        max_deadline_ms: 5_000,
        operations: vec![
            operation("list", "GET", true),
            operation("book", "POST", false),
        ],
        tenants: Vec::new(),
    }
}

/// Makes a fleet in three zones whose nodes all serve `agenda` and share its slices.
pub fn fleet_view() -> FleetView {
    let identity = |index: usize| {
        let name = NodeName::new(format!("vm-{index}")).unwrap();

        NodeIdentity::new(name, NodeIncarnation(3))
    };
    let service = ServiceName::new("agenda").unwrap();
    let node = |index: usize| NodeView {
        identity: identity(index),
        zone: ZoneName::new(["az-a", "az-b", "az-c"][index % 3]).unwrap(),
        service: Some(service.clone()),
        fenced: false,
        leaving: false,
        reachable: true,
    };
    let slice = |index: u32| SliceView {
        slice: SliceId::new(service.clone(), index),
        owner: identity(index as usize % NODES),
    };

    FleetView {
        nodes: (0..NODES).map(node).collect(),
        slices: (0..8).map(slice).collect(),
    }
}
