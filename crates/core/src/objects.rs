//! The object store of the platform: kinds, revisions, conditional writes and watches.

use crate::{ports::LocalFuture, verdict::RunVerdict};
use serde::{Deserialize, Serialize};
use std::{fmt::Debug, sync::Arc, time::Duration};
use thiserror::Error;

/// `Result` is the result of a call to the object store.
pub type Result<T, E = StoreError> = std::result::Result<T, E>;

/// `StoredObject` is one object of a kind.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredObject {
    /// The name, unique in its kind.
    pub name: Arc<str>,
    /// The revision of the store at the object's last change.
    pub revision: u64,
    /// The content, a JSON text.
    pub content: Arc<str>,
}

/// `ObjectList` is every object of a kind at one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ObjectList {
    /// The objects.
    pub objects: Vec<StoredObject>,
    /// The revision of the store at which the list was made.
    pub revision: u64,
}

/// `ObjectChange` is one change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectChange {
    /// The object after the change, or its last state when it was deleted.
    pub object: StoredObject,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// `ObjectChanges` is what a watch returns.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ObjectChanges {
    /// The changes, oldest first; empty when the wait ended.
    pub changes: Vec<ObjectChange>,
    /// The revision from which the next watch continues.
    pub revision: u64,
}

/// `StoreError` is why a call to the object store failed.
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
    /// There is no object of that name.
    #[error("no such object")]
    Absent,
    /// The history after the watched revision was discarded; a list starts over.
    #[error("the history after the revision is gone")]
    HistoryGone,
    /// The store refused the call and did nothing.
    #[error("refused: {reason}")]
    Refused {
        /// The status or the failure.
        reason: Arc<str>,
    },
    /// No answer came; a write may have taken effect, or may yet.
    #[error("no answer: {reason}")]
    NoAnswer {
        /// What failed.
        reason: Arc<str>,
    },
}

impl StoreError {
    /// Makes the error of a call that the store did not carry out.
    pub fn refused(reason: impl Into<Arc<str>>) -> Self {
        Self::Refused {
            reason: reason.into(),
        }
    }

    /// Makes the error of a call whose outcome is unknown.
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

    /// Returns whether the store itself answered, so that it is within reach.
    pub fn is_answer(&self) -> bool {
        matches!(
            self,
            Self::Conflict { .. } | Self::Absent | Self::HistoryGone
        )
    }
}

/// `ObjectStore` is the platform's store of objects. Reads are linearizable.
pub trait ObjectStore: Debug {
    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Absent`] when there is none.
    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> LocalFuture<'a, Result<StoredObject>>;

    /// Reads every object of a kind.
    ///
    /// # Errors
    ///
    /// Fails when the store is out of reach or refuses the call.
    fn list<'a>(&'a self, kind: &'a str) -> LocalFuture<'a, Result<ObjectList>>;

    /// Waits for changes of a kind after a revision.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::HistoryGone`] when the changes are not kept any more.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        revision: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<ObjectChanges>>;

    /// Creates an object and returns its revision.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Conflict`] when the name is taken.
    fn create<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        content: &'a str,
    ) -> LocalFuture<'a, Result<u64>>;

    /// Replaces the content of an object that is still at `revision` and returns the new one.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Conflict`] when the object has changed.
    fn replace<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        revision: u64,
        content: &'a str,
    ) -> LocalFuture<'a, Result<u64>>;

    /// Deletes an object.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Absent`] when there is none.
    fn delete<'a>(&'a self, kind: &'a str, name: &'a str) -> LocalFuture<'a, Result<()>>;
}
