//! One attempt to send a request to a node.

use crate::{
    forward::forwarder::{RequestForwarder, RequestRoute},
    identifier::unique_text,
};
use bytes::Bytes;
use compio::time::timeout;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tracing::debug;
use wagtail_core::{
    CoreError, Result, ids::NodeName, ports::TargetResponse, request::RequestHead,
    service::WorkClass, verdict::RunVerdict,
};
use wagtail_net::clock;
use wagtail_peer::link::PeerLink;
use wagtail_route::mint_identifier;

/// The timeout of one attempt at idempotent short work, so that a frozen node leaves time for
/// another attempt.
const SHORT_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

impl RequestForwarder {
    /// Sends the request to a node, or submits it to the agent task if the node is this one.
    pub(super) async fn attempt(
        &self,
        head: &RequestHead,
        body: &Bytes,
        node: &NodeName,
        route: &RequestRoute,
    ) -> Result<TargetResponse> {
        let left = route.deadline.since(clock::now());
        if left.is_zero() {
            return Err(CoreError::DeadlineExceeded {
                verdict: RunVerdict::NotRun,
            });
        }

        let mut head = head.clone();
        head.attempt = route.attempt;
        head.time_left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        name_home(&mut head, node);
        debug!(event = "request-attempt", request_id = %head.id, to = %node, attempt = head.attempt);

        let limit = attempt_timeout(&head, left);
        let attempt = async {
            if node == &self.options.node {
                return Ok(self
                    .options
                    .agent
                    .submit(head, body.clone(), route.deadline)
                    .await);
            }
            let link = self.link(node)?;

            link.request(&head, body.clone()).await
        };

        timeout(limit, attempt)
            .await
            .unwrap_or(Err(CoreError::DeadlineExceeded {
                verdict: RunVerdict::Unknown,
            }))
    }

    /// Returns the link to a peer. Creates a new one if there is none or the address of the peer
    /// has changed.
    pub(super) fn link(&self, node: &NodeName) -> Result<Rc<PeerLink>> {
        let fleet = self.options.fleet.load();
        let entry = fleet.nodes.get(node).ok_or_else(|| {
            CoreError::unavailable(format!("node {node} is unknown"), RunVerdict::NotRun)
        })?;

        let mut links = self.links.borrow_mut();
        let link = links
            .entry(node.clone())
            .or_insert_with(|| new_link(entry.peers));
        if link.address() != entry.peers {
            *link = new_link(entry.peers);
        }

        Ok(Rc::clone(link))
    }
}

/// Replaces a generated identifier by one that names the node which will remember the request, so
/// that a retry by the caller reaches that node. Does nothing for idempotent or keyed requests and
/// for identifiers of callers.
fn name_home(head: &mut RequestHead, node: &NodeName) {
    if !head.id_generated || head.idempotent || head.key.is_some() {
        return;
    }

    if let Ok(id) = mint_identifier(node, &unique_text()) {
        debug!(event = "identifier-made", request_id = %head.id, named = %id);
        head.id = id;
    }
}

/// Creates a link to a peer.
fn new_link(address: SocketAddr) -> Rc<PeerLink> {
    Rc::new(PeerLink::new(address))
}

/// Returns the timeout of an attempt.
fn attempt_timeout(head: &RequestHead, left: Duration) -> Duration {
    if head.idempotent && head.class == WorkClass::Short {
        left.min(SHORT_ATTEMPT_TIMEOUT)
    } else {
        left
    }
}
