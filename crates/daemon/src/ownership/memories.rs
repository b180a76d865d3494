//! What the owners of a slice hand on of its non-idempotent requests.

use crate::ownership::MemoryNotice;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tracing::warn;
use wagtail_admit::MemoryTransfer;
use wagtail_core::{
    ids::{LeaseEpoch, NodeName},
    slice::SliceId,
    units::LocalMoment,
};

/// The time for which a received memory may be used. A move that was given up is not tried again
/// within twice this time, so that a memory never misses what came after it.
const NOTICE_LIFE: Duration = Duration::from_secs(5);

/// `ReceivedMemory` is a memory that waits for its slice.
#[derive(Debug)]
struct ReceivedMemory {
    at: LocalMoment,
    notice: MemoryNotice,
}

/// `StartedMove` is a move that this node began.
#[derive(Debug)]
struct StartedMove {
    at: LocalMoment,
    to: NodeName,
    /// Whether the memory was sent ahead.
    sent: bool,
}

/// `HandoverTracker` keeps the memories that this node received and the moves that it began.
#[derive(Debug, Default)]
pub struct HandoverTracker {
    received: BTreeMap<SliceId, ReceivedMemory>,
    moves: BTreeMap<SliceId, StartedMove>,
    first: BTreeSet<SliceId>,
}

impl HandoverTracker {
    /// Takes in what the former owner of a slice sent.
    pub fn receive(&mut self, now: LocalMoment, notice: MemoryNotice) {
        self.received
            .insert(notice.slice.clone(), ReceivedMemory { at: now, notice });
    }

    /// Notes that this node claims a slice that never had an owner, so that nothing precedes it.
    pub fn record_first_claim(&mut self, slice: &SliceId) {
        self.first.insert(slice.clone());
    }

    /// Returns what is known of a slice's requests when this node begins to serve it.
    pub fn take(&mut self, now: LocalMoment, slice: &SliceId, epoch: LeaseEpoch) -> MemoryTransfer {
        let claimed = self.first.remove(slice);
        let received = self.received.remove(slice);

        if let Some(received) = received {
            let recent = now.since(received.at) < NOTICE_LIFE;
            if recent && received.notice.epoch < epoch {
                return received.notice.memory;
            }
        }

        if claimed {
            return MemoryTransfer::Whole(Vec::new());
        }

        warn!(
            event = "memory-lost", %slice, epoch = epoch.0,
            advice = "nothing; non-idempotent requests whose identifiers tell no time are refused for a while"
        );

        MemoryTransfer::Lost
    }

    /// Notes a move and returns whether it may begin now.
    pub fn begin_move(&mut self, now: LocalMoment, slice: &SliceId, to: &NodeName) -> bool {
        self.moves
            .retain(|_, started| now.since(started.at) < NOTICE_LIFE * 2);

        // Without a memory under way an earlier attempt has left nothing behind.
        if self.moves.get(slice).is_some_and(|started| started.sent) {
            return false;
        }
        let started = StartedMove {
            at: now,
            to: to.clone(),
            sent: false,
        };
        self.moves.insert(slice.clone(), started);

        true
    }

    /// Returns the node that a drained slice moves to, and notes that its memory is sent there.
    pub fn record_transfer(&mut self, now: LocalMoment, slice: &SliceId) -> Option<NodeName> {
        let started = self.moves.get_mut(slice)?;

        if now.since(started.at) >= NOTICE_LIFE * 2 {
            return None;
        }
        // The time of the memory counts from here, however long the drain took.
        started.at = now;
        started.sent = true;

        Some(started.to.clone())
    }
}
