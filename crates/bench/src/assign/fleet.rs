//! A fleet of assignment machines over a fluid model of the load.

use crate::assign::demand::{SliceDemand, as_float};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use wagtail_assign::{
    AssignAction, AssignEvent, AssignMachine, LoadMessage, LoadSample, SliceLoad, SpreadMember,
    TargetMember, choose_members,
};
use wagtail_core::{
    ids::{NodeName, ServiceName, ZoneName},
    slice::SliceId,
    units::LocalMoment,
};

/// The length of a step.
pub const STEP: Duration = Duration::from_millis(250);
/// The steps between two measurements of the load.
const STEPS_PER_SECOND: u64 = 4;
/// The steps that a hand-over takes.
const MOVE_STEPS: u64 = 2;
/// The steps until a deputy serves a lost target's slices.
const TAKEOVER_STEPS: u64 = 7;
/// The time constant of the measured rates, in seconds.
const RATE_WINDOW: f64 = 5.0;
/// The hash slices for each target.
pub const SLICES_PER_TARGET: usize = 32;
/// The slots of each target.
const WEIGHT: u32 = 6;

/// `SimTarget` is one target with its machine.
#[derive(Debug)]
struct SimTarget {
    name: NodeName,
    machine: AssignMachine,
    up: bool,
    draining: bool,
}

/// `MeasuredRate` is the owner's measurement of a slice.
#[derive(Debug, Clone, Copy, Default)]
struct MeasuredRate {
    sum: f64,
    weight: f64,
}

/// `Traffic` counts what the machines sent and how long they computed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// The messages sent.
    pub messages: u64,
    /// Their bytes in the encoding between daemons.
    pub bytes: u64,
    /// The events handled.
    pub events: u64,
    /// The time spent on them.
    pub busy: Duration,
}

/// `Fleet` is all targets of one service.
#[derive(Debug)]
pub struct Fleet {
    /// The true load.
    pub demand: SliceDemand,
    /// What was sent so far.
    pub traffic: Traffic,
    /// The ownership changes so far.
    pub moved: u64,
    targets: Vec<SimTarget>,
    owners: Vec<Option<usize>>,
    measured: Vec<MeasuredRate>,
    /// The end and destination of each hand-over in flight.
    moving: BTreeMap<usize, (u64, usize)>,
    /// The end and the deputy of each takeover in flight.
    lost: BTreeMap<usize, (u64, usize)>,
    messages: Vec<(usize, LoadMessage)>,
    step: u64,
    random: ChaCha8Rng,
    service: ServiceName,
}

impl Fleet {
    /// Makes a fleet whose targets start now.
    pub fn new(targets: usize, seed: u64) -> Self {
        let slices = targets * SLICES_PER_TARGET;
        let mut fleet = Self {
            demand: SliceDemand::new(targets, slices, seed),
            traffic: Traffic::default(),
            moved: 0,
            targets: Vec::new(),
            owners: vec![None; slices],
            measured: vec![MeasuredRate::default(); slices],
            moving: BTreeMap::new(),
            lost: BTreeMap::new(),
            messages: Vec::new(),
            step: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            service: parse("agenda"),
        };

        for _ in 0..targets {
            fleet.add_target();
        }
        fleet.announce();

        fleet
    }

    /// Adds a target that owns nothing and returns its index.
    pub fn add_target(&mut self) -> usize {
        let index = self.targets.len();
        let name: NodeName = parse(&format!("vm-{index}"));

        let machine = self.make_machine(&name);

        self.targets.push(SimTarget {
            machine,
            name,
            up: true,
            draining: false,
        });

        index
    }

    /// Makes the machine of a target that starts now.
    fn make_machine(&mut self, name: &NodeName) -> AssignMachine {
        AssignMachine::new(
            self.now(),
            name.clone(),
            self.service.clone(),
            self.random.random(),
        )
    }

    /// Returns the time.
    fn now(&self) -> LocalMoment {
        let step = u32::try_from(self.step).unwrap_or(u32::MAX);

        LocalMoment::ZERO + STEP * step
    }

    /// Returns the count of slices.
    pub fn slices(&self) -> usize {
        self.owners.len()
    }

    /// Returns the count of slices that a target owns.
    pub fn owned(&self, target: usize) -> usize {
        let owned = |owner: &&Option<usize>| **owner == Some(target);

        self.owners.iter().filter(owned).count()
    }

    /// Returns the owner of a slice.
    pub fn owner(&self, slice: usize) -> Option<usize> {
        self.owners[slice]
    }

    /// Returns the targets that may own slices.
    pub fn able_targets(&self) -> Vec<usize> {
        let able = |index: &usize| self.targets[*index].up && !self.targets[*index].draining;

        (0..self.targets.len()).filter(able).collect()
    }

    /// Tells every target who may own slices.
    pub fn announce(&mut self) {
        let member = |target: &SimTarget| TargetMember {
            node: target.name.clone(),
            weight: WEIGHT,
            draining: target.draining,
        };
        let up = self.targets.iter().filter(|target| target.up);
        let members: Vec<TargetMember> = up.map(member).collect();

        for index in 0..self.targets.len() {
            let members = members.clone();
            self.tell(index, AssignEvent::MembersChanged { members });
        }
    }

    /// Drains a target.
    pub fn drain(&mut self, target: usize) {
        self.targets[target].draining = true;

        self.announce();
    }

    /// Stops a target at once; its deputies take over.
    pub fn crash(&mut self, target: usize) {
        let nodes: Vec<SpreadMember> = self.spread_members();
        self.targets[target].up = false;

        for slice in 0..self.slices() {
            if self.owners[slice] == Some(target) {
                let deputy = self.first_deputy(slice, target, &nodes);
                let end = self.step + TAKEOVER_STEPS;
                self.owners[slice] = None;
                self.moving.remove(&slice);
                self.lost.insert(slice, (end, deputy));
            }
        }
    }

    /// Starts a stopped target again, with nothing remembered.
    pub fn restart(&mut self, target: usize) {
        let name = self.targets[target].name.clone();

        self.targets[target].machine = self.make_machine(&name);
        self.targets[target].up = true;
        self.announce();
    }

    /// Returns the nodes for the choice of members; three zones.
    fn spread_members(&self) -> Vec<SpreadMember> {
        let able = self.able_targets();
        let member = |index: usize| SpreadMember {
            node: self.targets[index].name.clone(),
            zone: parse::<ZoneName>(["az-a", "az-b", "az-c"][index % 3]),
            deputy: true,
        };

        able.into_iter().map(member).collect()
    }

    /// Returns the first deputy of a slice that is up.
    fn first_deputy(&self, slice: usize, owner: usize, nodes: &[SpreadMember]) -> usize {
        let slice = self.slice_id(slice);
        let choice = choose_members(&slice, &self.targets[owner].name, nodes);
        let found = choice.deputies.iter().find_map(|name| self.find(name));

        found.unwrap_or_else(|| self.able_targets()[0])
    }

    /// Returns the identifier of a slice.
    fn slice_id(&self, slice: usize) -> SliceId {
        SliceId::new(self.service.clone(), index(slice))
    }

    /// Returns the target of a name, if it is up.
    fn find(&self, name: &NodeName) -> Option<usize> {
        let found = |target: &SimTarget| target.up && &target.name == name;

        self.targets.iter().position(found)
    }

    /// Runs one step; `decides` tells whether the machines decide.
    pub fn run_step(&mut self, decides: bool) {
        self.step += 1;
        self.finish_takeovers();

        if !decides {
            return;
        }

        self.finish_moves();
        self.deliver();

        if self.step.is_multiple_of(STEPS_PER_SECOND) {
            self.measure();
        }

        let unowned = self.unowned();
        for target in 0..self.targets.len() {
            if !unowned.is_empty() {
                let slices = unowned.clone();
                self.tell(target, AssignEvent::SlicesUnowned { slices });
            }
            self.tell(target, AssignEvent::Tick);
        }
    }

    /// Returns the slices that never had an owner.
    fn unowned(&self) -> Vec<u32> {
        let unowned =
            |slice: &usize| self.owners[*slice].is_none() && !self.lost.contains_key(slice);

        (0..self.slices()).filter(unowned).map(index).collect()
    }

    /// Ends the takeovers that are due.
    fn finish_takeovers(&mut self) {
        let due: Vec<(usize, usize)> = self
            .lost
            .iter()
            .filter(|(_, (end, _))| *end <= self.step)
            .map(|(slice, (_, deputy))| (*slice, *deputy))
            .collect();

        if !due.is_empty() {
            self.announce();
        }
        for (slice, deputy) in due {
            self.lost.remove(&slice);
            self.take(slice, deputy);
        }
    }

    /// Ends the hand-overs that are due.
    fn finish_moves(&mut self) {
        let due: Vec<(usize, usize)> = self
            .moving
            .iter()
            .filter(|(_, (end, _))| *end <= self.step)
            .map(|(slice, (_, to))| (*slice, *to))
            .collect();

        for (slice, to) in due {
            self.moving.remove(&slice);
            let Some(from) = self.owners[slice] else {
                continue;
            };

            if self.targets[to].up {
                self.tell(
                    from,
                    AssignEvent::MoveFinished {
                        slice: index(slice),
                    },
                );
                self.take(slice, to);
            } else {
                self.tell(
                    from,
                    AssignEvent::MoveFailed {
                        slice: index(slice),
                    },
                );
            }
        }
    }

    /// Gives a slice to a target.
    fn take(&mut self, slice: usize, target: usize) {
        self.owners[slice] = Some(target);
        self.measured[slice] = MeasuredRate::default();
        self.moved += 1;
        self.tell(
            target,
            AssignEvent::SliceTaken {
                slice: index(slice),
            },
        );
    }

    /// Gives a slice to a target without asking any machine.
    pub fn reassign(&mut self, slice: usize, target: usize) {
        if self.owners[slice] != Some(target) && !self.lost.contains_key(&slice) {
            self.owners[slice] = Some(target);
            self.moved += 1;
        }
    }

    /// Delivers the messages of the step before.
    fn deliver(&mut self) {
        for (to, message) in std::mem::take(&mut self.messages) {
            self.tell(to, AssignEvent::LoadReceived { message });
        }
    }

    /// Lets every owner measure its slices, with the noise of independent arrivals.
    fn measure(&mut self) {
        let keep = (-1.0 / RATE_WINDOW).exp();
        let mut samples = vec![LoadSample::default(); self.targets.len()];

        for slice in 0..self.slices() {
            let Some(owner) = self.owners[slice] else {
                continue;
            };
            let rate = self.demand.rate(slice);
            let counted = (rate + self.draw_normal() * rate.sqrt()).max(0.0);
            let measured = &mut self.measured[slice];

            measured.sum = measured.sum * keep + counted * (1.0 - keep);
            measured.weight = measured.weight * keep + 1.0 - keep;
            samples[owner].loads.push(SliceLoad {
                slice: index(slice),
                rate: measured.sum / measured.weight,
            });
        }

        for (target, sample) in samples.into_iter().enumerate() {
            self.tell(target, AssignEvent::LoadMeasured { sample });
        }
    }

    /// Draws from a normal distribution by the sum of uniform draws.
    fn draw_normal(&mut self) -> f64 {
        let draws: f64 = (0..12).map(|_| self.random.random_range(0.0..1.0)).sum();

        draws - 6.0
    }

    /// Hands an event to a machine and carries out its actions.
    fn tell(&mut self, target: usize, event: AssignEvent) {
        if !self.targets[target].up {
            return;
        }

        let now = self.now();
        let begin = Instant::now();
        let actions = self.targets[target].machine.handle(now, event);
        self.traffic.busy += begin.elapsed();
        self.traffic.events += 1;

        for action in actions {
            self.act(target, action);
        }
    }

    /// Carries out an action of a machine.
    fn act(&mut self, target: usize, action: AssignAction) {
        match action {
            AssignAction::Claim { slice } => {
                if self.owners[slice as usize].is_none() {
                    self.take(slice as usize, target);
                }
            }
            AssignAction::Move { slice, to, .. } => {
                if let Some(to) = self.find(&to) {
                    let end = self.step + MOVE_STEPS;
                    self.moving.insert(slice as usize, (end, to));
                } else {
                    self.tell(target, AssignEvent::MoveFailed { slice });
                }
            }
            AssignAction::SendLoad { to, message } => {
                let bytes = bincode::serde::encode_to_vec(&message, bincode::config::standard());
                self.traffic.messages += 1;
                self.traffic.bytes += bytes.map_or(0, |bytes| bytes.len() as u64);

                if let Some(to) = self.find(&to) {
                    self.messages.push((to, message));
                }
            }
            AssignAction::SplitKey { .. } => {}
        }
    }

    /// Returns the load of each target that may own slices.
    pub fn loads(&self) -> BTreeMap<usize, f64> {
        let mut loads: BTreeMap<usize, f64> = self
            .able_targets()
            .into_iter()
            .map(|target| (target, 0.0))
            .collect();

        for (slice, owner) in self.owners.iter().enumerate() {
            if let Some(load) = owner.and_then(|owner| loads.get_mut(&owner)) {
                *load += self.demand.rate(slice);
            }
        }

        loads
    }

    /// Returns the greatest load over the mean load.
    pub fn imbalance(&self) -> f64 {
        let loads = self.loads();
        let total: f64 = loads.values().sum();
        let most = loads.values().copied().fold(0.0, f64::max);

        most / (total / as_float(loads.len())).max(1.0)
    }
}

/// Returns the index of a slice as the messages hold it.
fn index(slice: usize) -> u32 {
    u32::try_from(slice).unwrap_or(u32::MAX)
}

/// Makes a name of the model.
///
/// # Panics
///
/// Panics when the text is no name; the model makes valid ones only.
fn parse<T: TryFrom<String>>(text: &str) -> T
where
    T::Error: std::fmt::Debug,
{
    T::try_from(text.to_owned()).expect("the model makes valid names")
}
