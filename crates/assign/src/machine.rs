//! The state machine of one target's slices.

use crate::{
    balance::LoadBalance,
    budget::MoveBudget,
    claims::ClaimBook,
    events::{AssignAction, AssignEvent, TargetMember},
    load::{HotKey, LoadSample},
    options::AssignOptions,
    peers::PeerTable,
    placement::PlacementTarget,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use wagtail_core::{
    ids::{NodeName, ServiceName},
    units::LocalMoment,
};

/// `OwnedSlice` is a slice of this node.
#[derive(Debug, Clone)]
pub(crate) struct OwnedSlice {
    pub(crate) rate: f64,
    pub(crate) taken: LocalMoment,
    /// The destination while the slice is handed over.
    pub(crate) moving: Option<NodeName>,
}

/// `AskedLoad` is load that a peer was asked for and that may still arrive.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AskedLoad {
    pub(crate) at: LocalMoment,
    pub(crate) rate: f64,
}

/// `AssignMachine` decides about the slices of one target.
#[derive(Debug, Clone)]
pub struct AssignMachine {
    pub(crate) node: NodeName,
    pub(crate) service: ServiceName,
    pub(crate) options: AssignOptions,
    pub(crate) random: ChaCha8Rng,
    pub(crate) members: BTreeMap<NodeName, TargetMember>,
    pub(crate) slices: BTreeMap<u32, OwnedSlice>,
    pub(crate) hot: Vec<HotKey>,
    pub(crate) peers: PeerTable,
    pub(crate) claims: ClaimBook,
    pub(crate) budget: MoveBudget,
    pub(crate) avoided: BTreeMap<NodeName, LocalMoment>,
    pub(crate) asked: Vec<AskedLoad>,
    /// Since when the load has been too low.
    pub(crate) low_since: Option<LocalMoment>,
    pub(crate) reported: Option<LocalMoment>,
    pub(crate) replied: Option<LocalMoment>,
    pub(crate) split: Option<LocalMoment>,
}

impl AssignMachine {
    /// Makes the machine of a target that starts now and owns nothing.
    pub fn new(now: LocalMoment, node: NodeName, service: ServiceName, seed: u64) -> Self {
        let options = AssignOptions::default();
        let budget = MoveBudget::new(now, options.budget_moves, options.budget_period);

        Self {
            node,
            service,
            options,
            random: ChaCha8Rng::seed_from_u64(seed),
            members: BTreeMap::new(),
            slices: BTreeMap::new(),
            hot: Vec::new(),
            peers: PeerTable::default(),
            claims: ClaimBook::new(now),
            budget,
            avoided: BTreeMap::new(),
            asked: Vec::new(),
            low_since: None,
            reported: None,
            replied: None,
            split: None,
        }
    }

    /// Sets the options and fills the budget.
    #[must_use]
    pub fn with_options(mut self, now: LocalMoment, options: AssignOptions) -> Self {
        self.budget = MoveBudget::new(now, options.budget_moves, options.budget_period);
        self.options = options;
        self
    }

    /// Returns the count of owned slices, those being handed over included.
    pub fn owned_slices(&self) -> usize {
        self.slices.len()
    }

    /// Returns the count of moves in flight.
    pub fn moves_in_flight(&self) -> usize {
        let moving = |slice: &&OwnedSlice| slice.moving.is_some();

        self.slices.values().filter(moving).count()
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, now: LocalMoment, event: AssignEvent) -> Vec<AssignAction> {
        match event {
            AssignEvent::MembersChanged { members } => self.set_members(now, members),
            AssignEvent::LoadMeasured { sample } => self.set_loads(now, sample),
            AssignEvent::LoadReceived { message } => self.on_message(now, message),
            AssignEvent::SlicesUnowned { slices } => self.claim(now, &slices),
            AssignEvent::SliceTaken { slice } => self.take_slice(now, slice),
            AssignEvent::SliceLost { slice } | AssignEvent::MoveFinished { slice } => {
                self.slices.remove(&slice);
                self.hot.retain(|key| key.slice != slice);

                self.drain(now)
            }
            AssignEvent::MoveFailed { slice } => self.on_failure(now, slice),
            AssignEvent::Tick => self.tick(now),
        }
    }

    /// Takes the announced targets.
    fn set_members(&mut self, now: LocalMoment, members: Vec<TargetMember>) -> Vec<AssignAction> {
        self.members = members
            .into_iter()
            .map(|member| (member.node.clone(), member))
            .collect();
        self.drop_peers(now);

        self.drain(now)
    }

    /// Takes the measured loads.
    fn set_loads(&mut self, now: LocalMoment, sample: LoadSample) -> Vec<AssignAction> {
        for slice in self.slices.values_mut() {
            slice.rate = 0.0;
        }
        for load in sample.loads {
            if let Some(slice) = self.slices.get_mut(&load.slice) {
                slice.rate = load.rate;
            }
        }
        self.hot = sample.hot;

        self.note_shortage(now);

        Vec::new()
    }

    /// Notes since when the load has been too low.
    fn note_shortage(&mut self, now: LocalMoment) {
        let low = self
            .balance()
            .is_some_and(|balance| balance.shortage(&self.options) > 0.0);

        self.low_since = low.then(|| self.low_since.unwrap_or(now));
    }

    /// Takes a slice as owned from now on.
    fn take_slice(&mut self, now: LocalMoment, slice: u32) -> Vec<AssignAction> {
        let owned = OwnedSlice {
            rate: 0.0,
            taken: now,
            moving: None,
        };
        self.slices.entry(slice).or_insert(owned);

        self.drain(now)
    }

    /// Lets a slice be moved again after its move failed, to another target at first.
    fn on_failure(&mut self, now: LocalMoment, slice: u32) -> Vec<AssignAction> {
        let destination = self
            .slices
            .get_mut(&slice)
            .and_then(|owned| owned.moving.take());

        if let Some(destination) = destination {
            self.avoided
                .insert(destination, now + self.options.avoid_time);
        }

        self.drain(now)
    }

    /// Claims unowned slices that this target wins.
    fn claim(&mut self, now: LocalMoment, slices: &[u32]) -> Vec<AssignAction> {
        if !self.takes_slices(&self.node) {
            return Vec::new();
        }

        let targets: Vec<PlacementTarget> = self.able_members().collect();
        let claims = self.claims.choose(
            now,
            &self.node,
            &self.service,
            slices,
            &targets,
            &self.options,
        );

        claims
            .into_iter()
            .map(|slice| AssignAction::Claim { slice })
            .collect()
    }

    /// Returns the targets that may own slices.
    pub(crate) fn able_members(&self) -> impl Iterator<Item = PlacementTarget> {
        self.members
            .values()
            .filter(|member| member.weight > 0 && !member.draining)
            .map(|member| PlacementTarget::new(member.node.clone(), member.weight))
    }

    /// Returns whether a target may own slices.
    pub(crate) fn takes_slices(&self, node: &NodeName) -> bool {
        self.members
            .get(node)
            .is_some_and(|member| member.weight > 0 && !member.draining)
    }

    /// Returns whether the own VM is drained.
    pub(crate) fn is_draining(&self) -> bool {
        self.members
            .get(&self.node)
            .is_some_and(|member| member.draining)
    }

    /// Reports the load, moves slices of a drained VM, and asks for a hot key to be split out.
    fn tick(&mut self, now: LocalMoment) -> Vec<AssignAction> {
        self.drop_peers(now);
        self.avoided.retain(|_, until| *until > now);
        self.note_shortage(now);

        let mut actions = self.drain(now);
        actions.extend(self.report(now));
        actions.extend(self.split_key(now));

        actions
    }

    /// Forgets the loads that no longer count.
    fn drop_peers(&mut self, now: LocalMoment) {
        let members = &self.members;
        let able = |node: &NodeName| {
            members
                .get(node)
                .is_some_and(|member| member.weight > 0 && !member.draining)
        };

        self.peers.retain(now - self.options.report_age, able);
    }

    /// Returns the load of the slices that stay.
    pub(crate) fn own_load(&self) -> f64 {
        self.slices
            .values()
            .filter(|slice| slice.moving.is_none())
            .map(|slice| slice.rate + self.options.slice_base)
            .sum()
    }

    /// Compares the own load with the mean of the known targets.
    pub(crate) fn balance(&self) -> Option<LoadBalance> {
        let own = self.members.get(&self.node)?;
        let load = self.own_load();
        let mut total = load;
        let mut weights = f64::from(own.weight);

        for (_, peer) in self.peers.iter() {
            total += peer.load;
            weights += f64::from(peer.weight);
        }

        let known = self.peers.iter().next().is_some() && own.weight > 0;

        known.then(|| LoadBalance {
            load,
            fair: total / weights * f64::from(own.weight),
        })
    }
}
