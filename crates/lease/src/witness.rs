//! The promises and grants of one witness for one slice.

use crate::{
    message::{GrantRefusal, HolderChange, RefusalReason, SilentSlice, SliceMemory},
    options::{LeaseFault, LeaseOptions},
    quorum::{is_member, majority, rank, sets},
};
use std::collections::{BTreeMap, BTreeSet};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity, NodeName},
    lease::LeaseRecord,
    units::LocalMoment,
};

/// The distance from the stored epoch below which epochs are served before they are stored. A
/// witness that relies on the platform's record alone skips them all.
pub(crate) const UNRECORDED_EPOCHS: u64 = 1 << 20;

/// The epoch of a followed holder that a witness has forgotten.
const FORGOTTEN_EPOCH: LeaseEpoch = LeaseEpoch(u64::MAX);

/// `OutstandingGrant` is a grant that has not lapsed, on the witness's clock.
#[derive(Debug, Clone)]
struct OutstandingGrant {
    /// The holder.
    holder: NodeIdentity,
    /// The epoch.
    epoch: LeaseEpoch,
    /// When it lapses.
    until: LocalMoment,
}

/// `GrantWitness` is what a witness knows, promised and granted of one slice.
#[derive(Debug, Clone)]
pub(crate) struct GrantWitness {
    /// The newest record that it saw.
    pub(crate) record: LeaseRecord,
    /// The lowest epoch that it grants.
    pub(crate) promised: LeaseEpoch,
    /// To whom it promised that epoch.
    candidate: Option<NodeIdentity>,
    /// The last grant.
    granted: Option<OutstandingGrant>,
    /// The epoch of the last grant to another holder.
    followed: LeaseEpoch,
    /// When the next candidate is called unless the holder is heard before.
    pub(crate) call_at: LocalMoment,
    /// The candidates called since the holder was heard.
    pub(crate) calls: usize,
    /// The answers of the other members while the own memory is lost.
    recalled: Option<BTreeMap<NodeName, SliceMemory>>,
}

impl GrantWitness {
    /// Makes the witness of a slice that it has not met since its start.
    pub(crate) fn new(
        record: LeaseRecord,
        me: &NodeIdentity,
        now: LocalMoment,
        options: &LeaseOptions,
    ) -> Self {
        let forgot = has_forgotten(&record, me) && options.fault != LeaseFault::NoQuietTerm;

        Self {
            promised: LeaseEpoch::default(),
            candidate: None,
            granted: None,
            followed: LeaseEpoch::default(),
            call_at: now + options.suspicion,
            calls: 0,
            recalled: forgot.then(BTreeMap::new),
            record,
        }
    }

    /// Returns whether the own memory is lost and not yet recalled.
    pub(crate) fn is_recalling(&self) -> bool {
        self.recalled.is_some()
    }

    /// Decides on the request of the holder that a record names.
    ///
    /// # Errors
    ///
    /// Returns why the slice is not granted. A promise may have been given all the same.
    pub(crate) fn decide(
        &mut self,
        record: &LeaseRecord,
        me: &NodeIdentity,
        now: LocalMoment,
        options: &LeaseOptions,
    ) -> Result<Option<HolderChange>, RefusalReason> {
        if !is_member(record, &me.name) {
            self.note(record, me);

            return Err(RefusalReason::NotMember);
        }

        if self.is_superseded(record) && options.fault != LeaseFault::ForgetPromise {
            return Err(self.superseded());
        }

        self.promise(record, me, now, options);

        if self.is_recalling() {
            return Err(RefusalReason::Recovering);
        }

        if let Some(remaining_us) = self.remaining_for_other(&record.owner, now)
            && options.fault != LeaseFault::ForgetPromise
        {
            return Err(RefusalReason::Outstanding { remaining_us });
        }

        Ok(self.grant(record, now, options))
    }

    /// Takes up a record that is known to be stored or held, without a promise.
    pub(crate) fn note(&mut self, record: &LeaseRecord, me: &NodeIdentity) {
        if rank(record) <= rank(&self.record) {
            return;
        }

        self.record = record.clone();

        // A settled set that names this start needs none of the forgotten promises.
        if !has_forgotten(record, me) {
            self.recalled = None;
        }
    }

    /// Ends the grant to a holder that gave the slice up.
    pub(crate) fn release(&mut self, holder: &NodeIdentity, epoch: LeaseEpoch, now: LocalMoment) {
        if let Some(granted) = &mut self.granted
            && &granted.holder == holder
            && granted.epoch == epoch
        {
            granted.until = granted.until.min(now);
        }
    }

    /// Returns whether the promise was given to an earlier start of a node, which is dead.
    pub(crate) fn is_held_by_earlier(&self, start: &NodeIdentity) -> bool {
        let holder = self.candidate.as_ref().unwrap_or(&self.record.owner);

        holder.name == start.name && holder.incarnation < start.incarnation
    }

    /// Returns whether the holder has not been heard for the time of suspicion.
    pub(crate) fn is_holder_silent(&self, now: LocalMoment) -> bool {
        self.calls > 0 || self.call_at <= now
    }

    /// Returns what a deputy is told of the silent holder.
    pub(crate) fn silent_slice(&self) -> SilentSlice {
        SilentSlice {
            record: self.record.clone(),
            promised: self.promised,
        }
    }

    /// Returns what a restarted member is told.
    pub(crate) fn memory(&self) -> SliceMemory {
        SliceMemory {
            slice: self.record.slice.clone(),
            remembers: !self.is_recalling(),
            promised: self.promised,
            newest: Some(self.record.clone()),
        }
    }

    /// Takes up what another member remembers. With a majority of each set besides itself the
    /// own memory counts as whole: any promise of a majority is known to one of them.
    pub(crate) fn recall(&mut self, from: &NodeName, memory: SliceMemory, me: &NodeIdentity) {
        if let Some(newest) = &memory.newest {
            self.note(newest, me);
        }

        let Some(recalled) = &mut self.recalled else {
            return;
        };

        if memory.remembers {
            recalled.insert(from.clone(), memory);
        }

        let own_sets_recalled = sets(&self.record, &BTreeSet::new())
            .filter(|set| set.start_of(&me.name).is_some())
            .all(|set| {
                let counts = |name: &&NodeName| **name != me.name && recalled.contains_key(*name);
                let counted = set.members.iter().filter(counts).count();

                counted >= majority(set.members.len())
            });

        if own_sets_recalled {
            let promised = recalled.values().map(|memory| memory.promised).max();
            self.return_with(promised.unwrap_or_default());
        }
    }

    /// Takes up the platform's record, read after the quiet term, in place of the memory of
    /// others. Sets change only in the platform; epochs that were served without a record are
    /// skipped.
    pub(crate) fn recall_stored(&mut self, stored: &LeaseRecord, me: &NodeIdentity) {
        self.note(stored, me);

        if self.is_recalling() {
            self.return_with(LeaseEpoch(self.record.epoch.0 + UNRECORDED_EPOCHS));
        }
    }

    /// Ends the recall with at least a promise.
    fn return_with(&mut self, promised: LeaseEpoch) {
        self.recalled = None;
        self.followed = FORGOTTEN_EPOCH;

        if promised > self.promised {
            self.promised = promised;
            self.candidate = None;
        }
    }

    /// Returns whether a request is older than what the witness promised or knows.
    fn is_superseded(&self, record: &LeaseRecord) -> bool {
        let other = self.candidate.as_ref() != Some(&record.owner);

        record.set_epoch < self.record.set_epoch
            || record.epoch < self.promised
            || (record.epoch == self.promised && other)
    }

    /// Returns the refusal of a request that is too old.
    fn superseded(&self) -> RefusalReason {
        RefusalReason::Superseded {
            promised: self.promised,
            newest: Some(Box::new(self.record.clone())),
        }
    }

    /// Promises to grant nothing older than a request.
    fn promise(
        &mut self,
        record: &LeaseRecord,
        me: &NodeIdentity,
        now: LocalMoment,
        options: &LeaseOptions,
    ) {
        self.promised = record.epoch;
        self.candidate = Some(record.owner.clone());
        self.call_at = now + options.suspicion;
        self.calls = 0;
        self.note(record, me);
    }

    /// Returns the microseconds until a grant to another holder lapses.
    fn remaining_for_other(&self, holder: &NodeIdentity, now: LocalMoment) -> Option<u64> {
        let granted = self.granted.as_ref()?;

        if &granted.holder == holder || granted.until <= now {
            return None;
        }

        Some(granted.until.as_micros() - now.as_micros())
    }

    /// Grants a slice for one term.
    fn grant(
        &mut self,
        record: &LeaseRecord,
        now: LocalMoment,
        options: &LeaseOptions,
    ) -> Option<HolderChange> {
        let before = self.granted.replace(OutstandingGrant {
            holder: record.owner.clone(),
            epoch: record.epoch,
            until: now + options.witness_term(),
        });

        if let Some(before) = &before {
            if before.holder != record.owner {
                self.followed = before.epoch;
            }

            if before.holder == record.owner && before.epoch == record.epoch {
                return None;
            }
        }

        Some(HolderChange {
            slice: record.slice.clone(),
            epoch: record.epoch,
            followed: self.followed,
        })
    }
}

/// Returns a refusal of a request.
pub(crate) fn refuse(record: &LeaseRecord, reason: RefusalReason) -> GrantRefusal {
    GrantRefusal {
        slice: record.slice.clone(),
        epoch: record.epoch,
        reason,
    }
}

/// Returns whether a start of a node may have forgotten promises to the sets of a record.
pub(crate) fn has_forgotten(record: &LeaseRecord, me: &NodeIdentity) -> bool {
    sets(record, &BTreeSet::new())
        .filter_map(|set| set.start_of(&me.name))
        .any(|start| start != me.incarnation)
}
