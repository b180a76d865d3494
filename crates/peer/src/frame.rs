//! Encoding and decoding of length-prefixed bincode frames.
//!
//! A frame is the length of the message as a 32-bit big-endian integer, followed by the message in
//! bincode's standard configuration.

use bincode::{
    config::{self, Configuration, Limit, LittleEndian, Varint},
    serde::{decode_from_slice, encode_to_vec},
};
use bytes::{BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use wagtail_core::{CoreError, Result};

/// The size of the length prefix in bytes.
pub const PREFIX_BYTES: usize = 4;

/// The maximum size of an encoded message in bytes, without the prefix.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// Returns the bincode configuration. Its limit also bounds the allocation that a forged length
/// inside a message can cause.
fn codec() -> Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> {
    config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes a message as a frame.
///
/// # Errors
///
/// Fails when the message cannot be encoded or is longer than [`MAX_MESSAGE_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    let message =
        encode_to_vec(message, codec()).map_err(|error| CoreError::malformed(error.to_string()))?;
    let length = u32::try_from(message.len())
        .ok()
        .filter(|_| message.len() <= MAX_MESSAGE_BYTES)
        .ok_or_else(|| CoreError::malformed("the message is longer than a frame may be"))?;

    let mut frame = BytesMut::with_capacity(PREFIX_BYTES + message.len());
    frame.put_u32(length);
    frame.put_slice(&message);

    Ok(frame.freeze())
}

/// Decodes a length prefix into the length of the message in bytes.
///
/// # Errors
///
/// Fails when the length is more than [`MAX_MESSAGE_BYTES`].
pub fn message_length(prefix: [u8; PREFIX_BYTES]) -> Result<usize> {
    usize::try_from(u32::from_be_bytes(prefix))
        .ok()
        .filter(|&length| length <= MAX_MESSAGE_BYTES)
        .ok_or_else(|| CoreError::malformed("the announced length is over the limit"))
}

/// Decodes the message of a frame, without its prefix.
///
/// # Errors
///
/// Fails when the bytes do not start with a valid message, or when bytes follow it.
pub fn decode<T: DeserializeOwned>(message: &[u8]) -> Result<T> {
    let (decoded, consumed) = decode_from_slice(message, codec())
        .map_err(|error| CoreError::malformed(error.to_string()))?;

    if consumed == message.len() {
        Ok(decoded)
    } else {
        Err(CoreError::malformed("bytes follow the message"))
    }
}
