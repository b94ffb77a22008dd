//! CBOR in and out of bytes.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why bytes could not be read as a value.
#[derive(Debug, Error)]
pub enum WireError {
    /// The bytes are not CBOR of the expected shape.
    #[error("could not decode: {0}")]
    Decode(#[from] ciborium::de::Error<std::io::Error>),
    /// A field holds a value that the domain type doesn't allow.
    #[error("bad value in {0}")]
    BadValue(&'static str),
}

/// Encodes a value as CBOR.
///
/// # Panics
///
/// Never panics: writing to memory can't fail, and wire types hold nothing that CBOR
/// can't express.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("memory takes CBOR");
    Bytes::from(bytes)
}

/// Decodes a value from CBOR.
///
/// # Errors
///
/// Returns [`WireError::Decode`] if the bytes don't hold such a value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    Ok(ciborium::from_reader(bytes)?)
}
