//! The server for callers.

use compio::{net::TcpListener, runtime::JoinHandle};
use std::rc::Rc;
use tracing::info;
use wagtail_net::{
    pipeline::{PipelineCounts, PipelineOptions, serve_pipelined},
    server::{HttpHandler, LimitSource, serve},
    stop::StopSignal,
};

/// Spawns the server for callers. It reads requests ahead, and counts them, if there are `counts`.
pub(crate) fn spawn_caller_server(
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
