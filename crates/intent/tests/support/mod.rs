//! A driver of operators, nodes and a faulty platform in virtual time.

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
    pub drawn_twice: u64,
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
