//! The records of the nodes, by name and by the service of their targets.

use crate::node_record::NodeRecord;
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    sync::Arc,
};

/// `NodeIndex` holds the latest record of each node. Requests look up the nodes of a service much more often than
/// records change, so their lists are kept.
#[derive(Debug, Default)]
pub(crate) struct NodeIndex {
    records: BTreeMap<Arc<str>, Rc<NodeRecord>>,
    services: HashMap<Arc<str>, Rc<[Rc<NodeRecord>]>>,
}

impl NodeIndex {
    /// Inserts a record, in place of an earlier one of the same node.
    pub(crate) fn insert(&mut self, record: NodeRecord) {
        let record = Rc::new(record);
        let previous = self
            .records
            .insert(Arc::clone(&record.node), Rc::clone(&record));

        if let Some(previous) = previous.filter(|previous| previous.service != record.service) {
            self.list(&previous.service);
        }
        self.list(&record.service);
    }

    /// Removes the record of a node.
    pub(crate) fn remove(&mut self, node: &str) {
        if let Some(record) = self.records.remove(node) {
            self.list(&record.service);
        }
    }

    /// Returns the record of a node, or `None` if it is not known.
    pub(crate) fn get(&self, node: &str) -> Option<&Rc<NodeRecord>> {
        self.records.get(node)
    }

    /// Returns all records, in the order of the nodes' names.
    pub(crate) fn all(&self) -> Vec<Rc<NodeRecord>> {
        self.records.values().cloned().collect()
    }

    /// Returns the records of the nodes whose target belongs to a service, in the order of their names.
    pub(crate) fn of_service(&self, service: &str) -> Rc<[Rc<NodeRecord>]> {
        self.services.get(service).cloned().unwrap_or_default()
    }

    /// Lists the nodes of a service anew.
    fn list(&mut self, service: &Arc<str>) {
        let nodes: Rc<[_]> = self
            .records
            .values()
            .filter(|record| record.service == *service)
            .cloned()
            .collect();

        if nodes.is_empty() {
            self.services.remove(service);
        } else {
            self.services.insert(Arc::clone(service), nodes);
        }
    }
}
