//! Commands whose payloads share the memory of the log entry that they came in.
//!
//! A command is encoded as CBOR in which each payload stands as a place and a length, followed
//! by all payloads. Decoding slices the entry instead of copying from it, so bodies and texts
//! are held once, by log and state together. Anywhere else a payload is encoded in full.

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

const LENGTH_BYTES: usize = 4;

thread_local! {
    static WRITTEN: RefCell<Option<Vec<u8>>> = const { RefCell::new(None) };
    static READ: RefCell<Option<Bytes>> = const { RefCell::new(None) };
}

/// Encodes a command.
pub fn encode_command(command: &StateCommand) -> Bytes {
    WRITTEN.set(Some(Vec::new()));
    let head = codec::encode(command);
    let payloads = WRITTEN.take().unwrap_or_default();
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + head.len() + payloads.len());
    bytes.extend_from_slice(&(head.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&head);
    bytes.extend_from_slice(&payloads);
    Bytes::from(bytes)
}

/// Decodes a command; its payloads are slices of `entry`.
///
/// # Errors
///
/// Returns an error if the bytes hold no command.
pub fn decode_command(entry: &Bytes) -> Result<StateCommand, WireError> {
    let length = entry.get(..LENGTH_BYTES).and_then(|it| it.try_into().ok());
    let length = u32::from_le_bytes(length.ok_or(WireError::BadValue("command length"))?);
    let end = LENGTH_BYTES + length as usize;
    if end > entry.len() {
        return Err(WireError::BadValue("command length"));
    }
    READ.set(Some(entry.slice(end..)));
    let command = codec::decode(&entry[LENGTH_BYTES..end]);
    READ.take();
    command
}

/// Encodes a payload.
///
/// # Errors
///
/// Returns the encoder's error.
pub fn serialize<S: Serializer>(payload: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    let place = WRITTEN.with_borrow_mut(|written| {
        let written = written.as_mut()?;
        let start = written.len() as u32;
        written.extend_from_slice(payload);
        Some((start, payload.len() as u32))
    });
    match place {
        Some(place) => place.serialize(serializer),
        None => payload.serialize(serializer),
    }
}

/// Decodes a payload.
///
/// # Errors
///
/// Returns the decoder's error, or one of its own if the place is outside the entry.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let Some(entry) = READ.with_borrow(Clone::clone) else {
        return Bytes::deserialize(deserializer);
    };
    let (start, length) = <(u32, u32)>::deserialize(deserializer)?;
    let end = start as usize + length as usize;
    if end > entry.len() {
        return Err(D::Error::custom("payload outside its entry"));
    }
    Ok(entry.slice(start as usize..end))
}
