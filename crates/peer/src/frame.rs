//! The length-prefixed bincode frames.
//!
//! A frame is the length of the message as four bytes, most significant first, and then the
//! message in bincode's standard configuration.

use bincode::{
    config::{self, Configuration, Limit, LittleEndian, Varint},
    serde::{decode_from_slice, encode_to_vec},
};
use bytes::{BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use wagtail_core::{CoreError, Result};

/// The length of a frame's prefix in bytes.
pub const PREFIX_BYTES: usize = 4;

/// The longest message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// Returns the configuration of the codec. The limit also bounds what a forged length inside a
/// message can allocate.
fn codec() -> Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> {
    config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes a message as a frame.
///
/// # Errors
///
/// Fails when the message is longer than [`MAX_MESSAGE_BYTES`].
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

/// Returns the length of the message that a frame's prefix announces.
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

/// Decodes the message of a frame.
///
/// # Errors
///
/// Fails when the bytes are not exactly one message.
pub fn decode<T: DeserializeOwned>(message: &[u8]) -> Result<T> {
    let (decoded, used) = decode_from_slice(message, codec())
        .map_err(|error| CoreError::malformed(error.to_string()))?;

    if used == message.len() {
        Ok(decoded)
    } else {
        Err(CoreError::malformed("bytes follow the message"))
    }
}
