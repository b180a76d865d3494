//! What the stored objects of the fleet contain: node records and assignment tables.

use crate::{
    node_record::{NodeRecord, recorded_node},
    versioned_table::{TABLE_PREFIX, VersionedTable, read_table},
};
use std::sync::Arc;
use wagtail_core::objects::StoredObject;

/// `Result` is the result of reading an entry; the error is the reason for the log.
pub(crate) type Result<T, E = Arc<str>> = std::result::Result<T, E>;

/// `FleetEntry` is the content of a stored object of the fleet.
#[derive(Debug)]
pub(crate) enum FleetEntry {
    /// The record of a node.
    Node(NodeRecord),
    /// The assignment table of a service.
    Table(Arc<str>, VersionedTable),
}

impl FleetEntry {
    /// Reads an object, which any writer may have written.
    ///
    /// # Errors
    ///
    /// Fails when the name is not that of an entry, the content cannot be read, a record belongs to another node
    /// than the name states, or a table is not sound.
    pub(crate) fn read(object: &StoredObject) -> Result<Self> {
        if let Some(node) = recorded_node(&object.name) {
            let record: NodeRecord = serde_json::from_str(&object.content)
                .map_err(|error| Arc::<str>::from(error.to_string()))?;
            if &*record.node != node {
                return Err(Arc::from(format!("the record is that of {}", record.node)));
            }
            return Ok(Self::Node(record));
        }
        let service = object
            .name
            .strip_prefix(TABLE_PREFIX)
            .ok_or("the name is neither that of a node nor of a table")?;
        let table = read_table(object)?;

        Ok(Self::Table(
            Arc::from(service),
            VersionedTable {
                revision: object.revision,
                table,
            },
        ))
    }
}
