//! Values that are sent compressed.

use bincode::{
    config::{self, Configuration, Limit, LittleEndian, Varint},
    serde::{decode_from_slice, encode_to_vec},
};
use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    io::{Read, Write},
    marker::PhantomData,
};
use wagtail_core::{CoreError, Result};

/// The maximum size of an unpacked value in bytes. It bounds what a forged value can allocate.
pub const MAX_UNPACKED_BYTES: usize = 16 << 20;

/// `PackedValue` is a value in bincode, compressed with DEFLATE.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PackedValue<T> {
    deflated: Bytes,
    value: PhantomData<T>,
}

/// Returns the bincode configuration of unpacked values.
fn codec() -> Configuration<LittleEndian, Varint, Limit<MAX_UNPACKED_BYTES>> {
    config::standard().with_limit::<MAX_UNPACKED_BYTES>()
}

impl<T: Serialize + DeserializeOwned> PackedValue<T> {
    /// Packs a value.
    ///
    /// # Errors
    ///
    /// Fails when the value cannot be encoded, or takes more than [`MAX_UNPACKED_BYTES`].
    pub fn new(value: &T) -> Result<Self> {
        let plain = encode_to_vec(value, codec())
            .map_err(|error| CoreError::malformed(error.to_string()))?;
        if plain.len() > MAX_UNPACKED_BYTES {
            return Err(CoreError::malformed("the value is too large"));
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let deflated = encoder
            .write_all(&plain)
            .and_then(|()| encoder.finish())
            .map_err(|error| CoreError::malformed(error.to_string()))?;

        Ok(Self {
            deflated: Bytes::from(deflated),
            value: PhantomData,
        })
    }

    /// Unpacks the value.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no valid value, or one of more than [`MAX_UNPACKED_BYTES`].
    pub fn unpack(&self) -> Result<T> {
        let limit = u64::try_from(MAX_UNPACKED_BYTES).unwrap_or(u64::MAX);
        let mut plain = Vec::new();
        DeflateDecoder::new(&*self.deflated)
            .take(limit + 1)
            .read_to_end(&mut plain)
            .map_err(|error| CoreError::malformed(error.to_string()))?;
        if plain.len() > MAX_UNPACKED_BYTES {
            return Err(CoreError::malformed("the unpacked value is too large"));
        }

        let (value, consumed) = decode_from_slice(&plain, codec())
            .map_err(|error| CoreError::malformed(error.to_string()))?;
        if consumed == plain.len() {
            Ok(value)
        } else {
            Err(CoreError::malformed("bytes follow the value"))
        }
    }
}
