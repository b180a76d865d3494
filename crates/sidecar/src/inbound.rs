//! The server for the other nodes.

use crate::{
    door::TargetDoor,
    forward::RequestForwarder,
    messages::{PeerReply, PeerRequest, ReplyBody},
    planning::PlannerActivity,
    relay::StoreRelay,
    view::{FLEET_KIND, FleetView},
    watching::WatchRelay,
};
use bytes::Bytes;
use std::{rc::Rc, time::Duration};
use wagtail_core::ports::LocalFuture;
use wagtail_net::clock;
use wagtail_peer::{answer::PeerResponse, server::PeerHandler, stream::EmptyBody};

/// The largest body of a request in bytes; what callers may send is checked where it arrives.
const MAX_BODY_BYTES: usize = 128 << 20;

/// `InboundHandler` answers the other nodes.
#[derive(Debug)]
pub struct InboundHandler {
    door: TargetDoor,
    view: FleetView,
    relay: StoreRelay,
    forwarder: Rc<RequestForwarder>,
    planners: PlannerActivity,
    watching: WatchRelay,
}

impl InboundHandler {
    /// Makes the handler.
    pub fn new(
        door: TargetDoor,
        view: FleetView,
        relay: StoreRelay,
        forwarder: Rc<RequestForwarder>,
        planners: PlannerActivity,
        watching: WatchRelay,
    ) -> Self {
        Self {
            door,
            view,
            relay,
            forwarder,
            planners,
            watching,
        }
    }

    /// Answers what needs no target.
    async fn answer(&self, request: PeerRequest) -> ReplyBody {
        match request {
            PeerRequest::Status { planner, .. } => {
                self.planners.asked(&planner, clock::now());
                ReplyBody::Status(Box::new(self.door.status()))
            }
            PeerRequest::Store(call) => ReplyBody::Store(self.relay.direct(&call).await),
            PeerRequest::Snapshot { kind } => self.snapshot(&kind),
            PeerRequest::Follow {
                kind,
                revision,
                wait_ms,
            } => {
                let wait = Duration::from_millis(wait_ms.into());
                ReplyBody::Changes(self.watching.changes_after(&kind, revision, wait).await)
            }
            PeerRequest::Hello { node } => {
                self.forwarder.node_started(&node);
                ReplyBody::Acknowledged
            }
            PeerRequest::Versions | PeerRequest::Dispatch(_) => ReplyBody::Acknowledged,
        }
    }

    /// Returns what this node knows of a kind.
    fn snapshot(&self, kind: &str) -> ReplyBody {
        let objects = if kind == FLEET_KIND {
            self.view.fleet_objects()
        } else {
            self.view.config_object().into_iter().collect()
        };
        let revision = objects.iter().map(|object| object.revision).max();

        ReplyBody::Snapshot {
            revision: revision.unwrap_or(0),
            objects,
        }
    }
}

impl PeerHandler for InboundHandler {
    type Message = u64;
    type Request = PeerRequest;
    type Answer = PeerReply;

    fn request(&self, head: PeerRequest, body: Bytes) -> LocalFuture<'_, PeerResponse<PeerReply>> {
        Box::pin(async move {
            if let PeerRequest::Dispatch(dispatch_head) = &head {
                return self.door.serve(dispatch_head, body).await;
            }

            let reply = PeerReply {
                body: self.answer(head).await,
                versions: self.view.versions(),
            };
            PeerResponse::new(reply, Box::new(EmptyBody))
        })
    }

    fn control(&self, _message: u64) {}

    fn max_body_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }
}
