//! The configuration that a node has in force.
//!
//! A node takes configurations up in the order of their versions and never goes back. A started
//! daemon remembers nothing, so it takes nothing up before it has read the platform: during an
//! outage its peers may not know yet what this node had in force before it stopped.

use serde::{Deserialize, Serialize};
use std::mem;
use wagtail_core::{ids::NodeName, service::ConfigDocument};

/// `KeeperEvent` is what reaches a [`ConfigKeeper`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum KeeperEvent {
    /// The platform told its configuration; nothing when the value is absent.
    PlatformRead {
        /// The configuration.
        document: Option<ConfigDocument>,
    },
    /// The platform did not answer.
    PlatformFailed,
    /// A confirmation that this node drove was accepted by the platform.
    Accepted {
        /// The accepted configuration.
        document: ConfigDocument,
    },
    /// A peer told the version that it has in force.
    PeerVersion {
        /// The peer.
        peer: NodeName,
        /// Its version.
        version: u64,
    },
    /// A peer sent the configuration that it has in force.
    PeerDocument {
        /// The peer.
        peer: NodeName,
        /// Its configuration.
        document: ConfigDocument,
    },
}

/// `KeeperAction` is what a [`ConfigKeeper`] asks of its daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum KeeperAction {
    /// The configuration is in force from now on.
    PutInForce {
        /// The configuration.
        document: ConfigDocument,
    },
    /// A peer has a newer configuration; it is to be asked for the document.
    FetchFromPeer {
        /// The peer.
        peer: NodeName,
        /// The version that the peer told.
        version: u64,
    },
    /// A peer has an older configuration; it is to be sent the document in force.
    SendToPeer {
        /// The peer.
        peer: NodeName,
    },
    /// The platform is to be read.
    ReadPlatform,
    /// The platform told an older configuration than the one in force, which stays. A late answer
    /// does so too; only reports that go on need attention.
    ReportReverted {
        /// The version in the platform.
        found: u64,
    },
    /// A source has another configuration under the version in force, which stays.
    ReportMismatch {
        /// The version.
        version: u64,
    },
}

/// `ConfigKeeper` holds the configuration in force at one node; its version only grows.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ConfigKeeper {
    state: KeeperState,
    document: ConfigDocument,
    candidate: ConfigDocument,
}

/// `KeeperState` tells how far a node has learnt the configuration since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeeperState {
    /// Nothing is in force yet.
    Starting,
    /// The platform was read since the start.
    Confirmed,
}

impl Default for ConfigKeeper {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigKeeper {
    /// Makes the keeper of a daemon that starts.
    pub fn new() -> Self {
        Self {
            state: KeeperState::Starting,
            document: ConfigDocument::default(),
            candidate: ConfigDocument::default(),
        }
    }

    /// Returns the configuration in force; version zero while nothing is.
    pub fn document(&self) -> &ConfigDocument {
        &self.document
    }

    /// Returns how far the node has learnt the configuration since its start.
    pub fn state(&self) -> KeeperState {
        self.state
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, event: KeeperEvent) -> Vec<KeeperAction> {
        match event {
            KeeperEvent::PlatformRead { document } => self.on_platform(document),
            KeeperEvent::PlatformFailed => self.ask_platform(),
            KeeperEvent::Accepted { document } => self.on_accepted(document),
            KeeperEvent::PeerVersion { peer, version } => self.on_peer_version(peer, version),
            KeeperEvent::PeerDocument { document, .. } => self.on_peer_document(document),
        }
    }

    /// Takes what the platform told.
    fn on_platform(&mut self, document: Option<ConfigDocument>) -> Vec<KeeperAction> {
        let document = document.unwrap_or_default();

        if document.version < self.document.version {
            return vec![KeeperAction::ReportReverted {
                found: document.version,
            }];
        }

        self.state = KeeperState::Confirmed;
        let candidate = mem::take(&mut self.candidate);

        // The read may be older than what a peer took up since.
        if candidate.version > document.version {
            self.take(candidate)
        } else {
            self.take(document)
        }
    }

    /// Takes what the platform accepted from this node, which is as good as a read.
    fn on_accepted(&mut self, document: ConfigDocument) -> Vec<KeeperAction> {
        if document.version < self.document.version {
            return Vec::new();
        }

        self.on_platform(Some(document))
    }

    /// Compares the version of a peer with the one in force.
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

    /// Takes the configuration of a peer, or keeps it until the platform has been read.
    fn on_peer_document(&mut self, document: ConfigDocument) -> Vec<KeeperAction> {
        if self.state == KeeperState::Confirmed {
            return self.take(document);
        }

        if document.version > self.candidate.version {
            self.candidate = document;
        }

        self.ask_platform()
    }

    /// Asks for the platform to be read as long as it was not since the start.
    fn ask_platform(&self) -> Vec<KeeperAction> {
        match self.state {
            KeeperState::Starting => vec![KeeperAction::ReadPlatform],
            KeeperState::Confirmed => Vec::new(),
        }
    }

    /// Puts a newer configuration in force and refuses every other.
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
