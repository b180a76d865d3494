//! The renewals that one holding node sends to each of its witnesses.

use crate::message::{LeaseBundle, LeaseMessage};
use std::{collections::VecDeque, sync::Arc, time::Duration};
use wagtail_core::{
    ids::{LeaseEpoch, NodeName},
    lease::LeaseRecord,
    slice::SliceId,
    units::LocalMoment,
};

/// The number of unacknowledged renewals that a pair remembers.
const MAX_PENDING_RENEWALS: usize = 16;

/// The time within which a new witness must respond for the first time.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// `AskedSlice` is one slice of a renewal and the epoch at which its grant is requested.
#[derive(Debug, Clone)]
pub(crate) struct AskedSlice {
    /// The slice whose grant the holder asks for.
    pub(crate) slice: SliceId,
    /// The epoch of the slice's record in the list.
    pub(crate) epoch: LeaseEpoch,
}

/// `SentRenewal` is a renewal that the witness has not acknowledged.
#[derive(Debug)]
struct SentRenewal {
    /// The sequence number of the message.
    sequence: u64,
    /// When the renewal was sent.
    sent: LocalMoment,
    /// The slices that were requested.
    asked: Arc<[AskedSlice]>,
}

/// `MessageCounter` numbers the messages and lists of one incarnation of a node. A pair that is
/// removed and created again continues the count, so that its witness never takes a new message for
/// an earlier one.
#[derive(Debug, Default)]
pub(crate) struct MessageCounter(u64);

impl MessageCounter {
    /// Returns the next number.
    pub(crate) const fn next(&mut self) -> u64 {
        self.0 += 1;

        self.0
    }
}

/// `WitnessPair` tracks the renewals that this node sends to one witness.
#[derive(Debug)]
pub(crate) struct WitnessPair {
    /// The witness's node.
    pub(crate) to: NodeName,
    /// The version of the list; zero until there is one.
    version: u64,
    /// The list: the records of the slices to renew.
    records: Vec<LeaseRecord>,
    /// The slices and epochs of the list.
    asked: Arc<[AskedSlice]>,
    /// The list or the changes to it that the next renewal carries.
    bundle: Option<LeaseBundle>,
    /// The unacknowledged renewals, oldest first.
    unacknowledged: VecDeque<SentRenewal>,
    /// When the witness last acknowledged a renewal.
    pub(crate) acknowledged: Option<LocalMoment>,
    /// When the pair was created.
    pub(crate) since: LocalMoment,
    /// When the next renewal is due.
    pub(crate) send_at: LocalMoment,
}

impl WitnessPair {
    /// Creates the pair with a witness that has not been sent any list.
    pub(crate) fn new(to: NodeName, now: LocalMoment) -> Self {
        Self {
            to,
            version: 0,
            records: Vec::new(),
            asked: Arc::from([]),
            bundle: None,
            unacknowledged: VecDeque::new(),
            acknowledged: None,
            since: now,
            send_at: now,
        }
    }

    /// Sets the list. If it changed, it is sent at once, either in full or as changes to the list
    /// sent before.
    pub(crate) fn list(
        &mut self,
        records: Vec<LeaseRecord>,
        now: LocalMoment,
        counter: &mut MessageCounter,
    ) {
        if records == self.records && self.version > 0 {
            return;
        }

        self.asked = records
            .iter()
            .map(|record| AskedSlice {
                slice: record.slice.clone(),
                epoch: record.epoch,
            })
            .collect();

        // When the previous list is still unsent, the witness lacks the base of the changes, so
        // that the complete list is sent.
        let base = Some(self.version).filter(|version| *version > 0 && self.bundle.is_none());
        let bundle = base.map_or_else(
            || whole_list(&records),
            |base| list_changes(base, &self.records, &records),
        );

        self.records = records;
        self.version = counter.next();
        self.bundle = Some(bundle);
        self.send_at = now;
    }

    /// Returns the next renewal to send and remembers it as unacknowledged.
    pub(crate) fn renewal(&mut self, now: LocalMoment, sequence: u64) -> LeaseMessage {
        self.unacknowledged.push_back(SentRenewal {
            sequence,
            sent: now,
            asked: Arc::clone(&self.asked),
        });

        if self.unacknowledged.len() > MAX_PENDING_RENEWALS {
            self.unacknowledged.pop_front();
        }

        // Each list is sent once: a witness that missed it asks for it, and a witness that never
        // responds is not sent the list repeatedly.
        let bundle = self.bundle.take();

        LeaseMessage::Renew {
            sequence,
            version: self.version,
            bundle,
        }
    }

    /// Records the response to a renewal and returns when the renewal was sent and what it
    /// requested.
    pub(crate) fn acknowledged(
        &mut self,
        now: LocalMoment,
        sequence: u64,
    ) -> Option<(LocalMoment, Arc<[AskedSlice]>)> {
        let index = self
            .unacknowledged
            .iter()
            .position(|renewal| renewal.sequence == sequence)?;
        let renewal = self.unacknowledged.remove(index)?;

        self.acknowledged = Some(now);

        Some((renewal.sent, renewal.asked))
    }

    /// Records that the witness lacks the list, which is then sent in full at once.
    pub(crate) fn bundle_missing(&mut self, now: LocalMoment, sequence: u64) {
        let index = self
            .unacknowledged
            .iter()
            .position(|renewal| renewal.sequence == sequence);

        if let Some(index) = index {
            self.unacknowledged.remove(index);
            self.acknowledged = Some(now);
            self.bundle = Some(whole_list(&self.records));
            self.send_at = now;
        }
    }

    /// Returns whether the witness has responded within the last `within`.
    pub(crate) fn is_responsive(&self, now: LocalMoment, within: Duration) -> bool {
        self.acknowledged
            .is_some_and(|acknowledged| now.since(acknowledged) <= within)
    }

    /// Returns whether the witness has been silent for `time`. One that has never responded counts
    /// as silent after [`FIRST_RESPONSE_TIMEOUT`], when that is sooner.
    pub(crate) fn is_silent(&self, now: LocalMoment, time: Duration) -> bool {
        self.acknowledged.map_or_else(
            || now.since(self.since) >= time.min(FIRST_RESPONSE_TIMEOUT),
            |acknowledged| now.since(acknowledged) >= time,
        )
    }
}

/// Returns the bundle of a complete list.
fn whole_list(records: &[LeaseRecord]) -> LeaseBundle {
    LeaseBundle {
        base: None,
        dropped: Vec::new(),
        records: records.to_vec(),
    }
}

/// Returns the bundle that turns the list of version `base` into the next one.
fn list_changes(base: u64, before: &[LeaseRecord], after: &[LeaseRecord]) -> LeaseBundle {
    let is_retained = |record: &&LeaseRecord| after.iter().any(|other| other.slice == record.slice);
    let dropped = before.iter().filter(|record| !is_retained(record));
    let changed = after.iter().filter(|record| !before.contains(record));

    LeaseBundle {
        base: Some(base),
        dropped: dropped.map(|record| record.slice.clone()).collect(),
        records: changed.cloned().collect(),
    }
}
