//! The callers and their connections to the nodes.

use crate::{
    plan::{PlannedRequest, RequestPlanner},
    record::{AttemptOutcome, AttemptRecord, RequestRecord},
    validate::validate_response,
};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use standin_net::{
    NetError, Result,
    client::{ClientConnection, CompleteResponse},
    clock::monotonic_us,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The longest wait for a connection to a node.
const CONNECT_WAIT: Duration = Duration::from_millis(500);

/// The time after the deadline of a request for which a caller still waits for the response.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// The time in microseconds for which a refused request is retried.
const RETRY_LIMIT_US: u64 = 10_000_000;

/// The time in microseconds for which a caller avoids a node after a failed exchange.
const AVOID_US: u64 = 2_000_000;

/// The delay in milliseconds before a retry when no node accepts a connection.
const NO_NODE_RETRY_MS: u64 = 100;

/// `NodeChannel` is the persistent connection of a caller to one node.
#[derive(Debug)]
struct NodeChannel {
    /// The `callers` address of the node.
    address: SocketAddr,
    /// The idle connection, if any.
    connection: Option<ClientConnection>,
    /// The time in microseconds of `CLOCK_MONOTONIC` until which the node is avoided.
    avoided_until_us: u64,
}

impl NodeChannel {
    /// Creates a channel without a connection.
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
            avoided_until_us: 0,
        }
    }

    /// Sends an attempt and waits for its complete response.
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<CompleteResponse> {
        let mut connection = match self.connection.take().filter(ClientConnection::is_open) {
            Some(connection) => connection,
            None => ClientConnection::connect(self.address, CONNECT_WAIT).await?,
        };

        // A connection is dropped after a failed exchange.
        let response = connection.send(request, wait).await?;
        self.connection = Some(connection);

        Ok(response)
    }
}

/// `CallerTask` is one caller, which sends one request at a time.
#[derive(Debug)]
pub struct CallerTask {
    /// The planner of the requests.
    planner: RequestPlanner,
    /// The channels to the nodes.
    channels: Vec<NodeChannel>,
    /// The interval between the starts of two requests.
    interval: Duration,
}

impl CallerTask {
    /// Creates a caller.
    ///
    /// # Panics
    ///
    /// Panics when there is no node.
    pub fn new(planner: RequestPlanner, nodes: &[SocketAddr], interval: Duration) -> Self {
        assert!(!nodes.is_empty(), "a caller needs at least one node");

        Self {
            planner,
            channels: nodes.iter().copied().map(NodeChannel::new).collect(),
            interval,
        }
    }

    /// Sends `count` requests and returns their records. `on_send` is called before each is sent.
    pub async fn run(&mut self, count: usize, on_send: impl Fn()) -> Vec<RequestRecord> {
        let mut records = Vec::with_capacity(count);

        for _ in 0..count {
            let started_us = monotonic_us();
            let request = self.planner.next_request();
            on_send();
            records.push(self.send_request(request).await);

            // A late caller does not catch up, as a human user would not.
            let spent = Duration::from_micros(monotonic_us() - started_us);
            compio::time::sleep(self.interval.saturating_sub(spent)).await;
        }

        records
    }

    /// Sends the probes in turn until `is_finished` returns true, and returns their records. A
    /// probe is not retried, so that its time is exact.
    pub async fn probe(
        &mut self,
        probes: &[PlannedRequest],
        pause: Duration,
        is_finished: impl Fn() -> bool,
    ) -> Vec<RequestRecord> {
        let mut records = Vec::new();

        while !is_finished() {
            for probe in probes {
                // Each probe has its own identifier, so that it is not mistaken for a retry.
                let mut request = probe.clone();
                request.id = Arc::from(format!("{}-{}", probe.id, records.len()));
                let mut record = RequestRecord::new(request);
                let attempt = self.attempt(&record).await;
                record.attempts.push(attempt);
                records.push(record);
            }
            compio::time::sleep(pause).await;
        }

        records
    }

    /// Sends a request repeatedly until a complete response arrives or `limit` passes. Returns
    /// whether one arrived.
    pub async fn wait_for_response(&mut self, request: &PlannedRequest, limit: Duration) -> bool {
        let answered = async {
            loop {
                let record = self.send_request(request.clone()).await;
                if matches!(record.outcome(), Some(AttemptOutcome::Answered { .. })) {
                    return;
                }
                compio::time::sleep(Duration::from_millis(NO_NODE_RETRY_MS)).await;
            }
        };

        compio::time::timeout(limit, answered).await.is_ok()
    }

    /// Sends a request and retries it after each refusal as not run, for at most
    /// [`RETRY_LIMIT_US`].
    async fn send_request(&mut self, request: PlannedRequest) -> RequestRecord {
        let mut record = RequestRecord::new(request);
        let limit_us = monotonic_us() + RETRY_LIMIT_US;

        loop {
            let attempt = self.attempt(&record).await;
            let retry_after_ms = match attempt.outcome {
                AttemptOutcome::NotRun { retry_after_ms } => Some(retry_after_ms),
                _ => None,
            };
            record.attempts.push(attempt);

            let Some(retry_after_ms) = retry_after_ms else {
                return record;
            };
            if monotonic_us() + retry_after_ms * 1_000 > limit_us {
                return record;
            }
            compio::time::sleep(Duration::from_millis(retry_after_ms)).await;
        }
    }

    /// Sends one attempt to the first node that accepts a connection.
    async fn attempt(&mut self, record: &RequestRecord) -> AttemptRecord {
        let id = record.next_id();
        let sent_us = monotonic_us();
        let wait = Duration::from_millis(record.request.kind.deadline_ms()) + RESPONSE_GRACE;
        let mut outcome = AttemptOutcome::NotRun {
            retry_after_ms: NO_NODE_RETRY_MS,
        };

        for index in self.order_nodes(sent_us) {
            let channel = &mut self.channels[index];
            let response = match build_request(&record.request, &id) {
                Ok(request) => channel.send(request, wait).await,
                Err(error) => Err(error),
            };

            match response {
                Ok(response) => {
                    outcome = validate_response(&record.request, &id, &response);
                    break;
                }
                Err(error) => {
                    channel.avoided_until_us = monotonic_us() + AVOID_US;
                    if error.may_have_arrived() {
                        outcome = AttemptOutcome::Unknown;
                        break;
                    }
                }
            }
        }

        AttemptRecord {
            id,
            sent_us,
            ended_us: monotonic_us(),
            outcome,
        }
    }

    /// Returns the indices of the nodes, starting at a random one, with the avoided ones last.
    fn order_nodes(&mut self, now_us: u64) -> Vec<usize> {
        let count = self.channels.len();
        let first = self.planner.choose_below(count);

        let mut order: Vec<usize> = (0..count).map(|step| (first + step) % count).collect();
        order.sort_by_key(|&index| self.channels[index].avoided_until_us > now_us);

        order
    }
}

/// Builds the HTTP request of an attempt.
fn build_request(request: &PlannedRequest, id: &str) -> Result<Request<Full<Bytes>>, NetError> {
    let uri = format!("/{}{}", request.service.name, request.kind.path());
    let mut builder = Request::builder()
        .method(request.kind.method())
        .uri(uri)
        .header("wagtail-request-id", id)
        .header("wagtail-tenant", request.tenant)
        .header("wagtail-deadline-ms", request.kind.deadline_ms())
        .header("standin-work-ms", request.work_ms)
        .header("standin-bytes", request.response_bytes);
    if let Some(key) = &request.key {
        builder = builder.header("wagtail-key", &**key);
    }

    Ok(builder.body(Full::new(Bytes::new()))?)
}
