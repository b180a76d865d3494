//! Which heartbeats come from the target of a node.
//!
//! The address for heartbeats may also be reached by other writers, whose messages look like heartbeats. The first
//! heartbeat of a run ends the run before it and frees its keys, so a message of another writer must not
//! count as one.

use std::sync::Arc;
use thiserror::Error;
use wagtail_core::heartbeat::TargetHeartbeat;

/// `Result` is the result of a check of the sender.
pub type Result<T, E = SenderMismatch> = std::result::Result<T, E>;

/// `SenderMismatch` is the reason why a heartbeat does not come from the expected target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum SenderMismatch {
    /// It names another service.
    #[error("the target of this node does not serve {0}")]
    Service(Arc<str>),
    /// It names another address.
    #[error("the target of this node is not at {0}")]
    Address(Arc<str>),
    /// It lacks the lists of ranges that a target of a keyed service always sends.
    #[error("the lists of held and released ranges are missing")]
    MissingRanges,
}

/// `ExpectedTarget` is the target that a node serves, as its settings state it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpectedTarget {
    service: Arc<str>,
    address: Arc<str>,
}

impl ExpectedTarget {
    /// Creates the description of the target of a service at an address.
    pub fn new(service: Arc<str>, address: Arc<str>) -> Self {
        Self { service, address }
    }

    /// Checks that a heartbeat comes from this target. `is_keyed` tells whether its service is keyed.
    ///
    /// # Errors
    ///
    /// Fails when the heartbeat names another service or address, or lacks the ranges of a keyed service.
    pub fn check(&self, heartbeat: &TargetHeartbeat, is_keyed: bool) -> Result<()> {
        if heartbeat.service != self.service {
            return Err(SenderMismatch::Service(Arc::clone(&heartbeat.service)));
        }
        if heartbeat.address != self.address {
            return Err(SenderMismatch::Address(Arc::clone(&heartbeat.address)));
        }
        if is_keyed && !heartbeat.reports_ranges {
            return Err(SenderMismatch::MissingRanges);
        }

        Ok(())
    }
}
