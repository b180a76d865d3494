//! One remembered request, and what moves of it with a slice.

use crate::messages::{AdmitRefusal, WorkArrival};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::{
    ids::{OperationName, RequestId, TenantName},
    units::LocalMoment,
};

/// `MemoryKey` identifies a request: two tenants may use the same identifier.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemoryKey {
    /// The tenant of the caller.
    pub tenant: TenantName,
    /// The identifier of the request.
    pub id: RequestId,
}

impl MemoryKey {
    /// Makes the key of an arrival.
    pub fn of(arrival: &WorkArrival) -> Self {
        Self {
            tenant: arrival.tenant.clone(),
            id: arrival.id.clone(),
        }
    }
}

/// `MemoryState` is what became of a remembered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum MemoryState {
    /// It waits or runs as this ticket.
    Unresolved(u64),
    /// The daemon keeps its answer under this ticket.
    Kept(u64),
    /// It ran or may have run, and its answer is not here.
    Spent,
}

/// `MemoryRecord` is one remembered request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct MemoryRecord {
    /// The operation of the request.
    pub(super) operation: OperationName,
    /// The slice of its key.
    pub(super) slice: Option<u32>,
    /// What became of it.
    pub(super) state: MemoryState,
    /// The moment at which it is forgotten, once resolved.
    pub(super) expires: LocalMoment,
    /// The bytes of its kept answer.
    pub(super) bytes: u64,
}

/// `MemoryEntry` is one remembered request on its way to the next owner of a slice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemoryEntry {
    /// The identity of the request.
    pub key: MemoryKey,
    /// The operation of the request.
    pub operation: OperationName,
    /// The time for which it must still be remembered.
    pub remaining: Duration,
}

/// `MemoryTransfer` is what the next owner of a slice learns of the requests before it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemoryTransfer {
    /// All that the former owner remembered.
    Whole(Vec<MemoryEntry>),
    /// What the former owner remembered, after an owner before it was lost with its memory.
    Partial {
        /// What is remembered.
        entries: Vec<MemoryEntry>,
        /// The time since the loss.
        lost_for: Duration,
    },
    /// The former owner was lost with its memory.
    Lost,
}

/// `MemoryVerdict` is what the memory says of an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemoryVerdict {
    /// The identifier was not used before.
    Fresh,
    /// The same request waits or runs as this ticket.
    Follow(u64),
    /// The answer is kept under this ticket.
    Replay(u64),
    /// The request may not run.
    Refuse(AdmitRefusal),
}

impl MemoryRecord {
    /// Judges a repeat of this request.
    pub(super) fn check(&self, arrival: &WorkArrival) -> MemoryVerdict {
        if self.operation != arrival.operation || self.slice != arrival.slice {
            return MemoryVerdict::Refuse(AdmitRefusal::IdentifierReused);
        }

        match self.state {
            MemoryState::Unresolved(ticket) => MemoryVerdict::Follow(ticket),
            MemoryState::Kept(ticket) => MemoryVerdict::Replay(ticket),
            MemoryState::Spent => MemoryVerdict::Refuse(AdmitRefusal::Duplicate),
        }
    }

    /// Returns the time for which this request must still be remembered.
    pub(super) fn remaining(&self, now: LocalMoment, time: Duration) -> Duration {
        match self.state {
            MemoryState::Unresolved(_) => time,
            MemoryState::Kept(_) | MemoryState::Spent => self.expires.since(now),
        }
    }
}
