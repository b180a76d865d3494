//! The identifiers and kept responses of non-idempotent requests.

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

/// `RequestMemory` remembers the identifiers of non-idempotent requests, so that none of them runs
/// twice. It never drops an identifier before its retention time is over: when it is full, new
/// non-idempotent requests are refused.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RequestMemory {
    /// The remembered requests by tenant and identifier.
    records: BTreeMap<MemoryKey, MemoryRecord>,
    /// The resolved requests sorted by the moment at which they are forgotten.
    expiries: BTreeSet<(LocalMoment, MemoryKey)>,
    /// The requests with a kept response, oldest first.
    kept: VecDeque<MemoryKey>,
    /// The total size of the kept responses in bytes.
    kept_bytes: u64,
    /// The slices that were taken over without a complete memory, each with the moment before which
    /// unknown requests may have run.
    floors: BTreeMap<u32, LocalMoment>,
    /// The moment at which the memory of all slices was lost, if it was.
    lost: Option<LocalMoment>,
    /// The time for which a resolved request is remembered.
    retention: Duration,
    /// The greatest count of remembered requests.
    max_entries: usize,
    /// The greatest total size of the kept responses in bytes.
    max_bytes: u64,
    /// The largest difference between the clocks of a caller and of this node.
    skew: Duration,
    /// Whether identifiers of unknown age are accepted after a takeover without memory.
    accept_unknown_age: bool,
}

impl RequestMemory {
    /// Creates an empty memory.
    pub fn new(options: &AdmitOptions) -> Self {
        Self {
            records: BTreeMap::new(),
            expiries: BTreeSet::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            floors: BTreeMap::new(),
            lost: None,
            retention: options.memory_time,
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

    /// Returns the total size of the kept responses in bytes.
    pub fn kept_bytes(&self) -> u64 {
        self.kept_bytes
    }

    /// Returns what the memory says about an arrival of a non-idempotent operation.
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

    /// Forgets a request that certainly did not run, so that its identifier may be used again.
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

    /// Marks a request as one that ran or may have run without a response kept here.
    pub(crate) fn resolve_spent(&mut self, now: LocalMoment, arrival: &WorkArrival) {
        self.resolve(now, arrival, MemoryState::Spent, 0);
    }

    /// Marks a request as completed. Returns whether its response is to be kept, and the tickets
    /// whose responses are dropped to make room.
    pub(crate) fn resolve_answered(
        &mut self,
        now: LocalMoment,
        arrival: &WorkArrival,
        bytes: u64,
    ) -> KeptResponses {
        let keep = bytes <= self.max_bytes / 8;

        if !keep {
            self.resolve_spent(now, arrival);

            return KeptResponses::default();
        }

        self.resolve(now, arrival, MemoryState::Kept(arrival.ticket), bytes);
        self.kept.push_back(MemoryKey::of(arrival));
        self.kept_bytes += bytes;

        KeptResponses {
            keep,
            dropped: self.drop_oldest(),
        }
    }

    /// Forgets the requests whose retention time is over, and returns the tickets of their kept
    /// responses.
    pub(crate) fn expire(&mut self, now: LocalMoment) -> Vec<u64> {
        let mut dropped = Vec::new();

        while let Some((expires, _)) = self.expiries.first()
            && *expires <= now
        {
            let Some((_, key)) = self.expiries.pop_first() else {
                break;
            };

            if let Some(record) = self.records.remove(&key) {
                dropped.extend(self.remove_kept(&key, &record));
            }
        }

        dropped
    }

    /// Returns the remembered requests of a slice for its next owner, which treats unresolved ones
    /// as run too.
    pub fn export(&self, now: LocalMoment, slice: u32) -> Vec<MemoryEntry> {
        let of_slice = self
            .records
            .iter()
            .filter(|(_, record)| record.slice == Some(slice));

        of_slice
            .map(|(key, record)| MemoryEntry {
                key: key.clone(),
                operation: record.operation.clone(),
                remaining: record.remaining(now, self.retention),
            })
            .collect()
    }

    /// Records that an earlier run of the daemon may have run requests that are unknown now.
    pub fn record_loss(&mut self, now: LocalMoment) {
        self.lost = Some(now);
    }

    /// Imports what the former owner of a slice remembered.
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

    /// Returns what the next owner of a slice must know, including whether an earlier owner was
    /// lost.
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

    /// Records that unknown requests of a slice may have run if they were issued before a moment.
    fn raise_floor(&mut self, slice: u32, moment: LocalMoment) {
        let floor = self.floors.entry(slice).or_insert(moment);

        *floor = (*floor).max(moment);
    }

    /// Returns the moment before which unknown requests may have run, unless it is longer ago than
    /// the retention time.
    fn floor(&self, now: LocalMoment, slice: Option<u32>) -> Option<LocalMoment> {
        let of_slice = slice.and_then(|slice| self.floors.get(&slice).copied());

        of_slice
            .max(self.lost)
            .filter(|floor| now.since(*floor) < self.retention)
    }

    /// Imports one entry, unless the request is known here already.
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

    /// Refuses an identifier whose record may have been forgotten or lost.
    fn check_age(&self, now: LocalMoment, arrival: &WorkArrival) -> Option<AdmitRefusal> {
        let floor = self.floor(now, arrival.slice);

        let too_old = match arrival.age {
            IdentifierAge::Made => false,
            IdentifierAge::Issued(issued) => {
                let forgotten = now.since(issued) + self.skew >= self.retention;
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
        let expires = now + self.retention;
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };

        record.state = state;
        record.bytes = bytes;
        self.expiries.remove(&(record.expires, key.clone()));
        record.expires = expires;
        self.expiries.insert((expires, key));
    }

    /// Drops the oldest kept responses until the rest fits into the limit; their identifiers stay.
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

    /// Removes the kept response of a forgotten record from the totals and returns its ticket.
    fn remove_kept(&mut self, key: &MemoryKey, record: &MemoryRecord) -> Option<u64> {
        let MemoryState::Kept(ticket) = record.state else {
            return None;
        };

        self.kept_bytes -= record.bytes;

        // Responses are kept and expire in the same order, so this one is the first or near it.
        if let Some(index) = self.kept.iter().position(|kept| kept == key) {
            self.kept.remove(index);
        }

        Some(ticket)
    }
}

/// `KeptResponses` tells which responses the daemon keeps after a request was completed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct KeptResponses {
    /// Whether the new response is kept.
    pub(crate) keep: bool,
    /// The tickets whose responses are dropped.
    pub(crate) dropped: Vec<u64>,
}
