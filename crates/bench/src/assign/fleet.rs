//! A fleet of assignment machines over a fluid model of the load.

use crate::assign::{
    demand::{SliceDemand, as_float},
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

/// The length of a step.
pub const STEP: Duration = Duration::from_millis(250);
/// The steps until a deputy serves a lost target's slices.
const TAKEOVER_STEPS: u64 = 7;
/// The hash slices for each target.
pub const SLICES_PER_TARGET: usize = 32;
/// The slots of each target.
const WEIGHT: u32 = 6;

/// `SimTarget` is one target with its machine.
#[derive(Debug)]
pub(super) struct SimTarget {
    pub(super) name: NodeName,
    pub(super) machine: AssignMachine,
    pub(super) up: bool,
    pub(super) draining: bool,
}

/// `MeasuredRate` is the owner's measurement of a slice.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MeasuredRate {
    pub(super) sum: f64,
    pub(super) weight: f64,
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
    pub(super) targets: Vec<SimTarget>,
    pub(super) owners: Vec<Option<usize>>,
    pub(super) measured: Vec<MeasuredRate>,
    /// The end and destination of each hand-over in flight.
    pub(super) moving: BTreeMap<usize, (u64, usize)>,
    /// The end and the deputy of each takeover in flight.
    pub(super) lost: BTreeMap<usize, (u64, usize)>,
    pub(super) messages: Vec<(usize, LoadMessage)>,
    pub(super) step: u64,
    pub(super) random: ChaCha8Rng,
    pub(super) service: ServiceName,
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
    pub(super) fn now(&self) -> LocalMoment {
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
        let nodes: Vec<MemberCandidate> = self.spread_members();
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
    fn spread_members(&self) -> Vec<MemberCandidate> {
        let able = self.able_targets();
        let member = |index: usize| MemberCandidate {
            node: self.targets[index].name.clone(),
            zone: parse::<ZoneName>(["az-a", "az-b", "az-c"][index % 3]),
            deputy: true,
        };

        able.into_iter().map(member).collect()
    }

    /// Returns the first deputy of a slice that is up.
    fn first_deputy(&self, slice: usize, owner: usize, nodes: &[MemberCandidate]) -> usize {
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
    pub(super) fn find(&self, name: &NodeName) -> Option<usize> {
        let found = |target: &SimTarget| target.up && &target.name == name;

        self.targets.iter().position(found)
    }

    /// Gives a slice to a target without asking any machine.
    pub fn reassign(&mut self, slice: usize, target: usize) {
        if self.owners[slice] != Some(target) && !self.lost.contains_key(&slice) {
            self.owners[slice] = Some(target);
            self.moved += 1;
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
pub(super) fn index(slice: usize) -> u32 {
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
