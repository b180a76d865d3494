//! Finds the end of a request body in the bytes of a connection.

use crate::pipeline::head::BodyFraming;
use bytes::{Buf, Bytes, BytesMut};

/// The maximum size in bytes of a line with the size of a chunk, and of all trailer fields.
const MAX_LINE_BYTES: usize = 16 << 10;

/// `DecodeStep` is the next part of a body.
#[derive(Debug)]
pub(crate) enum DecodeStep {
    /// Bytes of the body.
    Data(Bytes),
    /// The rest has not arrived.
    Incomplete,
    /// The body is complete; the input begins with the next request.
    Complete,
    /// The framing of the body is malformed.
    Malformed,
}

/// `DecodeState` is what the input begins with.
#[derive(Debug, Clone, Copy)]
enum DecodeState {
    /// This number of bytes of a body with a stated length.
    Length(u64),
    /// The line with the size of a chunk.
    ChunkSize,
    /// This number of bytes of a chunk.
    ChunkData(u64),
    /// The line break after a chunk.
    ChunkEnd,
    /// Trailer fields, of which this number of bytes was read.
    Trailers(usize),
    /// What follows the body.
    Complete,
}

/// `BodyDecoder` decodes one request body. Trailer fields are dropped.
#[derive(Debug)]
pub(crate) struct BodyDecoder(DecodeState);

impl BodyDecoder {
    /// Creates a decoder for a body with the given framing.
    pub(crate) fn new(framing: BodyFraming) -> Self {
        Self(match framing {
            BodyFraming::Length(length) => DecodeState::Length(length),
            BodyFraming::Chunked => DecodeState::ChunkSize,
        })
    }

    /// Takes the next part of the body from the input.
    pub(crate) fn next(&mut self, input: &mut BytesMut) -> DecodeStep {
        loop {
            match self.0 {
                DecodeState::Complete | DecodeState::Length(0) => return DecodeStep::Complete,
                DecodeState::Length(left) => {
                    let Some(data) = take_up_to(input, left) else {
                        return DecodeStep::Incomplete;
                    };
                    self.0 = DecodeState::Length(left - length_of(&data));
                    return DecodeStep::Data(data);
                }
                DecodeState::ChunkData(0) => self.0 = DecodeState::ChunkEnd,
                DecodeState::ChunkData(left) => {
                    let Some(data) = take_up_to(input, left) else {
                        return DecodeStep::Incomplete;
                    };
                    self.0 = DecodeState::ChunkData(left - length_of(&data));
                    return DecodeStep::Data(data);
                }
                DecodeState::ChunkSize | DecodeState::ChunkEnd | DecodeState::Trailers(_) => {
                    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
                        return if input.len() > MAX_LINE_BYTES {
                            DecodeStep::Malformed
                        } else {
                            DecodeStep::Incomplete
                        };
                    };
                    let line = input.split_to(end + 1);
                    let Some(state) = self.after_line(&line) else {
                        return DecodeStep::Malformed;
                    };
                    self.0 = state;
                }
            }
        }
    }

    /// Returns the state after a line with its line break; `None` if the line is malformed.
    fn after_line(&self, line: &[u8]) -> Option<DecodeState> {
        let content = line.strip_suffix(b"\r\n")?;

        match self.0 {
            DecodeState::ChunkSize => match parse_chunk_size(content)? {
                0 => Some(DecodeState::Trailers(0)),
                size => Some(DecodeState::ChunkData(size)),
            },
            DecodeState::ChunkEnd => content.is_empty().then_some(DecodeState::ChunkSize),
            DecodeState::Trailers(_) if content.is_empty() => Some(DecodeState::Complete),
            DecodeState::Trailers(read) => {
                let read = read + line.len();
                (read <= MAX_LINE_BYTES).then_some(DecodeState::Trailers(read))
            }
            state => Some(state),
        }
    }
}

/// Parses the size of a chunk, in front of its extensions.
fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let end = line.iter().position(|byte| *byte == b';');
    let digits = line[..end.unwrap_or(line.len())].trim_ascii_end();
    // `from_str_radix` would accept a sign.
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }

    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

/// Takes up to `limit` bytes; returns `None` if there are none.
fn take_up_to(input: &mut BytesMut, limit: u64) -> Option<Bytes> {
    let count = usize::try_from(limit).map_or(input.len(), |limit| limit.min(input.remaining()));

    (count > 0).then(|| input.split_to(count).freeze())
}

/// Returns the length of a chunk.
fn length_of(data: &Bytes) -> u64 {
    u64::try_from(data.len()).unwrap_or(u64::MAX)
}
