//! One order at the target.

use crate::agent::command::{AgentCommand, AgentHandle};
use bytes::{Bytes, BytesMut};
use futures_channel::mpsc::{self, Receiver, Sender as PartSender};
use futures_util::{SinkExt, StreamExt};
use std::rc::Rc;
use wagtail_core::{
    CoreError, Result,
    ports::{BodyStream, LocalFuture, TargetPort, TargetRequest, TargetResponse},
    request::ResponseHead,
    verdict::RunVerdict,
};
use wagtail_net::clock;

/// The parts of a body that wait for a slow reader.
const QUEUED_PARTS: usize = 4;

/// The largest answer in bytes that is kept for a repeat of its request.
const MAX_KEPT_BYTES: usize = 256 << 10;

/// `KeptAnswer` is a whole answer that is kept for repeats of its request.
#[derive(Debug, Clone)]
pub struct KeptAnswer {
    /// The answer without its body.
    pub head: ResponseHead,
    /// The whole body.
    pub body: Bytes,
}

/// `OrderEnd` is how an order ended.
#[derive(Debug)]
pub enum OrderEnd {
    /// The whole answer was passed on.
    Answered {
        /// The size of the body in bytes.
        bytes: u64,
        /// The answer, when it is small enough and the request is not idempotent.
        kept: Option<KeptAnswer>,
    },
    /// The order gave no whole answer.
    Failed {
        /// Why.
        error: CoreError,
    },
    /// The order was cancelled; the target confirmed nothing.
    Abandoned,
}

/// `OrderJob` is one order at the target.
#[derive(Debug)]
pub struct OrderJob {
    /// The number of the arrival.
    pub ticket: u64,
    /// The order.
    pub order: TargetRequest,
    /// The target.
    pub target: Rc<dyn TargetPort>,
    /// The agent task.
    pub agent: AgentHandle,
}

impl OrderJob {
    /// Runs the order and tells the agent task how it ended. Dropping the future cancels it.
    pub async fn run(self) {
        let Self {
            ticket,
            order,
            target,
            agent,
        } = self;
        let started = clock::now();
        let keep = !order.head.idempotent;

        let end = match target.dispatch(order).await {
            Ok(answer) => pass_on(ticket, answer, &agent, keep).await,
            Err(error) => OrderEnd::Failed { error },
        };
        let took = clock::now().since(started);

        agent.tell(AgentCommand::OrderEnded { ticket, end, took });
    }
}

/// Passes an answer on part by part, and keeps it when it may be asked for again.
async fn pass_on(ticket: u64, answer: TargetResponse, agent: &AgentHandle, keep: bool) -> OrderEnd {
    let TargetResponse { head, mut body } = answer;
    let (mut parts, receiver) = mpsc::channel(QUEUED_PARTS);
    let passed = TargetResponse {
        head: head.clone(),
        body: Box::new(PassedBody(receiver)),
    };

    agent.tell(AgentCommand::AnswerStarted {
        ticket,
        answer: passed,
    });

    let mut listening = true;
    let mut kept = keep.then(BytesMut::new);
    let mut bytes = 0;

    loop {
        match body.next().await {
            Ok(Some(part)) => {
                bytes += u64::try_from(part.len()).unwrap_or(0);
                append(&mut kept, &part);
                // A caller that has gone leaves the rest of a non-idempotent answer to be kept.
                listening = listening && parts.send(Ok(part)).await.is_ok();
            }
            Ok(None) => break,
            Err(error) => {
                fail_reader(&mut parts, &error).await;
                return OrderEnd::Failed { error };
            }
        }

        if !listening && kept.is_none() {
            let error = CoreError::unavailable("the caller went away", RunVerdict::Unknown);
            return OrderEnd::Failed { error };
        }
    }

    let kept = kept.map(|body| KeptAnswer {
        head,
        body: body.freeze(),
    });

    OrderEnd::Answered { bytes, kept }
}

/// Adds a part to a kept answer, and gives a large one up.
fn append(kept: &mut Option<BytesMut>, part: &Bytes) {
    let Some(whole) = kept else {
        return;
    };

    if whole.len() + part.len() > MAX_KEPT_BYTES {
        *kept = None;
    } else {
        whole.extend_from_slice(part);
    }
}

/// Passes an error on in place of the rest of the body.
async fn fail_reader(parts: &mut PartSender<Result<Bytes>>, error: &CoreError) {
    // A reader that has gone needs no error.
    drop(parts.send(Err(error.clone())).await);
}

/// `PassedBody` is a body that another task passes on.
#[derive(Debug)]
struct PassedBody(Receiver<Result<Bytes>>);

impl BodyStream for PassedBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        Box::pin(async move { self.0.next().await.transpose() })
    }
}
