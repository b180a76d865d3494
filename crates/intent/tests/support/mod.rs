//! A simulation of operators, nodes and a faulty platform in virtual time.

#![allow(dead_code, reason = "each test file uses a part of the driver")]

pub mod fixtures;
mod operators;
mod platform;

use fixtures::{NODES, fleet_view};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use wagtail_core::{ids::NodeName, service::ConfigDocument, units::LocalMoment};
use wagtail_intent::{
    CallId, ConfigKeeper, FleetView, IntentAction, IntentEvent, IntentMachine, KeeperAction,
    KeeperEvent, KeeperState, PlanDocument,
};

/// The number of operators of a run.
const OPERATORS: usize = 3;
/// The duration of a run in virtual time.
const RUN_TIME: Duration = Duration::from_mins(3);

/// `BrokenPart` is a defect that a run injects to show that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenPart {
    Nothing,
    /// A configuration is written regardless of the version of the stored one.
    UnconditionalWrite,
    /// A node applies any configuration that a peer sends.
    AnyVersionKept,
    /// A restarted node applies the first configuration of a peer without reading the platform.
    FirstPeerBelieved,
    /// The configuration does not record the plans that created its versions.
    PlansForgotten,
}

/// `CheckCounts` counts the checks of a run, so that a test whose runs checked nothing fails.
#[derive(Debug, Default, Clone)]
pub struct CheckCounts {
    pub writes: u64,
    pub confirmed: u64,
    pub repeated: u64,
    pub refused: u64,
    pub unknown: u64,
    pub kept: u64,
    pub restarts: u64,
    pub id_collisions: u64,
}

#[derive(Debug)]
enum QueuedEvent {
    Intent(usize, u64, IntentEvent),
    Keeper(usize, u64, KeeperEvent),
    PlatformCall(usize, u64, IntentAction, bool),
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
    /// The highest version that the node had in force in any of its incarnations.
    highest_version: u64,
}

#[derive(Debug, Default)]
struct Operator {
    plan: Option<PlanDocument>,
    /// The call in progress and when the operator abandons it.
    call: Option<(CallId, LocalMoment)>,
}

/// `RaceRun` is one simulated run with its random generator, fleet, platform and checks.
#[derive(Debug)]
pub struct RaceRun {
    defect: BrokenPart,
    random: ChaCha8Rng,
    now: LocalMoment,
    queue: BTreeMap<(LocalMoment, u64), QueuedEvent>,
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
    /// The calls whose write of the configuration may have reached the platform.
    sent: BTreeSet<CallId>,
    pub counts: CheckCounts,
}

impl RaceRun {
    /// Creates a run from a seed.
    pub fn new(seed: u64, defect: BrokenPart) -> Self {
        let mut run = Self {
            defect,
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
            run.after(0, 1_000, QueuedEvent::Poll(node));
            run.after(0, 1_000, QueuedEvent::Gossip(node));
            run.after(5_000, 60_000, QueuedEvent::Restart(node));
        }
        for operator in 0..OPERATORS {
            run.after(0, 2_000, QueuedEvent::OperatorTurn(operator));
        }
        run.after(10_000, 30_000, QueuedEvent::Outage(true));

        run
    }

    /// Runs to the end and checks the invariants after every event.
    pub fn run(&mut self) -> Result<(), String> {
        while let Some(((at, _), item)) = self.queue.pop_first() {
            if at > LocalMoment::ZERO + RUN_TIME {
                break;
            }
            self.now = at;
            self.step(item)?;
        }

        self.check_replies()
    }

    /// Queues an event after a random delay between two limits in milliseconds.
    fn after(&mut self, min_ms: u64, max_ms: u64, item: QueuedEvent) {
        let delay = Duration::from_millis(self.random.random_range(min_ms..=max_ms));

        self.at(self.now + delay, item);
    }

    fn at(&mut self, at: LocalMoment, item: QueuedEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), item);
    }

    fn step(&mut self, item: QueuedEvent) -> Result<(), String> {
        match item {
            QueuedEvent::Intent(node, incarnation, event) if self.is_current(node, incarnation) => {
                let actions = self.nodes[node].machine.handle(self.now, event);
                self.execute(node, actions)?;
            }
            QueuedEvent::Keeper(node, incarnation, event) if self.is_current(node, incarnation) => {
                self.deliver_to_keeper(node, event)?;
            }
            QueuedEvent::Intent(..) | QueuedEvent::Keeper(..) => {}
            QueuedEvent::PlatformCall(node, incarnation, action, answered) => {
                self.run_platform_call(node, incarnation, action, answered)?;
            }
            QueuedEvent::OperatorTurn(operator) => {
                self.operator_turn(operator)?;
                self.after(100, 3_000, QueuedEvent::OperatorTurn(operator));
            }
            QueuedEvent::Poll(node) => {
                self.poll(node);
                self.after(500, 4_000, QueuedEvent::Poll(node));
            }
            QueuedEvent::Gossip(node) => {
                self.gossip(node);
                self.after(300, 700, QueuedEvent::Gossip(node));
            }
            QueuedEvent::Restart(node) => {
                let old = &self.nodes[node];
                self.nodes[node] = make_node(node, old.incarnation + 1, old.highest_version);
                self.nodes[node].keeper = ConfigKeeper::new();
                self.counts.restarts += 1;
                self.after(5_000, 60_000, QueuedEvent::Restart(node));
            }
            QueuedEvent::Outage(begins) => {
                self.outage = begins;
                let (min_ms, max_ms) = if begins {
                    (1_000, 40_000)
                } else {
                    (5_000, 30_000)
                };
                self.after(min_ms, max_ms, QueuedEvent::Outage(!begins));
            }
        }

        Ok(())
    }

    fn is_current(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].incarnation == incarnation
    }

    /// Executes the actions of a machine.
    fn execute(&mut self, node: usize, actions: Vec<IntentAction>) -> Result<(), String> {
        let incarnation = self.nodes[node].incarnation;

        for action in actions {
            match action {
                IntentAction::Accepted { document } => {
                    self.deliver_to_keeper(node, KeeperEvent::Accepted { document })?;
                }
                IntentAction::Answer { call, reply } => self.handle_reply(call, reply)?,
                IntentAction::Wake { at } => {
                    self.at(
                        at,
                        QueuedEvent::Intent(node, incarnation, IntentEvent::Tick),
                    );
                }
                call => self.send_to_platform(node, incarnation, call),
            }
        }

        Ok(())
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

        // The response may be delayed, and then be older than the configuration in force.
        self.after(1, 2_000, QueuedEvent::Keeper(node, incarnation, event));
    }

    /// Announces the version in force to a random peer, delayed and sometimes not at all.
    fn gossip(&mut self, node: usize) {
        let peer = self.random.random_range(0..NODES);
        let event = KeeperEvent::PeerVersion {
            peer: self.nodes[node].name.clone(),
            version: self.nodes[node].keeper.document().version,
        };

        if peer != node && self.random.random_bool(0.8) {
            let incarnation = self.nodes[peer].incarnation;
            self.after(1, 2_000, QueuedEvent::Keeper(peer, incarnation, event));
        }
    }

    /// Passes an event to a keeper and checks that its version never decreases.
    fn deliver_to_keeper(&mut self, node: usize, event: KeeperEvent) -> Result<(), String> {
        let starting = self.nodes[node].keeper.state() == KeeperState::Starting;
        let trusts_peer = match self.defect {
            BrokenPart::AnyVersionKept => true,
            BrokenPart::FirstPeerBelieved => starting,
            _ => false,
        };

        if trusts_peer && let KeeperEvent::PeerDocument { document, .. } = &event {
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

    /// Sends the configuration in force from one node to another with a delay.
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

        self.after(1, 4_000, QueuedEvent::Keeper(to, incarnation, event));
    }

    fn check_kept(&mut self, node: usize, document: &ConfigDocument) -> Result<(), String> {
        let kept = &mut self.nodes[node];
        let accepted = usize::try_from(document.version)
            .ok()
            .and_then(|version| self.history.get(version));

        if accepted != Some(document) {
            return Err(format!("{} took what was never accepted", kept.name));
        }
        if document.version < kept.highest_version {
            return Err(format!(
                "{} went back from version {} to {}",
                kept.name, kept.highest_version, document.version
            ));
        }
        kept.highest_version = document.version;
        self.counts.kept += 1;

        Ok(())
    }
}

fn make_node(index: usize, incarnation: u64, highest_version: u64) -> Node {
    let seed = u64::try_from(index).unwrap() * 1_000 + incarnation;

    Node {
        name: NodeName::new(format!("vm-{index}")).unwrap(),
        machine: IntentMachine::new(seed),
        keeper: ConfigKeeper::new(),
        incarnation,
        highest_version,
    }
}
