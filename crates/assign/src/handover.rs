//! The choice of the slices that move to other targets or are split.

use crate::{
    balance::choose_slice,
    events::{AssignAction, MoveReason},
    load::SliceLoad,
    machine::{AssignMachine, OwnedSlice},
    placement::{PlacementTarget, rank_targets},
};
use std::{ops::RangeInclusive, sync::Arc};
use wagtail_core::{ids::NodeName, slice::SliceId, units::LocalMoment};

/// The range of a key's share of its slice's load in which splitting the key out is worthwhile.
const SPLIT_SHARE_RANGE: RangeInclusive<f64> = 0.2..=0.8;

impl AssignMachine {
    /// Starts moves to a peer that requested load, within the move budget and the limit of moves
    /// in flight.
    pub(crate) fn hand_over(
        &mut self,
        now: LocalMoment,
        to: &NodeName,
        requested: f64,
    ) -> Vec<AssignAction> {
        let mut remaining = requested;
        let mut actions = Vec::new();

        while self.moves_in_flight() < self.options.max_moves
            && !self.avoided_until.contains_key(to)
        {
            let Some(balance) = self.balance() else { break };
            let movable = self.movable_slices(now);
            let Some(load) = choose_slice(&movable, balance, remaining, &self.options) else {
                break;
            };
            if !self.budget.try_spend(now) {
                break;
            }

            remaining -= load.rate;
            actions.push(self.start_move(load, to.clone(), MoveReason::Balance));
        }

        actions
    }

    /// Returns the loads of the slices that have no move in flight and whose cooldown is over.
    pub(crate) fn movable_slices(&self, now: LocalMoment) -> Vec<SliceLoad> {
        let cooled_down =
            |slice: &OwnedSlice| now.since(slice.acquired_at) >= self.options.slice_cooldown;

        self.slices
            .iter()
            .filter(|(_, slice)| slice.moving.is_none() && cooled_down(slice))
            .map(|(&index, slice)| SliceLoad {
                slice: index,
                rate: slice.rate + self.options.idle_slice_rate,
            })
            .collect()
    }

    /// Marks a slice as moving and adds its load to the known load of the destination.
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

    /// Starts moves of a drained VM's slices, each to a target of high rank for the slice, up to
    /// the limit of moves in flight.
    pub(crate) fn drain(&mut self, _now: LocalMoment) -> Vec<AssignAction> {
        if !self.is_draining() {
            return Vec::new();
        }

        let targets: Vec<PlacementTarget> = self
            .eligible_targets()
            .filter(|target| !self.avoided_until.contains_key(&target.node))
            .collect();
        let free_moves = self
            .options
            .max_drain_moves
            .saturating_sub(self.moves_in_flight());
        let waiting: Vec<SliceLoad> = self
            .slices
            .iter()
            .filter(|(_, slice)| slice.moving.is_none())
            .map(|(&index, slice)| SliceLoad {
                slice: index,
                rate: slice.rate + self.options.idle_slice_rate,
            })
            .take(free_moves)
            .collect();

        let mut actions = Vec::new();
        for load in waiting {
            if let Some(to) = self.choose_drain_destination(load.slice, &targets) {
                actions.push(self.start_move(load, to, MoveReason::Drain));
            }
        }

        actions
    }

    /// Returns the first target in the slice's ranking whose load is unknown or not above the mean
    /// by more than the margin. If there is none, returns the first one of the ranking.
    pub(crate) fn choose_drain_destination(
        &self,
        slice: u32,
        targets: &[PlacementTarget],
    ) -> Option<NodeName> {
        let ranked = rank_targets(&SliceId::new(self.service.clone(), slice), targets);
        let loads = self.peers.iter().map(|(_, peer)| peer.load);
        let weights = self.peers.iter().map(|(_, peer)| f64::from(peer.weight));
        let mean = loads.sum::<f64>() / weights.sum::<f64>().max(1.0);
        let has_room = |node: &&NodeName| {
            self.peers
                .get(node)
                .is_none_or(|peer| peer.relative_load() <= mean * (1.0 + self.options.high_margin))
        };

        ranked
            .iter()
            .find(has_room)
            .or_else(|| ranked.first())
            .cloned()
    }

    /// Requests the split of a hot key when the target has excess load and no movable slice would
    /// reduce it. The key is the hottest one that is large enough and shares its slice with other
    /// keys of relevant load.
    pub(crate) fn split_key(&mut self, now: LocalMoment) -> Option<AssignAction> {
        let cooled_down = |at: LocalMoment| now.since(at) >= self.options.slice_cooldown;
        let balance = self.balance()?;
        let excess = balance.excess(&self.options);
        let none_movable =
            choose_slice(&self.movable_slices(now), balance, excess, &self.options).is_none();

        if excess <= 0.0
            || !none_movable
            || !self.last_split_at.is_none_or(cooled_down)
            || self.is_draining()
        {
            return None;
        }

        let hot = self.hot.iter().find(|key| {
            let slice = self.slices.get(&key.slice);
            let share = slice.map_or(0.0, |slice| key.rate / slice.rate.max(key.rate));

            key.rate >= balance.fair_load * self.options.split_share
                && SPLIT_SHARE_RANGE.contains(&share)
        })?;
        let action = AssignAction::SplitKey {
            slice: hot.slice,
            key: Arc::clone(&hot.key),
        };
        self.last_split_at = Some(now);

        Some(action)
    }
}
