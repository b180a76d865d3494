//! A request that is forwarded, and what its attempts have come to.

use crate::messages::{DispatchHead, NotRunFields, PeerReply};
use bytes::Bytes;
use std::{cell::RefCell, sync::Arc, time::Duration};
use wagtail_core::{CoreError, routing::RouteSpec, units::LocalMoment};
use wagtail_peer::answer::PeerResponse;
use wagtail_route::attempts::AttemptRecord;

/// `ForwardJob` is a caller's request with its destination and its deadline.
#[derive(Debug)]
pub struct ForwardJob {
    /// The request head, addressed to a service. Its times are set for each attempt.
    pub dispatch_head: DispatchHead,
    /// The route of the request, with its kind and its maximum number of attempts.
    pub route: Arc<RouteSpec>,
    /// Whether the service divides its keys among its targets.
    pub keyed: bool,
    /// The complete body of the request.
    pub body: Bytes,
    /// The moment at which the request arrived at this node.
    pub started_at: LocalMoment,
    /// The moment until which the request may take: the caller's deadline or the timeout of the route.
    pub deadline: LocalMoment,
    /// The moment until which the caller waits, whatever the timeout of the route.
    pub caller_deadline: LocalMoment,
    /// The estimated time that the caller waited for earlier attempts of its own.
    pub waited: Duration,
    /// The nodes that the request was sent to, in order.
    pub asked: RefCell<Vec<Arc<str>>>,
}

/// `AttemptTerms` is what distinguishes an attempt of a request from the others.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptTerms {
    /// The wait for a slot, in milliseconds, above which the target's node declines the request.
    pub(super) accepted_wait_ms: Option<u32>,
    /// Whether an earlier attempt may have run and has failed.
    pub(super) is_repeat: bool,
}

/// `ForwardAttempts` holds the results of the attempts made so far for a request.
#[derive(Debug, Default)]
pub(super) struct ForwardAttempts {
    /// The evidence whether the request has run.
    pub(super) record: AttemptRecord,
    pub(super) refusal: Option<NotRunFields>,
    /// The node that the last refusal named as the holder of the key.
    pub(super) holder_hint: Option<Arc<str>>,
    /// The nodes that declined the request because all slots of their targets are taken. They may be
    /// asked again.
    pub(super) declined: Vec<Arc<str>>,
    /// The zones whose nodes refused the request because they are evacuated, which this node may not
    /// know yet.
    pub(super) evacuated_zones: Vec<Arc<str>>,
}

impl ForwardAttempts {
    /// Returns the nodes that are not asked again.
    pub(super) fn tried(&self, asked: &[Arc<str>]) -> Vec<Arc<str>> {
        let mut declined = self.declined.clone();
        let mut tried = Vec::new();
        for node in asked {
            match declined.iter().position(|other| other == node) {
                Some(index) => drop(declined.swap_remove(index)),
                None => tried.push(Arc::clone(node)),
            }
        }

        tried
    }
}

/// `EndedAttempt` is an attempt whose node has replied or is lost.
#[derive(Debug)]
pub(super) struct EndedAttempt {
    pub(super) node: Arc<str>,
    /// The number of attempts before this one.
    pub(super) ordinal: usize,
    /// The time from the request to the reply.
    pub(super) took: Duration,
    pub(super) response: Result<PeerResponse<PeerReply>, CoreError>,
}
