//! The memory of a slice's non-idempotent requests, which moves from owner to owner with the slice.

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

/// The time for which a received memory may be used. After an abandoned move whose memory was
/// already sent, the slice is not moved again within twice this time: a memory that is still usable
/// would lack the requests that came after it.
const MEMORY_VALIDITY: Duration = Duration::from_secs(5);

/// `ReceivedMemory` is a memory that arrived before this node serves its slice.
#[derive(Debug)]
struct ReceivedMemory {
    at: LocalMoment,
    notice: MemoryNotice,
}

/// `StartedMove` is a move of a slice away from this node.
#[derive(Debug)]
struct StartedMove {
    /// When the move began, or when the memory was sent.
    at: LocalMoment,
    to: NodeName,
    /// Whether the memory was sent to the destination.
    sent: bool,
}

/// `HandoverTracker` keeps the memories that this node received and the moves that it started.
#[derive(Debug, Default)]
pub struct HandoverTracker {
    received: BTreeMap<SliceId, ReceivedMemory>,
    moves: BTreeMap<SliceId, StartedMove>,
    /// The slices that this node claims and that never had an owner.
    first: BTreeSet<SliceId>,
}

impl HandoverTracker {
    /// Stores the memory that the former owner of a slice sent, in place of an earlier one.
    pub fn receive(&mut self, now: LocalMoment, notice: MemoryNotice) {
        self.received
            .insert(notice.slice.clone(), ReceivedMemory { at: now, notice });
    }

    /// Records that this node claims a slice that never had an owner, so that there are no earlier
    /// requests to remember.
    pub fn record_first_claim(&mut self, slice: &SliceId) {
        self.first.insert(slice.clone());
    }

    /// Removes and returns the memory for a slice that this node begins to serve under `epoch`:
    /// the received one if it is recent and of an earlier epoch, an empty one for a first claim,
    /// and [`MemoryTransfer::Lost`] otherwise.
    pub fn take(&mut self, now: LocalMoment, slice: &SliceId, epoch: LeaseEpoch) -> MemoryTransfer {
        let claimed = self.first.remove(slice);
        let received = self.received.remove(slice);

        if let Some(received) = received {
            let recent = now.since(received.at) < MEMORY_VALIDITY;
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

    /// Records the start of a move. Returns `false`, and records nothing, if the memory of an
    /// earlier attempt may still be in use.
    pub fn begin_move(&mut self, now: LocalMoment, slice: &SliceId, to: &NodeName) -> bool {
        self.moves
            .retain(|_, started| now.since(started.at) < MEMORY_VALIDITY * 2);

        // An earlier attempt leaves nothing at its destination unless it sent the memory.
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

    /// Returns the destination of a drained slice and records that the memory is sent there.
    /// Returns `None` if no move of the slice is known or it began too long ago.
    pub fn record_transfer(&mut self, now: LocalMoment, slice: &SliceId) -> Option<NodeName> {
        let started = self.moves.get_mut(slice)?;

        if now.since(started.at) >= MEMORY_VALIDITY * 2 {
            return None;
        }
        // The memory's validity counts from here, however long the drain took.
        started.at = now;
        started.sent = true;

        Some(started.to.clone())
    }
}
