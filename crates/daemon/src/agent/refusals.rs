//! Final responses that do not come from the target.

use crate::agent::{
    answer::{RefusalResponse, refusal_response},
    task::AgentTask,
};
use std::{sync::Arc, time::Duration};
use tracing::debug;
use wagtail_admit::AdmitRefusal;
use wagtail_core::{ports::TargetResponse, slice::SliceId, verdict::RunVerdict};
use wagtail_peer::stream::WholeBody;

/// The delay after which a retry is expected to find an announced target.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);

impl AgentTask {
    /// Responds to a request with a refusal of the admission.
    pub(super) fn refuse(
        &mut self,
        ticket: u64,
        refusal: AdmitRefusal,
        verdict: RunVerdict,
        retry_after: Duration,
    ) {
        let Some(work) = self.work_by_ticket.get_mut(&ticket) else {
            return;
        };

        let owner = work.slice.and_then(|slice| {
            let slice = SliceId::new(work.head.service.clone(), slice);
            self.options.leases.owner(&slice)
        });
        debug!(
            event = "request-refused", request_id = %work.head.id, refusal = refusal.as_str(),
            verdict = verdict.as_str()
        );

        let answer = refusal_response(refusal, verdict, retry_after, owner);
        let answer = answer.into_response(&work.head.id, &self.options.node);
        work.answer(answer);
        self.forget_if_over(ticket);
    }

    /// Refuses a request that did not reach the admission.
    pub(super) fn refuse_unadmitted(&mut self, ticket: u64, code: &str, message: &str) {
        if let Some(work) = self.work_by_ticket.get_mut(&ticket) {
            let refusal = RefusalResponse {
                status: 503,
                code: Arc::from(code),
                message: Arc::from(message),
                verdict: RunVerdict::NotRun,
                owner: None,
                retry_after: Some(NO_TARGET_RETRY),
            };
            work.answer(refusal.into_response(&work.head.id, &self.options.node));
        }

        self.forget_if_over(ticket);
    }

    /// Responds to a request with the kept response of an earlier request with the same identifier,
    /// the one with the ticket `of`.
    pub(super) fn replay(&mut self, ticket: u64, of: u64) {
        let Some(kept) = self.kept.get(&of).cloned() else {
            let verdict = RunVerdict::Unknown;
            self.refuse(ticket, AdmitRefusal::Duplicate, verdict, Duration::ZERO);
            return;
        };

        if let Some(work) = self.work_by_ticket.get_mut(&ticket) {
            let body = Box::new(WholeBody::new(kept.body));
            work.answer(TargetResponse {
                head: kept.head,
                body,
            });
        }

        self.forget_if_over(ticket);
    }
}
