//! One remembered request, and the part of it that moves with its slice.

use crate::messages::{AdmitRefusal, WorkArrival};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::{
    ids::{OperationName, RequestId, TenantName},
    units::LocalMoment,
};

/// `MemoryKey` identifies a request. The tenant is part of it because two tenants may use the same
/// identifier.
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
    /// Creates the key of an arrival.
    pub fn of(arrival: &WorkArrival) -> Self {
        Self {
            tenant: arrival.tenant.clone(),
            id: arrival.id.clone(),
        }
    }
}

/// `MemoryState` is the result of a remembered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum MemoryState {
    /// It is queued or runs under this ticket.
    Unresolved(u64),
    /// The daemon keeps its response under this ticket.
    Kept(u64),
    /// It ran or may have run, and its response is not kept here.
    Spent,
}

/// `MemoryRecord` is one remembered request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct MemoryRecord {
    /// The operation of the request.
    pub(super) operation: OperationName,
    /// The slice of its key, for a keyed service.
    pub(super) slice: Option<u32>,
    /// Its result so far.
    pub(super) state: MemoryState,
    /// The moment at which it is forgotten, once resolved.
    pub(super) expires: LocalMoment,
    /// The size of its kept response in bytes.
    pub(super) bytes: u64,
}

/// `MemoryEntry` is a remembered request as it is sent to the next owner of a slice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemoryEntry {
    /// The tenant and identifier of the request.
    pub key: MemoryKey,
    /// The operation of the request.
    pub operation: OperationName,
    /// The time for which it must still be remembered.
    pub remaining: Duration,
}

/// `MemoryTransfer` is what the next owner of a slice learns about earlier requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemoryTransfer {
    /// Everything that the former owner remembered.
    Whole(Vec<MemoryEntry>),
    /// The memory of the former owner, which is incomplete because an owner before it was lost.
    Partial {
        /// The requests that the former owner remembered.
        entries: Vec<MemoryEntry>,
        /// The time since that loss.
        lost_for: Duration,
    },
    /// The former owner was lost with its memory.
    Lost,
}

/// `MemoryVerdict` is what the memory says about an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemoryVerdict {
    /// The identifier was not used before.
    Fresh,
    /// The same request is queued or runs under this ticket.
    Follow(u64),
    /// The response is kept under this ticket.
    Replay(u64),
    /// The request must not run.
    Refuse(AdmitRefusal),
}

impl MemoryRecord {
    /// Returns what this record says about a retry with its identifier.
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

    /// Returns how long this request must still be remembered; `retention` is the time that starts
    /// with its end.
    pub(super) fn remaining(&self, now: LocalMoment, retention: Duration) -> Duration {
        match self.state {
            MemoryState::Unresolved(_) => retention,
            MemoryState::Kept(_) | MemoryState::Spent => self.expires.since(now),
        }
    }
}
