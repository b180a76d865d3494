//! A witness's state for one slice: the newest record it knows, its promise and its grant.

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

/// The number of epochs above the stored one that may be served before they are stored. A
/// witness that restores its promise from the platform's record alone skips them all.
pub(crate) const UNRECORDED_EPOCHS: u64 = 1 << 20;

/// The value of `GrantWitness::followed` when the witness has lost the epoch of its last grant.
const FORGOTTEN_EPOCH: LeaseEpoch = LeaseEpoch(u64::MAX);

/// `OutstandingGrant` is the last grant of a witness, timed by the witness's clock.
#[derive(Debug, Clone)]
struct OutstandingGrant {
    /// The node to which the slice was granted.
    holder: NodeIdentity,
    /// The epoch of the granted record.
    epoch: LeaseEpoch,
    /// When the grant lapses.
    until: LocalMoment,
}

/// `GrantWitness` is what a witness knows, has promised and has granted for one slice.
#[derive(Debug, Clone)]
pub(crate) struct GrantWitness {
    /// The newest record that the witness has seen.
    pub(crate) record: LeaseRecord,
    /// The lowest epoch that the witness still grants.
    pub(crate) promised: LeaseEpoch,
    /// The node to which that epoch is promised.
    candidate: Option<NodeIdentity>,
    /// The last grant, which may have lapsed.
    granted: Option<OutstandingGrant>,
    /// The epoch of the last grant to a holder other than the current one.
    followed: LeaseEpoch,
    /// When the next candidate is asked to take over, unless the holder is heard from before.
    pub(crate) call_at: LocalMoment,
    /// The number of candidates asked since the holder was last heard from.
    pub(crate) calls: usize,
    /// The responses of the other members while this witness has lost its own promises.
    recalled: Option<BTreeMap<NodeName, SliceMemory>>,
}

impl GrantWitness {
    /// Creates the witness of a slice that this process has not seen before.
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

    /// Returns whether this witness lost its promises and has not yet recalled them.
    pub(crate) fn is_recalling(&self) -> bool {
        self.recalled.is_some()
    }

    /// Decides whether to grant the slice to the holder that `record` names.
    ///
    /// # Errors
    ///
    /// Returns why the slice is not granted. The witness may have promised the epoch even so.
    pub(crate) fn decide(
        &mut self,
        record: &LeaseRecord,
        me: &NodeIdentity,
        now: LocalMoment,
        options: &LeaseOptions,
    ) -> Result<Option<HolderChange>, RefusalReason> {
        if !is_member(record, &me.name) {
            self.update_record(record, me);

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

    /// Records a newer record that is known to be stored or held, without promising its epoch.
    pub(crate) fn update_record(&mut self, record: &LeaseRecord, me: &NodeIdentity) {
        if rank(record) <= rank(&self.record) {
            return;
        }

        self.record = record.clone();

        // A record whose sets name this incarnation needs none of the forgotten promises.
        if !has_forgotten(record, me) {
            self.recalled = None;
        }
    }

    /// Ends the grant to a holder that released the slice.
    pub(crate) fn release(&mut self, holder: &NodeIdentity, epoch: LeaseEpoch, now: LocalMoment) {
        if let Some(granted) = &mut self.granted
            && &granted.holder == holder
            && granted.epoch == epoch
        {
            granted.until = granted.until.min(now);
        }
    }

    /// Returns whether the promise was given to an earlier incarnation of a node, which has ended.
    pub(crate) fn is_held_by_earlier_incarnation(&self, run: &NodeIdentity) -> bool {
        let holder = self.candidate.as_ref().unwrap_or(&self.record.owner);

        holder.name == run.name && holder.incarnation < run.incarnation
    }

    /// Returns whether the holder has been silent for the suspicion time.
    pub(crate) fn is_holder_silent(&self, now: LocalMoment) -> bool {
        self.calls > 0 || self.call_at <= now
    }

    /// Returns the message entry that asks a deputy to take over from a silent holder.
    pub(crate) fn silent_slice(&self) -> SilentSlice {
        SilentSlice {
            record: self.record.clone(),
            promised: self.promised,
        }
    }

    /// Returns the promise and newest record of the slice, to send to a restarted member.
    pub(crate) fn memory(&self) -> SliceMemory {
        SliceMemory {
            slice: self.record.slice.clone(),
            remembers: !self.is_recalling(),
            promised: self.promised,
            newest: Some(self.record.clone()),
        }
    }

    /// Adds what another member remembers. The recall is complete once a majority of each of this
    /// node's sets has responded, not counting the node itself: any promise that was given by a
    /// majority is then known to one of them.
    pub(crate) fn recall(&mut self, from: &NodeName, memory: SliceMemory, me: &NodeIdentity) {
        if let Some(newest) = &memory.newest {
            self.update_record(newest, me);
        }

        let Some(recalled) = &mut self.recalled else {
            return;
        };

        if memory.remembers {
            recalled.insert(from.clone(), memory);
        }

        let own_sets_recalled = sets(&self.record, &BTreeSet::new())
            .filter(|set| set.incarnation_of(&me.name).is_some())
            .all(|set| {
                let has_recalled =
                    |name: &&NodeName| **name != me.name && recalled.contains_key(*name);
                let recalled_count = set.members.iter().filter(has_recalled).count();

                recalled_count >= majority(set.members.len())
            });

        if own_sets_recalled {
            let promised = recalled.values().map(|memory| memory.promised).max();
            self.finish_recall(promised.unwrap_or_default());
        }
    }

    /// Completes the recall from the platform's record, read after the quiet term, in place of the
    /// responses of other members. This is safe because sets change only in the platform, and
    /// because the epochs that may have been served before they were stored are skipped.
    pub(crate) fn recall_stored(&mut self, stored: &LeaseRecord, me: &NodeIdentity) {
        self.update_record(stored, me);

        if self.is_recalling() {
            self.finish_recall(LeaseEpoch(self.record.epoch.0 + UNRECORDED_EPOCHS));
        }
    }

    /// Ends the recall, with `promised` as the lower bound of the promise.
    fn finish_recall(&mut self, promised: LeaseEpoch) {
        self.recalled = None;
        self.followed = FORGOTTEN_EPOCH;

        if promised > self.promised {
            self.promised = promised;
            self.candidate = None;
        }
    }

    /// Returns whether a request is older than the witness's promise or newest record.
    fn is_superseded(&self, record: &LeaseRecord) -> bool {
        let is_other = self.candidate.as_ref() != Some(&record.owner);

        record.set_epoch < self.record.set_epoch
            || record.epoch < self.promised
            || (record.epoch == self.promised && is_other)
    }

    /// Returns the reason for refusing a request that is too old.
    fn superseded(&self) -> RefusalReason {
        RefusalReason::Superseded {
            promised: self.promised,
            newest: Some(Box::new(self.record.clone())),
        }
    }

    /// Promises to grant nothing older than `record`, and counts its owner as heard from.
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
        self.update_record(record, me);
    }

    /// Returns the microseconds until the grant to a holder other than `holder` lapses.
    fn remaining_for_other(&self, holder: &NodeIdentity, now: LocalMoment) -> Option<u64> {
        let granted = self.granted.as_ref()?;

        if &granted.holder == holder || granted.until <= now {
            return None;
        }

        Some(granted.until.as_micros() - now.as_micros())
    }

    /// Grants the slice for one term. Returns a change when the holder or the epoch is new.
    fn grant(
        &mut self,
        record: &LeaseRecord,
        now: LocalMoment,
        options: &LeaseOptions,
    ) -> Option<HolderChange> {
        let previous = self.granted.replace(OutstandingGrant {
            holder: record.owner.clone(),
            epoch: record.epoch,
            until: now + options.witness_term(),
        });

        if let Some(previous) = &previous {
            if previous.holder != record.owner {
                self.followed = previous.epoch;
            }

            if previous.holder == record.owner && previous.epoch == record.epoch {
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

/// Returns the refusal of a request to grant `record`.
pub(crate) fn refuse(record: &LeaseRecord, reason: RefusalReason) -> GrantRefusal {
    GrantRefusal {
        slice: record.slice.clone(),
        epoch: record.epoch,
        reason,
    }
}

/// Returns whether this incarnation of a node may lack promises that an earlier one gave as a
/// member of the record's sets.
pub(crate) fn has_forgotten(record: &LeaseRecord, me: &NodeIdentity) -> bool {
    sets(record, &BTreeSet::new())
        .filter_map(|set| set.incarnation_of(&me.name))
        .any(|run| run != me.incarnation)
}
