//! Reads the bodies of targets' answers, together with what ended them.

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use thiserror::Error;

use crate::bodies::AnswerBudget;
use bergamotlane_wire::body_end::BodyEnd;

/// Body that was read without an error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedBody {
    /// Bytes up to the end.
    pub bytes: Bytes,
    /// What ended them.
    pub end: BodyEnd,
}

/// The body broke off before its end, or was too long.
#[derive(Debug, Error)]
#[error("the body broke off or was too long")]
pub struct BodyCut;

/// Returns what will end the body of an answer with these headers if nothing goes wrong.
pub fn expected_end(headers: &HeaderMap, body: &Incoming) -> BodyEnd {
    let length = body.size_hint().exact();
    let encodings = headers.get_all(TRANSFER_ENCODING);
    BodyEnd::expected(length, encodings.iter().map(|it| it.as_bytes()))
}

/// Reads a body of up to `max_bytes` to its end.
///
/// # Errors
///
/// Returns [`BodyCut`] if the body is longer, or if it breaks off before the end that its framing
/// states.
pub async fn read_body(
    headers: &HeaderMap,
    body: Incoming,
    max_bytes: usize,
) -> Result<EndedBody, BodyCut> {
    let end = expected_end(headers, &body);
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(EndedBody {
            bytes: body.to_bytes(),
            end,
        }),
        Err(_) => Err(BodyCut),
    }
}

/// Reads a body of up to `max_bytes` to its end, while there is room for it in the budget. The bytes
/// are in the budget until the last copy of them is dropped.
///
/// # Errors
///
/// Returns [`BodyCut`] if the body is longer, or if it breaks off before the end that its framing
/// states.
pub async fn read_held_body(
    headers: &HeaderMap,
    mut body: Incoming,
    max_bytes: usize,
    budget: &AnswerBudget,
) -> Result<EndedBody, BodyCut> {
    let end = expected_end(headers, &body);
    let known_bytes = body.size_hint().exact().unwrap_or(0);
    if known_bytes > max_bytes as u64 {
        return Err(BodyCut);
    }
    let mut room = budget.room();
    room.extend(known_bytes as usize).await;
    let mut bytes = BytesMut::with_capacity(known_bytes as usize);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyCut)?.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(BodyCut);
        }
        room.extend(length).await;
        bytes.extend_from_slice(&data);
    }
    Ok(EndedBody {
        bytes: room.hold(bytes.freeze()),
        end,
    })
}
