//! The configuration that a node has in force.
//!
//! A node takes configurations up in the order of their versions and never goes back. A started
//! daemon remembers nothing, so it takes nothing up before it has read the platform. When the
//! platform stays out of reach, it accepts the newest configuration that several peers have in
//! force, once the time has passed in which every accepted configuration reaches every node.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, mem, time::Duration};
use wagtail_core::{ids::NodeName, service::ConfigDocument, units::LocalMoment};

/// `KeeperOptions` sets how a started node trusts its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeeperOptions {
    /// The time after the start from which peers are believed while the platform is out of
    /// reach. It is no shorter than the time in which a configuration reaches every node.
    pub peers_after: Duration,
    /// The peers that must have told their configuration by then.
    pub peers_needed: usize,
}

impl Default for KeeperOptions {
    fn default() -> Self {
        Self {
            peers_after: Duration::from_secs(17),
            peers_needed: 3,
        }
    }
}

/// `KeeperEvent` is what reaches a [`ConfigKeeper`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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
    /// Time has passed.
    Tick,
}

/// `KeeperAction` is what a [`ConfigKeeper`] asks of its daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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
    /// The platform holds an older configuration than the one in force, which stays.
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
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigKeeper {
    options: KeeperOptions,
    started: LocalMoment,
    state: KeeperState,
    document: ConfigDocument,
    offers: BTreeMap<NodeName, u64>,
    candidate: ConfigDocument,
}

/// `KeeperState` tells how far a node has learnt the configuration since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeeperState {
    /// Nothing is in force yet.
    Starting,
    /// The configuration comes from peers; the platform was not read since the start.
    FromPeers,
    /// The platform was read since the start.
    Confirmed,
}

impl ConfigKeeper {
    /// Makes the keeper of a daemon that starts now.
    pub fn new(started: LocalMoment) -> Self {
        Self {
            options: KeeperOptions::default(),
            started,
            state: KeeperState::Starting,
            document: ConfigDocument::default(),
            offers: BTreeMap::new(),
            candidate: ConfigDocument::default(),
        }
    }

    /// Sets the options.
    #[must_use]
    pub fn with_options(mut self, options: KeeperOptions) -> Self {
        self.options = options;
        self
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
    pub fn handle(&mut self, now: LocalMoment, event: KeeperEvent) -> Vec<KeeperAction> {
        match event {
            KeeperEvent::PlatformRead { document } => self.on_platform(document),
            KeeperEvent::PlatformFailed | KeeperEvent::Tick => self.believe_peers(now),
            KeeperEvent::Accepted { document } => self.take(document),
            KeeperEvent::PeerVersion { peer, version } => self.on_peer_version(peer, version),
            KeeperEvent::PeerDocument { peer, document } => {
                self.on_peer_document(now, peer, document)
            }
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

        let first = self.state != KeeperState::Confirmed;
        self.state = KeeperState::Confirmed;
        self.offers.clear();
        let candidate = mem::take(&mut self.candidate);

        // The read may be older than what a peer took up since.
        if candidate.version > document.version {
            return self.take(candidate);
        }
        if first && document.version == self.document.version && document == self.document {
            return vec![KeeperAction::PutInForce { document }];
        }

        self.take(document)
    }

    /// Compares the version of a peer with the one in force.
    fn on_peer_version(&mut self, peer: NodeName, version: u64) -> Vec<KeeperAction> {
        let known = self.document.version.max(self.candidate.version);

        if self.state == KeeperState::Starting {
            self.offers.insert(peer.clone(), version);
        }

        if version > known {
            vec![KeeperAction::FetchFromPeer { peer, version }]
        } else if version < self.document.version {
            vec![KeeperAction::SendToPeer { peer }]
        } else {
            Vec::new()
        }
    }

    /// Takes the configuration of a peer, or keeps it until the platform has been read.
    fn on_peer_document(
        &mut self,
        now: LocalMoment,
        peer: NodeName,
        document: ConfigDocument,
    ) -> Vec<KeeperAction> {
        if self.state != KeeperState::Starting {
            return self.take(document);
        }

        self.offers.insert(peer, document.version);

        if document.version > self.candidate.version {
            self.candidate = document;
        }

        self.believe_peers(now)
    }

    /// Takes the newest configuration of the peers once enough of them were heard for long
    /// enough; reads the platform otherwise.
    fn believe_peers(&mut self, now: LocalMoment) -> Vec<KeeperAction> {
        if self.state != KeeperState::Starting {
            return Vec::new();
        }

        let waited = now.since(self.started) >= self.options.peers_after;
        let heard = self.offers.len() >= self.options.peers_needed;
        // A peer whose newer document has not arrived yet is waited for.
        let newest = self.offers.values().copied().max().unwrap_or(0);
        let complete = self.candidate.version > 0 && newest <= self.candidate.version;

        if waited && heard && complete {
            self.state = KeeperState::FromPeers;
            self.offers.clear();
            let candidate = mem::take(&mut self.candidate);

            return self.take(candidate);
        }

        vec![KeeperAction::ReadPlatform]
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
