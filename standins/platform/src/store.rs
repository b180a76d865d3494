//! The versioned values.

use std::{collections::BTreeMap, ops::Bound, sync::Arc};
use wagtail_core::{
    CoreError, Result,
    ports::{StoredValue, WatchBatch},
};

/// `ObjectStore` holds the values, whose versions are revisions of the whole store.
#[derive(Debug, Clone, Default)]
pub struct ObjectStore {
    /// The revision of the last write.
    revision: u64,
    /// The values by key. An empty value marks an absent one.
    values: BTreeMap<Arc<str>, StoredValue>,
}

impl ObjectStore {
    /// Makes an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a value, or nothing when it is absent.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        self.values.get(key).filter(|value| !value.value.is_empty())
    }

    /// Returns the values under a prefix.
    pub fn list(&self, prefix: &str) -> WatchBatch {
        let present = |value: &&StoredValue| !value.value.is_empty();

        WatchBatch {
            revision: self.revision,
            changed: self.under(prefix).filter(present).cloned().collect(),
        }
    }

    /// Returns the values under a prefix that changed after a revision, oldest first. A value
    /// that became empty is among them.
    pub fn changes(&self, prefix: &str, revision: u64) -> WatchBatch {
        let mut changed: Vec<StoredValue> = self
            .under(prefix)
            .filter(|value| value.version > revision)
            .cloned()
            .collect();
        changed.sort_by_key(|value| value.version);

        WatchBatch {
            revision: self.revision,
            changed,
        }
    }

    /// Writes a value if its version is still `expected`, where zero means absent.
    ///
    /// # Errors
    ///
    /// Returns [`CoreError::VersionConflict`] when the version differs.
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

    /// Returns all values under a prefix, the empty ones too.
    fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a StoredValue> {
        self.values
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(_, value)| value)
    }
}
