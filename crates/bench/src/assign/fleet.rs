//! A simulated fleet of assignment machines; the load is a rate per slice, without single requests.

use crate::assign::{
    demand::{SliceDemand, f64_from_usize},
    drive::Traffic,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, time::Duration};
use wagtail_assign::{
    AssignEvent, AssignMachine, LoadMessage, MemberCandidate, TargetMember, choose_members,
};
use wagtail_core::{
    ids::{NodeName, ServiceName, ZoneName},
    slice::SliceId,
    units::LocalMoment,
};

/// The length of a simulation step.
pub const STEP: Duration = Duration::from_millis(250);
/// The steps until a deputy serves the slices of a lost target.
const TAKEOVER_STEPS: u64 = 7;
/// The number of hash slices for each target.
pub const SLICES_PER_TARGET: usize = 32;
/// The weight of each target, the number of its slots.
const WEIGHT: u32 = 6;

/// `SimTarget` is a simulated target and its assignment machine.
#[derive(Debug)]
pub(super) struct SimTarget {
    pub(super) name: NodeName,
    pub(super) machine: AssignMachine,
    pub(super) up: bool,
    pub(super) draining: bool,
}

/// `MeasuredRate` is the moving average of a slice's rate, as its owner measures it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MeasuredRate {
    pub(super) sum: f64,
    pub(super) weight: f64,
}

/// `Fleet` is the simulated targets of one service.
#[derive(Debug)]
pub struct Fleet {
    /// The true load of the slices.
    pub demand: SliceDemand,
    /// The messages and processing time so far.
    pub traffic: Traffic,
    /// The number of ownership changes so far.
    pub moved: u64,
    pub(super) targets: Vec<SimTarget>,
    pub(super) owners: Vec<Option<usize>>,
    pub(super) measured: Vec<MeasuredRate>,
    /// The last step and the destination of each hand-over in flight, by slice.
    pub(super) moving: BTreeMap<usize, (u64, usize)>,
    /// The last step and the deputy of each takeover in flight, by slice.
    pub(super) lost: BTreeMap<usize, (u64, usize)>,
    pub(super) messages: Vec<(usize, LoadMessage)>,
    pub(super) step: u64,
    pub(super) random: ChaCha8Rng,
    pub(super) service: ServiceName,
}

impl Fleet {
    /// Creates a fleet whose targets start at time zero.
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

    /// Creates the machine of a target that starts now.
    fn make_machine(&mut self, name: &NodeName) -> AssignMachine {
        AssignMachine::new(
            self.now(),
            name.clone(),
            self.service.clone(),
            self.random.random(),
        )
    }

    /// Returns the present virtual time.
    pub(super) fn now(&self) -> LocalMoment {
        let step = u32::try_from(self.step).unwrap_or(u32::MAX);

        LocalMoment::ZERO + STEP * step
    }

    /// Returns the number of slices.
    pub fn slices(&self) -> usize {
        self.owners.len()
    }

    /// Returns the number of slices that a target owns.
    pub fn owned(&self, target: usize) -> usize {
        let owned = |owner: &&Option<usize>| **owner == Some(target);

        self.owners.iter().filter(owned).count()
    }

    /// Returns the owner of a slice.
    pub fn owner(&self, slice: usize) -> Option<usize> {
        self.owners[slice]
    }

    /// Returns the targets that are up and not draining, which may own slices.
    pub fn eligible_targets(&self) -> Vec<usize> {
        let eligible = |index: &usize| self.targets[*index].up && !self.targets[*index].draining;

        (0..self.targets.len()).filter(eligible).collect()
    }

    /// Sends the current members to every target.
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
            self.deliver_event(index, AssignEvent::MembersChanged { members });
        }
    }

    /// Marks a target as draining and announces it.
    pub fn drain(&mut self, target: usize) {
        self.targets[target].draining = true;

        self.announce();
    }

    /// Stops a target without a drain; the deputies of its slices take over.
    pub fn crash(&mut self, target: usize) {
        let nodes: Vec<MemberCandidate> = self.member_candidates();
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

    /// Restarts a stopped target with a new machine.
    pub fn restart(&mut self, target: usize) {
        let name = self.targets[target].name.clone();

        self.targets[target].machine = self.make_machine(&name);
        self.targets[target].up = true;
        self.announce();
    }

    /// Returns the candidates for the choice of members, spread over three zones.
    fn member_candidates(&self) -> Vec<MemberCandidate> {
        let eligible = self.eligible_targets();
        let member = |index: usize| MemberCandidate {
            node: self.targets[index].name.clone(),
            zone: parse::<ZoneName>(["az-a", "az-b", "az-c"][index % 3]),
            deputy: true,
        };

        eligible.into_iter().map(member).collect()
    }

    /// Returns the first deputy of a slice that is up.
    fn first_deputy(&self, slice: usize, owner: usize, nodes: &[MemberCandidate]) -> usize {
        let slice = self.slice_id(slice);
        let choice = choose_members(&slice, &self.targets[owner].name, nodes);
        let found = choice.deputies.iter().find_map(|name| self.find(name));

        found.unwrap_or_else(|| self.eligible_targets()[0])
    }

    /// Returns the identifier of a slice.
    fn slice_id(&self, slice: usize) -> SliceId {
        SliceId::new(self.service.clone(), index(slice))
    }

    /// Returns the index of the target with a name, if it is up.
    pub(super) fn find(&self, name: &NodeName) -> Option<usize> {
        let found = |target: &SimTarget| target.up && &target.name == name;

        self.targets.iter().position(found)
    }

    /// Makes a target the owner of a slice without notifying any machine, for the naive policies.
    pub fn reassign(&mut self, slice: usize, target: usize) {
        if self.owners[slice] != Some(target) && !self.lost.contains_key(&slice) {
            self.owners[slice] = Some(target);
            self.moved += 1;
        }
    }

    /// Returns the load of each target that may own slices.
    pub fn loads(&self) -> BTreeMap<usize, f64> {
        let mut loads: BTreeMap<usize, f64> = self
            .eligible_targets()
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

    /// Returns the greatest load of a target divided by the mean load.
    pub fn imbalance(&self) -> f64 {
        let loads = self.loads();
        let total: f64 = loads.values().sum();
        let most = loads.values().copied().fold(0.0, f64::max);

        most / (total / f64_from_usize(loads.len())).max(1.0)
    }
}

/// Returns the index of a slice as the messages hold it.
pub(super) fn index(slice: usize) -> u32 {
    u32::try_from(slice).unwrap_or(u32::MAX)
}

/// Parses a name of the simulation.
///
/// # Panics
///
/// Panics when the text is not a valid name; the simulation creates only valid ones.
fn parse<T: TryFrom<String>>(text: &str) -> T
where
    T::Error: std::fmt::Debug,
{
    T::try_from(text.to_owned()).expect("the simulation creates only valid names")
}
