//! What became of each request.

use crate::plan::PlannedRequest;
use std::sync::Arc;
use uuid::Uuid;
use wagtail_core::slice::{KeyHash, SliceId};

/// `AttemptOutcome` is how one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer to the request arrived.
    Answered {
        /// The target that gave the answer.
        target: Arc<str>,
        /// The ordinal of the execution in the target's process.
        run: usize,
    },
    /// The attempt was refused as not run.
    NotRun {
        /// The time in milliseconds after which a repeat is expected to succeed.
        retry_after_ms: u64,
    },
    /// The attempt may have run.
    Unknown,
    /// The answer is another's, not whole, or breaks the protocol.
    Wrong {
        /// What is wrong.
        reason: Arc<str>,
    },
}

/// `AttemptRecord` is one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The identifier of the attempt.
    pub id: Arc<str>,
    /// The moment of sending in microseconds of `CLOCK_MONOTONIC`.
    pub sent_us: u64,
    /// The moment of the outcome in microseconds of `CLOCK_MONOTONIC`.
    pub ended_us: u64,
    /// The outcome.
    pub outcome: AttemptOutcome,
}

/// `RequestRecord` is one request with all its attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// The request.
    pub request: PlannedRequest,
    /// The attempts in order.
    pub attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// Makes the record of a request that was not sent yet.
    pub fn new(request: PlannedRequest) -> Self {
        Self {
            request,
            attempts: Vec::new(),
        }
    }

    /// Returns a fresh identifier for the next attempt. It carries its time of issue, so that a
    /// new owner can tell that no earlier one saw it.
    pub fn next_id(&self) -> Arc<str> {
        Arc::from(Uuid::now_v7().to_string())
    }

    /// Returns how the last attempt ended.
    pub fn outcome(&self) -> Option<&AttemptOutcome> {
        self.attempts.last().map(|attempt| &attempt.outcome)
    }

    /// Returns the time in microseconds from the first sending to the last outcome.
    pub fn latency_us(&self) -> u64 {
        match (self.attempts.first(), self.attempts.last()) {
            (Some(first), Some(last)) => last.ended_us.saturating_sub(first.sent_us),
            _ => 0,
        }
    }

    /// Returns the slice of the request's key.
    ///
    /// # Panics
    ///
    /// Panics when the name of the service is malformed.
    pub fn slice(&self) -> Option<SliceId> {
        let key = self.request.key.as_ref()?;
        let service = &self.request.service;
        let index = KeyHash::new(key.as_bytes()).slice_index(service.slices);
        let name = wagtail_core::ids::ServiceName::new(&service.name)
            .expect("the command line was checked");

        Some(SliceId::new(name, index))
    }
}
