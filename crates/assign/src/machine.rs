//! The state machine that decides about the slices of one target.

use crate::{
    balance::LoadBalance,
    budget::MoveBudget,
    claims::ClaimSchedule,
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

/// `OwnedSlice` holds the load and the move of a slice that this node owns.
#[derive(Debug, Clone)]
pub(crate) struct OwnedSlice {
    /// The measured load in requests a second.
    pub(crate) rate: f64,
    /// When this node became the owner.
    pub(crate) acquired_at: LocalMoment,
    /// The destination of the move in flight, if there is one.
    pub(crate) moving: Option<NodeName>,
}

/// `PendingLoad` is load that was requested from a peer and may still arrive.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingLoad {
    /// When the load was requested.
    pub(crate) at: LocalMoment,
    /// The requested load in requests a second.
    pub(crate) rate: f64,
}

/// `AssignMachine` decides which slices one target claims and hands over, and how much load it
/// requests from its peers.
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
    pub(crate) claims: ClaimSchedule,
    pub(crate) budget: MoveBudget,
    /// The targets that a move failed to, and until when they receive no further move.
    pub(crate) avoided_until: BTreeMap<NodeName, LocalMoment>,
    pub(crate) pending: Vec<PendingLoad>,
    /// Since when the load has been below the margin, if it is now.
    pub(crate) low_since: Option<LocalMoment>,
    pub(crate) last_report_at: Option<LocalMoment>,
    pub(crate) last_reply_at: Option<LocalMoment>,
    pub(crate) last_split_at: Option<LocalMoment>,
}

impl AssignMachine {
    /// Creates the machine of a target that starts now and owns no slices. Random choices are
    /// derived from `seed`.
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
            claims: ClaimSchedule::new(now),
            budget,
            avoided_until: BTreeMap::new(),
            pending: Vec::new(),
            low_since: None,
            last_report_at: None,
            last_reply_at: None,
            last_split_at: None,
        }
    }

    /// Sets the options and refills the move budget.
    #[must_use]
    pub fn with_options(mut self, now: LocalMoment, options: AssignOptions) -> Self {
        self.budget = MoveBudget::new(now, options.budget_moves, options.budget_period);
        self.options = options;
        self
    }

    /// Returns the number of owned slices, including those with a move in flight.
    pub fn owned_slices(&self) -> usize {
        self.slices.len()
    }

    /// Returns the number of moves in flight.
    pub fn moves_in_flight(&self) -> usize {
        let moving = |slice: &&OwnedSlice| slice.moving.is_some();

        self.slices.values().filter(moving).count()
    }

    /// Handles an event and returns the actions that the daemon is to carry out.
    pub fn handle(&mut self, now: LocalMoment, event: AssignEvent) -> Vec<AssignAction> {
        match event {
            AssignEvent::MembersChanged { members } => self.set_members(now, members),
            AssignEvent::LoadMeasured { sample } => self.set_loads(now, sample),
            AssignEvent::LoadReceived { message } => self.on_load_message(now, message),
            AssignEvent::SlicesUnowned { slices } => self.claim(now, &slices),
            AssignEvent::SliceTaken { slice } => self.take_slice(now, slice),
            AssignEvent::SliceLost { slice } | AssignEvent::MoveFinished { slice } => {
                self.slices.remove(&slice);
                self.hot.retain(|key| key.slice != slice);

                self.drain(now)
            }
            AssignEvent::MoveFailed { slice } => self.on_move_failed(now, slice),
            AssignEvent::Tick => self.tick(now),
        }
    }

    /// Replaces the known targets of the service by the announced ones.
    fn set_members(&mut self, now: LocalMoment, members: Vec<TargetMember>) -> Vec<AssignAction> {
        self.members = members
            .into_iter()
            .map(|member| (member.node.clone(), member))
            .collect();
        self.prune_peers(now);

        self.drain(now)
    }

    /// Stores the measured loads; a slice that the sample leaves out has none.
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

        self.update_low_since(now);

        Vec::new()
    }

    /// Records since when the load has been below the margin.
    fn update_low_since(&mut self, now: LocalMoment) {
        let low = self
            .balance()
            .is_some_and(|balance| balance.shortage(&self.options) > 0.0);

        self.low_since = low.then(|| self.low_since.unwrap_or(now));
    }

    /// Adds a slice to the owned ones.
    fn take_slice(&mut self, now: LocalMoment, slice: u32) -> Vec<AssignAction> {
        let owned = OwnedSlice {
            rate: 0.0,
            acquired_at: now,
            moving: None,
        };
        self.slices.entry(slice).or_insert(owned);

        self.drain(now)
    }

    /// Ends a failed move, so that the slice may move again, and avoids its destination for a
    /// while, so that the next attempt goes to another target.
    fn on_move_failed(&mut self, now: LocalMoment, slice: u32) -> Vec<AssignAction> {
        let destination = self
            .slices
            .get_mut(&slice)
            .and_then(|owned| owned.moving.take());

        if let Some(destination) = destination {
            self.avoided_until
                .insert(destination, now + self.options.avoid_time);
        }

        self.drain(now)
    }

    /// Claims the unowned slices that are due to this target by its rank.
    fn claim(&mut self, now: LocalMoment, slices: &[u32]) -> Vec<AssignAction> {
        if !self.is_eligible(&self.node) {
            return Vec::new();
        }

        let targets: Vec<PlacementTarget> = self.eligible_targets().collect();
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

    /// Returns the targets that may own slices: those with a weight that are not drained.
    pub(crate) fn eligible_targets(&self) -> impl Iterator<Item = PlacementTarget> {
        self.members
            .values()
            .filter(|member| member.weight > 0 && !member.draining)
            .map(|member| PlacementTarget::new(member.node.clone(), member.weight))
    }

    /// Returns whether a target may own slices: it has a weight and is not drained.
    pub(crate) fn is_eligible(&self, node: &NodeName) -> bool {
        self.members
            .get(node)
            .is_some_and(|member| member.weight > 0 && !member.draining)
    }

    /// Returns whether the VM of this target is drained.
    pub(crate) fn is_draining(&self) -> bool {
        self.members
            .get(&self.node)
            .is_some_and(|member| member.draining)
    }

    /// Moves slices off a drained VM, reports the load and requests the split of a hot key, each
    /// where it is due.
    fn tick(&mut self, now: LocalMoment) -> Vec<AssignAction> {
        self.prune_peers(now);
        self.avoided_until.retain(|_, until| *until > now);
        self.update_low_since(now);

        let mut actions = self.drain(now);
        actions.extend(self.report(now));
        actions.extend(self.split_key(now));

        actions
    }

    /// Removes the peer loads that are too old or whose target may not own slices.
    fn prune_peers(&mut self, now: LocalMoment) {
        let members = &self.members;
        let eligible = |node: &NodeName| {
            members
                .get(node)
                .is_some_and(|member| member.weight > 0 && !member.draining)
        };

        self.peers.retain(now - self.options.report_age, eligible);
    }

    /// Returns the load in requests a second of the owned slices without a move in flight.
    pub(crate) fn own_load(&self) -> f64 {
        self.slices
            .values()
            .filter(|slice| slice.moving.is_none())
            .map(|slice| slice.rate + self.options.idle_slice_rate)
            .sum()
    }

    /// Compares the load of this target with its fair share of the load of all known targets.
    /// Returns `None` while no peer's load is known or this target has no weight.
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
            fair_load: total / weights * f64::from(own.weight),
        })
    }
}
