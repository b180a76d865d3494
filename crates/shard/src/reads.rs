//! Reads of the table that the nodes of an availability zone share.
//!
//! Pattern: many nodes of a zone need a recent read of the same table. One of them, the *reader*, reads it
//! and tells the others how old its read is. A shared read supports grants like a read of the node's own that
//! was sent at the same moment; whoever takes it counts the whole time since it asked as well, so that
//! neither a late reply nor a frozen reader makes a read seem younger than it is.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use wagtail_core::{objects::StoreRevision, units::LocalMoment};

/// The nodes of a zone from which they share reads. Below, a reader saves few reads.
const MIN_SHARING_NODES: usize = 8;

/// The time for which a reader is not asked after it failed.
const READER_BACKOFF: Duration = Duration::from_secs(2);

/// The part of an age that the clocks of two VMs may differ by, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// Added to an age to cover its rounding.
const AGE_ROUNDING: Duration = Duration::from_millis(1);

/// Returns the moment, by the own clock, after which the store certainly held what a reader reported. The
/// node asked at `asked_at`, and the read had been sent `age` before the reader replied.
pub fn shared_read_sent_at(asked_at: LocalMoment, age: Duration) -> LocalMoment {
    asked_at - (age + age * CLOCK_DRIFT_PERCENT / 100 + AGE_ROUNDING)
}

/// `ReaderChoice` chooses the node that reads the tables for the others of its zone. Each node chooses by
/// itself; a wrong choice costs reads, not correctness.
#[derive(Debug, Default)]
pub struct ReaderChoice {
    avoided: BTreeMap<Arc<str>, LocalMoment>,
}

impl ReaderChoice {
    /// Records that a node failed as the reader.
    pub fn avoid(&mut self, node: &Arc<str>, now: LocalMoment) {
        self.avoided.insert(Arc::clone(node), now + READER_BACKOFF);
    }

    /// Returns the reader of a zone with these nodes, or `None` if its nodes read for themselves. It is the
    /// last one by name, as the first ones watch the store.
    pub fn reader<'a>(
        &mut self,
        zone_nodes: &'a BTreeSet<Arc<str>>,
        now: LocalMoment,
    ) -> Option<&'a Arc<str>> {
        self.avoided.retain(|_, until| *until > now);
        if zone_nodes.len() < MIN_SHARING_NODES {
            return None;
        }

        zone_nodes
            .iter()
            .rev()
            .find(|node| !self.avoided.contains_key(*node))
    }
}

/// `ReadDemand` states which read of a table a node can use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadDemand {
    /// The greatest age of the read.
    pub max_age: Duration,
    /// The revision that the node has heard of.
    pub at_least: StoreRevision,
}

/// `ReadStep` is what a reader does to meet a demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadStep {
    /// Use the last read.
    Use,
    /// Wait for the read that is under way.
    Wait,
    /// Read the table.
    Read,
}

/// `ReadLedger` knows the last read of one table and the one that is under way.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadLedger {
    last: Option<(LocalMoment, StoreRevision)>,
    under_way: Option<LocalMoment>,
}

impl ReadLedger {
    /// Returns how to meet a demand. Demands at the same time lead to one read.
    pub fn step(&self, demand: ReadDemand, now: LocalMoment) -> ReadStep {
        let is_recent = |sent_at: LocalMoment| now.since(sent_at) <= demand.max_age;
        let suffices = |(sent_at, revision): (LocalMoment, StoreRevision)| {
            is_recent(sent_at) && revision >= demand.at_least
        };

        if self.last.is_some_and(suffices) {
            ReadStep::Use
        } else if self.under_way.is_some_and(is_recent) {
            ReadStep::Wait
        } else {
            ReadStep::Read
        }
    }

    /// Returns when the last read was sent, and the revision that it returned.
    pub fn last(&self) -> Option<(LocalMoment, StoreRevision)> {
        self.last
    }

    /// Records that a read is sent.
    pub fn begin(&mut self, now: LocalMoment) {
        self.under_way = Some(now);
    }

    /// Records the result of the read that was sent at `sent_at`, or that it failed.
    pub fn finish(&mut self, sent_at: LocalMoment, revision: Option<StoreRevision>) {
        if self.under_way == Some(sent_at) {
            self.under_way = None;
        }
        if let Some(revision) = revision
            && self.last.is_none_or(|(last, _)| last < sent_at)
        {
            self.last = Some((sent_at, revision));
        }
    }
}
