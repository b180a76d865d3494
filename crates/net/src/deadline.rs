//! The time by which a response must have ended.

use crate::clock;
use bytes::Bytes;
use compio::{
    runtime::JoinHandle,
    time::{sleep, timeout},
};
use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};
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
    body: LimitedBody,
    /// The task that breaks the body off while nothing reads it; dropping the handle cancels it.
    _watch: Option<JoinHandle<()>>,
}

impl DeadlineBody {
    /// Limits a body of the response to a request.
    pub fn new(request_id: Arc<str>, body: Box<dyn BodyStream>, deadline: LocalMoment) -> Self {
        Self {
            body: LimitedBody {
                request_id,
                body: Rc::new(RefCell::new(Some(body))),
                ends_at: deadline + RESPONSE_GRACE,
            },
            _watch: None,
        }
    }

    /// Breaks the body off in time also while nothing reads it, as when the caller reads nothing. What the body holds
    /// is released then.
    #[must_use]
    pub fn with_watch(self) -> Self {
        let body = self.body.clone();
        let watch = compio::runtime::spawn(async move {
            sleep(body.time_left()).await;
            body.break_off();
        });

        Self {
            _watch: Some(watch),
            ..self
        }
    }
}

impl BodyStream for DeadlineBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(self.body.next())
    }
}

/// `LimitedBody` is a body with the time at which it ends. Clones share the body.
#[derive(Debug, Clone)]
struct LimitedBody {
    request_id: Arc<str>,
    /// The body, unless it is being read or was broken off.
    body: Rc<RefCell<Option<Box<dyn BodyStream>>>>,
    ends_at: LocalMoment,
}

impl LimitedBody {
    /// Returns the time for which the body may still go on.
    fn time_left(&self) -> Duration {
        self.ends_at.since(clock::now())
    }

    /// Returns the next part of the body.
    async fn next(&self) -> Result<Option<Bytes>> {
        let time_left = self.time_left();

        if !time_left.is_zero()
            && let Some(mut lent) = self.lend()
            && let Some(body) = &mut lent.body
            && let Ok(next) = timeout(time_left, body.next()).await
        {
            return next;
        }
        self.break_off();

        Err(CoreError::unavailable(
            "the response did not end by the deadline",
            RunVerdict::Unknown,
        ))
    }

    /// Lends the body for a read, unless it was broken off.
    fn lend(&self) -> Option<LentBody<'_>> {
        let body = self.body.take()?;

        Some(LentBody {
            owner: self,
            body: Some(body),
        })
    }

    /// Drops the body, so that what it holds is released.
    fn break_off(&self) {
        if self.body.take().is_some() {
            info!(event = "response-broken-off", request_id = %self.request_id, reason = "deadline");
        }
    }
}

/// `LentBody` is a body that is being read. Dropping it gives the body back.
#[derive(Debug)]
struct LentBody<'a> {
    owner: &'a LimitedBody,
    body: Option<Box<dyn BodyStream>>,
}

impl Drop for LentBody<'_> {
    fn drop(&mut self) {
        self.owner.body.replace(self.body.take());
        // The watch finds no body while it is lent.
        if self.owner.time_left().is_zero() {
            self.owner.break_off();
        }
    }
}
