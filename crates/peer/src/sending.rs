//! Sends bodies on HTTP/2 streams, as their flow control allows.

use bytes::Bytes;
use h2::SendStream;
use std::future::poll_fn;
use wagtail_core::{CoreError, Result, ports::BodyStream, verdict::RunVerdict};

/// Sends a body and ends the stream.
///
/// # Errors
///
/// Fails when the body fails or the peer closes the stream.
pub(crate) async fn send_body(
    stream: &mut SendStream<Bytes>,
    body: &mut dyn BodyStream,
) -> Result<()> {
    while let Some(chunk) = body.next().await? {
        send_chunk(stream, chunk).await?;
    }

    stream
        .send_data(Bytes::new(), true)
        .map_err(|error| stream_error(&error))
}

/// Sends one chunk, split wherever the flow-control window is smaller than the rest of it.
///
/// # Errors
///
/// Fails when the peer closes the stream.
pub(crate) async fn send_chunk(stream: &mut SendStream<Bytes>, mut chunk: Bytes) -> Result<()> {
    while !chunk.is_empty() {
        stream.reserve_capacity(chunk.len());

        while stream.capacity() == 0 {
            match poll_fn(|context| stream.poll_capacity(context)).await {
                Some(Ok(_)) => {}
                Some(Err(error)) => return Err(stream_error(&error)),
                None => return Err(closed_error()),
            }
        }

        let piece = chunk.split_to(chunk.len().min(stream.capacity()));
        stream
            .send_data(piece, false)
            .map_err(|error| stream_error(&error))?;
    }

    Ok(())
}

/// Converts an HTTP/2 error of the stream.
fn stream_error(error: &h2::Error) -> CoreError {
    CoreError::unavailable(error.to_string(), RunVerdict::Unknown)
}

/// Returns the error for a stream that the peer closed before everything was sent.
fn closed_error() -> CoreError {
    CoreError::unavailable("the peer closed the stream", RunVerdict::Unknown)
}
