//! The messages between the lease machines of two nodes.

use serde::{Deserialize, Serialize};
use wagtail_core::{ids::LeaseEpoch, lease::LeaseRecord, slice::SliceId};

/// `LeaseMessage` is a message from one lease machine to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseMessage {
    /// A holder asks a witness to grant the slices of its list for one more term.
    Renew {
        /// The sequence number of the message; a witness ignores one that is not higher than the
        /// last.
        sequence: u64,
        /// The version of the list of slices that the holder asks this witness for.
        version: u64,
        /// The list or its changes; absent unless it changed or the witness asked for it.
        bundle: Option<LeaseBundle>,
    },
    /// The response to `Renew`: the witness granted all slices of the list except the refused ones.
    Renewed {
        /// The sequence number of the renewal.
        sequence: u64,
        /// The slices that were not granted.
        refusals: Vec<GrantRefusal>,
        /// The slices that were granted at a new epoch for the first time.
        changes: Vec<HolderChange>,
    },
    /// The response to `Renew` of a witness that doesn't have the list of that version; the holder
    /// sends the complete list.
    BundleMissing {
        /// The sequence number of the renewal.
        sequence: u64,
    },
    /// A holder releases a slice, so that its grant ends at once.
    Release {
        /// The sequence number of the message, from the same counter as the renewals.
        sequence: u64,
        /// The slice whose grant ends.
        slice: SliceId,
        /// The epoch that ended.
        epoch: LeaseEpoch,
    },
    /// An owner that has drained a slice hands it over to the receiver.
    HandOver {
        /// The record to gain; it names the receiver as the owner.
        record: LeaseRecord,
        /// The epoch under which all work has ended.
        drained: LeaseEpoch,
    },
    /// A witness that has not heard from the holders of these slices calls on the receiver to take
    /// them over.
    Suspect {
        /// The slices to take over, with the newest record and promise of each.
        entries: Vec<SilentSlice>,
    },
    /// A candidate that too few members have called asks the others whether they hear from the
    /// holders. A member that doesn't responds with `Suspect`.
    Inquire {
        /// The newest records that the candidate knows.
        records: Vec<LeaseRecord>,
    },
    /// A restarted member asks the others what they remember of its slices.
    Recall {
        /// The newest records that the restarted member knows.
        records: Vec<LeaseRecord>,
    },
    /// The response to `Recall`.
    Recalled {
        /// The promise and newest record of each slice that was asked about.
        memories: Vec<SliceMemory>,
    },
}

/// `LeaseBundle` is the list of records that a holder asks a witness to grant, or the changes of
/// that list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseBundle {
    /// The version of the list that the changes apply to; absent when the list is complete.
    pub base: Option<u64>,
    /// The slices that are removed from the list.
    pub dropped: Vec<SliceId>,
    /// The added and changed records, or all records of a complete list.
    pub records: Vec<LeaseRecord>,
}

/// `GrantRefusal` says why a witness did not grant a slice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRefusal {
    /// The slice that the holder asked a grant for.
    pub slice: SliceId,
    /// The epoch at which the holder asked for the grant.
    pub epoch: LeaseEpoch,
    /// The reason for the refusal.
    pub reason: RefusalReason,
}

/// `RefusalReason` is the reason for which a witness does not grant a slice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The grant to an earlier holder has not lapsed; the witness no longer renews it.
    Outstanding {
        /// The time until it lapses, in microseconds.
        remaining_us: u64,
    },
    /// The witness promised a later epoch or knows a later set.
    Superseded {
        /// The lowest epoch that the witness still grants.
        promised: LeaseEpoch,
        /// The newest record that the witness has seen.
        newest: Option<Box<LeaseRecord>>,
    },
    /// The witness restarted and has not yet recovered its promises.
    Recovering,
    /// The witness is not a member of the set.
    NotMember,
}

/// `HolderChange` tells a holder which epoch its first grant by a witness follows.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HolderChange {
    /// The slice that was granted.
    pub slice: SliceId,
    /// The new epoch, which the witness has granted for the first time.
    pub epoch: LeaseEpoch,
    /// The epoch of the last grant to another holder; zero when there was none.
    pub followed: LeaseEpoch,
}

/// `SilentSlice` is a slice whose holder a witness has not heard from.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SilentSlice {
    /// The newest record that the witness has seen.
    pub record: LeaseRecord,
    /// The lowest epoch that the witness still grants.
    pub promised: LeaseEpoch,
}

/// `SliceMemory` is what a member remembers of a slice for another one that restarted.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceMemory {
    /// The slice that the restarted member asked about.
    pub slice: SliceId,
    /// Whether the member remembers its promises; false when it has itself restarted since.
    pub remembers: bool,
    /// The lowest epoch that the member still grants.
    pub promised: LeaseEpoch,
    /// The newest record that the member has seen.
    pub newest: Option<LeaseRecord>,
}
