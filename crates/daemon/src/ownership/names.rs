//! One copy of each name that many records hold.

use std::collections::BTreeSet;
use wagtail_core::{ids::NodeName, lease::LeaseRecord};

/// `NameInterner` shares names between records; a fleet has few nodes and many records.
#[derive(Debug, Default)]
pub struct NameInterner {
    names: BTreeSet<NodeName>,
}

impl NameInterner {
    /// Replaces the names of a record by the shared copies.
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

    /// Returns the shared copy of a name.
    fn shared(&mut self, name: &NodeName) -> NodeName {
        if let Some(shared) = self.names.get(name) {
            return shared.clone();
        }
        self.names.insert(name.clone());

        name.clone()
    }
}
