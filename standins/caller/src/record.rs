//! The attempts of each request and their outcomes.

use crate::plan::PlannedRequest;
use std::sync::Arc;
use uuid::Uuid;
use wagtail_core::slice::{KeyHash, SliceId};

/// `AttemptOutcome` is the outcome of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete response to the request arrived.
    Answered {
        /// The target that responded.
        target: Arc<str>,
        /// The index of the execution in the target's process.
        run: usize,
    },
    /// The attempt was refused as not run.
    NotRun {
        /// The delay in milliseconds after which a retry is expected to succeed.
        retry_after_ms: u64,
    },
    /// The attempt may have run.
    Unknown,
    /// The response belongs to another request, is incomplete, or violates the protocol.
    Wrong {
        /// The violated rule, preceded by the identifier of the attempt, for the report.
        reason: Arc<str>,
    },
}

/// `AttemptRecord` is one attempt to send a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The identifier of the attempt.
    pub id: Arc<str>,
    /// The send time in microseconds of `CLOCK_MONOTONIC`.
    pub sent_us: u64,
    /// The time of the outcome in microseconds of `CLOCK_MONOTONIC`.
    pub ended_us: u64,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// `RequestRecord` is one request with all its attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// The request as planned, which all attempts send.
    pub request: PlannedRequest,
    /// The attempts, oldest first.
    pub attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// Creates the record of a request that was not sent yet.
    pub fn new(request: PlannedRequest) -> Self {
        Self {
            request,
            attempts: Vec::new(),
        }
    }

    /// Returns a new identifier for the next attempt. It is a UUID of version 7, from whose
    /// timestamp a new owner infers that no earlier owner received it.
    pub fn next_id(&self) -> Arc<str> {
        Arc::from(Uuid::now_v7().to_string())
    }

    /// Returns the outcome of the last attempt, or `None` before the first.
    pub fn outcome(&self) -> Option<&AttemptOutcome> {
        self.attempts.last().map(|attempt| &attempt.outcome)
    }

    /// Returns the time in microseconds from the first send to the last outcome.
    pub fn latency_us(&self) -> u64 {
        match (self.attempts.first(), self.attempts.last()) {
            (Some(first), Some(last)) => last.ended_us.saturating_sub(first.sent_us),
            _ => 0,
        }
    }

    /// Returns the slice of the request's key, or `None` without a key.
    ///
    /// # Panics
    ///
    /// Panics when the name of the service is invalid.
    pub fn slice(&self) -> Option<SliceId> {
        let key = self.request.key.as_ref()?;
        let service = &self.request.service;
        let index = KeyHash::new(key.as_bytes()).slice_index(service.slices);
        let name = wagtail_core::ids::ServiceName::new(&service.name)
            .expect("the command line accepts valid service names only");

        Some(SliceId::new(name, index))
    }
}
