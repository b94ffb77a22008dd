//! Zero-copy encoding of commands: decoded payloads share the memory of their log entry.
//!
//! An encoded command is the length of its CBOR part, the CBOR part, and all payloads. The CBOR
//! part refers to each payload by its offset and length. Decoding slices the log entry instead
//! of copying from it, so that the log and the state hold bodies and texts only once. Outside
//! of [`encode_command`] and [`decode_command`], a payload is encoded in full.

use std::cell::RefCell;

use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

use crate::state::StateCommand;
use bergamotlane_wire::codec;
use bergamotlane_wire::codec::WireError;

/// Size of the length of the CBOR part, in bytes; it is stored as a little-endian integer.
const LENGTH_BYTES: usize = 4;

thread_local! {
    /// Payloads of the command that is being encoded.
    static ENCODED_PAYLOADS: RefCell<Option<Vec<u8>>> = const { RefCell::new(None) };
    /// Payloads of the command that is being decoded.
    static ENTRY_PAYLOADS: RefCell<Option<Bytes>> = const { RefCell::new(None) };
}

/// Encodes a command as the content of a log entry.
pub fn encode_command(command: &StateCommand) -> Bytes {
    ENCODED_PAYLOADS.set(Some(Vec::new()));
    let head = codec::encode(command);
    let payloads = ENCODED_PAYLOADS.take().unwrap_or_default();
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + head.len() + payloads.len());
    bytes.extend_from_slice(&(head.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&head);
    bytes.extend_from_slice(&payloads);
    Bytes::from(bytes)
}

/// Decodes a command from the content of a log entry; its payloads are slices of `entry`.
///
/// # Errors
///
/// Returns an error if the bytes are not an encoded command.
pub fn decode_command(entry: &Bytes) -> Result<StateCommand, WireError> {
    let length = entry.get(..LENGTH_BYTES).and_then(|it| it.try_into().ok());
    let length = u32::from_le_bytes(length.ok_or(WireError::BadValue("command length"))?);
    let end = LENGTH_BYTES + length as usize;
    if end > entry.len() {
        return Err(WireError::BadValue("command length"));
    }
    ENTRY_PAYLOADS.set(Some(entry.slice(end..)));
    let command = codec::decode(&entry[LENGTH_BYTES..end]);
    ENTRY_PAYLOADS.take();
    command
}

/// Encodes a payload field; meant for `#[serde(with)]`.
///
/// # Errors
///
/// Returns an error if the serializer fails.
pub fn serialize<S: Serializer>(payload: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    let range = ENCODED_PAYLOADS.with_borrow_mut(|payloads| {
        let payloads = payloads.as_mut()?;
        let start = payloads.len() as u32;
        payloads.extend_from_slice(payload);
        Some((start, payload.len() as u32))
    });
    match range {
        Some(range) => range.serialize(serializer),
        None => payload.serialize(serializer),
    }
}

/// Decodes a payload field; meant for `#[serde(with)]`.
///
/// # Errors
///
/// Returns an error if the deserializer fails, or if the offset and length reach beyond the
/// entry.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let Some(entry) = ENTRY_PAYLOADS.with_borrow(Clone::clone) else {
        return Bytes::deserialize(deserializer);
    };
    let (start, length) = <(u32, u32)>::deserialize(deserializer)?;
    let end = start as usize + length as usize;
    if end > entry.len() {
        return Err(D::Error::custom("payload reaches beyond its log entry"));
    }
    Ok(entry.slice(start as usize..end))
}
