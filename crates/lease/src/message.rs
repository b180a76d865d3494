//! What the machines of two nodes say to each other.

use serde::{Deserialize, Serialize};
use wagtail_core::{ids::LeaseEpoch, lease::LeaseRecord, slice::SliceId};

/// `LeaseMessage` is everything that two machines say to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseMessage {
    /// A holder asks a witness to grant all its slices for one more term.
    Renew {
        /// The ordinal of the message; a witness ignores any but a later one.
        sequence: u64,
        /// The version of the holder's list for this witness.
        version: u64,
        /// The list or its changes, when it changed or the witness asked for it.
        bundle: Option<LeaseBundle>,
    },
    /// A witness granted all slices of a list but these.
    Renewed {
        /// The ordinal of the answered message.
        sequence: u64,
        /// The slices that were not granted.
        refusals: Vec<GrantRefusal>,
        /// The slices that were granted first at a new epoch.
        changes: Vec<HolderChange>,
    },
    /// A witness does not know the list of that version.
    BundleMissing {
        /// The ordinal of the answered message.
        sequence: u64,
    },
    /// A holder gives a slice up: its grant ends now.
    Release {
        /// The ordinal of the message, counted with the renewals.
        sequence: u64,
        /// The slice.
        slice: SliceId,
        /// The epoch that ended.
        epoch: LeaseEpoch,
    },
    /// An owner that has drained a slice asks the receiver to take it over.
    HandOver {
        /// The record to gain, naming the receiver.
        record: LeaseRecord,
        /// The epoch under which all work has ended.
        drained: LeaseEpoch,
    },
    /// A witness has not heard from the holders of these slices.
    Suspect {
        /// The slices.
        entries: Vec<SilentSlice>,
    },
    /// A candidate that was called by too few members asks the others whether they hear the holders.
    /// One that does not answers with a call.
    Inquire {
        /// The newest records that the candidate knows.
        records: Vec<LeaseRecord>,
    },
    /// A restarted member asks what the others remember.
    Recall {
        /// The newest records that it knows.
        records: Vec<LeaseRecord>,
    },
    /// What a member remembers.
    Recalled {
        /// The memory of each slice.
        memories: Vec<SliceMemory>,
    },
}

/// `LeaseBundle` is the list of what a holder asks a witness for, or its changes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseBundle {
    /// The version of the list that is changed; absent when the whole list follows.
    pub base: Option<u64>,
    /// The slices that are asked for no more.
    pub dropped: Vec<SliceId>,
    /// The changed records, or all.
    pub records: Vec<LeaseRecord>,
}

/// `GrantRefusal` says why a witness did not grant a slice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRefusal {
    /// The slice.
    pub slice: SliceId,
    /// The epoch that was asked for.
    pub epoch: LeaseEpoch,
    /// Why it was not granted.
    pub reason: RefusalReason,
}

/// `RefusalReason` is why a witness does not grant.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The grant to an earlier holder is outstanding; the witness grants that holder no more.
    Outstanding {
        /// The time in microseconds until it lapses.
        remaining_us: u64,
    },
    /// The witness promised a later epoch or knows a later set.
    Superseded {
        /// The lowest epoch that the witness grants.
        promised: LeaseEpoch,
        /// The newest record that it saw.
        newest: Option<Box<LeaseRecord>>,
    },
    /// The witness restarted and has not yet recalled its promises.
    Recovering,
    /// The witness is no member of the set.
    NotMember,
}

/// `HolderChange` tells a holder whom it follows at a witness.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HolderChange {
    /// The slice.
    pub slice: SliceId,
    /// The new epoch.
    pub epoch: LeaseEpoch,
    /// The epoch of the last grant to another holder; zero when there was none.
    pub followed: LeaseEpoch,
}

/// `SilentSlice` is a slice whose holder a witness has not heard from.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SilentSlice {
    /// The newest record that the witness saw.
    pub record: LeaseRecord,
    /// The lowest epoch that the witness grants.
    pub promised: LeaseEpoch,
}

/// `SliceMemory` is what a member remembers of a slice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceMemory {
    /// The slice.
    pub slice: SliceId,
    /// Whether the member remembers; one that restarted itself does not.
    pub remembers: bool,
    /// The lowest epoch that the member grants.
    pub promised: LeaseEpoch,
    /// The newest record that it saw.
    pub newest: Option<LeaseRecord>,
}
