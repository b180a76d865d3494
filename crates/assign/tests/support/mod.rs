//! A driver of assignment machines with lost messages, failed moves and changing targets.

#![allow(dead_code, reason = "each test file uses a part of the driver")]

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};
use wagtail_assign::{
    AssignAction, AssignEvent, AssignMachine, AssignOptions, LoadSample, MoveReason, SliceLoad,
    TargetMember, peers::MAX_RELAYED,
};
use wagtail_core::{
    ids::{NodeName, ServiceName},
    units::LocalMoment,
};

/// The slices of the service.
pub const SLICES: u32 = 64;
/// The length of a step.
const STEP: Duration = Duration::from_millis(200);

/// `BrokenPart` is what a run does wrong on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenPart {
    Nothing,
    /// The machines allow more moves in flight than the checks do.
    ManyMoves,
    /// The machines refill their budget faster than the checks do.
    RichBudget,
    /// The machines are not told which target is drained.
    DrainHidden,
}

/// `CheckCounts` counts the checks of a run.
#[derive(Debug, Default, Clone, Copy)]
pub struct CheckCounts {
    pub balance_moves: u64,
    pub drain_moves: u64,
    pub failed_moves: u64,
    pub messages: u64,
    pub drained: u64,
}

#[derive(Debug)]
struct Target {
    machine: AssignMachine,
    up: bool,
    draining: bool,
    /// The machine's latest members.
    told: Vec<TargetMember>,
    moving: BTreeMap<u32, NodeName>,
    /// The moves that the budget allows, as the checks count them.
    tokens: f64,
}

/// `AssignRun` is one run.
#[derive(Debug)]
pub struct AssignRun {
    broken: BrokenPart,
    limits: AssignOptions,
    random: ChaCha8Rng,
    now: LocalMoment,
    targets: BTreeMap<NodeName, Target>,
    pub owners: BTreeMap<u32, NodeName>,
    rates: Vec<f64>,
    pending: Vec<(LocalMoment, NodeName, AssignEvent)>,
    /// Whether messages are lost and moves fail.
    pub faulty: bool,
    pub claims: u64,
    pub counts: CheckCounts,
}

pub fn name(index: usize) -> NodeName {
    NodeName::new(format!("vm-{index}")).unwrap()
}

impl AssignRun {
    pub fn new(targets: usize, seed: u64, broken: BrokenPart) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut run = Self {
            broken,
            // A small budget is reached often, so that its check means something.
            limits: AssignOptions {
                budget_moves: 4,
                budget_period: Duration::from_secs(5),
                ..AssignOptions::default()
            },
            rates: (0..SLICES)
                .map(|_| random.random_range(1.0..100.0))
                .collect(),
            random,
            now: LocalMoment::ZERO,
            targets: BTreeMap::new(),
            owners: BTreeMap::new(),
            pending: Vec::new(),
            faulty: true,
            claims: 0,
            counts: CheckCounts::default(),
        };

        for index in 0..targets {
            run.start(index);
        }
        run.announce();

        run
    }

    /// Starts a target, or starts it again with nothing remembered.
    pub fn start(&mut self, index: usize) {
        let mut options = self.limits.clone();
        match self.broken {
            BrokenPart::ManyMoves => options.max_moves = 10,
            BrokenPart::RichBudget => options.budget_period = Duration::from_millis(1),
            BrokenPart::Nothing | BrokenPart::DrainHidden => {}
        }

        let service = ServiceName::new("agenda").unwrap();
        let seed = self.random.random();
        let machine = AssignMachine::new(self.now, name(index), service, seed)
            .with_options(self.now, options);
        let target = Target {
            machine,
            up: true,
            draining: false,
            told: Vec::new(),
            moving: BTreeMap::new(),
            tokens: f64::from(self.limits.budget_moves),
        };
        self.targets.insert(name(index), target);
    }

    /// Stops a target; its slices become unowned.
    pub fn crash(&mut self, index: usize) {
        let name = name(index);
        if let Some(target) = self.targets.get_mut(&name) {
            target.up = false;
        }
        self.owners.retain(|_, owner| *owner != name);
    }

    pub fn drain(&mut self, index: usize, draining: bool) {
        if let Some(target) = self.targets.get_mut(&name(index)) {
            target.draining = draining;
        }
    }

    pub fn is_up(&self, index: usize) -> bool {
        self.targets
            .get(&name(index))
            .is_some_and(|target| target.up)
    }

    /// Returns the targets that may own slices.
    pub fn able(&self) -> usize {
        let able = |target: &&Target| target.up && !target.draining;

        self.targets.values().filter(able).count()
    }

    pub fn owned(&self, index: usize) -> usize {
        let name = name(index);

        self.owners.values().filter(|owner| **owner == name).count()
    }

    /// Tells each target, after a delay of its own, who may own slices.
    pub fn announce(&mut self) {
        let hidden = self.broken == BrokenPart::DrainHidden;
        let up = self.targets.iter().filter(|(_, target)| target.up);
        let members: Vec<TargetMember> = up
            .map(|(node, target)| TargetMember {
                node: node.clone(),
                weight: 6,
                draining: target.draining && !hidden,
            })
            .collect();

        for node in self.targets.keys().cloned().collect::<Vec<_>>() {
            let members = members.clone();
            let at = self.now + STEP * self.random.random_range(0..5);
            self.pending
                .push((at, node, AssignEvent::MembersChanged { members }));
        }
    }

    /// Changes the load of some slices at once.
    pub fn shift_load(&mut self) {
        let slice = self.random.random_range(0..self.rates.len());
        self.rates[slice] = self.random.random_range(1.0..1_000.0);
    }

    /// Runs for some seconds.
    pub fn run(&mut self, seconds: u32) -> Result<(), String> {
        for step in 0..seconds * 5 {
            self.now = self.now + STEP;
            for target in self.targets.values_mut() {
                let most = f64::from(self.limits.budget_moves);
                let refill = STEP.as_secs_f64() / self.limits.budget_period.as_secs_f64();
                target.tokens = (target.tokens + refill).min(most);
            }

            self.deliver()?;
            for node in self.targets.keys().cloned().collect::<Vec<_>>() {
                if step % 5 == 0 {
                    let sample = self.sample(&node);
                    self.tell(&node, AssignEvent::LoadMeasured { sample })?;
                }
                let owners = &self.owners;
                let slices = (0..SLICES)
                    .filter(|slice| !owners.contains_key(slice))
                    .collect();
                self.tell(&node, AssignEvent::SlicesUnowned { slices })?;
                self.tell(&node, AssignEvent::Tick)?;
            }
        }

        Ok(())
    }

    fn sample(&self, node: &NodeName) -> LoadSample {
        let owned = self.owners.iter().filter(|(_, owner)| *owner == node);
        let loads = owned.map(|(slice, _)| SliceLoad {
            slice: *slice,
            rate: self.rates[*slice as usize],
        });

        LoadSample {
            loads: loads.collect(),
            hot: Vec::new(),
        }
    }

    fn deliver(&mut self) -> Result<(), String> {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.pending.drain(..).partition(|(at, _, _)| *at <= now);
        self.pending = later;

        for (_, node, event) in due {
            if let AssignEvent::MoveFinished { slice } = event {
                self.finish_move(&node, slice)?;
            } else {
                self.tell(&node, event)?;
            }
        }

        Ok(())
    }

    /// Ends a hand-over, or fails it when its destination is gone or by chance.
    fn finish_move(&mut self, node: &NodeName, slice: u32) -> Result<(), String> {
        let Some(to) = self
            .targets
            .get_mut(node)
            .and_then(|target| target.moving.remove(&slice))
        else {
            return Ok(());
        };
        if self.owners.get(&slice) != Some(node) {
            return Ok(());
        }
        let accepted = self.targets.get(&to).is_some_and(|target| target.up);

        if !accepted || (self.faulty && self.random.random_bool(0.2)) {
            self.counts.failed_moves += 1;

            return self.tell(node, AssignEvent::MoveFailed { slice });
        }

        self.owners.insert(slice, to.clone());
        self.tell(node, AssignEvent::MoveFinished { slice })?;
        self.tell(&to, AssignEvent::SliceTaken { slice })
    }

    fn tell(&mut self, node: &NodeName, event: AssignEvent) -> Result<(), String> {
        let now = self.now;
        let Some(target) = self.targets.get_mut(node).filter(|target| target.up) else {
            return Ok(());
        };
        if let AssignEvent::MembersChanged { members } = &event {
            target.told.clone_from(members);
        }

        for action in target.machine.handle(now, event) {
            self.act(node, action)?;
        }

        Ok(())
    }

    fn act(&mut self, node: &NodeName, action: AssignAction) -> Result<(), String> {
        match action {
            AssignAction::Claim { slice } => {
                self.claims += 1;
                if let Entry::Vacant(entry) = self.owners.entry(slice) {
                    entry.insert(node.clone());
                    self.tell(node, AssignEvent::SliceTaken { slice })?;
                }
            }
            AssignAction::Move { slice, to, reason } => {
                self.check_move(node, slice, &to, reason)?;
                let at = self.now + STEP * self.random.random_range(1..10);
                self.pending
                    .push((at, node.clone(), AssignEvent::MoveFinished { slice }));
            }
            AssignAction::SendLoad { to, message } => {
                if message.relayed.len() > MAX_RELAYED {
                    return Err(format!("{} reports in a message", message.relayed.len()));
                }
                self.counts.messages += 1;

                // Messages are lost, delivered late, out of order and twice.
                let copies = if self.faulty {
                    self.random.random_range(0..3)
                } else {
                    1
                };
                for _ in 0..copies {
                    let at = self.now + STEP * self.random.random_range(0..4);
                    let message = message.clone();
                    self.pending
                        .push((at, to.clone(), AssignEvent::LoadReceived { message }));
                }
            }
            AssignAction::SplitKey { .. } => {}
        }

        Ok(())
    }

    /// Checks a move against every bound.
    fn check_move(
        &mut self,
        node: &NodeName,
        slice: u32,
        to: &NodeName,
        reason: MoveReason,
    ) -> Result<(), String> {
        if self.owners.get(&slice) != Some(node) {
            return Err(format!("{node} moves slice {slice} that it does not own"));
        }
        let leaves = self.targets.get(to).is_some_and(|target| target.draining);
        let Some(target) = self.targets.get_mut(node) else {
            return Err(format!("{node} is unknown"));
        };
        // With the drain hidden, the truth counts instead of what the machine was told.
        let able = target
            .told
            .iter()
            .any(|member| &member.node == to && !member.draining);

        if !able || (self.broken == BrokenPart::DrainHidden && leaves) {
            return Err(format!("{node} moves slice {slice} to the draining {to}"));
        }
        if target.moving.insert(slice, to.clone()).is_some() {
            return Err(format!("{node} moves slice {slice} twice"));
        }

        let limit = match reason {
            MoveReason::Balance => self.limits.max_moves,
            MoveReason::Drain => self.limits.max_drain_moves,
        };
        if target.moving.len() > limit {
            return Err(format!(
                "{node} has {} moves in flight",
                target.moving.len()
            ));
        }

        match reason {
            MoveReason::Balance => {
                target.tokens -= 1.0;
                self.counts.balance_moves += 1;
            }
            MoveReason::Drain => self.counts.drain_moves += 1,
        }
        // A step's rounding is allowed for.
        if target.tokens < -0.2 {
            return Err(format!("{node} is over its budget"));
        }

        Ok(())
    }
}
