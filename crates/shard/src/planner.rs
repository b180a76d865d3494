//! Plans which target holds which range of keys.

use crate::{
    balance::{BalanceOptions, HolderLoad, fill_empty, rebalance},
    load::RangeLoad,
    table::{LAST_KEY, RangeHolder, RangeRow, RangeTable, RowState},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::{heartbeat::TargetIncarnation, objects::StoreRevision, units::LocalMoment};

/// The span of keys from which an unassigned row is divided among several targets.
const MIN_DIVIDED_SPAN: u16 = 4_096;

/// The utilisation from which a target counts as overloaded, as a share of its capacity.
const OVERLOAD_UTILISATION: f32 = 0.85;

/// `TargetStatus` is a node's report on its target.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TargetStatus {
    /// The name of the node.
    pub node: Arc<str>,
    /// The incarnation of the target, or `None` if the node has not heard from one.
    pub life: Option<TargetIncarnation>,
    /// Whether the target accepts requests and is not about to leave.
    pub ready: bool,
    /// The requests per second that the target can serve.
    pub capacity: f32,
    /// The load of the ranges that the target holds, cut into pieces.
    pub pieces: Vec<RangeLoad>,
}

/// `PlannerOptions` holds the timing of the planner and the limits on rebalancing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerOptions {
    /// The time without a response after which a node is presumed lost.
    pub suspicion: Duration,
    /// The time after a row's revocation, or after a return of the store was found, from which no grant of it can be valid any more.
    pub lapse: Duration,
    /// The time to wait for targets to appear before keys are assigned for the first time.
    pub discovery_window: Duration,
    /// The shortest time between two rounds of rebalancing moves.
    pub min_move_interval: Duration,
    /// The shortest time between two rounds while a target is overloaded.
    pub overload_move_interval: Duration,
    /// The limits on rebalancing moves.
    pub balance: BalanceOptions,
}

/// `MemberView` is the last status of a node and the time of its last response.
#[derive(Debug, Clone)]
struct MemberView {
    status: Option<TargetStatus>,
    answered: LocalMoment,
}

/// `RangePlanner` decides how the table changes. Several planners may run at once: the table is
/// written conditionally, so that only one of their changes takes effect.
#[derive(Debug)]
pub struct RangePlanner {
    options: PlannerOptions,
    members: HashMap<Arc<str>, MemberView>,
    /// When the changes since which rows wait to become free were first seen, by their tokens.
    waiting_since: HashMap<u64, LocalMoment>,
    started_at: LocalMoment,
    last_move_at: LocalMoment,
}

impl RangePlanner {
    /// Creates a planner without members.
    pub fn new(options: PlannerOptions, now: LocalMoment) -> Self {
        Self {
            options,
            members: HashMap::new(),
            waiting_since: HashMap::new(),
            started_at: now,
            last_move_at: now,
        }
    }

    /// Replaces the set of nodes that may have a target of the service. A new node counts as having
    /// responded at `now`.
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

    /// Records a node's status; nodes that are not members are ignored.
    pub fn answered(&mut self, status: TargetStatus, now: LocalMoment) {
        if let Some(member) = self.members.get_mut(&status.node) {
            member.status = Some(status);
            member.answered = now;
        }
    }

    /// Records when each change since which rows wait to become free was first seen; the wait for the
    /// lapse starts then.
    pub fn observe(&mut self, table: &RangeTable, now: LocalMoment) {
        let waiting: Vec<u64> = table
            .rows
            .iter()
            .filter(|row| matches!(row.state, RowState::Revoked | RowState::Unconfirmed))
            .map(|row| row.token)
            .collect();

        self.waiting_since
            .retain(|token, _| waiting.contains(token));
        for token in waiting {
            self.waiting_since.entry(token).or_insert(now);
        }
    }

    /// Returns the changed table, or `None` if nothing should change. `table` is `None` while the
    /// service has no table yet. `revision` is that of the table, or the latest known one of the store
    /// if there is no table.
    pub fn plan(
        &mut self,
        table: Option<&RangeTable>,
        revision: StoreRevision,
        now: LocalMoment,
    ) -> Option<RangeTable> {
        let candidates = self.candidates(now);
        let Some(table) = table else {
            return self.first_table(&candidates, revision, now);
        };

        let mut next = table.clone();
        if next.begin_change(revision) {
            next.compact();
            return Some(next);
        }
        self.observe(table, now);
        self.revoke_lost(&mut next, now);
        self.free_expired(&mut next, now);
        if !candidates.is_empty() {
            redirect_moves(&mut next, &candidates);
            self.drain_unready(&mut next, &candidates);
            assign_free(&mut next, &candidates);
            self.rebalance(&mut next, &candidates, now);
        }
        next.compact();

        (next.rows != table.rows).then_some(next)
    }

    /// Returns the ready targets on nodes that respond, sorted by holder; only these receive keys.
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

    /// Returns whether a node has not responded for longer than `suspicion`.
    fn is_silent(&self, member: &MemberView, now: LocalMoment) -> bool {
        now.since(member.answered) > self.options.suspicion
    }

    /// Returns the first table, with the keys divided by capacity, or `None` while it waits for
    /// `discovery_window` and for a status from each member. It waits at most three windows once
    /// there is a candidate. After a return of the store an earlier table may be lost, so that the keys
    /// are not divided at once.
    fn first_table(
        &self,
        candidates: &[HolderLoad],
        revision: StoreRevision,
        now: LocalMoment,
    ) -> Option<RangeTable> {
        let known = self.members.values().all(|member| member.status.is_some());
        let waited = now.since(self.started_at) >= self.options.discovery_window;
        if candidates.is_empty()
            || !(waited && known || now.since(self.started_at) >= self.options.discovery_window * 3)
        {
            return None;
        }

        let mut table = RangeTable::new();
        if !table.begin_change(revision) {
            assign_by_capacity(&mut table, 0, LAST_KEY, candidates);
        }

        Some(table)
    }

    /// Revokes the rows of nodes that are presumed lost. A holder's node that is not a member is
    /// silent from the planner's start.
    fn revoke_lost(&self, table: &mut RangeTable, now: LocalMoment) {
        table.revoke(|row| {
            row.holder.as_ref().is_some_and(|holder| {
                let member = self.members.get(&holder.node);
                member.map_or_else(
                    || now.since(self.started_at) > self.options.suspicion,
                    |member| self.is_silent(member, now),
                )
            })
        });
    }

    /// Frees the rows that have waited until no grant of them can be valid any more.
    fn free_expired(&self, table: &mut RangeTable, now: LocalMoment) {
        table.free(|row| {
            self.waiting_since
                .get(&row.token)
                .is_some_and(|since| now.since(*since) >= self.options.lapse)
        });
    }

    /// Starts to move the rows of targets whose last status says that they are not ready.
    fn drain_unready(&self, table: &mut RangeTable, candidates: &[HolderLoad]) {
        let leaving: Vec<(u16, u16)> = table
            .rows
            .iter()
            .filter(|row| row.state == RowState::Held && self.is_leaving(row))
            .map(|row| (row.from, row.to))
            .collect();

        for (from, to) in leaving {
            if let Some(next) = least_filled(table, candidates) {
                table.start_move(from, to, &next);
            }
        }
    }

    /// Returns whether the last status of a row's holder says that it is not ready.
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

    /// Starts moves that balance the load, unless rows are still moving or unassigned, or the last
    /// round was too recent.
    fn rebalance(&mut self, table: &mut RangeTable, candidates: &[HolderLoad], now: LocalMoment) {
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
        if in_motion || now.since(self.last_move_at) < min_move_interval {
            return;
        }

        // Targets that have just joined hold no keys, and get some even if no other move is due.
        let mut moves = rebalance(candidates, &self.options.balance);
        if moves.is_empty() {
            let empty = empty_holders(table, candidates);
            moves = fill_empty(candidates, &empty, &self.options.balance);
        }
        for change in moves {
            table.start_move(change.from, change.to, &change.next);
            self.last_move_at = now;
        }
    }
}

/// Returns the candidates that hold no keys and are about to receive none.
fn empty_holders(table: &RangeTable, candidates: &[HolderLoad]) -> Vec<RangeHolder> {
    candidates
        .iter()
        .map(|load| &load.holder)
        .filter(|holder| keys_of(table, holder) < 1.0)
        .cloned()
        .collect()
}

/// Redirects moving rows whose destination is not a candidate any more. A row whose holder is a
/// candidate stays there; another one goes to the least filled candidate.
fn redirect_moves(table: &mut RangeTable, candidates: &[HolderLoad]) {
    let is_candidate = |holder: &RangeHolder| candidates.iter().any(|load| &load.holder == holder);

    for index in 0..table.rows.len() {
        let RowState::Moving { to } = &table.rows[index].state else {
            continue;
        };
        if is_candidate(to) {
            continue;
        }

        let holder = table.rows[index].holder.clone();
        let next = if holder.as_ref().is_some_and(is_candidate) {
            RowState::Held
        } else {
            match least_filled(table, candidates) {
                Some(to) => RowState::Moving { to },
                None => RowState::Held,
            }
        };
        table.rows[index].state = next;
    }
}

/// Assigns the unassigned rows to the targets with the fewest keys for their capacity. Only rows
/// with many keys are divided, to keep the number of rows small.
fn assign_free(table: &mut RangeTable, candidates: &[HolderLoad]) {
    let mut free: Vec<(u16, u16)> = table
        .rows
        .iter()
        .filter(|row| row.is_unassigned())
        .map(|row| (row.from, row.to))
        .collect();
    free.sort_by_key(|(from, to)| std::cmp::Reverse(to - from));

    for (from, to) in free {
        if to - from >= MIN_DIVIDED_SPAN {
            assign_by_capacity(table, from, to, candidates);
        } else if let Some(next) = least_filled(table, candidates) {
            table.assign(from, to, &next);
        }
    }
}

/// Divides a range among the targets so that each target's number of keys comes close to its share
/// of the total capacity.
fn assign_by_capacity(table: &mut RangeTable, from: u16, to: u16, candidates: &[HolderLoad]) {
    let capacity: f32 = candidates.iter().map(|load| load.capacity).sum();
    let whole = f32::from(LAST_KEY) + 1.0;
    let mut start = u32::from(from);

    // The number of keys by which each target falls short of its quota.
    let mut deficits: Vec<(f32, &RangeHolder)> = candidates
        .iter()
        .map(|load| {
            let quota = whole * load.capacity / capacity.max(0.1);
            (quota - keys_of(table, &load.holder), &load.holder)
        })
        .collect();
    deficits.sort_by(|a, b| b.0.total_cmp(&a.0));
    let total_deficit: f32 = deficits.iter().map(|deficit| deficit.0.max(0.0)).sum();
    let span = f32::from(to) - f32::from(from) + 1.0;

    for (index, (deficit, holder)) in deficits.iter().enumerate() {
        if start > u32::from(to) {
            break;
        }
        let share = span * deficit.max(0.0) / total_deficit.max(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of the keys is small and not negative"
        )]
        let end = (start + share.round() as u32)
            .saturating_sub(1)
            .min(u32::from(to));
        let end = if index + 1 == deficits.len() {
            u32::from(to)
        } else {
            end
        };
        if end < start {
            continue;
        }
        table.assign(key_at(start), key_at(end), holder);
        start = end + 1;
    }
}

/// Returns the number of keys that a holder has and keeps, or is about to receive.
fn keys_of(table: &RangeTable, holder: &RangeHolder) -> f32 {
    table
        .rows
        .iter()
        .filter(|row| match &row.state {
            RowState::Moving { to } => to == holder,
            RowState::Held | RowState::Unconfirmed => row.holder.as_ref() == Some(holder),
            RowState::Revoked => false,
        })
        .map(|row| f32::from(row.to) - f32::from(row.from) + 1.0)
        .sum()
}

/// Returns the target with the fewest keys for its capacity, or `None` without candidates.
fn least_filled(table: &RangeTable, candidates: &[HolderLoad]) -> Option<RangeHolder> {
    candidates
        .iter()
        .min_by(|a, b| {
            let fill = |load: &HolderLoad| keys_of(table, &load.holder) / load.capacity.max(0.1);
            fill(a).total_cmp(&fill(b))
        })
        .map(|load| load.holder.clone())
}

/// Converts a position to a key; positions past the last key become the last key.
fn key_at(position: u32) -> u16 {
    u16::try_from(position).unwrap_or(LAST_KEY)
}
