//! An HTTP/1.1 server that reads further requests of a connection before it responds to the first.
//!
//! While every request in flight on a connection is a GET or HEAD without a body, the next one is read
//! and runs beside them. Responses are sent in the order of the requests. Any other request runs alone
//! on its connection. Like [`crate::server::serve`], the server announces its idle timeout, limits the
//! size of request heads, and drops the future of a request whose client disconnects.

mod body;
mod connection;
mod encode;
mod exchange;
mod head;
mod input;
mod output;
mod times;

use crate::{
    pipeline::{connection::serve_connection, encode::DateCache},
    server::{HttpHandler, LimitSource, accept_connections, serve},
    stop::StopSignal,
};
use compio::{net::TcpListener, runtime::JoinHandle};
use std::{cell::Cell, rc::Rc, time::Duration};
use tracing::info;

/// The default of [`PipelineOptions::max_requests`].
const DEFAULT_MAX_REQUESTS: usize = 16;

/// The default of [`PipelineOptions::max_head_bytes`].
const DEFAULT_MAX_HEAD_BYTES: usize = 64 << 10;

/// The default of [`PipelineOptions::write_timeout`].
const DEFAULT_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// `PipelineOptions` limits how far a connection is read ahead.
#[derive(Debug, Clone)]
pub struct PipelineOptions {
    /// The maximum number of requests of a connection in flight.
    pub max_requests: usize,
    /// The size in bytes of the heads in flight from which no further request is read.
    pub max_head_bytes: usize,
    /// How long a client may read nothing of a response before its connection is closed.
    pub write_timeout: Duration,
    /// The counts of all connections.
    pub counts: PipelineCounts,
}

impl Default for PipelineOptions {
    fn default() -> Self {
        Self {
            max_requests: DEFAULT_MAX_REQUESTS,
            max_head_bytes: DEFAULT_MAX_HEAD_BYTES,
            write_timeout: DEFAULT_WRITE_TIMEOUT,
            counts: PipelineCounts::default(),
        }
    }
}

/// `PipelineCounts` counts the requests that were read ahead. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct PipelineCounts {
    requests: Rc<Cell<u64>>,
    depth: Rc<Cell<usize>>,
}

impl PipelineCounts {
    /// Returns the number of requests that were read while another one of their connection was in
    /// flight.
    pub fn requests(&self) -> u64 {
        self.requests.get()
    }

    /// Returns the maximum number of requests in flight on one connection since the previous call.
    pub fn take_max_depth(&self) -> usize {
        self.depth.take()
    }

    /// Counts a request that was read; `depth` requests are now in flight on its connection.
    fn count(&self, depth: usize) {
        if depth > 1 {
            self.requests.set(self.requests.get() + 1);
        }
        self.depth.set(self.depth.get().max(depth));
    }
}

/// Serves connections until `stop` is triggered, then closes the listener and waits for the requests
/// that were read.
pub async fn serve_pipelined(
    listener: TcpListener,
    handler: Rc<dyn HttpHandler>,
    limits: Rc<dyn LimitSource>,
    options: PipelineOptions,
    stop: StopSignal,
) {
    let options = Rc::new(options);
    let dates = Rc::new(DateCache::default());

    accept_connections(listener, &stop, |stream| {
        let (handler, options) = (Rc::clone(&handler), Rc::clone(&options));
        let (dates, limits, stop) = (Rc::clone(&dates), limits.limits(), stop.clone());

        async move { serve_connection(&stream, &*handler, limits, &options, &dates, &stop).await }
    })
    .await;
}

/// Spawns a server. It reads requests ahead, and counts them, if there are `counts`; otherwise it is that of
/// [`crate::server::serve`].
pub fn spawn_server(
    listener: TcpListener,
    handler: Rc<dyn HttpHandler>,
    limits: Rc<dyn LimitSource>,
    counts: Option<PipelineCounts>,
    stop: StopSignal,
) -> JoinHandle<()> {
    let Some(counts) = counts else {
        return compio::runtime::spawn(serve(listener, handler, limits, stop));
    };

    let options = PipelineOptions {
        counts,
        ..PipelineOptions::default()
    };
    info!(
        event = "pipelining-enabled",
        max_requests = options.max_requests,
        max_head_bytes = options.max_head_bytes
    );
    compio::runtime::spawn(serve_pipelined(listener, handler, limits, options, stop))
}
