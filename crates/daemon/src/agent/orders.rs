//! Dispatching of requests to the target and handling of their outcomes.

use crate::{
    agent::{
        command::AgentCommand,
        order::{DispatchEnd, DispatchJob},
        task::{AgentOptions, AgentTask},
    },
    ownership::{OwnershipCommand, OwnershipHandle, SliceLeases},
};
use std::{rc::Rc, time::Duration};
use tracing::{debug, info, warn};
use wagtail_admit::{AdmitEvent, WorkOutcome};
use wagtail_core::{
    CoreError,
    ports::{TargetRequest, TargetResponse},
    request::{RequestHead, TargetLoad},
    slice::SliceId,
    verdict::RunVerdict,
};
use wagtail_net::clock;

impl AgentTask {
    /// Dispatches a request to the target, if the lease of its slice still allows it.
    pub(super) fn dispatch(&mut self, ticket: u64) {
        let now = clock::now();
        let Some(work) = self.work_by_ticket.get_mut(&ticket) else {
            return;
        };
        let Some(target) = &self.target else {
            return;
        };

        let mut until = work.deadline;
        let mut epoch = None;

        if let Some(slice) = work.slice {
            let slice = SliceId::new(work.head.service.clone(), slice);
            let Some(grant) = self.options.leases.may_serve(now, &slice) else {
                self.handle.tell(AgentCommand::JobEnded {
                    ticket,
                    end: DispatchEnd::Failed {
                        error: not_owner(&slice, &*self.options.leases),
                    },
                    took: Duration::ZERO,
                });
                return;
            };
            until = until.min(grant.until);
            epoch = Some(grant.epoch);
        }

        let dispatched = TargetRequest {
            head: work.head.clone(),
            body: work.body.clone(),
            slice: work.slice,
            epoch,
            time_left: until.since(now),
        };
        debug!(event = "order-dispatched", request_id = %dispatched.head.id, ticket);

        let job = DispatchJob {
            ticket,
            dispatched,
            target: Rc::clone(&target.port),
            agent: self.handle.clone(),
        };
        work.dispatched = Some(compio::runtime::spawn(job.run()));
    }

    /// Cancels a dispatched request, which closes its connection to the target.
    pub(super) fn cancel(&mut self, ticket: u64) {
        let Some(work) = self.work_by_ticket.get_mut(&ticket) else {
            return;
        };

        if work.dispatched.take().is_some() {
            self.handle.tell(AgentCommand::JobEnded {
                ticket,
                end: DispatchEnd::Abandoned,
                took: Duration::ZERO,
            });
        }
    }

    /// Sends a target's response to the caller, with the current load of the target.
    pub(super) fn head_arrived(&mut self, ticket: u64, mut answer: TargetResponse) {
        let load = self.target_load();

        if let Some(work) = self.work_by_ticket.get_mut(&ticket) {
            answer.head.load = load;
            work.answer(answer);
        }
    }

    /// Returns the load of the target, by which the ingresses choose among targets.
    fn target_load(&self) -> Option<TargetLoad> {
        let summary = self.target.as_ref()?.admission.summary();
        let queued = u32::try_from(summary.queued_short + summary.queued_long).unwrap_or(u32::MAX);

        Some(TargetLoad {
            load: queued.saturating_add(summary.running),
            limit: summary.limit,
        })
    }

    /// Handles the end of a dispatched request. The admission is notified even when the request is
    /// already removed here, as it alone knows whether a slot is still taken.
    pub(super) fn job_ended(&mut self, ticket: u64, end: DispatchEnd, took: Duration) {
        if let Some(work) = self.work_by_ticket.get_mut(&ticket) {
            work.dispatched = None;
            record_end(&self.options, &work.head, &end, took);
        }

        let outcome = match end {
            DispatchEnd::Answered { bytes, kept } => {
                if let Some(kept) = kept {
                    self.kept.insert(ticket, kept);
                }
                WorkOutcome::Answered { bytes }
            }
            DispatchEnd::Failed { error } => outcome_of(&error),
            DispatchEnd::Abandoned => WorkOutcome::Abandoned,
        };

        self.admit(AdmitEvent::Finished {
            ticket,
            outcome,
            took,
        });
        self.forget_if_over(ticket);
    }
}

/// Records the latency of a completed request, or logs why there is no response.
fn record_end(options: &AgentOptions, head: &RequestHead, end: &DispatchEnd, took: Duration) {
    match end {
        DispatchEnd::Answered { .. } => options.latency.record(&head.tenant, head.class, took),
        DispatchEnd::Failed { error } => {
            warn!(event = "order-failed", request_id = %head.id, %error);
            report_failure(&options.ownership, error);
        }
        DispatchEnd::Abandoned => info!(event = "order-abandoned", request_id = %head.id),
    }
}

/// Notifies the ownership task if the target accepted no connection, so that the request did not
/// run.
fn report_failure(ownership: &OwnershipHandle, error: &CoreError) {
    if matches!(
        error,
        CoreError::Unavailable {
            verdict: RunVerdict::NotRun,
            ..
        }
    ) {
        ownership.tell(OwnershipCommand::TargetAnswers(false));
    }
}

/// Creates the error of a request for a slice without a valid lease.
fn not_owner(slice: &SliceId, leases: &dyn SliceLeases) -> CoreError {
    CoreError::NotOwner {
        slice: slice.index,
        owner: leases.owner(slice),
    }
}

/// Converts the error of a dispatched request into the outcome for the admission.
fn outcome_of(error: &CoreError) -> WorkOutcome {
    match error {
        CoreError::Overloaded { .. } => WorkOutcome::Shed,
        CoreError::Refused { reason } if &**reason == "draining" => WorkOutcome::Draining,
        _ => WorkOutcome::Failed {
            verdict: error.verdict(),
        },
    }
}
