//! The table of a keyed service and its changes.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use wagtail_core::heartbeat::{GrantedRange, HeldRange, ReleasedRange, TargetIncarnation};

/// The highest key.
pub const LAST_KEY: u16 = u16::MAX;

/// `RangeHolder` is one life of the target beside a node.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RangeHolder {
    /// The node beside the target.
    pub node: Arc<str>,
    /// The life of the target.
    pub life: TargetIncarnation,
}

/// `RowState` tells whether a row's holder is to keep it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RowState {
    /// The holder keeps the row; a row without a holder waits for one.
    Held,
    /// The holder is to release the row to another one.
    Moving {
        /// The next holder.
        to: RangeHolder,
    },
    /// The holder is presumed lost; the row is free once its hold has lapsed.
    Revoked,
}

/// `RangeRow` is one range of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeRow {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// The fencing token of the holder.
    pub token: u64,
    /// The holder.
    pub holder: Option<RangeHolder>,
    /// Whether the holder is to keep the row.
    pub state: RowState,
    /// The state that the last holder handed over, empty when it left none.
    pub handover: Arc<str>,
}

impl RangeRow {
    /// Returns the count of keys.
    pub fn keys(&self) -> u32 {
        u32::from(self.to) - u32::from(self.from) + 1
    }

    /// Returns whether a life holds the row, whatever its state.
    pub fn is_held_by(&self, life: &TargetIncarnation) -> bool {
        self.holder
            .as_ref()
            .is_some_and(|holder| &holder.life == life)
    }

    /// Returns whether any key lies in both ranges.
    pub fn overlaps(&self, from: u16, to: u16) -> bool {
        self.from <= to && from <= self.to
    }

    /// Returns the part of the row inside a range.
    fn part(&self, from: u16, to: u16) -> Self {
        Self {
            from: self.from.max(from),
            to: self.to.min(to),
            ..self.clone()
        }
    }
}

/// `RangeTable` is the table of one keyed service. Its rows cover all keys in order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeTable {
    /// The next fencing token; it is above every token given so far.
    pub next_token: u64,
    /// The rows.
    pub rows: Vec<RangeRow>,
}

impl Default for RangeTable {
    fn default() -> Self {
        Self::new()
    }
}

impl RangeTable {
    /// Makes a table whose keys have no holder.
    pub fn new() -> Self {
        Self {
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

    /// Returns whether the rows cover all keys once and no token is above the next one.
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

    /// Returns the row of a key.
    pub fn row(&self, key: u16) -> Option<&RangeRow> {
        let index = self.rows.partition_point(|row| row.to < key);

        self.rows.get(index)
    }

    /// Returns what a life is to hold.
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

    /// Gives all rows without a holder in a range to a holder.
    pub fn assign(&mut self, from: u16, to: u16, holder: &RangeHolder) {
        self.split(from, to);
        let token = self.take_token();

        for row in &mut self.rows {
            if row.holder.is_none() && row.from >= from && row.to <= to {
                row.holder = Some(holder.clone());
                row.state = RowState::Held;
                row.token = token;
            }
        }
    }

    /// Starts to move the kept rows of a range to another holder.
    pub fn start_move(&mut self, from: u16, to: u16, next: &RangeHolder) {
        self.split(from, to);

        for row in &mut self.rows {
            let kept = row.holder.is_some() && row.state == RowState::Held;

            if kept && row.from >= from && row.to <= to && row.holder.as_ref() != Some(next) {
                row.state = RowState::Moving { to: next.clone() };
            }
        }
    }

    /// Passes on the rows that a life released. `settled` tells whether a row was left out of an
    /// acknowledged answer before. Returns whether anything changed.
    pub fn release(
        &mut self,
        life: &TargetIncarnation,
        holds: &[HeldRange],
        released: &[ReleasedRange],
        settled: impl Fn(&RangeRow) -> bool,
    ) -> bool {
        let free = |row: &RangeRow| {
            row.is_held_by(life)
                && row.state != RowState::Held
                && settled(row)
                && !holds.iter().any(|held| row.overlaps(held.from, held.to))
        };
        if !self.rows.iter().any(free) {
            return false;
        }

        let token = self.take_token();
        let rows = std::mem::take(&mut self.rows);
        for row in rows {
            if free(&row) {
                self.rows.extend(pass_on(&row, released, token));
            } else {
                self.rows.push(row);
            }
        }

        true
    }

    /// Takes the rows away from lives that cannot hold them any more. A row that was to move goes
    /// to its next holder, any other one to the heir when there is one. Returns whether anything
    /// changed.
    pub fn take_away(
        &mut self,
        heir: Option<&RangeHolder>,
        ended: impl Fn(&RangeRow) -> bool,
    ) -> bool {
        let taken = |row: &RangeRow| row.holder.is_some() && ended(row);
        if !self.rows.iter().any(taken) {
            return false;
        }

        let fence = self.take_token();
        for row in self.rows.iter_mut().filter(|row| taken(row)) {
            let next = match &row.state {
                RowState::Moving { to } => Some(to.clone()),
                RowState::Held | RowState::Revoked => heir.cloned(),
            };

            row.holder = next;
            row.state = RowState::Held;
            row.token = fence;
            row.handover = Arc::from("");
        }

        true
    }

    /// Joins neighbouring rows without a holder, and neighbouring rows of one assignment.
    pub fn compact(&mut self) {
        self.rows.dedup_by(|next, row| {
            let same = row.holder == next.holder
                && row.state == next.state
                && row.handover == next.handover
                && (row.token == next.token || row.holder.is_none());
            if same {
                row.to = next.to;
                row.token = row.token.max(next.token);
            }
            same
        });
    }

    /// Changes nothing but the revision, so that earlier writes without an answer cannot take
    /// effect any more.
    pub fn touch(&mut self) {
        self.next_token += 1;
    }

    /// Returns a token above all others.
    fn take_token(&mut self) -> u64 {
        let token = self.next_token;
        self.next_token += 1;

        token
    }

    /// Splits rows so that no row crosses the borders of a range.
    fn split(&mut self, from: u16, to: u16) {
        let rows = std::mem::take(&mut self.rows);

        for row in rows {
            if !row.overlaps(from, to) {
                self.rows.push(row);
                continue;
            }
            if row.from < from {
                self.rows.push(row.part(0, from - 1));
            }
            self.rows.push(row.part(from, to));
            if row.to > to {
                self.rows.push(row.part(to + 1, LAST_KEY));
            }
        }
    }
}

/// Returns the rows that follow a released row, one for each piece with a handover of its own.
fn pass_on(row: &RangeRow, released: &[ReleasedRange], token: u64) -> Vec<RangeRow> {
    let next = match &row.state {
        RowState::Moving { to } => Some(to.clone()),
        RowState::Held | RowState::Revoked => None,
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
        // Ranges that overlap each other are taken once.
        if u32::from(from) < start {
            continue;
        }
        if u32::from(from) > start {
            pieces.push(piece(clamp(start), from - 1, &none));
        }
        pieces.push(piece(from, to, &range.handover));
        start = u32::from(to) + 1;
    }
    if start <= u32::from(row.to) {
        pieces.push(piece(clamp(start), row.to, &none));
    }

    pieces
}

/// Converts a position that lies among the keys.
fn clamp(position: u32) -> u16 {
    u16::try_from(position).unwrap_or(LAST_KEY)
}
