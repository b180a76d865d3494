//! The object store of the platform.
//!
//! Objects are grouped by kind. Each change raises the revision of the store, which conditional
//! writes and watches refer to. A store that returns from an older copy begins a new era, in which the
//! lost revision numbers are given out again.

use crate::{ports::LocalFuture, verdict::RunVerdict};
use serde::{Deserialize, Serialize};
use std::{
    fmt::{self, Debug, Display, Formatter},
    sync::Arc,
    time::Duration,
};
use thiserror::Error;

/// `Result` is the result of a call to the object store.
pub type Result<T, E = StoreError> = std::result::Result<T, E>;

/// `StoreRevision` is a state of the store. The order of the fields orders all states: whatever
/// belongs to a later era is newer, whatever its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoreRevision {
    /// The number of times that the store has returned from an older copy.
    pub era: u64,
    /// The number of the revision within the era. An era begins with the number of its copy.
    pub number: u64,
}

impl StoreRevision {
    /// The state before the first revision.
    pub const ZERO: Self = Self::new(0, 0);

    /// Creates the revision with a number in an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl Display for StoreRevision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// `StoredObject` is an object as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredObject {
    /// The name, unique within the kind.
    pub name: Arc<str>,
    /// The revision of the store at which the object last changed.
    pub revision: StoreRevision,
    /// The content, encoded as JSON.
    pub content: Arc<str>,
}

/// `ObjectList` is a snapshot of all objects of a kind.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ObjectList {
    /// All objects of the kind.
    pub objects: Vec<StoredObject>,
    /// The revision of the store at which the snapshot was taken.
    pub revision: StoreRevision,
}

/// `ObjectChange` is a change of one object, as a watch reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectChange {
    /// The object after the change, or its last state before it was deleted.
    pub object: StoredObject,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// `ObjectChanges` is the batch of changes that one watch call returns.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ObjectChanges {
    /// The changes, oldest first; empty when the call timed out without one.
    pub changes: Vec<ObjectChange>,
    /// The revision to pass to the next watch call.
    pub revision: StoreRevision,
}

/// `StoreError` is the reason why a call to the object store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum StoreError {
    /// The revision of the object is not the expected one, or the object exists already.
    #[error("revision conflict")]
    Conflict {
        /// The object as the store holds it, when the store returned it.
        current: Option<Box<StoredObject>>,
    },
    /// No object with this name exists.
    #[error("object does not exist")]
    Absent,
    /// The store has discarded the history after the watched revision. The watcher has to list the
    /// kind again.
    #[error("the history after the revision is gone")]
    HistoryGone,
    /// The call was refused and had no effect.
    #[error("refused: {reason}")]
    Refused {
        /// The HTTP status, or why the call could not be sent.
        reason: Arc<str>,
    },
    /// No valid response was received. A write may have taken effect, or may still do so.
    #[error("no answer: {reason}")]
    NoAnswer {
        /// The cause of the failure.
        reason: Arc<str>,
    },
}

impl StoreError {
    /// Creates the error of a call that had no effect.
    pub fn refused(reason: impl Into<Arc<str>>) -> Self {
        Self::Refused {
            reason: reason.into(),
        }
    }

    /// Creates the error of a call whose outcome is unknown.
    pub fn no_answer(reason: impl Into<Arc<str>>) -> Self {
        Self::NoAnswer {
            reason: reason.into(),
        }
    }

    /// Returns whether the call may have taken effect.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::NoAnswer { .. } => RunVerdict::Unknown,
            Self::Conflict { .. } | Self::Absent | Self::HistoryGone | Self::Refused { .. } => {
                RunVerdict::NotRun
            }
        }
    }

    /// Returns whether the store itself responded with this error, which proves that the store is
    /// reachable.
    pub fn is_answer(&self) -> bool {
        matches!(
            self,
            Self::Conflict { .. } | Self::Absent | Self::HistoryGone
        )
    }
}

/// `ObjectStore` is a client of the platform's object store. Reads are linearizable.
pub trait ObjectStore: Debug {
    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Absent`] when the object does not exist.
    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> LocalFuture<'a, Result<StoredObject>>;

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// Fails when the store is unreachable or refuses the call.
    fn list<'a>(&'a self, kind: &'a str) -> LocalFuture<'a, Result<ObjectList>>;

    /// Waits up to `wait` for changes to objects of a kind after `revision`.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::HistoryGone`] when the store has discarded the changes after
    /// `revision`.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        revision: StoreRevision,
        wait: Duration,
    ) -> LocalFuture<'a, Result<ObjectChanges>>;

    /// Creates an object and returns the revision of the write.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Conflict`] when an object with this name exists.
    fn create<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        content: &'a str,
    ) -> LocalFuture<'a, Result<StoreRevision>>;

    /// Replaces the content of an object if it is still at `revision`, and returns the revision of
    /// the write.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Conflict`] when the object is at another revision.
    fn replace<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: StoreRevision,
        content: &'a str,
    ) -> LocalFuture<'a, Result<StoreRevision>>;

    /// Deletes an object.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Absent`] when the object does not exist.
    fn delete<'a>(&'a self, kind: &'a str, name: &'a str) -> LocalFuture<'a, Result<()>>;
}
