//! The assignment table of a keyed service and the operations that change it.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wagtail_core::{
    heartbeat::{GrantedRange, HeldRange, ReleasedRange, TargetIncarnation},
    objects::StoreRevision,
};

/// The highest key; keys are 16-bit numbers that start at 0.
pub const LAST_KEY: u16 = u16::MAX;

/// The bits of a fencing token that hold the number of a revision. The bits above hold the era. Both
/// together are at most 2^53 - 1, the largest integer that every JSON parser keeps exact.
const NUMBER_BITS: u32 = 40;

/// The largest era that a fencing token can hold.
const MAX_TOKEN_ERA: u64 = (1 << 13) - 1;

/// `RangeHolder` identifies the holder of a range: one incarnation of a target, and the
/// node of that target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RangeHolder {
    /// The name of the node of the target.
    pub node: Arc<str>,
    /// The incarnation of the target.
    pub life: TargetIncarnation,
}

/// `RowState` tells whether the holder of a row keeps it, hands it over or is presumed lost.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RowState {
    /// The holder keeps the row. A row that has no holder yet is in this state too.
    Held,
    /// The holder must release the row, which then goes to another holder.
    Moving {
        /// The holder that receives the row.
        to: RangeHolder,
    },
    /// The holder is presumed lost; the row becomes free once the last grant of it has lapsed. Its
    /// token is that of the change which revoked it.
    Revoked,
    /// The row is as an older copy of the store has it, and may have had another holder since. It
    /// goes to a holder whose grant has not lapsed, or becomes free once every grant has lapsed. Its
    /// token is that of the change which found the table in the copy.
    Unconfirmed,
}

/// `RangeRow` assigns one range of keys to a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeRow {
    /// The first key of the range.
    pub from: u16,
    /// The last key of the range, inclusive.
    pub to: u16,
    /// The fencing token under which the holder has the row, or that of the change since which the
    /// row waits to become free.
    pub token: u64,
    /// The holder, or `None` while the row is unassigned.
    pub holder: Option<RangeHolder>,
    /// Whether the holder keeps the row, hands it over or is presumed lost.
    pub state: RowState,
    /// The handover state from the previous holder; empty when it left none.
    pub handover: Arc<str>,
}

impl RangeRow {
    /// Returns the number of keys in the range.
    pub fn keys(&self) -> u32 {
        u32::from(self.to) - u32::from(self.from) + 1
    }

    /// Returns whether an incarnation is the holder of the row, in whichever state the row is.
    pub fn is_held_by(&self, life: &TargetIncarnation) -> bool {
        self.holder
            .as_ref()
            .is_some_and(|holder| &holder.life == life)
    }

    /// Returns whether the row has no holder and may be assigned to one.
    pub fn is_unassigned(&self) -> bool {
        self.holder.is_none() && self.state == RowState::Held
    }

    /// Returns whether the row shares a key with the range `from..=to`.
    pub fn overlaps(&self, from: u16, to: u16) -> bool {
        self.from <= to && from <= self.to
    }

    /// Returns a copy of the row that is clipped to the range `from..=to`.
    fn clip(&self, from: u16, to: u16) -> Self {
        Self {
            from: self.from.max(from),
            to: self.to.min(to),
            ..self.clone()
        }
    }
}

/// `RangeTable` assigns the keys of one keyed service to targets. The rows are sorted and cover
/// each key exactly once.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeTable {
    /// The era of the store for which the table was written; absent from tables of earlier versions.
    /// In a later era the table is what an older copy holds, or what a late write left there.
    pub era: Option<u64>,
    /// The next fencing token; it is above every token allocated so far.
    pub next_token: u64,
    /// The rows in ascending order of keys.
    pub rows: Vec<RangeRow>,
}

impl Default for RangeTable {
    fn default() -> Self {
        Self::new()
    }
}

impl RangeTable {
    /// Creates a table with a single row of all keys and no holder.
    pub fn new() -> Self {
        Self {
            era: None,
            next_token: 1,
            rows: vec![RangeRow {
                from: 0,
                to: LAST_KEY,
                token: 0,
                holder: None,
                state: RowState::Held,
                handover: Arc::from(""),
            }],
        }
    }

    /// Returns the era of the store for which the table was written.
    pub fn written_era(&self) -> u64 {
        self.era.unwrap_or_default()
    }

    /// Begins a change of the table, which is to be written if it is still at `revision`. All rows that
    /// the change assigns get one token. It is above every token of earlier changes, also of those that
    /// the store lost when it returned from a copy, as the revision is later than theirs.
    ///
    /// Makes all rows [`RowState::Unconfirmed`] if the table was written for an earlier era, and returns
    /// whether it was.
    pub fn begin_change(&mut self, revision: StoreRevision) -> bool {
        let is_outdated = self.written_era() < revision.era;
        self.era = Some(revision.era);
        self.next_token = self.next_token.max(lowest_token(revision)) + 1;

        if is_outdated {
            for row in &mut self.rows {
                row.state = RowState::Unconfirmed;
                row.token = self.next_token - 1;
                row.handover = Arc::from("");
            }
        }

        is_outdated
    }

    /// Returns whether the rows cover all keys exactly once, in order, and every token is below
    /// `next_token`.
    pub fn is_sound(&self) -> bool {
        let mut next = 0;

        for row in &self.rows {
            if u32::from(row.from) != next || row.to < row.from || row.token >= self.next_token {
                return false;
            }
            next = u32::from(row.to) + 1;
        }

        next == u32::from(LAST_KEY) + 1
    }

    /// Returns whether any row belongs to the target of a node. Unconfirmed rows do not, as the node may
    /// not free them.
    pub fn is_assigned_to(&self, node: &str) -> bool {
        self.rows.iter().any(|row| {
            let holder = row.holder.as_ref();

            row.state != RowState::Unconfirmed && holder.is_some_and(|holder| &*holder.node == node)
        })
    }

    /// Returns the row that covers a key.
    pub fn row(&self, key: u16) -> Option<&RangeRow> {
        let index = self.rows.partition_point(|row| row.to < key);

        self.rows.get(index)
    }

    /// Returns the ranges to grant to an incarnation: the rows that it holds in state `Held`.
    pub fn grants(&self, life: &TargetIncarnation) -> Vec<GrantedRange> {
        self.rows
            .iter()
            .filter(|row| row.is_held_by(life) && row.state == RowState::Held)
            .map(|row| GrantedRange {
                from: row.from,
                to: row.to,
                token: row.token,
                handover: Arc::clone(&row.handover),
            })
            .collect()
    }

    /// Assigns all unassigned keys of the range `from..=to` to a holder, under the token of this change.
    pub fn assign(&mut self, from: u16, to: u16, holder: &RangeHolder) {
        self.split(from, to);
        let token = self.change_token();

        for row in &mut self.rows {
            if row.is_unassigned() && row.from >= from && row.to <= to {
                row.holder = Some(holder.clone());
                row.token = token;
            }
        }
    }

    /// Gives the unconfirmed keys of the range `from..=to` to a holder that has them under `token`.
    /// Returns whether there were any.
    pub fn claim(&mut self, from: u16, to: u16, token: u64, holder: &RangeHolder) -> bool {
        if !self.has_unconfirmed(from, to) {
            return false;
        }

        self.split(from, to);
        for row in &mut self.rows {
            if row.state == RowState::Unconfirmed && row.from >= from && row.to <= to {
                row.holder = Some(holder.clone());
                row.state = RowState::Held;
                row.token = token;
            }
        }

        true
    }

    /// Returns whether any key of the range `from..=to` is unconfirmed.
    pub fn has_unconfirmed(&self, from: u16, to: u16) -> bool {
        self.rows
            .iter()
            .any(|row| row.state == RowState::Unconfirmed && row.overlaps(from, to))
    }

    /// Revokes the rows in state `Held` or `Moving` that `is_lost` selects. Their new token identifies
    /// this revocation among all others of the same row.
    pub fn revoke(&mut self, is_lost: impl Fn(&RangeRow) -> bool) {
        let token = self.change_token();

        for row in &mut self.rows {
            let is_kept = matches!(row.state, RowState::Held | RowState::Moving { .. });
            if is_kept && row.holder.is_some() && is_lost(row) {
                row.state = RowState::Revoked;
                row.token = token;
            }
        }
    }

    /// Frees the rows in state `Revoked` or `Unconfirmed` that `is_over` selects.
    pub fn free(&mut self, is_over: impl Fn(&RangeRow) -> bool) {
        let token = self.change_token();

        for row in &mut self.rows {
            let waits = matches!(row.state, RowState::Revoked | RowState::Unconfirmed);
            if waits && is_over(row) {
                row.holder = None;
                row.state = RowState::Held;
                row.token = token;
                row.handover = Arc::from("");
            }
        }
    }

    /// Marks the rows in state `Held` inside the range `from..=to` as moving to another holder.
    /// Rows without a holder, or that `next` holds already, stay as they are.
    pub fn start_move(&mut self, from: u16, to: u16, next: &RangeHolder) {
        self.split(from, to);

        for row in &mut self.rows {
            let kept = row.holder.is_some() && row.state == RowState::Held;

            if kept && row.from >= from && row.to <= to && row.holder.as_ref() != Some(next) {
                row.state = RowState::Moving { to: next.clone() };
            }
        }
    }

    /// Hands over the rows that an incarnation no longer holds: moving rows go to their next
    /// holder, revoked ones become unassigned. `holds` and `released` come from its heartbeat.
    /// `omission_acknowledged` tells whether an earlier reply that the target has acknowledged
    /// already left out the row; only then does its absence from `holds` mean that it was
    /// released. Returns whether anything changed.
    pub fn release(
        &mut self,
        life: &TargetIncarnation,
        holds: &[HeldRange],
        released: &[ReleasedRange],
        omission_acknowledged: impl Fn(&RangeRow) -> bool,
    ) -> bool {
        let is_free = |row: &RangeRow| {
            row.is_held_by(life)
                && matches!(row.state, RowState::Moving { .. } | RowState::Revoked)
                && omission_acknowledged(row)
                && !holds.iter().any(|held| row.overlaps(held.from, held.to))
        };
        if !self.rows.iter().any(is_free) {
            return false;
        }

        let token = self.change_token();
        let rows = std::mem::take(&mut self.rows);
        for row in rows {
            if is_free(&row) {
                self.rows.extend(successor_rows(&row, released, token));
            } else {
                self.rows.push(row);
            }
        }

        true
    }

    /// Reassigns the rows whose holder cannot hold them any more, as decided by `ended`. A moving
    /// row goes to its next holder; any other row goes to `successor`, or becomes unassigned when
    /// that is `None`. The new token fences off the old holder. Unconfirmed rows stay as they are, as
    /// `ended` cannot tell of holders that are lost. Returns whether anything changed.
    pub fn reassign(
        &mut self,
        successor: Option<&RangeHolder>,
        ended: impl Fn(&RangeRow) -> bool,
    ) -> bool {
        let is_affected = |row: &RangeRow| {
            row.holder.is_some() && row.state != RowState::Unconfirmed && ended(row)
        };
        if !self.rows.iter().any(is_affected) {
            return false;
        }

        let new_token = self.change_token();
        for row in self.rows.iter_mut().filter(|row| is_affected(row)) {
            let next = match &row.state {
                RowState::Moving { to } => Some(to.clone()),
                RowState::Held | RowState::Revoked | RowState::Unconfirmed => successor.cloned(),
            };

            row.holder = next;
            row.state = RowState::Held;
            row.token = new_token;
            row.handover = Arc::from("");
        }

        true
    }

    /// Merges adjacent rows without a holder, and adjacent rows with the same holder, state,
    /// handover and token.
    pub fn compact(&mut self) {
        self.rows.dedup_by(|next, row| {
            let mergeable = row.holder == next.holder
                && row.state == next.state
                && row.handover == next.handover
                && (row.token == next.token || row.is_unassigned());
            if mergeable {
                row.to = next.to;
                row.token = row.token.max(next.token);
            }
            mergeable
        });
    }

    /// Returns the token of the present change.
    fn change_token(&self) -> u64 {
        self.next_token - 1
    }

    /// Splits rows so that each lies either inside or outside the range `from..=to`.
    fn split(&mut self, from: u16, to: u16) {
        let rows = std::mem::take(&mut self.rows);

        for row in rows {
            if !row.overlaps(from, to) {
                self.rows.push(row);
                continue;
            }
            if row.from < from {
                self.rows.push(row.clip(0, from - 1));
            }
            self.rows.push(row.clip(from, to));
            if row.to > to {
                self.rows.push(row.clip(to + 1, LAST_KEY));
            }
        }
    }
}

/// Returns the lowest fencing token of a change that expects a revision.
fn lowest_token(revision: StoreRevision) -> u64 {
    let era = revision.era.min(MAX_TOKEN_ERA);
    let number = revision.number.min((1 << NUMBER_BITS) - 1);

    (era << NUMBER_BITS) | number
}

/// Returns the rows that replace a released row: one for each released range inside it, with the
/// handover of that range, and one for each remaining part, without a handover.
fn successor_rows(row: &RangeRow, released: &[ReleasedRange], token: u64) -> Vec<RangeRow> {
    let next = match &row.state {
        RowState::Moving { to } => Some(to.clone()),
        RowState::Held | RowState::Revoked | RowState::Unconfirmed => None,
    };
    let piece = |from: u16, to: u16, handover: &Arc<str>| RangeRow {
        from,
        to,
        token,
        holder: next.clone(),
        state: RowState::Held,
        handover: Arc::clone(handover),
    };

    let mut inside: Vec<&ReleasedRange> = released
        .iter()
        .filter(|range| row.overlaps(range.from, range.to))
        .collect();
    inside.sort_by_key(|range| range.from);

    let none = Arc::from("");
    let mut pieces = Vec::new();
    let mut start = u32::from(row.from);
    for range in inside {
        let from = range.from.max(row.from);
        let to = range.to.min(row.to);
        // A range that overlaps an earlier one is skipped, so that no key gets two rows.
        if u32::from(from) < start {
            continue;
        }
        if u32::from(from) > start {
            pieces.push(piece(key_at(start), from - 1, &none));
        }
        pieces.push(piece(from, to, &range.handover));
        start = u32::from(to) + 1;
    }
    if start <= u32::from(row.to) {
        pieces.push(piece(key_at(start), row.to, &none));
    }

    pieces
}

/// Converts a position to a key; positions past the last key become the last key.
fn key_at(position: u32) -> u16 {
    u16::try_from(position).unwrap_or(LAST_KEY)
}
