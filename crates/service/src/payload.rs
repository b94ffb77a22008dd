//! Payloads: the bodies of items and the texts of results, held in full or by their place in the log.
//!
//! An encoded command is the length of its CBOR part, the CBOR part, and all payloads. The CBOR
//! part refers to each payload by its offset and length. A decoded command holds references to the
//! log entry that it came from, so that the state needs no memory for what the log has on disk. A
//! reference means the same on all replicas, since they hold the same entries.
//!
//! Outside of [`encode_command`] and [`decode_command`], a payload that is held in full is encoded as
//! bytes, and a reference as an array of index, start and length.

use std::cell::RefCell;
use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde::ser::Error as _;

use crate::state::StateCommand;
use bergamotlane_wire::codec;
use bergamotlane_wire::codec::WireError;

/// Size of the length of the CBOR part, in bytes; it is stored as a little-endian integer.
const LENGTH_BYTES: usize = 4;

/// Body or text, in full or by its place in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PayloadRef {
    /// The payload itself.
    Inline(Bytes),
    /// Part of the command of a log entry.
    Entry {
        /// Index of the log entry.
        index: u64,
        /// Offset in the command, in bytes.
        start: u32,
        /// Length, in bytes.
        length: u32,
    },
}

impl PayloadRef {
    /// Returns the size of the payload in bytes.
    pub fn len(&self) -> usize {
        match self {
            Self::Inline(bytes) => bytes.len(),
            Self::Entry { length, .. } => *length as usize,
        }
    }

    /// Returns whether the payload has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Default for PayloadRef {
    fn default() -> Self {
        Self::Inline(Bytes::new())
    }
}

impl From<Bytes> for PayloadRef {
    fn from(bytes: Bytes) -> Self {
        Self::Inline(bytes)
    }
}

/// Log entry whose command is being decoded.
#[derive(Debug)]
struct OpenEntry {
    index: u64,
    command: Bytes,
    /// Offset of the payloads in the command.
    payloads: usize,
}

thread_local! {
    /// Payloads of the command that is being encoded.
    static ENCODED_PAYLOADS: RefCell<Option<Vec<u8>>> = const { RefCell::new(None) };
    /// Log entry whose command is being decoded.
    static OPEN_ENTRY: RefCell<Option<OpenEntry>> = const { RefCell::new(None) };
}

/// Encodes a command as the content of a log entry.
///
/// # Errors
///
/// Returns an error if a payload is a reference: it must be read from the log first.
pub fn encode_command(command: &StateCommand) -> Result<Bytes, WireError> {
    let mut head = Vec::new();
    ENCODED_PAYLOADS.set(Some(Vec::new()));
    let encoded = ciborium::into_writer(command, &mut head);
    let payloads = ENCODED_PAYLOADS.take().unwrap_or_default();
    encoded.map_err(|_| WireError::BadValue("payload of a command"))?;
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + head.len() + payloads.len());
    bytes.extend_from_slice(&(head.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&head);
    bytes.extend_from_slice(&payloads);
    Ok(Bytes::from(bytes))
}

/// Decodes the command of the log entry at `index`; its payloads are references to that entry.
///
/// # Errors
///
/// Returns an error if the bytes are not an encoded command.
pub fn decode_command(index: u64, command: &Bytes) -> Result<StateCommand, WireError> {
    let length = command
        .get(..LENGTH_BYTES)
        .and_then(|it| it.try_into().ok());
    let length = u32::from_le_bytes(length.ok_or(WireError::BadValue("command length"))?);
    let end = LENGTH_BYTES + length as usize;
    if end > command.len() {
        return Err(WireError::BadValue("command length"));
    }
    OPEN_ENTRY.set(Some(OpenEntry {
        index,
        command: command.clone(),
        payloads: end,
    }));
    let decoded = codec::decode(&command[LENGTH_BYTES..end]);
    OPEN_ENTRY.take();
    decoded
}

/// Appends a payload to the command that is being encoded and returns its place among the payloads,
/// or `None` if no command is being encoded.
fn append_payload(payload: &[u8]) -> Option<(u32, u32)> {
    ENCODED_PAYLOADS.with_borrow_mut(|payloads| {
        let payloads = payloads.as_mut()?;
        let start = payloads.len() as u32;
        payloads.extend_from_slice(payload);
        Some((start, payload.len() as u32))
    })
}

/// Decodes the place of a payload in the command that is being decoded.
fn decode_place<'de, D: Deserializer<'de>>(
    deserializer: D,
    entry: &OpenEntry,
) -> Result<(usize, usize), D::Error> {
    let (start, length) = <(u32, u32)>::deserialize(deserializer)?;
    let start = entry.payloads + start as usize;
    match start + length as usize <= entry.command.len() {
        true => Ok((start, length as usize)),
        false => Err(D::Error::custom("payload reaches beyond its log entry")),
    }
}

impl Serialize for PayloadRef {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Inline(bytes) => serialize(bytes, serializer),
            Self::Entry { .. } if ENCODED_PAYLOADS.with_borrow(Option::is_some) => {
                Err(S::Error::custom("a command can't refer to another one"))
            }
            Self::Entry {
                index,
                start,
                length,
            } => (index, start, length).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for PayloadRef {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        OPEN_ENTRY.with_borrow(|entry| {
            let Some(entry) = entry else {
                return deserializer.deserialize_byte_buf(PayloadVisitor);
            };
            let (start, length) = decode_place(deserializer, entry)?;
            Ok(match length {
                0 => Self::default(),
                _ => Self::Entry {
                    index: entry.index,
                    start: start as u32,
                    length: length as u32,
                },
            })
        })
    }
}

/// Decodes bytes, or the array that stands for a reference.
struct PayloadVisitor;

impl<'de> Visitor<'de> for PayloadVisitor {
    type Value = PayloadRef;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("bytes, or an array of index, start and length")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<PayloadRef, E> {
        Ok(PayloadRef::Inline(Bytes::copy_from_slice(bytes)))
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<PayloadRef, E> {
        // A vector that grew while it was read may be larger than its content.
        Ok(PayloadRef::Inline(bytes.into_boxed_slice().into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<PayloadRef, A::Error> {
        let missing = || A::Error::custom("a reference has an index, a start and a length");
        Ok(PayloadRef::Entry {
            index: sequence.next_element()?.ok_or_else(missing)?,
            start: sequence.next_element()?.ok_or_else(missing)?,
            length: sequence.next_element()?.ok_or_else(missing)?,
        })
    }
}

/// Encodes a payload that the state holds in full; meant for `#[serde(with)]`.
///
/// # Errors
///
/// Returns an error if the serializer fails.
pub fn serialize<S: Serializer>(payload: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    match append_payload(payload) {
        Some(place) => place.serialize(serializer),
        None => payload.serialize(serializer),
    }
}

/// Decodes a payload that the state holds in full; meant for `#[serde(with)]`. The bytes are copied,
/// since a slice would keep the entire log entry in memory.
///
/// # Errors
///
/// Returns an error if the deserializer fails, or if the offset and length reach beyond the
/// entry.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    OPEN_ENTRY.with_borrow(|entry| {
        let Some(entry) = entry else {
            return Bytes::deserialize(deserializer);
        };
        let (start, length) = decode_place(deserializer, entry)?;
        Ok(Bytes::copy_from_slice(
            &entry.command[start..start + length],
        ))
    })
}
