//! The choice of slices that leave this node.

use crate::{
    balance::choose_slice,
    events::{AssignAction, MoveReason},
    load::SliceLoad,
    machine::{AssignMachine, OwnedSlice},
    placement::{PlacementTarget, rank_targets},
};
use std::{ops::RangeInclusive, sync::Arc};
use wagtail_core::{ids::NodeName, slice::SliceId, units::LocalMoment};

/// The shares of its slice's load between which a key is worth splitting out.
const SPLIT_SHARES: RangeInclusive<f64> = 0.2..=0.8;

impl AssignMachine {
    /// Hands slices over to a peer that asked for load.
    pub(crate) fn give(
        &mut self,
        now: LocalMoment,
        to: &NodeName,
        wanted: f64,
    ) -> Vec<AssignAction> {
        let mut left = wanted;
        let mut actions = Vec::new();

        while self.moves_in_flight() < self.options.max_moves && !self.avoided.contains_key(to) {
            let Some(balance) = self.balance() else { break };
            let free = self.free_slices(now);
            let Some(load) = choose_slice(&free, balance, left, &self.options) else {
                break;
            };
            if !self.budget.spend(now) {
                break;
            }

            left -= load.rate;
            actions.push(self.start_move(load, to.clone(), MoveReason::Balance));
        }

        actions
    }

    /// Returns the slices that may move, with their loads.
    pub(crate) fn free_slices(&self, now: LocalMoment) -> Vec<SliceLoad> {
        let rested = |slice: &OwnedSlice| now.since(slice.taken) >= self.options.slice_rest;

        self.slices
            .iter()
            .filter(|(_, slice)| slice.moving.is_none() && rested(slice))
            .map(|(&index, slice)| SliceLoad {
                slice: index,
                rate: slice.rate + self.options.slice_base,
            })
            .collect()
    }

    /// Marks a slice as moving and counts its load at the destination.
    pub(crate) fn start_move(
        &mut self,
        load: SliceLoad,
        to: NodeName,
        reason: MoveReason,
    ) -> AssignAction {
        if let Some(slice) = self.slices.get_mut(&load.slice) {
            slice.moving = Some(to.clone());
        }
        self.peers.add_load(&to, load.rate);

        AssignAction::Move {
            slice: load.slice,
            to,
            reason,
        }
    }

    /// Moves the slices of a drained VM to the targets that win them, several at a time.
    pub(crate) fn drain(&mut self, _now: LocalMoment) -> Vec<AssignAction> {
        if !self.is_draining() {
            return Vec::new();
        }

        let targets: Vec<PlacementTarget> = self
            .able_members()
            .filter(|target| !self.avoided.contains_key(&target.node))
            .collect();
        let room = self
            .options
            .max_drain_moves
            .saturating_sub(self.moves_in_flight());
        let waiting: Vec<SliceLoad> = self
            .slices
            .iter()
            .filter(|(_, slice)| slice.moving.is_none())
            .map(|(&index, slice)| SliceLoad {
                slice: index,
                rate: slice.rate + self.options.slice_base,
            })
            .take(room)
            .collect();

        let mut actions = Vec::new();
        for load in waiting {
            if let Some(to) = self.choose_refuge(load.slice, &targets) {
                actions.push(self.start_move(load, to, MoveReason::Drain));
            }
        }

        actions
    }

    /// Returns the first target in the slice's rank that is not known to be loaded above the
    /// mean, or else the first one.
    pub(crate) fn choose_refuge(
        &self,
        slice: u32,
        targets: &[PlacementTarget],
    ) -> Option<NodeName> {
        let ranked = rank_targets(&SliceId::new(self.service.clone(), slice), targets);
        let loads = self.peers.iter().map(|(_, peer)| peer.load);
        let weights = self.peers.iter().map(|(_, peer)| f64::from(peer.weight));
        let mean = loads.sum::<f64>() / weights.sum::<f64>().max(1.0);
        let spare = |node: &&NodeName| {
            self.peers
                .get(node)
                .is_none_or(|peer| peer.relative_load() <= mean * (1.0 + self.options.high_margin))
        };

        ranked
            .iter()
            .find(spare)
            .or_else(|| ranked.first())
            .cloned()
    }

    /// Asks for the hottest key to be split out when the node is overloaded, no whole slice can
    /// relieve it, and the key shares its slice with other keys of weight.
    pub(crate) fn split_key(&mut self, now: LocalMoment) -> Option<AssignAction> {
        let rested = |at: LocalMoment| now.since(at) >= self.options.slice_rest;
        let balance = self.balance()?;
        let excess = balance.excess(&self.options);
        let stuck = choose_slice(&self.free_slices(now), balance, excess, &self.options).is_none();

        if excess <= 0.0 || !stuck || !self.split.is_none_or(rested) || self.is_draining() {
            return None;
        }

        let hot = self.hot.iter().find(|key| {
            let slice = self.slices.get(&key.slice);
            let share = slice.map_or(0.0, |slice| key.rate / slice.rate.max(key.rate));

            key.rate >= balance.fair * self.options.split_share && SPLIT_SHARES.contains(&share)
        })?;
        let action = AssignAction::SplitKey {
            slice: hot.slice,
            key: Arc::clone(&hot.key),
        };
        self.split = Some(now);

        Some(action)
    }
}
