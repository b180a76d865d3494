//! The handler of requests from the other nodes.

use crate::{
    forward::RequestForwarder,
    messages::{PeerReply, PeerRequest, ReplyBody},
    planning::PlannerActivity,
    proxy::TargetProxy,
    relay::StoreRelay,
    tables::TableReader,
    view::{FLEET_KIND, FleetView},
    watching::WatchRelay,
};
use bytes::Bytes;
use std::{rc::Rc, time::Duration};
use tracing::warn;
use wagtail_core::ports::LocalFuture;
use wagtail_net::{clock, traffic::TrafficMeter};
use wagtail_peer::{
    answer::PeerResponse, body::BodyPlan, packed::PackedValue, server::PeerHandler,
    stream::EmptyBody, turns::BodyTurns,
};

/// The maximum size of a request body in bytes. The limits for callers are checked by the
/// node at which a request arrives first.
const MAX_BODY_BYTES: usize = 128 << 20;

/// The number of large bodies that are received at a time: one that uses the link, and the next one, whose
/// sender may be slow.
const MAX_BODIES_RECEIVED: usize = 2;

/// `InboundHandler` runs the requests of other nodes at the target and replies to what nodes ask
/// each other.
#[derive(Debug)]
pub struct InboundHandler {
    proxy: TargetProxy,
    view: FleetView,
    relay: StoreRelay,
    forwarder: Rc<RequestForwarder>,
    planners: PlannerActivity,
    watching: WatchRelay,
    tables: TableReader,
    body_turns: BodyTurns,
}

impl InboundHandler {
    /// Creates the handler.
    pub fn new(
        proxy: TargetProxy,
        view: FleetView,
        relay: StoreRelay,
        forwarder: Rc<RequestForwarder>,
        planners: PlannerActivity,
        watching: WatchRelay,
        tables: TableReader,
    ) -> Self {
        Self {
            proxy,
            view,
            relay,
            forwarder,
            planners,
            watching,
            tables,
            body_turns: BodyTurns::new(MAX_BODIES_RECEIVED),
        }
    }

    /// Returns the reply to a request that is not for the target.
    async fn respond(&self, request: PeerRequest) -> ReplyBody {
        match request {
            PeerRequest::Status { planner, .. } => {
                self.planners.asked(&planner, clock::now());
                ReplyBody::Status(Box::new(self.proxy.status()))
            }
            PeerRequest::Store(call) => ReplyBody::Store(self.relay.for_peer(&call).await),
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
            PeerRequest::Table {
                service,
                at_least,
                max_age_ms,
            } => {
                let max_age = Duration::from_millis(max_age_ms.into());
                ReplyBody::Table(self.tables.share(&service, at_least, max_age).await)
            }
            PeerRequest::Versions | PeerRequest::Dispatch(_) => ReplyBody::Acknowledged,
        }
    }

    /// Returns the newest objects of a kind that this node knows, with their highest revision.
    fn snapshot(&self, kind: &str) -> ReplyBody {
        let (objects, revision) = if self.view.evacuations().is_kind(kind) {
            // Without objects, the revision tells that no zone is evacuated.
            let list = self.view.evacuations().snapshot();
            (list.objects, Some(list.revision))
        } else {
            let objects = if kind == FLEET_KIND {
                self.view.fleet_objects()
            } else {
                self.view.config_object().into_iter().collect()
            };
            let revision = objects.iter().map(|object| object.revision).max();
            (objects, revision)
        };

        match PackedValue::new(&objects) {
            Ok(objects) => ReplyBody::Snapshot {
                revision: revision.unwrap_or_default(),
                objects,
            },
            Err(error) => {
                warn!(event = "snapshot-not-packed", kind, reason = %error);
                ReplyBody::Acknowledged
            }
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
                let mut response = self.proxy.serve(dispatch_head, body).await;
                let length = response.head.body.body_bytes();
                response.body = self.proxy.link().paced_for_peer(response.body, length);
                return response;
            }

            let body = self.respond(head).await;
            PeerResponse::new(self.proxy.reply(body), Box::new(EmptyBody))
        })
    }

    fn control(&self, _message: u64) {}

    fn max_body_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }

    fn sent_meter(&self) -> TrafficMeter {
        self.proxy.link().sent_meter().clone()
    }

    fn plan_body(&self, head: &PeerRequest, length: Option<u64>) -> Result<BodyPlan, Duration> {
        let time_limit = match head {
            PeerRequest::Dispatch(dispatch_head) => {
                Some(Duration::from_millis(dispatch_head.time_left_ms.into()))
            }
            _ => None,
        };

        Ok(BodyPlan {
            buffer: Box::new(self.proxy.memory().buffer(length)?),
            time_limit,
        })
    }

    fn body_turns(&self) -> Option<&BodyTurns> {
        Some(&self.body_turns)
    }

    fn refuse_head(&self, head: &PeerRequest, length: u64) -> Option<PeerResponse<PeerReply>> {
        match head {
            PeerRequest::Dispatch(dispatch_head) => self.proxy.refuse_early(dispatch_head, length),
            _ => None,
        }
    }

    fn refuse_body(
        &self,
        head: &PeerRequest,
        retry_after: Duration,
    ) -> Option<PeerResponse<PeerReply>> {
        match head {
            PeerRequest::Dispatch(dispatch_head) => {
                Some(self.proxy.refuse_body(dispatch_head, retry_after))
            }
            _ => None,
        }
    }

    fn body_arrived(&self, head: &mut PeerRequest, took: Duration) {
        if let PeerRequest::Dispatch(dispatch_head) = head {
            let took_ms = u32::try_from(took.as_millis()).unwrap_or(u32::MAX);
            dispatch_head.time_left_ms = dispatch_head.time_left_ms.saturating_sub(took_ms);
            dispatch_head.elapsed_ms = dispatch_head.elapsed_ms.saturating_add(took_ms);
        }
    }
}
