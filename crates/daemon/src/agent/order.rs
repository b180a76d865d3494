//! One request dispatched to the target.

use crate::agent::command::{AgentCommand, AgentHandle};
use bytes::{Bytes, BytesMut};
use futures_channel::mpsc::{self, Receiver, Sender as ChunkSender};
use futures_util::{SinkExt, StreamExt};
use std::rc::Rc;
use wagtail_core::{
    CoreError, Result,
    ports::{BodyStream, LocalFuture, TargetPort, TargetRequest, TargetResponse},
    request::ResponseHead,
    verdict::RunVerdict,
};
use wagtail_net::clock;

/// The number of body chunks that are queued for a slow reader.
const QUEUED_CHUNKS: usize = 4;

/// The size in bytes of the largest response body that is kept for retries of its request.
const MAX_KEPT_BYTES: usize = 256 << 10;

/// `KeptResponse` is a complete response that is kept for retries of its request.
#[derive(Debug, Clone)]
pub struct KeptResponse {
    /// The response without its body.
    pub head: ResponseHead,
    /// The body of the response, of at most 256 KiB.
    pub body: Bytes,
}

/// `DispatchEnd` is the way in which a dispatched request ended.
#[derive(Debug)]
pub enum DispatchEnd {
    /// The complete response was forwarded.
    Answered {
        /// The size of the body in bytes.
        bytes: u64,
        /// The response, if it is small enough and the request is not idempotent.
        kept: Option<KeptResponse>,
    },
    /// The request got no complete response.
    Failed {
        /// Why the response is missing or incomplete.
        error: CoreError,
    },
    /// The request was cancelled, without a confirmation by the target.
    Abandoned,
}

/// `DispatchJob` dispatches one request to the target.
#[derive(Debug)]
pub struct DispatchJob {
    /// The ticket of the request.
    pub ticket: u64,
    /// The request as it is sent to the target.
    pub dispatched: TargetRequest,
    /// The port to the target.
    pub target: Rc<dyn TargetPort>,
    /// The agent task, which receives the outcome.
    pub agent: AgentHandle,
}

impl DispatchJob {
    /// Dispatches the request and notifies the agent task of the outcome. Dropping the future
    /// cancels the request.
    pub async fn run(self) {
        let Self {
            ticket,
            dispatched,
            target,
            agent,
        } = self;
        let started = clock::now();
        let keep = !dispatched.head.idempotent;

        let end = match target.dispatch(dispatched).await {
            Ok(response) => forward_response(ticket, response, &agent, keep).await,
            Err(error) => DispatchEnd::Failed { error },
        };
        let took = clock::now().since(started);

        agent.tell(AgentCommand::JobEnded { ticket, end, took });
    }
}

/// Forwards a response chunk by chunk, and collects a copy if `keep` is set.
async fn forward_response(
    ticket: u64,
    response: TargetResponse,
    agent: &AgentHandle,
    keep: bool,
) -> DispatchEnd {
    let TargetResponse { head, mut body } = response;
    let (mut chunks, receiver) = mpsc::channel(QUEUED_CHUNKS);
    let forwarded = TargetResponse {
        head: head.clone(),
        body: Box::new(ForwardedBody(receiver)),
    };

    agent.tell(AgentCommand::HeadArrived {
        ticket,
        response: forwarded,
    });

    let mut listening = true;
    let mut kept = keep.then(BytesMut::new);
    let mut bytes = 0;

    loop {
        match body.next().await {
            Ok(Some(chunk)) => {
                bytes += u64::try_from(chunk.len()).unwrap_or(0);
                append(&mut kept, &chunk);
                // When the caller has gone, the rest of a non-idempotent response is still read, so
                // that it can be kept.
                listening = listening && chunks.send(Ok(chunk)).await.is_ok();
            }
            Ok(None) => break,
            Err(error) => {
                fail_reader(&mut chunks, &error).await;
                return DispatchEnd::Failed { error };
            }
        }

        if !listening && kept.is_none() {
            let error = CoreError::unavailable("the caller went away", RunVerdict::Unknown);
            return DispatchEnd::Failed { error };
        }
    }

    let kept = kept.map(|body| KeptResponse {
        head,
        body: body.freeze(),
    });

    DispatchEnd::Answered { bytes, kept }
}

/// Appends a chunk to a kept response, or stops keeping it if it exceeds [`MAX_KEPT_BYTES`].
fn append(kept: &mut Option<BytesMut>, chunk: &Bytes) {
    let Some(whole) = kept else {
        return;
    };

    if whole.len() + chunk.len() > MAX_KEPT_BYTES {
        *kept = None;
    } else {
        whole.extend_from_slice(chunk);
    }
}

/// Forwards an error in place of the rest of the body.
async fn fail_reader(chunks: &mut ChunkSender<Result<Bytes>>, error: &CoreError) {
    // Sending only fails when the reader has gone and needs no error.
    drop(chunks.send(Err(error.clone())).await);
}

/// `ForwardedBody` is a body whose chunks another task forwards through a channel.
#[derive(Debug)]
struct ForwardedBody(Receiver<Result<Bytes>>);

impl BodyStream for ForwardedBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(async move { self.0.next().await.transpose() })
    }
}
