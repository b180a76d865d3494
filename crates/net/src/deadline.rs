//! The time by which a response must have ended.

use crate::clock;
use compio::time::timeout;
use std::{sync::Arc, time::Duration};
use tracing::info;
use wagtail_core::{
    CoreError, Result,
    ports::{BodyStream, LocalFuture},
    units::LocalMoment,
    verdict::RunVerdict,
};

/// How long a body may go on after the deadline of its request, so that the rest of one that is nearly
/// complete still reaches the caller.
const RESPONSE_GRACE: Duration = Duration::from_millis(200);

/// `DeadlineBody` breaks a body off that has not ended by the deadline of its request. Its connection
/// closes then, so that the caller does not take it for complete.
#[derive(Debug)]
pub struct DeadlineBody {
    request_id: Arc<str>,
    body: Box<dyn BodyStream>,
    ends_at: LocalMoment,
}

impl DeadlineBody {
    /// Limits a body of the response to a request.
    pub fn new(request_id: Arc<str>, body: Box<dyn BodyStream>, deadline: LocalMoment) -> Self {
        Self {
            request_id,
            body,
            ends_at: deadline + RESPONSE_GRACE,
        }
    }
}

impl BodyStream for DeadlineBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<bytes::Bytes>>> {
        Box::pin(async move {
            let time_left = self.ends_at.since(clock::now());
            if !time_left.is_zero()
                && let Ok(next) = timeout(time_left, self.body.next()).await
            {
                return next;
            }

            info!(event = "response-broken-off", request_id = %self.request_id, reason = "deadline");
            Err(CoreError::unavailable(
                "the response did not end by the deadline",
                RunVerdict::Unknown,
            ))
        })
    }
}
