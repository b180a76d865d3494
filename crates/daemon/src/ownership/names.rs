//! Sharing of the node names in lease records.

use std::collections::BTreeSet;
use wagtail_core::{ids::NodeName, lease::LeaseRecord};

/// `NameInterner` keeps one copy of each node name for all lease records, as a fleet has few nodes
/// and many records.
#[derive(Debug, Default)]
pub struct NameInterner {
    names: BTreeSet<NodeName>,
}

impl NameInterner {
    /// Replaces the node names of a record by the shared copies.
    pub fn share(&mut self, record: &mut LeaseRecord) {
        let owner = &mut record.owner.name;
        let replaced = record
            .replaced
            .iter_mut()
            .flat_map(|set| set.members.iter_mut());
        let names = record
            .members
            .iter_mut()
            .chain(&mut record.deputies)
            .chain(replaced);

        for name in names.chain([owner]) {
            *name = self.shared(name);
        }
    }

    /// Returns the shared copy of a name, which is the given one if the name is new.
    fn shared(&mut self, name: &NodeName) -> NodeName {
        if let Some(shared) = self.names.get(name) {
            return shared.clone();
        }
        self.names.insert(name.clone());

        name.clone()
    }
}
