//! All slices that one node witnesses.

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

/// The time between two rounds of questions to the other members after a restart.
const RECALL_INTERVAL: Duration = Duration::from_millis(200);

/// The rounds of questions after which the platform's record is read instead.
const RECALL_ROUNDS: u32 = 5;

/// `HolderBundle` is the list of slices that a holder asks for.
#[derive(Debug)]
struct HolderBundle {
    /// The holder.
    holder: NodeIdentity,
    /// The ordinal of its last message.
    sequence: u64,
    /// The version of the list; absent until the list is known.
    version: Option<u64>,
    /// The list.
    records: Vec<LeaseRecord>,
}

impl HolderBundle {
    /// Takes up a list, or its changes when the version that they change is known.
    fn take_up(&mut self, version: u64, news: LeaseBundle) {
        if news.base.is_none() {
            self.records.clear();
        } else if news.base != self.version {
            return;
        }

        let is_replaced = |record: &LeaseRecord| {
            let mut changed = news.records.iter();

            news.dropped.contains(&record.slice) || changed.any(|other| other.slice == record.slice)
        };

        self.records.retain(|record| !is_replaced(record));
        self.records.extend(news.records);
        self.version = Some(version);
    }
}

/// `WitnessTable` is all slices that one node witnesses.
#[derive(Debug)]
pub(crate) struct WitnessTable {
    /// The slices.
    pub(crate) slices: BTreeMap<SliceId, GrantWitness>,
    /// The lists of the holders, by node.
    bundles: BTreeMap<NodeName, HolderBundle>,
    /// The end of the first term of this start; no grant of an earlier start outlasts it.
    quiet_until: LocalMoment,
    /// When the other members are asked again for what was forgotten.
    recall_at: LocalMoment,
    /// The rounds of questions so far.
    rounds: u32,
}

impl WitnessTable {
    /// Makes the table of a node that starts now.
    pub(crate) fn new(now: LocalMoment, options: &LeaseOptions) -> Self {
        let quiet_until = now + options.witness_term();

        Self {
            slices: BTreeMap::new(),
            bundles: BTreeMap::new(),
            quiet_until,
            recall_at: quiet_until,
            rounds: 0,
        }
    }

    /// Answers the renewal of a holder, or nothing when the message is outdated.
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
        let known = self.take_up(from, version, bundle)?;

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

    /// Ends the grant to a holder that gave a slice up.
    pub(crate) fn release(
        &mut self,
        now: LocalMoment,
        from: &NodeIdentity,
        sequence: u64,
        slice: &SliceId,
        epoch: LeaseEpoch,
    ) {
        // The release counts with the renewals, so that a late renewal can't grant again.
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

    /// Takes note of a start of a node: what its earlier starts held is silent from now on.
    pub(crate) fn observe_incarnation(&mut self, now: LocalMoment, start: &NodeIdentity) {
        let newer = self
            .bundles
            .get(&start.name)
            .is_some_and(|bundle| bundle.holder.incarnation < start.incarnation);

        if !newer {
            return;
        }

        self.bundles.remove(&start.name);

        for witness in self.slices.values_mut() {
            if witness.is_held_by_earlier(start) {
                witness.call_at = witness.call_at.min(now);
            }
        }
    }

    /// Takes up a record that is known to be stored or held.
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

        witness.note(record, me);
    }

    /// Returns the slices of an inquiry whose holders are silent. A member that did not know of a
    /// record waits for its holder from now on.
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

    /// Takes up a stored record that was read on purpose after the quiet term, in place of the
    /// forgotten promises.
    pub(crate) fn recall_stored(&mut self, me: &NodeIdentity, stored: &VersionedRecord) {
        if let Some(witness) = self.slices.get_mut(&stored.record.slice) {
            witness.recall_stored(&stored.record, me);
        }
    }

    /// Answers the questions of a restarted member.
    pub(crate) fn answer_recall(&self, me: &NodeIdentity, records: &[LeaseRecord]) -> LeaseMessage {
        let memories = records
            .iter()
            .map(|record| self.memory_of(me, record))
            .collect();

        LeaseMessage::Recalled { memories }
    }

    /// Takes up what another member remembers.
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

    /// Returns the questions that are due, by node.
    pub(crate) fn due_recalls(
        &mut self,
        now: LocalMoment,
        me: &NodeIdentity,
    ) -> BTreeMap<NodeName, Vec<LeaseRecord>> {
        let mut questions: BTreeMap<NodeName, Vec<LeaseRecord>> = BTreeMap::new();

        if now < self.recall_at {
            return questions;
        }

        for witness in self.slices.values().filter(|slice| slice.is_recalling()) {
            for name in all_members(&witness.record) {
                if name != me.name {
                    let records = questions.entry(name).or_default();
                    records.push(witness.record.clone());
                }
            }
        }

        self.recall_at = now + RECALL_INTERVAL;
        self.rounds = if questions.is_empty() {
            0
        } else {
            self.rounds + 1
        };

        questions
    }

    /// Returns a slice whose record the platform is to be asked for, because the other members
    /// don't remember enough.
    pub(crate) fn recall_from_platform(&self, now: LocalMoment) -> Option<SliceId> {
        // A set of one has nobody to ask, so the rounds don't count there.
        let alone = |witness: &&GrantWitness| all_members(&witness.record).len() == 1;
        let asked = self.rounds > RECALL_ROUNDS;

        if now < self.quiet_until {
            return None;
        }

        self.slices
            .values()
            .filter(|witness| witness.is_recalling())
            .find(|witness| asked || alone(witness))
            .map(|witness| witness.record.slice.clone())
    }

    /// Returns whether a moment is past the quiet term.
    pub(crate) fn is_past_quiet(&self, moment: LocalMoment) -> bool {
        moment >= self.quiet_until
    }

    /// Returns how many slices' forgotten promises are still to be recalled.
    pub(crate) fn recalling(&self) -> usize {
        let recalling = self.slices.values().filter(|slice| slice.is_recalling());

        recalling.count()
    }

    /// Returns when the table has something to do by itself.
    pub(crate) fn next_wakeup(&self) -> Option<LocalMoment> {
        let call = self.slices.values().map(|witness| witness.call_at).min();
        let recall = (self.recalling() > 0).then_some(self.recall_at);

        [call, recall].into_iter().flatten().min()
    }

    /// Accepts a message of a holder when it is later than the last.
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

    /// Takes up the list of a holder and returns whether the asked version is known.
    fn take_up(
        &mut self,
        from: &NodeIdentity,
        version: u64,
        news: Option<LeaseBundle>,
    ) -> Option<bool> {
        let known = self.bundles.get_mut(&from.name)?;

        if let Some(news) = news {
            known.take_up(version, news);
        }

        Some(known.version == Some(version))
    }

    /// Decides on each slice of a holder's list.
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
            if record.owner != *from || is_from_later_start(record, me) {
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

    /// Returns what this node remembers of a slice.
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

/// Returns whether a record names a later start of this node than the running one.
fn is_from_later_start(record: &LeaseRecord, me: &NodeIdentity) -> bool {
    crate::quorum::sets(record, &BTreeSet::new())
        .filter_map(|set| set.start_of(&me.name))
        .any(|start| start > me.incarnation)
}
