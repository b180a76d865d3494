//! The identifiers and answers of non-idempotent requests.

mod record;

pub use crate::identifier::issued_unix_ms;
use crate::{
    messages::{AdmitRefusal, IdentifierAge, WorkArrival},
    options::AdmitOptions,
};
pub(crate) use record::MemoryVerdict;
pub use record::{MemoryEntry, MemoryKey, MemoryTransfer};
use record::{MemoryRecord, MemoryState};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use wagtail_core::units::LocalMoment;

/// `RequestMemory` remembers the identifiers of non-idempotent requests, so that none runs
/// twice. It never drops an identifier before its time: when it is full, new work is refused.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RequestMemory {
    /// The remembered requests.
    records: BTreeMap<MemoryKey, MemoryRecord>,
    /// The resolved requests by the moment at which they are forgotten.
    expiries: BTreeSet<(LocalMoment, MemoryKey)>,
    /// The requests with a kept answer, oldest first.
    kept: VecDeque<MemoryKey>,
    /// The bytes of the kept answers.
    kept_bytes: u64,
    /// The slices that were taken over without memory, with the moment of the take-over.
    floors: BTreeMap<u32, LocalMoment>,
    /// The moment at which the memory of the whole service was lost, if it was.
    lost: Option<LocalMoment>,
    /// The time for which a resolved request is remembered.
    time: Duration,
    /// The most requests.
    max_entries: usize,
    /// The most bytes of kept answers.
    max_bytes: u64,
    /// The largest difference of clocks.
    skew: Duration,
    /// Whether identifiers of unknown age pass after a take-over without memory.
    accept_unknown_age: bool,
}

impl RequestMemory {
    /// Makes an empty memory.
    pub fn new(options: &AdmitOptions) -> Self {
        Self {
            records: BTreeMap::new(),
            expiries: BTreeSet::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            floors: BTreeMap::new(),
            lost: None,
            time: options.memory_time,
            max_entries: options.memory_entries,
            max_bytes: options.memory_bytes,
            skew: options.clock_skew,
            accept_unknown_age: options.accept_unknown_age,
        }
    }

    /// Returns the count of remembered requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of the kept answers.
    pub fn kept_bytes(&self) -> u64 {
        self.kept_bytes
    }

    /// Judges an arrival of a non-idempotent operation.
    pub(crate) fn check(&self, now: LocalMoment, arrival: &WorkArrival) -> MemoryVerdict {
        if let Some(record) = self.records.get(&MemoryKey::of(arrival)) {
            return record.check(arrival);
        }

        if let Some(refusal) = self.check_age(now, arrival) {
            return MemoryVerdict::Refuse(refusal);
        }

        if self.records.len() >= self.max_entries {
            return MemoryVerdict::Refuse(AdmitRefusal::MemoryFull);
        }

        MemoryVerdict::Fresh
    }

    /// Remembers an admitted arrival as unresolved.
    pub(crate) fn insert(&mut self, arrival: &WorkArrival) {
        let record = MemoryRecord {
            operation: arrival.operation.clone(),
            slice: arrival.slice,
            state: MemoryState::Unresolved(arrival.ticket),
            expires: LocalMoment::ZERO,
            bytes: 0,
        };

        self.records.insert(MemoryKey::of(arrival), record);
    }

    /// Forgets a request that certainly did not run.
    pub(crate) fn release(&mut self, arrival: &WorkArrival) {
        let key = MemoryKey::of(arrival);
        let own = self
            .records
            .get(&key)
            .is_some_and(|record| record.state == MemoryState::Unresolved(arrival.ticket));

        if own {
            self.records.remove(&key);
        }
    }

    /// Resolves a request whose answer is lost or that may have run.
    pub(crate) fn resolve_spent(&mut self, now: LocalMoment, arrival: &WorkArrival) {
        self.resolve(now, arrival, MemoryState::Spent, 0);
    }

    /// Resolves a request whose answer the daemon has, and returns whether to keep the answer
    /// and the tickets whose answers are to be dropped for it.
    pub(crate) fn resolve_answered(
        &mut self,
        now: LocalMoment,
        arrival: &WorkArrival,
        bytes: u64,
    ) -> KeptAnswers {
        let keep = bytes <= self.max_bytes / 8;

        if !keep {
            self.resolve_spent(now, arrival);

            return KeptAnswers::default();
        }

        self.resolve(now, arrival, MemoryState::Kept(arrival.ticket), bytes);
        self.kept.push_back(MemoryKey::of(arrival));
        self.kept_bytes += bytes;

        KeptAnswers {
            keep,
            dropped: self.drop_oldest(),
        }
    }

    /// Forgets the requests whose time is over and returns the tickets of their kept answers.
    pub(crate) fn expire(&mut self, now: LocalMoment) -> Vec<u64> {
        let mut dropped = Vec::new();

        while let Some((expires, _)) = self.expiries.first()
            && *expires <= now
        {
            let Some((_, key)) = self.expiries.pop_first() else {
                break;
            };

            if let Some(record) = self.records.remove(&key) {
                dropped.extend(self.uncount_kept(&key, &record));
            }
        }

        dropped
    }

    /// Returns what the next owner of a slice must know. What is unresolved counts as run.
    pub fn export(&self, now: LocalMoment, slice: u32) -> Vec<MemoryEntry> {
        let of_slice = self
            .records
            .iter()
            .filter(|(_, record)| record.slice == Some(slice));

        of_slice
            .map(|(key, record)| MemoryEntry {
                key: key.clone(),
                operation: record.operation.clone(),
                remaining: record.remaining(now, self.time),
            })
            .collect()
    }

    /// Notes that an earlier start of this daemon may have run requests that are unknown now.
    pub fn lose(&mut self, now: LocalMoment) {
        self.lost = Some(now);
    }

    /// Takes in what the former owner of a slice remembered.
    pub fn import(&mut self, now: LocalMoment, slice: u32, transfer: MemoryTransfer) {
        let entries = match transfer {
            MemoryTransfer::Whole(entries) => entries,
            MemoryTransfer::Partial { entries, lost_for } => {
                self.raise_floor(slice, now - lost_for);
                entries
            }
            MemoryTransfer::Lost => {
                self.raise_floor(slice, now);

                return;
            }
        };

        for entry in entries {
            self.import_entry(now, slice, entry);
        }
    }

    /// Returns what the next owner of a slice must know, and whether an earlier owner was lost.
    pub fn transfer(&self, now: LocalMoment, slice: u32) -> MemoryTransfer {
        let entries = self.export(now, slice);

        match self.floor(now, Some(slice)) {
            Some(floor) => MemoryTransfer::Partial {
                entries,
                lost_for: now.since(floor),
            },
            None => MemoryTransfer::Whole(entries),
        }
    }

    /// Notes that what was issued for a slice before a moment may have run unknown.
    fn raise_floor(&mut self, slice: u32, moment: LocalMoment) {
        let floor = self.floors.entry(slice).or_insert(moment);

        *floor = (*floor).max(moment);
    }

    /// Returns the moment before which runs are unknown, while that matters.
    fn floor(&self, now: LocalMoment, slice: Option<u32>) -> Option<LocalMoment> {
        let of_slice = slice.and_then(|slice| self.floors.get(&slice).copied());

        of_slice
            .max(self.lost)
            .filter(|floor| now.since(*floor) < self.time)
    }

    /// Takes in one entry, unless the request is known here already.
    fn import_entry(&mut self, now: LocalMoment, slice: u32, entry: MemoryEntry) {
        if self.records.contains_key(&entry.key) {
            return;
        }

        let expires = now + entry.remaining;
        let record = MemoryRecord {
            operation: entry.operation,
            slice: Some(slice),
            state: MemoryState::Spent,
            expires,
            bytes: 0,
        };

        self.expiries.insert((expires, entry.key.clone()));
        self.records.insert(entry.key, record);
    }

    /// Refuses an identifier that may be one whose record was forgotten or lost.
    fn check_age(&self, now: LocalMoment, arrival: &WorkArrival) -> Option<AdmitRefusal> {
        let floor = self.floor(now, arrival.slice);

        let too_old = match arrival.age {
            IdentifierAge::Made => false,
            IdentifierAge::Issued(issued) => {
                let forgotten = now.since(issued) + self.skew >= self.time;
                let lost = floor.is_some_and(|floor| issued <= floor + self.skew);

                forgotten || lost
            }
            IdentifierAge::Unknown => floor.is_some() && !self.accept_unknown_age,
        };

        too_old.then_some(AdmitRefusal::IdentifierTooOld)
    }

    /// Sets the state of a request and the moment at which it is forgotten.
    fn resolve(&mut self, now: LocalMoment, arrival: &WorkArrival, state: MemoryState, bytes: u64) {
        let key = MemoryKey::of(arrival);
        let expires = now + self.time;
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };

        record.state = state;
        record.bytes = bytes;
        self.expiries.remove(&(record.expires, key.clone()));
        record.expires = expires;
        self.expiries.insert((expires, key));
    }

    /// Drops the oldest kept answers until the rest fits; their identifiers stay.
    fn drop_oldest(&mut self) -> Vec<u64> {
        let mut dropped = Vec::new();

        while self.kept_bytes > self.max_bytes {
            let Some(key) = self.kept.pop_front() else {
                break;
            };
            let Some(record) = self.records.get_mut(&key) else {
                continue;
            };

            if let MemoryState::Kept(ticket) = record.state {
                self.kept_bytes -= record.bytes;
                record.state = MemoryState::Spent;
                dropped.push(ticket);
            }
        }

        dropped
    }

    /// Counts out the kept answer of a removed record and returns its ticket.
    fn uncount_kept(&mut self, key: &MemoryKey, record: &MemoryRecord) -> Option<u64> {
        let MemoryState::Kept(ticket) = record.state else {
            return None;
        };

        self.kept_bytes -= record.bytes;

        // Answers are kept and expire in the same order, so this is the first or near it.
        if let Some(index) = self.kept.iter().position(|kept| kept == key) {
            self.kept.remove(index);
        }

        Some(ticket)
    }
}

/// `KeptAnswers` says which answers the daemon keeps after one more was resolved.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct KeptAnswers {
    /// Whether the new answer is kept.
    pub(crate) keep: bool,
    /// The tickets whose answers are dropped.
    pub(crate) dropped: Vec<u64>,
}
