//! The store of versioned values.

use std::{collections::BTreeMap, ops::Bound, sync::Arc};
use wagtail_core::{
    CoreError, Result,
    ports::{StoredValue, WatchBatch},
};

/// `ObjectStore` holds values by key. The version of a value is the revision of the store that
/// wrote it.
#[derive(Debug, Clone, Default)]
pub struct ObjectStore {
    /// The revision of the last write.
    revision: u64,
    /// The values by key. An empty value stands for a deleted one.
    values: BTreeMap<Arc<str>, StoredValue>,
}

impl ObjectStore {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a value, or `None` when it is absent or empty.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        self.values.get(key).filter(|value| !value.value.is_empty())
    }

    /// Returns the values whose keys start with a prefix, without empty ones.
    pub fn list(&self, prefix: &str) -> WatchBatch {
        let present = |value: &&StoredValue| !value.value.is_empty();

        WatchBatch {
            revision: self.revision,
            changed: self
                .values_with_prefix(prefix)
                .filter(present)
                .cloned()
                .collect(),
        }
    }

    /// Returns the values under a prefix that changed after a revision, oldest first, including
    /// those that became empty.
    pub fn changes(&self, prefix: &str, revision: u64) -> WatchBatch {
        let mut changed: Vec<StoredValue> = self
            .values_with_prefix(prefix)
            .filter(|value| value.version > revision)
            .cloned()
            .collect();
        changed.sort_by_key(|value| value.version);

        WatchBatch {
            revision: self.revision,
            changed,
        }
    }

    /// Writes a value if its current version is `expected`, where zero means absent, and returns
    /// the new version.
    ///
    /// # Errors
    ///
    /// Returns [`CoreError::VersionConflict`] when the current version differs.
    pub fn update(&mut self, key: &str, value: &str, expected: u64) -> Result<u64> {
        let found = self.get(key).map_or(0, |stored| stored.version);

        if found != expected {
            return Err(CoreError::VersionConflict { expected, found });
        }

        self.revision += 1;
        let stored = StoredValue {
            key: Arc::from(key),
            version: self.revision,
            value: Arc::from(value),
        };
        self.values.insert(Arc::from(key), stored);

        Ok(self.revision)
    }

    /// Returns all values whose keys start with a prefix, including empty ones.
    fn values_with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a StoredValue> {
        self.values
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(_, value)| value)
    }
}
