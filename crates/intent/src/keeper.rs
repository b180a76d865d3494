//! The configuration in force at a node.
//!
//! A node applies configurations in the order of their versions and never reverts to an older one.
//! A daemon keeps no configuration over a restart, so it applies none before it has read the
//! platform: during an outage its peers may not yet have the version that this node had in force
//! before it stopped.

use serde::{Deserialize, Serialize};
use std::mem;
use wagtail_core::{ids::NodeName, service::ConfigDocument};

/// `KeeperEvent` is an input of a [`ConfigKeeper`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum KeeperEvent {
    /// The platform was read.
    PlatformRead {
        /// The stored configuration; `None` when the platform stores none.
        document: Option<ConfigDocument>,
    },
    /// The platform did not respond.
    PlatformFailed,
    /// The platform accepted a configuration that this node wrote for a confirmation.
    Accepted {
        /// The configuration as it was written.
        document: ConfigDocument,
    },
    /// A peer announced the version that it has in force.
    PeerVersion {
        /// The name of the peer.
        peer: NodeName,
        /// The version in force at the peer.
        version: u64,
    },
    /// A peer sent the configuration that it has in force.
    PeerDocument {
        /// The name of the peer.
        peer: NodeName,
        /// The configuration in force at the peer.
        document: ConfigDocument,
    },
}

/// `KeeperAction` is what the daemon must do for a [`ConfigKeeper`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum KeeperAction {
    /// Apply the configuration, which is in force from now on.
    PutInForce {
        /// The configuration to apply.
        document: ConfigDocument,
    },
    /// Request the configuration from a peer that has a newer one.
    FetchFromPeer {
        /// The name of the peer.
        peer: NodeName,
        /// The version that the peer announced.
        version: u64,
    },
    /// Send the configuration in force to a peer that has an older one.
    SendToPeer {
        /// The name of the peer.
        peer: NodeName,
    },
    /// Read the configuration from the platform.
    ReadPlatform,
    /// Report that the platform returned an older configuration than the one in force, which
    /// stays. A delayed response causes this too, so only repeated reports need attention.
    ReportReverted {
        /// The version that the platform returned.
        found: u64,
    },
    /// Report that the platform or a peer has a different configuration with the version in force.
    /// The one in force stays.
    ReportMismatch {
        /// The version that both configurations have.
        version: u64,
    },
}

/// `ConfigKeeper` holds the configuration in force at one node. Its version never decreases.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ConfigKeeper {
    state: KeeperState,
    document: ConfigDocument,
    candidate: ConfigDocument,
}

/// `KeeperState` tells whether a node has read the platform since its daemon started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeeperState {
    /// The platform was not read yet, and no configuration is in force.
    Starting,
    /// The platform was read, or accepted a configuration of this node.
    Confirmed,
}

impl Default for ConfigKeeper {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigKeeper {
    /// Creates the keeper of a daemon that starts, with no configuration in force.
    pub fn new() -> Self {
        Self {
            state: KeeperState::Starting,
            document: ConfigDocument::default(),
            candidate: ConfigDocument::default(),
        }
    }

    /// Returns the configuration in force; its version is zero while there is none.
    pub fn document(&self) -> &ConfigDocument {
        &self.document
    }

    /// Returns whether the platform was read since the daemon started.
    pub fn state(&self) -> KeeperState {
        self.state
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, event: KeeperEvent) -> Vec<KeeperAction> {
        match event {
            KeeperEvent::PlatformRead { document } => self.on_platform_read(document),
            KeeperEvent::PlatformFailed => self.request_platform_read(),
            KeeperEvent::Accepted { document } => self.on_accepted(document),
            KeeperEvent::PeerVersion { peer, version } => self.on_peer_version(peer, version),
            KeeperEvent::PeerDocument { document, .. } => self.on_peer_document(document),
        }
    }

    /// Handles the configuration that the platform returned.
    fn on_platform_read(&mut self, document: Option<ConfigDocument>) -> Vec<KeeperAction> {
        let document = document.unwrap_or_default();

        if document.version < self.document.version {
            return vec![KeeperAction::ReportReverted {
                found: document.version,
            }];
        }

        self.state = KeeperState::Confirmed;
        let candidate = mem::take(&mut self.candidate);

        // A peer may have applied a newer configuration since the platform was read.
        if candidate.version > document.version {
            self.take(candidate)
        } else {
            self.take(document)
        }
    }

    /// Handles a configuration of this node that the platform accepted, which counts as a read.
    fn on_accepted(&mut self, document: ConfigDocument) -> Vec<KeeperAction> {
        if document.version < self.document.version {
            return Vec::new();
        }

        self.on_platform_read(Some(document))
    }

    /// Compares the version of a peer with the one in force, and fetches or sends the newer one.
    fn on_peer_version(&mut self, peer: NodeName, version: u64) -> Vec<KeeperAction> {
        let known = self.document.version.max(self.candidate.version);

        if version > known {
            vec![KeeperAction::FetchFromPeer { peer, version }]
        } else if version < self.document.version {
            vec![KeeperAction::SendToPeer { peer }]
        } else {
            Vec::new()
        }
    }

    /// Applies the configuration of a peer, or keeps it as candidate until the platform was read.
    fn on_peer_document(&mut self, document: ConfigDocument) -> Vec<KeeperAction> {
        if self.state == KeeperState::Confirmed {
            return self.take(document);
        }

        if document.version > self.candidate.version {
            self.candidate = document;
        }

        self.request_platform_read()
    }

    /// Requests a read of the platform unless one has succeeded since the start.
    fn request_platform_read(&self) -> Vec<KeeperAction> {
        match self.state {
            KeeperState::Starting => vec![KeeperAction::ReadPlatform],
            KeeperState::Confirmed => Vec::new(),
        }
    }

    /// Applies a newer configuration, and reports a different one of the version in force.
    fn take(&mut self, document: ConfigDocument) -> Vec<KeeperAction> {
        if document.version > self.document.version {
            self.document = document.clone();

            return vec![KeeperAction::PutInForce { document }];
        }

        if document.version == self.document.version && document != self.document {
            return vec![KeeperAction::ReportMismatch {
                version: document.version,
            }];
        }

        Vec::new()
    }
}
