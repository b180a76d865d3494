//! The change of settings while the machine runs.

use crate::{machine::AdmitMachine, options::AdmitOptions};

impl AdmitMachine {
    /// Takes new settings over and returns whether they are whole in force.
    ///
    /// Fewer slots hold back new orders at once. The settings follow when no more orders run than
    /// there are slots, so that the caller asks again later.
    pub fn set_options(&mut self, options: AdmitOptions) -> bool {
        if options == self.options {
            return true;
        }
        self.limit.set_most(options.max_running());

        if self.running.len() > options.max_running() as usize {
            return false;
        }
        self.options = options;

        true
    }
}
