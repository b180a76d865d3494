//! The assignment tables in the store.

use wagtail_core::objects::{StoreRevision, StoredObject};
use wagtail_shard::table::RangeTable;

/// The prefix of the names of objects that hold an assignment table.
pub(crate) const TABLE_PREFIX: &str = "ranges.";

/// `VersionedTable` is an assignment table with the revision of its stored object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedTable {
    /// The revision of the object that holds the table.
    pub revision: StoreRevision,
    /// The assignment of key ranges to targets.
    pub table: RangeTable,
}

/// Returns the name of the object that holds the assignment table of a service.
pub fn table_name(service: &str) -> String {
    format!("{TABLE_PREFIX}{service}")
}

/// Parses and validates the assignment table in an object.
///
/// # Errors
///
/// Returns the reason if the content cannot be parsed, if its rows overlap or leave gaps, or if it was
/// written for a later era than the store states.
pub fn read_table(object: &StoredObject) -> std::result::Result<RangeTable, String> {
    let table: RangeTable =
        serde_json::from_str(&object.content).map_err(|error| error.to_string())?;

    if !table.is_sound() {
        return Err("the rows do not cover all keys once".to_owned());
    }
    if table.written_era() > object.revision.era {
        return Err(format!(
            "the table is of era {}, the store states era {}",
            table.written_era(),
            object.revision.era
        ));
    }

    Ok(table)
}
