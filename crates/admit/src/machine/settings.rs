//! Changes of the settings while the machine runs.

use crate::{machine::AdmitMachine, options::AdmitOptions};

impl AdmitMachine {
    /// Applies new settings and returns whether they are fully in force.
    ///
    /// Fewer slots hold back new requests at once. The other settings follow as soon as no more
    /// requests run than there are slots, so after `false` the caller tries again later.
    pub fn set_options(&mut self, options: AdmitOptions) -> bool {
        if options == self.options {
            return true;
        }
        self.limit.set_max_slots(options.max_running());

        if self.running.len() > options.max_running() as usize {
            return false;
        }
        self.options = options;

        true
    }
}
