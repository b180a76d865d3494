//! The orders at the target.

use crate::{
    agent::{
        command::AgentCommand,
        order::{OrderEnd, OrderJob},
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
    /// Sends an order to the target, if the lease still allows it.
    pub(super) fn dispatch(&mut self, ticket: u64) {
        let now = clock::now();
        let Some(work) = self.works.get_mut(&ticket) else {
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
                self.handle.tell(AgentCommand::OrderEnded {
                    ticket,
                    end: OrderEnd::Failed {
                        error: not_owner(&slice, &*self.options.leases),
                    },
                    took: Duration::ZERO,
                });
                return;
            };
            until = until.min(grant.until);
            epoch = Some(grant.epoch);
        }

        let order = TargetRequest {
            head: work.head.clone(),
            body: work.body.clone(),
            slice: work.slice,
            epoch,
            time_left: until.since(now),
        };
        debug!(event = "order-dispatched", request_id = %order.head.id, ticket);

        let job = OrderJob {
            ticket,
            order,
            target: Rc::clone(&target.port),
            agent: self.handle.clone(),
        };
        work.order = Some(compio::runtime::spawn(job.run()));
    }

    /// Drops the order of an arrival, which closes its connection to the target.
    pub(super) fn cancel(&mut self, ticket: u64) {
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };

        if work.order.take().is_some() {
            self.handle.tell(AgentCommand::OrderEnded {
                ticket,
                end: OrderEnd::Abandoned,
                took: Duration::ZERO,
            });
        }
    }

    /// Passes the head of a target's answer on.
    pub(super) fn answer_started(&mut self, ticket: u64, mut answer: TargetResponse) {
        let load = self.target_load();

        if let Some(work) = self.works.get_mut(&ticket) {
            answer.head.load = load;
            work.answer(answer);
        }
    }

    /// Returns the load of the target, which the ingresses weigh among other targets.
    fn target_load(&self) -> Option<TargetLoad> {
        let summary = self.target.as_ref()?.admission.summary();
        let queued = u32::try_from(summary.queued_short + summary.queued_long).unwrap_or(u32::MAX);

        Some(TargetLoad {
            load: queued.saturating_add(summary.running),
            limit: summary.limit,
        })
    }

    /// Takes the end of an order in. The admission is told even when the work is forgotten, as it
    /// alone knows whether a slot is still taken.
    pub(super) fn order_ended(&mut self, ticket: u64, end: OrderEnd, took: Duration) {
        if let Some(work) = self.works.get_mut(&ticket) {
            work.order = None;
            note_end(&self.options, &work.head, &end, took);
        }

        let outcome = match end {
            OrderEnd::Answered { bytes, kept } => {
                if let Some(kept) = kept {
                    self.kept.insert(ticket, kept);
                }
                WorkOutcome::Answered { bytes }
            }
            OrderEnd::Failed { error } => outcome_of(&error),
            OrderEnd::Abandoned => WorkOutcome::Abandoned,
        };

        self.admit(AdmitEvent::Finished {
            ticket,
            outcome,
            took,
        });
        self.forget_if_over(ticket);
    }
}

/// Records the latency of an answered order, or logs why there is no answer.
fn note_end(options: &AgentOptions, head: &RequestHead, end: &OrderEnd, took: Duration) {
    match end {
        OrderEnd::Answered { .. } => options.latency.record(&head.tenant, head.class, took),
        OrderEnd::Failed { error } => {
            warn!(event = "order-failed", request_id = %head.id, %error);
            notice_failure(&options.ownership, error);
        }
        OrderEnd::Abandoned => info!(event = "order-abandoned", request_id = %head.id),
    }
}

/// Tells the ownership task of a target that takes no connection.
fn notice_failure(ownership: &OwnershipHandle, error: &CoreError) {
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

/// Makes the error of a dispatch without a lease.
fn not_owner(slice: &SliceId, leases: &dyn SliceLeases) -> CoreError {
    CoreError::NotOwner {
        slice: slice.index,
        owner: leases.owner(slice),
    }
}

/// Returns what the admission is told of a failed order.
fn outcome_of(error: &CoreError) -> WorkOutcome {
    match error {
        CoreError::Overloaded { .. } => WorkOutcome::Shed,
        CoreError::Refused { reason } if &**reason == "draining" => WorkOutcome::Draining,
        _ => WorkOutcome::Failed {
            verdict: error.verdict(),
        },
    }
}
