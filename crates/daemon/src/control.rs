//! The control messages between the daemons.

use crate::{fleet::FleetCell, ownership::MemoryNotice};
use serde::{Deserialize, Serialize};
use std::{
    cell::RefCell,
    collections::{BTreeMap, btree_map::Entry},
    net::SocketAddr,
};
use tracing::warn;
use wagtail_assign::LoadMessage;
use wagtail_core::ids::{NodeIdentity, NodeName, ServiceName};
use wagtail_lease::LeaseMessage;
use wagtail_peer::{control::ControlSender, frame};

/// `ControlBody` is the content of a control message.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub enum ControlBody {
    /// A message between the lease machines.
    Lease(LeaseMessage),
    /// The request memory of a slice, from its former owner.
    Memory(MemoryNotice),
    /// The load of a target.
    Load {
        /// The service of the target.
        service: ServiceName,
        /// The load of the target.
        message: LoadMessage,
    },
}

/// `ControlMessage` is a control message with its sender.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ControlMessage {
    /// The name and incarnation of the sending daemon.
    pub from: NodeIdentity,
    /// The content of the message.
    pub body: ControlBody,
}

/// `PeerChannel` is the control connection to one peer.
#[derive(Debug)]
struct PeerChannel {
    address: SocketAddr,
    sender: ControlSender,
}

/// `ControlOutbox` sends control messages to the peers, over one connection to each.
#[derive(Debug)]
pub struct ControlOutbox {
    identity: NodeIdentity,
    fleet: FleetCell,
    channels: RefCell<BTreeMap<NodeName, PeerChannel>>,
}

impl ControlOutbox {
    /// Creates an outbox without connections.
    pub fn new(identity: NodeIdentity, fleet: FleetCell) -> Self {
        Self {
            identity,
            fleet,
            channels: RefCell::default(),
        }
    }

    /// Sends a message without waiting. A message to an unknown or unreachable peer is lost; the
    /// task that sends it repeats it.
    pub fn send(&self, to: &NodeName, body: ControlBody) {
        let Some(address) = self.fleet.load().nodes.get(to).map(|entry| entry.peers) else {
            return;
        };
        let message = ControlMessage {
            from: self.identity.clone(),
            body,
        };

        match frame::encode(&message) {
            Ok(frame) => {
                self.with_channel(to, address, |channel| {
                    channel.sender.send(frame);
                });
            }
            Err(error) => warn!(event = "control-unsendable", to = %to, %error),
        }
    }

    /// Calls `send` with the connection to a peer, which is replaced if the peer's address changed.
    fn with_channel(
        &self,
        to: &NodeName,
        address: SocketAddr,
        send: impl FnOnce(&mut PeerChannel),
    ) {
        let open = || PeerChannel {
            address,
            sender: ControlSender::new(address),
        };
        let mut channels = self.channels.borrow_mut();

        let channel = match channels.entry(to.clone()) {
            Entry::Vacant(vacant) => vacant.insert(open()),
            Entry::Occupied(occupied) => {
                let channel = occupied.into_mut();
                if channel.address != address {
                    *channel = open();
                }
                channel
            }
        };

        send(channel);
    }
}
