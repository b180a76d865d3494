//! The connections to the other nodes.

use crate::{
    messages::{PeerReply, PeerRequest},
    view::FleetView,
};
use bytes::Bytes;
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc};
use wagtail_core::{CoreError, Result, service::WorkClass, verdict::RunVerdict};
use wagtail_net::clock;
use wagtail_peer::{
    answer::PeerResponse,
    link::{PeerLink, SilencePolicy},
};

/// `NodeLinks` holds one link for each node.
#[derive(Debug, Clone)]
pub struct NodeLinks {
    view: FleetView,
    links: Rc<RefCell<HashMap<SocketAddr, Rc<PeerLink>>>>,
}

impl NodeLinks {
    /// Makes links that connect at the first message.
    pub fn new(view: FleetView) -> Self {
        Self {
            view,
            links: Rc::default(),
        }
    }

    /// Sends a request to a node and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails with a verdict that tells whether the request may have run.
    pub async fn ask(
        &self,
        node: &Arc<str>,
        request: &PeerRequest,
        class: WorkClass,
        body: Bytes,
    ) -> Result<PeerResponse<PeerReply>> {
        let record = self.view.node(node).ok_or_else(|| {
            CoreError::unavailable(format!("{node} has no record"), RunVerdict::NotRun)
        })?;

        let answer: PeerResponse<PeerReply> = self
            .link(record.peers)
            .exchange(request, class, silence_policy(request), body)
            .await?;
        self.view
            .record_peer_versions(answer.head.versions, clock::now());

        Ok(answer)
    }

    /// Returns the link to an address.
    fn link(&self, address: SocketAddr) -> Rc<PeerLink> {
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(address)
            .or_insert_with(|| Rc::new(PeerLink::new(address)));

        Rc::clone(link)
    }
}

/// Returns how long a request waits on a connection that is suspected.
fn silence_policy(request: &PeerRequest) -> SilencePolicy {
    match request {
        PeerRequest::Dispatch(dispatch_head) if !dispatch_head.kind.is_idempotent() => {
            SilencePolicy::Wait
        }
        _ => SilencePolicy::FailFast,
    }
}
