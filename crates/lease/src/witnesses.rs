//! The slices that one node witnesses, and the lists of slices that holders ask it to grant.

use crate::{
    event::VersionedRecord,
    message::{
        GrantRefusal, HolderChange, LeaseBundle, LeaseMessage, RefusalReason, SilentSlice,
        SliceMemory,
    },
    options::LeaseOptions,
    quorum::{all_members, is_member},
    witness::{GrantWitness, has_forgotten, refuse},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity, NodeName},
    lease::LeaseRecord,
    slice::SliceId,
    units::LocalMoment,
};

/// The time between two rounds of recall requests to the other members after a restart.
const RECALL_INTERVAL: Duration = Duration::from_millis(200);

/// The number of recall rounds after which the platform's record is read instead.
const MAX_RECALL_ROUNDS: u32 = 5;

/// `HolderBundle` is the list of slices that a holder asks this node to grant.
#[derive(Debug)]
struct HolderBundle {
    /// The incarnation of the holder that sent the list.
    holder: NodeIdentity,
    /// The sequence number of the holder's last accepted message.
    sequence: u64,
    /// The version of the list; absent until the list is known.
    version: Option<u64>,
    /// The records of the slices on the list.
    records: Vec<LeaseRecord>,
}

impl HolderBundle {
    /// Applies a complete list, or changes to one if the version that they are based on is known.
    fn apply_bundle(&mut self, version: u64, update: LeaseBundle) {
        if update.base.is_none() {
            self.records.clear();
        } else if update.base != self.version {
            return;
        }

        let is_replaced = |record: &LeaseRecord| {
            let mut changed = update.records.iter();

            update.dropped.contains(&record.slice)
                || changed.any(|other| other.slice == record.slice)
        };

        self.records.retain(|record| !is_replaced(record));
        self.records.extend(update.records);
        self.version = Some(version);
    }
}

/// `WitnessTable` holds all slices that one node witnesses.
#[derive(Debug)]
pub(crate) struct WitnessTable {
    /// The state of each witnessed slice.
    pub(crate) slices: BTreeMap<SliceId, GrantWitness>,
    /// The lists of the holders, by node name.
    bundles: BTreeMap<NodeName, HolderBundle>,
    /// The end of the quiet term, the first term of this incarnation; no grant that an earlier
    /// incarnation gave outlasts it.
    quiet_until: LocalMoment,
    /// When the other members are next asked for the forgotten promises.
    recall_at: LocalMoment,
    /// The number of recall rounds sent so far.
    recall_rounds: u32,
}

impl WitnessTable {
    /// Creates the table of a node that starts now.
    pub(crate) fn new(now: LocalMoment, options: &LeaseOptions) -> Self {
        let quiet_until = now + options.witness_term();

        Self {
            slices: BTreeMap::new(),
            bundles: BTreeMap::new(),
            quiet_until,
            recall_at: quiet_until,
            recall_rounds: 0,
        }
    }

    /// Returns the response to the renewal of a holder, or nothing when the message is outdated.
    pub(crate) fn renew(
        &mut self,
        now: LocalMoment,
        me: &NodeIdentity,
        from: &NodeIdentity,
        renewal: LeaseMessage,
        options: &LeaseOptions,
    ) -> Option<LeaseMessage> {
        let LeaseMessage::Renew {
            sequence,
            version,
            bundle,
        } = renewal
        else {
            return None;
        };

        self.accept(from, sequence)?;
        let known = self.apply_bundle(from, version, bundle)?;

        if !known {
            return Some(LeaseMessage::BundleMissing { sequence });
        }

        let (refusals, changes) = self.decide_bundle(now, me, from, options);

        Some(LeaseMessage::Renewed {
            sequence,
            refusals,
            changes,
        })
    }

    /// Ends the grant to a holder that released a slice.
    pub(crate) fn release(
        &mut self,
        now: LocalMoment,
        from: &NodeIdentity,
        sequence: u64,
        slice: &SliceId,
        epoch: LeaseEpoch,
    ) {
        // The release shares the sequence of the renewals, so that a delayed renewal can't grant
        // the slice again.
        if self.accept(from, sequence).is_none() {
            return;
        }

        if let Some(bundle) = self.bundles.get_mut(&from.name) {
            bundle.records.retain(|record| &record.slice != slice);
            bundle.version = None;
        }

        if let Some(witness) = self.slices.get_mut(slice) {
            witness.release(from, epoch, now);
        }
    }

    /// Records a new incarnation of a node: the holders of its earlier incarnations are silent from
    /// now on.
    pub(crate) fn observe_incarnation(&mut self, now: LocalMoment, run: &NodeIdentity) {
        let is_newer = self
            .bundles
            .get(&run.name)
            .is_some_and(|bundle| bundle.holder.incarnation < run.incarnation);

        if !is_newer {
            return;
        }

        self.bundles.remove(&run.name);

        for witness in self.slices.values_mut() {
            if witness.is_held_by_earlier_incarnation(run) {
                witness.call_at = witness.call_at.min(now);
            }
        }
    }

    /// Updates a witnessed slice from a record that is known to be stored or held.
    pub(crate) fn observe_record(
        &mut self,
        now: LocalMoment,
        me: &NodeIdentity,
        record: &LeaseRecord,
        options: &LeaseOptions,
    ) {
        let known = self.slices.contains_key(&record.slice);

        if !known && !is_member(record, &me.name) {
            return;
        }

        let witness = self
            .slices
            .entry(record.slice.clone())
            .or_insert_with(|| GrantWitness::new(record.clone(), me, now, options));

        witness.update_record(record, me);
    }

    /// Returns the slices of an inquiry whose holders are silent. For a record that this node did
    /// not know, the suspicion time starts now.
    pub(crate) fn answer_inquiry(
        &mut self,
        now: LocalMoment,
        me: &NodeIdentity,
        records: &[LeaseRecord],
        options: &LeaseOptions,
    ) -> Vec<SilentSlice> {
        let mut silent = Vec::new();

        for record in records {
            self.observe_record(now, me, record, options);

            let witness = self.slices.get(&record.slice);
            silent.extend(
                witness
                    .filter(|witness| witness.is_holder_silent(now))
                    .map(GrantWitness::silent_slice),
            );
        }

        silent
    }

    /// Completes the recall of a slice from its stored record, which was read for this purpose
    /// after the quiet term.
    pub(crate) fn recall_stored(&mut self, me: &NodeIdentity, stored: &VersionedRecord) {
        if let Some(witness) = self.slices.get_mut(&stored.record.slice) {
            witness.recall_stored(&stored.record, me);
        }
    }

    /// Returns the response to the recall request of a restarted member.
    pub(crate) fn answer_recall(&self, me: &NodeIdentity, records: &[LeaseRecord]) -> LeaseMessage {
        let memories = records
            .iter()
            .map(|record| self.memory_of(me, record))
            .collect();

        LeaseMessage::Recalled { memories }
    }

    /// Adds what another member remembers. Responses during the quiet term are ignored.
    pub(crate) fn recalled(
        &mut self,
        now: LocalMoment,
        me: &NodeIdentity,
        from: &NodeName,
        memories: Vec<SliceMemory>,
    ) {
        if now < self.quiet_until {
            return;
        }

        for memory in memories {
            if let Some(witness) = self.slices.get_mut(&memory.slice) {
                witness.recall(from, memory, me);
            }
        }
    }

    /// Returns the records to ask about in the recall requests that are due, by node name.
    pub(crate) fn due_recalls(
        &mut self,
        now: LocalMoment,
        me: &NodeIdentity,
    ) -> BTreeMap<NodeName, Vec<LeaseRecord>> {
        let mut requests: BTreeMap<NodeName, Vec<LeaseRecord>> = BTreeMap::new();

        if now < self.recall_at {
            return requests;
        }

        for witness in self.slices.values().filter(|slice| slice.is_recalling()) {
            for name in all_members(&witness.record) {
                if name != me.name {
                    let records = requests.entry(name).or_default();
                    records.push(witness.record.clone());
                }
            }
        }

        self.recall_at = now + RECALL_INTERVAL;
        self.recall_rounds = if requests.is_empty() {
            0
        } else {
            self.recall_rounds + 1
        };

        requests
    }

    /// Returns a slice whose record must be read from the platform, because the other members don't
    /// remember enough.
    pub(crate) fn recall_from_platform(&self, now: LocalMoment) -> Option<SliceId> {
        // A set of one has no other member to ask, so it doesn't wait for the recall rounds.
        let is_alone = |witness: &&GrantWitness| all_members(&witness.record).len() == 1;
        let is_overdue = self.recall_rounds > MAX_RECALL_ROUNDS;

        if now < self.quiet_until {
            return None;
        }

        self.slices
            .values()
            .filter(|witness| witness.is_recalling())
            .find(|witness| is_overdue || is_alone(witness))
            .map(|witness| witness.record.slice.clone())
    }

    /// Returns whether a moment is after the quiet term.
    pub(crate) fn is_past_quiet(&self, moment: LocalMoment) -> bool {
        moment >= self.quiet_until
    }

    /// Returns the number of slices whose forgotten promises are not yet recalled.
    pub(crate) fn recalling(&self) -> usize {
        let recalling = self.slices.values().filter(|slice| slice.is_recalling());

        recalling.count()
    }

    /// Returns when the table next has work to do without an event.
    pub(crate) fn next_wakeup(&self) -> Option<LocalMoment> {
        let call = self.slices.values().map(|witness| witness.call_at).min();
        let recall = (self.recalling() > 0).then_some(self.recall_at);

        [call, recall].into_iter().flatten().min()
    }

    /// Accepts a message of a holder, unless it comes from another incarnation than its list or is
    /// no later than the last one.
    fn accept(&mut self, from: &NodeIdentity, sequence: u64) -> Option<()> {
        let bundle = self
            .bundles
            .entry(from.name.clone())
            .or_insert_with(|| HolderBundle {
                holder: from.clone(),
                sequence: 0,
                version: None,
                records: Vec::new(),
            });

        if bundle.holder != *from || sequence <= bundle.sequence {
            return None;
        }

        bundle.sequence = sequence;

        Some(())
    }

    /// Applies the list of a holder and returns whether the requested version is now known.
    fn apply_bundle(
        &mut self,
        from: &NodeIdentity,
        version: u64,
        update: Option<LeaseBundle>,
    ) -> Option<bool> {
        let known = self.bundles.get_mut(&from.name)?;

        if let Some(update) = update {
            known.apply_bundle(version, update);
        }

        Some(known.version == Some(version))
    }

    /// Decides on each slice of a holder's list, and returns the refusals and the changes.
    fn decide_bundle(
        &mut self,
        now: LocalMoment,
        me: &NodeIdentity,
        from: &NodeIdentity,
        options: &LeaseOptions,
    ) -> (Vec<GrantRefusal>, Vec<HolderChange>) {
        let mut refusals = Vec::new();
        let mut changes = Vec::new();
        let records = self.bundles.get(&from.name).map(|bundle| &bundle.records);

        for record in records.into_iter().flatten() {
            if record.owner != *from || names_later_incarnation(record, me) {
                refusals.push(refuse(record, RefusalReason::NotMember));
                continue;
            }

            if !self.slices.contains_key(&record.slice) && !is_member(record, &me.name) {
                refusals.push(refuse(record, RefusalReason::NotMember));
                continue;
            }

            let witness = self
                .slices
                .entry(record.slice.clone())
                .or_insert_with(|| GrantWitness::new(record.clone(), me, now, options));

            match witness.decide(record, me, now, options) {
                Ok(change) => changes.extend(change),
                Err(reason) => refusals.push(refuse(record, reason)),
            }
        }

        (refusals, changes)
    }

    /// Returns what this node remembers of a slice, for a restarted member.
    fn memory_of(&self, me: &NodeIdentity, record: &LeaseRecord) -> SliceMemory {
        if let Some(witness) = self.slices.get(&record.slice) {
            return witness.memory();
        }

        SliceMemory {
            slice: record.slice.clone(),
            remembers: !has_forgotten(record, me),
            promised: LeaseEpoch::default(),
            newest: None,
        }
    }
}

/// Returns whether a record names a later incarnation of this node than the running one.
fn names_later_incarnation(record: &LeaseRecord, me: &NodeIdentity) -> bool {
    crate::quorum::sets(record, &BTreeSet::new())
        .filter_map(|set| set.incarnation_of(&me.name))
        .any(|run| run > me.incarnation)
}
