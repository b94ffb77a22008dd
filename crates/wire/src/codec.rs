//! CBOR encoding and decoding.

use std::io;
use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Reason why bytes can't be decoded to a value.
#[derive(Debug, Error)]
pub enum WireError {
    /// The bytes aren't valid CBOR, or their structure doesn't match the expected type.
    #[error("invalid CBOR: {0}")]
    Decode(#[from] ciborium::de::Error<std::io::Error>),
    /// A field, named in the error, has a value that the domain type doesn't allow.
    #[error("invalid value for {0}")]
    BadValue(&'static str),
}

/// Returns the CBOR encoding of a value.
///
/// # Panics
///
/// Doesn't panic for wire types: writing to memory can't fail, and CBOR can represent all of their
/// fields.
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("wire types are representable in CBOR");
    Bytes::from(bytes)
}

/// Decodes a value from CBOR.
///
/// # Errors
///
/// Returns [`WireError::Decode`] if the bytes aren't the encoding of a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    decode_from(bytes)
}

/// Decodes a value from the CBOR that a reader yields.
///
/// # Errors
///
/// Returns [`WireError::Decode`] if the bytes aren't the encoding of a `T`.
pub fn decode_from<T: DeserializeOwned>(reader: impl Read) -> Result<T, WireError> {
    Ok(ciborium::from_reader(reader)?)
}

/// Writes the CBOR encoding of a value, as [`encode`] returns it.
///
/// # Errors
///
/// Returns an error if the writer fails.
pub fn write<T: Serialize>(value: &T, writer: impl Write) -> io::Result<()> {
    ciborium::into_writer(value, writer).map_err(|error| match error {
        ciborium::ser::Error::Io(error) => error,
        ciborium::ser::Error::Value(text) => io::Error::other(text),
    })
}
