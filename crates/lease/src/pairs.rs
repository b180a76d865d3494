//! The renewals from one holder to its witnesses.

use crate::message::{LeaseBundle, LeaseMessage};
use std::{collections::VecDeque, sync::Arc, time::Duration};
use wagtail_core::{
    ids::{LeaseEpoch, NodeName},
    lease::LeaseRecord,
    slice::SliceId,
    units::LocalMoment,
};

/// The unanswered renewals that a pair remembers.
const REMEMBERED_RENEWALS: usize = 16;

/// The time within which a new witness must have answered once.
const FIRST_ANSWER: Duration = Duration::from_secs(2);

/// `AskedSlice` is one slice of a list.
#[derive(Debug, Clone)]
pub(crate) struct AskedSlice {
    /// The slice.
    pub(crate) slice: SliceId,
    /// The asked epoch.
    pub(crate) epoch: LeaseEpoch,
}

/// `SentRenewal` is an unanswered renewal.
#[derive(Debug)]
struct SentRenewal {
    /// Its ordinal.
    sequence: u64,
    /// When it was sent.
    sent: LocalMoment,
    /// The slices that it asked for.
    asked: Arc<[AskedSlice]>,
}

/// `MessageCounter` numbers the messages and lists of one start of a node. A pair that ends and
/// begins again goes on counting, so that its witness takes nothing for something earlier.
#[derive(Debug, Default)]
pub(crate) struct MessageCounter(u64);

impl MessageCounter {
    /// Returns the next number.
    pub(crate) const fn next(&mut self) -> u64 {
        self.0 += 1;

        self.0
    }
}

/// `WitnessPair` is the renewals from one holder to one witness.
#[derive(Debug)]
pub(crate) struct WitnessPair {
    /// The witness.
    pub(crate) to: NodeName,
    /// The version of the list.
    version: u64,
    /// The list.
    records: Vec<LeaseRecord>,
    /// The slices of the list.
    asked: Arc<[AskedSlice]>,
    /// What is to be sent of the list.
    bundle: Option<LeaseBundle>,
    /// The unanswered renewals, oldest first.
    unanswered: VecDeque<SentRenewal>,
    /// When the witness last answered.
    pub(crate) acknowledged: Option<LocalMoment>,
    /// Since when the pair exists.
    pub(crate) since: LocalMoment,
    /// When the next renewal is due.
    pub(crate) send_at: LocalMoment,
}

impl WitnessPair {
    /// Makes the pair with a witness that has been asked nothing.
    pub(crate) fn new(to: NodeName, now: LocalMoment) -> Self {
        Self {
            to,
            version: 0,
            records: Vec::new(),
            asked: Arc::from([]),
            bundle: None,
            unanswered: VecDeque::new(),
            acknowledged: None,
            since: now,
            send_at: now,
        }
    }

    /// Takes up the list; a changed one is sent whole and at once.
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

        // The changes of an unsent list are not known any more, so that the whole one is sent.
        let base = Some(self.version).filter(|version| *version > 0 && self.bundle.is_none());
        let bundle = base.map_or_else(
            || whole(&records),
            |base| changes(base, &self.records, &records),
        );

        self.records = records;
        self.version = counter.next();
        self.bundle = Some(bundle);
        self.send_at = now;
    }

    /// Makes the next renewal.
    pub(crate) fn renewal(&mut self, now: LocalMoment, sequence: u64) -> LeaseMessage {
        self.unanswered.push_back(SentRenewal {
            sequence,
            sent: now,
            asked: Arc::clone(&self.asked),
        });

        if self.unanswered.len() > REMEMBERED_RENEWALS {
            self.unanswered.pop_front();
        }

        // A list that got lost is asked for; one that is never answered is not sent again and again.
        let bundle = self.bundle.take();

        LeaseMessage::Renew {
            sequence,
            version: self.version,
            bundle,
        }
    }

    /// Takes in the answer to a renewal and returns when it was sent and what it asked for.
    pub(crate) fn acknowledged(
        &mut self,
        now: LocalMoment,
        sequence: u64,
    ) -> Option<(LocalMoment, Arc<[AskedSlice]>)> {
        let place = self
            .unanswered
            .iter()
            .position(|renewal| renewal.sequence == sequence)?;
        let renewal = self.unanswered.remove(place)?;

        self.acknowledged = Some(now);

        Some((renewal.sent, renewal.asked))
    }

    /// Takes in that the witness lacks the list.
    pub(crate) fn bundle_missing(&mut self, now: LocalMoment, sequence: u64) {
        let place = self
            .unanswered
            .iter()
            .position(|renewal| renewal.sequence == sequence);

        if let Some(place) = place {
            self.unanswered.remove(place);
            self.acknowledged = Some(now);
            self.bundle = Some(whole(&self.records));
            self.send_at = now;
        }
    }

    /// Returns whether the witness answered within a time.
    pub(crate) fn is_responsive(&self, now: LocalMoment, within: Duration) -> bool {
        self.acknowledged
            .is_some_and(|acknowledged| now.since(acknowledged) <= within)
    }

    /// Returns whether the witness has been silent for a time. One that has not answered at all is
    /// silent sooner.
    pub(crate) fn is_silent(&self, now: LocalMoment, time: Duration) -> bool {
        self.acknowledged.map_or_else(
            || now.since(self.since) >= time.min(FIRST_ANSWER),
            |acknowledged| now.since(acknowledged) >= time,
        )
    }
}

/// Returns the whole list.
fn whole(records: &[LeaseRecord]) -> LeaseBundle {
    LeaseBundle {
        base: None,
        dropped: Vec::new(),
        records: records.to_vec(),
    }
}

/// Returns the changes from one list to the next.
fn changes(base: u64, before: &[LeaseRecord], after: &[LeaseRecord]) -> LeaseBundle {
    let is_left = |record: &&LeaseRecord| after.iter().any(|other| other.slice == record.slice);
    let dropped = before.iter().filter(|record| !is_left(record));
    let changed = after.iter().filter(|record| !before.contains(record));

    LeaseBundle {
        base: Some(base),
        dropped: dropped.map(|record| record.slice.clone()).collect(),
        records: changed.cloned().collect(),
    }
}
