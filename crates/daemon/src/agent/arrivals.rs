//! Handling of arriving requests and of callers that go away.

use crate::{
    agent::{task::AgentTask, work::AgentWork},
    identifier::issued_moment,
};
use bytes::Bytes;
use futures_channel::oneshot::Sender;
use std::time::Duration;
use wagtail_admit::{AdmitEvent, AdmitRefusal, IdentifierAge, WorkArrival};
use wagtail_core::{
    ports::TargetResponse,
    request::RequestHead,
    service::ServiceSpec,
    slice::{KeyHash, SliceId},
    units::LocalMoment,
    verdict::RunVerdict,
};
use wagtail_net::clock;

/// The delay after which a retry is expected to find the owner of a key.
const NOT_OWNER_RETRY: Duration = Duration::from_millis(300);

impl AgentTask {
    /// Registers a request and passes it to the admission, or refuses it when this node does not
    /// own its slice or has no target of its service.
    pub(super) fn submit(
        &mut self,
        ticket: u64,
        head: RequestHead,
        body: Bytes,
        deadline: LocalMoment,
        reply: Sender<TargetResponse>,
    ) {
        let spec = self.spec_of(&head);
        let slice = spec.as_ref().and_then(|spec| slice_index(spec, &head));
        let arrival = arrival(ticket, &head, deadline, slice);
        let service = head.service.clone();
        let key = head.key.clone();
        let work = AgentWork {
            head,
            body,
            slice,
            deadline,
            reply: Some(reply),
            dispatched: None,
        };
        self.work_by_ticket.insert(ticket, work);

        if let Some(slice) = slice.filter(|_| spec.is_some()) {
            let slice = SliceId::new(service, slice);
            if self
                .options
                .leases
                .may_serve(clock::now(), &slice)
                .is_none()
            {
                self.refuse(
                    ticket,
                    AdmitRefusal::NotOwner,
                    RunVerdict::NotRun,
                    NOT_OWNER_RETRY,
                );
                return;
            }
        }

        if self.target.is_none() || spec.is_none() {
            let code = if self.stopping {
                "stopping"
            } else {
                "no-target"
            };
            self.refuse_unadmitted(ticket, code, "no target of the service is beside this node");
            return;
        }

        if let (Some(slice), Some(key)) = (slice, key) {
            self.meter.record(slice, &key);
        }
        self.admit(AdmitEvent::Arrived(arrival));
    }

    /// Returns the declared service of a request if this node's target serves it.
    pub(super) fn spec_of(&self, head: &RequestHead) -> Option<ServiceSpec> {
        let target = self.target.as_ref()?;

        if target.notice.service != head.service {
            return None;
        }

        self.options
            .fleet
            .load()
            .config
            .service(&head.service)
            .cloned()
    }

    /// Cancels a request whose caller no longer waits for the response.
    pub(super) fn caller_gone(&mut self, ticket: u64) {
        if let Some(work) = self.work_by_ticket.get_mut(&ticket) {
            work.reply = None;
            self.admit(AdmitEvent::Cancelled { ticket });
        }

        self.forget_if_over(ticket);
    }

    /// Removes a request that is over.
    pub(super) fn forget_if_over(&mut self, ticket: u64) {
        if self
            .work_by_ticket
            .get(&ticket)
            .is_some_and(AgentWork::is_over)
        {
            self.work_by_ticket.remove(&ticket);
        }
    }
}

/// Creates the arrival event of a request for the admission.
fn arrival(
    ticket: u64,
    head: &RequestHead,
    deadline: LocalMoment,
    slice: Option<u32>,
) -> WorkArrival {
    let age = identifier_age(head);

    WorkArrival {
        ticket,
        id: head.id.clone(),
        tenant: head.tenant.clone(),
        operation: head.operation.clone(),
        class: head.class,
        idempotent: head.idempotent,
        deadline,
        slice,
        age,
    }
}

/// Returns what is known of the age of a request's identifier.
fn identifier_age(head: &RequestHead) -> IdentifierAge {
    if head.id_generated {
        return IdentifierAge::Made;
    }

    issued_moment(clock::now(), &head.id).map_or(IdentifierAge::Unknown, IdentifierAge::Issued)
}

/// Returns the index of the slice of a request's key, for a keyed service.
fn slice_index(spec: &ServiceSpec, head: &RequestHead) -> Option<u32> {
    let key = head.key.as_ref().filter(|_| spec.keyed)?;

    Some(KeyHash::new(key.as_bytes()).slice_index(spec.slices))
}
