//! A body that keeps something alive while it is read.

use bytes::Bytes;
use std::fmt::Debug;
use wagtail_core::{
    Result,
    ports::{BodyStream, LocalFuture},
};

/// `GuardedBody` is a body with a guard that is dropped with it.
#[derive(Debug)]
pub struct GuardedBody<G> {
    body: Box<dyn BodyStream>,
    _guard: G,
}

impl<G> GuardedBody<G> {
    /// Creates a body that keeps a guard.
    pub fn new(body: Box<dyn BodyStream>, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<G: Debug> BodyStream for GuardedBody<G> {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        self.body.next()
    }
}
