//! The connections to the other nodes.

use crate::{
    messages::{PeerReply, PeerRequest},
    view::FleetView,
};
use bytes::Bytes;
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc};
use wagtail_core::{CoreError, Result, service::WorkClass, verdict::RunVerdict};
use wagtail_net::{clock, traffic::TrafficMeter};
use wagtail_peer::{
    answer::PeerResponse,
    body::RequestBody,
    link::{PeerLink, STREAM_WINDOW_BYTES, SilencePolicy},
};

/// The number of full windows that fit into the memory of the process. It bounds those of 200 slow callers to a
/// tenth of the memory.
const WINDOWS_IN_MEMORY: u64 = 2_048;

/// The smallest window in bytes. At a round trip of 10 ms it still carries 50 Mbit/s.
const MIN_WINDOW_BYTES: u32 = 64 << 10;

/// `NodeLinks` holds one link for each peer address. Clones share the links.
#[derive(Debug, Clone)]
pub struct NodeLinks {
    view: FleetView,
    /// The bytes of each response that a peer may send before they are read here.
    window_bytes: u32,
    links: Rc<RefCell<HashMap<SocketAddr, Rc<PeerLink>>>>,
    sent: TrafficMeter,
}

impl NodeLinks {
    /// Creates an empty set; links are added and connect on first use. `memory` is the limit of the memory of
    /// this process in bytes, if there is one: slow callers keep the windows of their responses full.
    pub fn new(view: FleetView, memory: Option<u64>) -> Self {
        Self {
            view,
            window_bytes: memory.map_or(STREAM_WINDOW_BYTES, window_for),
            links: Rc::default(),
            sent: TrafficMeter::default(),
        }
    }

    /// Returns the meter that counts the bytes sent on these connections.
    pub fn sent_meter(&self) -> &TrafficMeter {
        &self.sent
    }

    /// Sends a request to a node and waits for the head of its reply. Records the versions that the
    /// reply carries. Fails at once when the node is suspected to be lost.
    ///
    /// # Errors
    ///
    /// Fails when the node has no record, or when the exchange fails. The verdict of the error
    /// tells whether the request may have run.
    pub async fn ask(
        &self,
        node: &Arc<str>,
        request: &PeerRequest,
        class: WorkClass,
        body: Bytes,
    ) -> Result<PeerResponse<PeerReply>> {
        self.exchange(node, request, class, SilencePolicy::FailFast, body)
            .await
    }

    /// Sends a request to a node and waits for the head of its reply, as [`Self::ask`], with a policy
    /// for a node that is suspected to be lost.
    ///
    /// # Errors
    ///
    /// Fails when the node has no record, or when the exchange fails. The verdict of the error
    /// tells whether the request may have run.
    pub async fn exchange(
        &self,
        node: &Arc<str>,
        request: &PeerRequest,
        class: WorkClass,
        policy: SilencePolicy,
        body: impl Into<RequestBody>,
    ) -> Result<PeerResponse<PeerReply>> {
        let record = self.view.node(node).ok_or_else(|| {
            CoreError::unavailable(format!("{node} has no record"), RunVerdict::NotRun)
        })?;

        let response: PeerResponse<PeerReply> = self
            .link(record.peers)
            .exchange(request, class, policy, body)
            .await?;
        self.view
            .record_peer_versions(node, response.head.versions, clock::now());

        Ok(response)
    }

    /// Returns the link to an address, which is created on first use.
    fn link(&self, address: SocketAddr) -> Rc<PeerLink> {
        let mut links = self.links.borrow_mut();
        let link = links.entry(address).or_insert_with(|| {
            let link = PeerLink::new(address)
                .with_window(self.window_bytes)
                .with_meter(self.sent.clone());
            Rc::new(link)
        });

        Rc::clone(link)
    }
}

/// Returns the window of responses for a limit of the memory in bytes.
fn window_for(memory: u64) -> u32 {
    u32::try_from(memory / WINDOWS_IN_MEMORY)
        .unwrap_or(u32::MAX)
        .clamp(MIN_WINDOW_BYTES, STREAM_WINDOW_BYTES)
}
