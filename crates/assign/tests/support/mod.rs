//! A simulation of assignment machines with lost messages, failed moves and changing targets.

#![allow(dead_code, reason = "each test file uses a part of the simulation")]

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};
use wagtail_assign::{
    AssignAction, AssignEvent, AssignMachine, AssignOptions, LoadSample, MoveReason, SliceLoad,
    TargetMember, peers::MAX_RELAYED_REPORTS,
};
use wagtail_core::{
    ids::{NodeName, ServiceName},
    units::LocalMoment,
};

/// The number of slices of the service.
pub const SLICES: u32 = 64;
/// The simulated time of one step.
const STEP: Duration = Duration::from_millis(200);

/// `InjectedFault` is a fault that a run contains on purpose and that the checks must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    Nothing,
    /// The machines allow more moves in flight than the checks.
    ExcessMoves,
    /// The machines refill their move budget faster than the checks.
    FastRefill,
    /// The drain of a target is not announced to the machines.
    UnannouncedDrain,
}

/// `CheckCounts` counts the checked events of a run, so that a run without them is noticed.
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
    /// The members that the machine was informed of last.
    announced: Vec<TargetMember>,
    moving: BTreeMap<u32, NodeName>,
    /// The moves left in the budget by the checks' own count.
    tokens: f64,
}

/// `AssignSimulation` is a simulated service with one machine per target.
#[derive(Debug)]
pub struct AssignSimulation {
    injected: InjectedFault,
    limits: AssignOptions,
    random: ChaCha8Rng,
    now: LocalMoment,
    targets: BTreeMap<NodeName, Target>,
    pub owners: BTreeMap<u32, NodeName>,
    rates: Vec<f64>,
    pending: Vec<(LocalMoment, NodeName, AssignEvent)>,
    /// Whether messages are lost or duplicated and moves fail by chance.
    pub faulty: bool,
    pub claims: u64,
    pub counts: CheckCounts,
}

pub fn name(index: usize) -> NodeName {
    NodeName::new(format!("vm-{index}")).unwrap()
}

impl AssignSimulation {
    pub fn new(targets: usize, seed: u64, injected: InjectedFault) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut run = Self {
            injected,
            // A small budget is used up often, so that its check is exercised.
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

    /// Starts or restarts a target, with a new machine that has no state.
    pub fn start(&mut self, index: usize) {
        let mut options = self.limits.clone();
        match self.injected {
            InjectedFault::ExcessMoves => options.max_moves = 10,
            InjectedFault::FastRefill => options.budget_period = Duration::from_millis(1),
            InjectedFault::Nothing | InjectedFault::UnannouncedDrain => {}
        }

        let service = ServiceName::new("agenda").unwrap();
        let seed = self.random.random();
        let machine = AssignMachine::new(self.now, name(index), service, seed)
            .with_options(self.now, options);
        let target = Target {
            machine,
            up: true,
            draining: false,
            announced: Vec::new(),
            moving: BTreeMap::new(),
            tokens: f64::from(self.limits.budget_moves),
        };
        self.targets.insert(name(index), target);
    }

    /// Stops a target without a drain; its slices become unowned.
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

    /// Returns the number of targets that may own slices.
    pub fn eligible(&self) -> usize {
        let eligible = |target: &&Target| target.up && !target.draining;

        self.targets.values().filter(eligible).count()
    }

    pub fn owned(&self, index: usize) -> usize {
        let name = name(index);

        self.owners.values().filter(|owner| **owner == name).count()
    }

    /// Announces the targets and their drains to each target, with a random delay for each.
    pub fn announce(&mut self) {
        let unannounced = self.injected == InjectedFault::UnannouncedDrain;
        let up = self.targets.iter().filter(|(_, target)| target.up);
        let members: Vec<TargetMember> = up
            .map(|(node, target)| TargetMember {
                node: node.clone(),
                weight: 6,
                draining: target.draining && !unannounced,
            })
            .collect();

        for node in self.targets.keys().cloned().collect::<Vec<_>>() {
            let members = members.clone();
            let at = self.now + STEP * self.random.random_range(0..5);
            self.pending
                .push((at, node, AssignEvent::MembersChanged { members }));
        }
    }

    /// Changes the load of a random slice.
    pub fn shift_load(&mut self) {
        let slice = self.random.random_range(0..self.rates.len());
        self.rates[slice] = self.random.random_range(1.0..1_000.0);
    }

    /// Simulates some seconds and returns the first violated bound.
    pub fn run(&mut self, seconds: u32) -> Result<(), String> {
        for step in 0..seconds * 5 {
            self.now = self.now + STEP;
            for target in self.targets.values_mut() {
                let capacity = f64::from(self.limits.budget_moves);
                let refill = STEP.as_secs_f64() / self.limits.budget_period.as_secs_f64();
                target.tokens = (target.tokens + refill).min(capacity);
            }

            self.deliver()?;
            for node in self.targets.keys().cloned().collect::<Vec<_>>() {
                if step % 5 == 0 {
                    let sample = self.sample(&node);
                    self.handle_event(&node, AssignEvent::LoadMeasured { sample })?;
                }
                let owners = &self.owners;
                let slices = (0..SLICES)
                    .filter(|slice| !owners.contains_key(slice))
                    .collect();
                self.handle_event(&node, AssignEvent::SlicesUnowned { slices })?;
                self.handle_event(&node, AssignEvent::Tick)?;
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
                self.handle_event(&node, event)?;
            }
        }

        Ok(())
    }

    /// Completes a move, or lets it fail because its destination is down or by chance.
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

            return self.handle_event(node, AssignEvent::MoveFailed { slice });
        }

        self.owners.insert(slice, to.clone());
        self.handle_event(node, AssignEvent::MoveFinished { slice })?;
        self.handle_event(&to, AssignEvent::SliceTaken { slice })
    }

    fn handle_event(&mut self, node: &NodeName, event: AssignEvent) -> Result<(), String> {
        let now = self.now;
        let Some(target) = self.targets.get_mut(node).filter(|target| target.up) else {
            return Ok(());
        };
        if let AssignEvent::MembersChanged { members } = &event {
            target.announced.clone_from(members);
        }

        for action in target.machine.handle(now, event) {
            self.apply_action(node, action)?;
        }

        Ok(())
    }

    fn apply_action(&mut self, node: &NodeName, action: AssignAction) -> Result<(), String> {
        match action {
            AssignAction::Claim { slice } => {
                self.claims += 1;
                if let Entry::Vacant(entry) = self.owners.entry(slice) {
                    entry.insert(node.clone());
                    self.handle_event(node, AssignEvent::SliceTaken { slice })?;
                }
            }
            AssignAction::Move { slice, to, reason } => {
                self.check_move(node, slice, &to, reason)?;
                let at = self.now + STEP * self.random.random_range(1..10);
                self.pending
                    .push((at, node.clone(), AssignEvent::MoveFinished { slice }));
            }
            AssignAction::SendLoad { to, message } => {
                if message.relayed.len() > MAX_RELAYED_REPORTS {
                    return Err(format!("{} reports in a message", message.relayed.len()));
                }
                self.counts.messages += 1;

                // Messages are lost, delayed, reordered and duplicated.
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

    /// Checks a move against the ownership, the drains, the moves in flight and the budget.
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
        let destination_draining = self.targets.get(to).is_some_and(|target| target.draining);
        let Some(target) = self.targets.get_mut(node) else {
            return Err(format!("{node} is unknown"));
        };
        // If the drain is not announced, the check takes the actual state of the destination, not
        // what the machine was informed of.
        let eligible = target
            .announced
            .iter()
            .any(|member| &member.node == to && !member.draining);

        if !eligible || (self.injected == InjectedFault::UnannouncedDrain && destination_draining) {
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
        // The budget may be exceeded by the rounding of one step.
        if target.tokens < -0.2 {
            return Err(format!("{node} is over its budget"));
        }

        Ok(())
    }
}
