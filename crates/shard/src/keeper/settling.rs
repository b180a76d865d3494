//! Changes of the table by a node: what it reads, recovers, claims, hands over and frees.

use super::{
    ConfirmedTable, GrantKeeper, PendingWrite, READS_PER_VALIDITY, TableChange, UncertainWrite,
};
use crate::table::{RangeHolder, RangeRow, RangeTable, RowState};
use std::sync::Arc;
use wagtail_core::{
    heartbeat::{GrantedRange, ReleasedRange, TargetHeartbeat},
    objects::StoreRevision,
    units::LocalMoment,
};

impl GrantKeeper {
    /// Applies a heartbeat to the table: hands over the rows that the target released, and gives
    /// the rows of this target's ended incarnations to the one that sent the heartbeat. If that one
    /// has announced its leave or has ended, they become unassigned. Returns whether anything changed.
    pub fn settle(&self, heartbeat: &TargetHeartbeat, table: &mut RangeTable) -> bool {
        let omission_acknowledged = |row: &RangeRow| {
            self.omitted.iter().any(|range| {
                range.from <= row.from && row.to <= range.to && range.sequence < heartbeat.sequence
            })
        };
        let rows_released = table.release(
            &heartbeat.life,
            &heartbeat.holds,
            &self.unsettled,
            omission_acknowledged,
        );
        let successor = RangeHolder {
            node: Arc::clone(&self.node),
            life: heartbeat.life.clone(),
        };
        let can_inherit = !self.is_leaving(heartbeat) && !self.ended;
        let inherited = self.reassign_ended(table, can_inherit.then_some(&successor));

        rows_released || inherited
    }

    /// Frees the rows of this node's target whose incarnation has certainly ended. Returns whether
    /// anything changed.
    pub fn free_ended(&self, table: &mut RangeTable) -> bool {
        self.reassign_ended(table, None)
    }

    /// Reassigns the rows of this node's target whose incarnation has certainly ended.
    fn reassign_ended(&self, table: &mut RangeTable, successor: Option<&RangeHolder>) -> bool {
        let Some(life) = &self.life else {
            return false;
        };

        table.reassign(successor, |row| {
            row.holder.as_ref().is_some_and(|holder| {
                let earlier = holder.life.started_ms < life.started_ms
                    || self.replaced.contains(&holder.life);
                let ended = self.ended && &holder.life == life;
                holder.node == self.node && (earlier || ended)
            })
        })
    }

    /// Frees the rows of this node's target if all its grants have lapsed without another
    /// heartbeat. Returns whether anything changed.
    pub fn free_lapsed(&self, table: &mut RangeTable, now: LocalMoment) -> bool {
        if now < self.lapses_at() {
            return false;
        }

        table.reassign(None, |row| {
            row.holder
                .as_ref()
                .is_some_and(|holder| holder.node == self.node)
        })
    }

    /// Returns the moment from which no grant of this node is valid any more.
    pub fn lapses_at(&self) -> LocalMoment {
        self.last_grant_start + self.options.lapse()
    }

    /// Records the table that a read sent at `read_sent_at` returned, and returns the change of it that
    /// must be written, or `None` if none is due. `change` changes a copy of the table and returns whether
    /// it did. A table of an earlier era is recovered, unconfirmed ranges that the target holds are
    /// claimed, and a table on which earlier writes are unresolved is written once as it is.
    pub fn begin_settling(
        &mut self,
        table: &RangeTable,
        revision: StoreRevision,
        read_sent_at: LocalMoment,
        now: LocalMoment,
        change: impl FnOnce(&Self, &mut RangeTable) -> bool,
    ) -> Option<TableChange> {
        self.record_table(table.clone(), revision, read_sent_at);

        let mut next = table.clone();
        let is_recovery = next.begin_change(revision);
        let has_claims = self.claim_held(&mut next, now);
        let is_changed = change(self, &mut next);
        next.compact();

        let is_due =
            is_recovery || has_claims || is_changed || self.has_unresolved_writes(revision);
        is_due.then_some(TableChange {
            table: next,
            is_recovery,
            has_claims,
        })
    }

    /// Claims the unconfirmed ranges that the target holds by a grant that has not lapsed. As long as
    /// such a grant is valid, no other node can have begun to grant the range, whatever the store lost.
    /// Returns whether there were any.
    fn claim_held(&self, table: &mut RangeTable, now: LocalMoment) -> bool {
        let Some(life) = &self.life else {
            return false;
        };
        let holder = RangeHolder {
            node: Arc::clone(&self.node),
            life: life.clone(),
        };

        let mut has_claims = false;
        for range in self.valid_grants(now) {
            has_claims |= table.claim(range.from, range.to, range.token, &holder);
        }

        has_claims
    }

    /// Returns the ranges of the last grant, or none if it has lapsed.
    fn valid_grants(&self, now: LocalMoment) -> &[GrantedRange] {
        if now < self.granted_until {
            &self.granted
        } else {
            &[]
        }
    }

    /// Records the table that a read sent at `read_sent_at` returned, or that a write based on that
    /// read produced. Drops the uncertain writes that this revision rules out, and the releases that
    /// the table does not wait for.
    ///
    /// A table of an earlier revision than the last one is ignored, as the store no longer holds it: a read
    /// may be overtaken by a later one, or by a write. One that was written for an earlier era than the store is in, or in which ranges are unconfirmed that
    /// the target still holds, is ignored as well: until the table is recovered and the ranges are claimed,
    /// the last one supports grants for as long as it is valid.
    pub fn record_table(
        &mut self,
        table: RangeTable,
        revision: StoreRevision,
        read_sent_at: LocalMoment,
    ) {
        if self
            .confirmed
            .as_ref()
            .is_some_and(|confirmed| confirmed.revision > revision)
        {
            return;
        }
        self.first_revision.get_or_insert(revision);
        let is_unconfirmed = |range: &GrantedRange| table.has_unconfirmed(range.from, range.to);
        if table.written_era() != revision.era
            || self.valid_grants(read_sent_at).iter().any(is_unconfirmed)
        {
            return;
        }

        self.uncertain.retain(|write| write.expected >= revision);
        if let Some(life) = &self.life {
            let awaits_release = |row: &RangeRow, range: &ReleasedRange| {
                row.is_held_by(life)
                    && matches!(row.state, RowState::Moving { .. } | RowState::Revoked)
                    && row.overlaps(range.from, range.to)
            };
            self.unsettled
                .retain(|range| table.rows.iter().any(|row| awaits_release(row, range)));
        }
        self.confirmed = Some(ConfirmedTable {
            revision,
            table,
            read_sent_at,
        });
    }

    /// Takes over a later table that a watch of the store has told of. The store held it after the last
    /// read, so that read supports grants of it for as long as it supported those of the earlier table.
    pub fn observe_table(&mut self, table: &RangeTable, revision: StoreRevision) {
        let Some(confirmed) = &self.confirmed else {
            return;
        };
        let (known, read_sent_at) = (confirmed.revision, confirmed.read_sent_at);

        if revision.era == known.era && revision > known {
            self.record_table(table.clone(), revision, read_sent_at);
        }
    }

    /// Returns whether the table must be read before the reply to a heartbeat: the last read is too
    /// old, the revision `known` is later, earlier writes are unresolved, or the heartbeat may
    /// change a row.
    pub fn needs_read(
        &self,
        heartbeat: &TargetHeartbeat,
        known: StoreRevision,
        now: LocalMoment,
    ) -> bool {
        let Some(confirmed) = &self.confirmed else {
            return true;
        };

        confirmed.revision < known
            || now.since(confirmed.read_sent_at) > self.options.table_validity / READS_PER_VALIDITY
            || self.has_unresolved_writes(confirmed.revision)
            || !self.unsettled.is_empty()
            || confirmed.table.rows.iter().any(|row| {
                let is_local = row
                    .holder
                    .as_ref()
                    .is_some_and(|holder| holder.node == self.node);
                is_local && (row.state != RowState::Held || !row.is_held_by(&heartbeat.life))
            })
    }

    /// Returns whether writes of the previous process of this node without a response may still
    /// take effect on the table at `revision`. If so, the table must be written once before ranges
    /// are granted from it.
    pub fn has_unresolved_writes(&self, revision: StoreRevision) -> bool {
        self.first_revision.is_none_or(|first| revision <= first)
    }

    /// Records a write that is about to be sent. Until its response arrives, or for good if
    /// none does, it may take effect at any time while the table is at the revision `expected`.
    pub fn begin_write(&mut self, expected: StoreRevision, next: RangeTable) -> PendingWrite {
        let id = PendingWrite(self.next_write);
        self.next_write += 1;
        self.uncertain.push(UncertainWrite { id, expected, next });

        id
    }

    /// Forgets a write, because it was certainly not executed.
    pub fn discard_write(&mut self, id: PendingWrite) {
        self.uncertain.retain(|write| write.id != id);
    }
}
