//! Which target should hold which range.

use crate::{
    balance::{BalanceOptions, HolderLoad, even_out},
    load::RangeLoad,
    table::{LAST_KEY, RangeHolder, RangeRow, RangeTable, RowState},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::{heartbeat::TargetIncarnation, units::LocalMoment};

/// The keys from which on a row without a holder is divided among several targets.
const DIVIDED_KEYS: u16 = 4_096;

/// The utilisation from which on a target counts as overloaded.
const OVERLOAD_UTILISATION: f32 = 0.85;

/// `TargetStatus` is what the node beside a target says of it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TargetStatus {
    /// The node.
    pub node: Arc<str>,
    /// The life of the target; absent when the node has heard of none.
    pub life: Option<TargetIncarnation>,
    /// Whether the target takes work and means to stay.
    pub ready: bool,
    /// The requests a second that the target can serve.
    pub capacity: f32,
    /// The load of the ranges that the target holds.
    pub pieces: Vec<RangeLoad>,
}

/// `PlannerOptions` are the settings of the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerOptions {
    /// The silence after which a node is presumed lost.
    pub suspicion: Duration,
    /// The time after which no hold under a revoked row can still run.
    pub lapse: Duration,
    /// The time for which targets may still appear before keys are first assigned.
    pub discovery_window: Duration,
    /// The pause between two rounds of moves that even out the load.
    pub min_move_interval: Duration,
    /// The pause while a target is overloaded.
    pub overload_move_interval: Duration,
    /// The settings of the moves.
    pub balance: BalanceOptions,
}

/// `MemberView` is what the planner knows of one node.
#[derive(Debug, Clone)]
struct MemberView {
    status: Option<TargetStatus>,
    answered: LocalMoment,
}

/// `RangePlanner` decides changes of the table. Several planners may run; the conditional writes
/// let one of them win.
#[derive(Debug)]
pub struct RangePlanner {
    options: PlannerOptions,
    members: HashMap<Arc<str>, MemberView>,
    revoked: HashMap<(u16, u64), LocalMoment>,
    started: LocalMoment,
    moved: LocalMoment,
}

impl RangePlanner {
    /// Makes a planner that knows no members.
    pub fn new(options: PlannerOptions, now: LocalMoment) -> Self {
        Self {
            options,
            members: HashMap::new(),
            revoked: HashMap::new(),
            started: now,
            moved: now,
        }
    }

    /// Replaces the set of nodes that may stand beside a target of the service.
    pub fn set_members(&mut self, nodes: &[Arc<str>], now: LocalMoment) {
        self.members.retain(|node, _| nodes.contains(node));

        for node in nodes {
            self.members
                .entry(Arc::clone(node))
                .or_insert_with(|| MemberView {
                    status: None,
                    answered: now,
                });
        }
    }

    /// Takes note of a node's answer.
    pub fn answered(&mut self, status: TargetStatus, now: LocalMoment) {
        if let Some(member) = self.members.get_mut(&status.node) {
            member.status = Some(status);
            member.answered = now;
        }
    }

    /// Takes note of the state of the table, by which the waits of revoked rows begin.
    pub fn observe(&mut self, table: &RangeTable, now: LocalMoment) {
        let revoked: Vec<(u16, u64)> = table
            .rows
            .iter()
            .filter(|row| row.state == RowState::Revoked)
            .map(|row| (row.from, row.token))
            .collect();

        self.revoked.retain(|row, _| revoked.contains(row));
        for row in revoked {
            self.revoked.entry(row).or_insert(now);
        }
    }

    /// Returns the next state of the table, when it should change.
    pub fn plan(&mut self, table: Option<&RangeTable>, now: LocalMoment) -> Option<RangeTable> {
        let candidates = self.candidates(now);
        let Some(table) = table else {
            return self.first_table(&candidates, now);
        };

        self.observe(table, now);
        let mut next = table.clone();
        self.revoke_lost(&mut next, now);
        self.free_waited(&mut next, now);
        if !candidates.is_empty() {
            redirect_moves(&mut next, &candidates);
            self.leave_unready(&mut next, &candidates);
            assign_free(&mut next, &candidates);
            self.even_out(&mut next, &candidates, now);
        }
        next.compact();

        (next != *table).then_some(next)
    }

    /// Returns the targets that may receive keys.
    fn candidates(&self, now: LocalMoment) -> Vec<HolderLoad> {
        let mut candidates: Vec<HolderLoad> = self
            .members
            .values()
            .filter(|member| !self.is_silent(member, now))
            .filter_map(|member| member.status.as_ref())
            .filter(|status| status.ready)
            .filter_map(|status| {
                Some(HolderLoad {
                    holder: RangeHolder {
                        node: Arc::clone(&status.node),
                        life: status.life.clone()?,
                    },
                    capacity: status.capacity,
                    pieces: status.pieces.clone(),
                })
            })
            .collect();
        candidates.sort_by(|a, b| a.holder.cmp(&b.holder));

        candidates
    }

    /// Returns whether a node has been silent for too long.
    fn is_silent(&self, member: &MemberView, now: LocalMoment) -> bool {
        now.since(member.answered) > self.options.suspicion
    }

    /// Divides the keys among the first targets.
    fn first_table(&self, candidates: &[HolderLoad], now: LocalMoment) -> Option<RangeTable> {
        let known = self.members.values().all(|member| member.status.is_some());
        let waited = now.since(self.started) >= self.options.discovery_window;
        if candidates.is_empty()
            || !(waited && known || now.since(self.started) >= self.options.discovery_window * 3)
        {
            return None;
        }

        let mut table = RangeTable::new();
        assign_by_capacity(&mut table, 0, LAST_KEY, candidates);

        Some(table)
    }

    /// Revokes the rows of nodes that are presumed lost.
    fn revoke_lost(&self, table: &mut RangeTable, now: LocalMoment) {
        for row in &mut table.rows {
            let Some(holder) = &row.holder else {
                continue;
            };
            let silent = match self.members.get(&holder.node) {
                Some(member) => self.is_silent(member, now),
                None => now.since(self.started) > self.options.suspicion,
            };

            if silent && row.state != RowState::Revoked {
                row.state = RowState::Revoked;
            }
        }
    }

    /// Frees the revoked rows whose last possible hold has ended.
    fn free_waited(&self, table: &mut RangeTable, now: LocalMoment) {
        table.take_away(None, |row| {
            row.state == RowState::Revoked
                && self
                    .revoked
                    .get(&(row.from, row.token))
                    .is_some_and(|since| now.since(*since) >= self.options.lapse)
        });
    }

    /// Starts to move the rows of targets that answer but are not to stay.
    fn leave_unready(&self, table: &mut RangeTable, candidates: &[HolderLoad]) {
        let leaving: Vec<(u16, u16)> = table
            .rows
            .iter()
            .filter(|row| row.state == RowState::Held && self.is_leaving(row))
            .map(|row| (row.from, row.to))
            .collect();

        for (from, to) in leaving {
            if let Some(next) = emptiest(table, candidates) {
                table.start_move(from, to, &next);
            }
        }
    }

    /// Returns whether the holder of a row answers but is not to stay.
    fn is_leaving(&self, row: &RangeRow) -> bool {
        let Some(holder) = &row.holder else {
            return false;
        };
        let status = self
            .members
            .get(&holder.node)
            .and_then(|member| member.status.as_ref());

        status.is_some_and(|status| status.life.as_ref() == Some(&holder.life) && !status.ready)
    }

    /// Starts moves that even out the load.
    fn even_out(&mut self, table: &mut RangeTable, candidates: &[HolderLoad], now: LocalMoment) {
        let in_motion = table
            .rows
            .iter()
            .any(|row| row.holder.is_none() || row.state != RowState::Held);
        let overloaded = candidates
            .iter()
            .any(|load| load.utilisation() >= OVERLOAD_UTILISATION);
        let min_move_interval = if overloaded {
            self.options.overload_move_interval
        } else {
            self.options.min_move_interval
        };
        if in_motion || now.since(self.moved) < min_move_interval {
            return;
        }

        // A target that just joined holds nothing and takes a share of the keys.
        let mut moves = even_out(candidates, &self.options.balance);
        if moves.is_empty() {
            moves = self.fill_empty(table, candidates);
        }
        for change in moves {
            table.start_move(change.from, change.to, &change.next);
            self.moved = now;
        }
    }

    /// Returns a move for a target that holds nothing.
    fn fill_empty(
        &self,
        table: &RangeTable,
        candidates: &[HolderLoad],
    ) -> Vec<crate::balance::RangeMove> {
        let holds = |holder: &RangeHolder| {
            table
                .rows
                .iter()
                .any(|row| row.holder.as_ref() == Some(holder))
        };
        let Some(empty) = candidates.iter().find(|load| !holds(&load.holder)) else {
            return Vec::new();
        };
        let Some(busiest) = candidates
            .iter()
            .max_by(|a, b| a.utilisation().total_cmp(&b.utilisation()))
        else {
            return Vec::new();
        };

        let mut pieces = busiest.pieces.clone();
        pieces.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        let half = busiest.rate() * empty.capacity / (empty.capacity + busiest.capacity).max(0.1);
        let mut taken = 0.0;
        let mut moves = Vec::new();
        for piece in pieces {
            if moves.len() >= self.options.balance.max_moves {
                break;
            }
            if taken + piece.rate <= half || moves.is_empty() {
                taken += piece.rate;
                moves.push(crate::balance::RangeMove {
                    from: piece.from,
                    to: piece.to,
                    next: empty.holder.clone(),
                });
            }
        }

        moves
    }
}

/// Gives rows in motion to targets that cannot take them another destination.
fn redirect_moves(table: &mut RangeTable, candidates: &[HolderLoad]) {
    let able = |holder: &RangeHolder| candidates.iter().any(|load| &load.holder == holder);

    for index in 0..table.rows.len() {
        let RowState::Moving { to } = &table.rows[index].state else {
            continue;
        };
        if able(to) {
            continue;
        }

        let holder = table.rows[index].holder.clone();
        let next = if holder.as_ref().is_some_and(able) {
            RowState::Held
        } else {
            match emptiest(table, candidates) {
                Some(to) => RowState::Moving { to },
                None => RowState::Held,
            }
        };
        table.rows[index].state = next;
    }
}

/// Gives the rows without a holder to the targets with the fewest keys for their capacity. Only a
/// row with a large part of all keys is divided, so that rows stay few.
fn assign_free(table: &mut RangeTable, candidates: &[HolderLoad]) {
    let mut free: Vec<(u16, u16)> = table
        .rows
        .iter()
        .filter(|row| row.holder.is_none())
        .map(|row| (row.from, row.to))
        .collect();
    free.sort_by_key(|(from, to)| std::cmp::Reverse(to - from));

    for (from, to) in free {
        if to - from >= DIVIDED_KEYS {
            assign_by_capacity(table, from, to, candidates);
        } else if let Some(next) = emptiest(table, candidates) {
            table.assign(from, to, &next);
        }
    }
}

/// Divides a range among the targets so that their keys come close to their capacities.
fn assign_by_capacity(table: &mut RangeTable, from: u16, to: u16, candidates: &[HolderLoad]) {
    let capacity: f32 = candidates.iter().map(|load| load.capacity).sum();
    let whole = f32::from(LAST_KEY) + 1.0;
    let mut start = u32::from(from);

    // What each target lacks of its share, in keys.
    let mut lacks: Vec<(f32, &RangeHolder)> = candidates
        .iter()
        .map(|load| {
            let due = whole * load.capacity / capacity.max(0.1);
            (due - keys_of(table, &load.holder), &load.holder)
        })
        .collect();
    lacks.sort_by(|a, b| b.0.total_cmp(&a.0));
    let lacking: f32 = lacks.iter().map(|lack| lack.0.max(0.0)).sum();
    let span = f32::from(to) - f32::from(from) + 1.0;

    for (index, (lack, holder)) in lacks.iter().enumerate() {
        if start > u32::from(to) {
            break;
        }
        let share = span * lack.max(0.0) / lacking.max(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of the keys is small and not negative"
        )]
        let end = (start + share.round() as u32)
            .saturating_sub(1)
            .min(u32::from(to));
        let end = if index + 1 == lacks.len() {
            u32::from(to)
        } else {
            end
        };
        if end < start {
            continue;
        }
        table.assign(key(start), key(end), holder);
        start = end + 1;
    }
}

/// Returns the count of keys that a holder has or is to get.
fn keys_of(table: &RangeTable, holder: &RangeHolder) -> f32 {
    table
        .rows
        .iter()
        .filter(|row| match &row.state {
            RowState::Moving { to } => to == holder,
            RowState::Held => row.holder.as_ref() == Some(holder),
            RowState::Revoked => false,
        })
        .map(|row| f32::from(row.to) - f32::from(row.from) + 1.0)
        .sum()
}

/// Returns the target with the fewest keys for its capacity.
fn emptiest(table: &RangeTable, candidates: &[HolderLoad]) -> Option<RangeHolder> {
    candidates
        .iter()
        .min_by(|a, b| {
            let fill = |load: &HolderLoad| keys_of(table, &load.holder) / load.capacity.max(0.1);
            fill(a).total_cmp(&fill(b))
        })
        .map(|load| load.holder.clone())
}

/// Converts a position that lies among the keys.
fn key(position: u32) -> u16 {
    u16::try_from(position).unwrap_or(LAST_KEY)
}
