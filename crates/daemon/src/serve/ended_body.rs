//! Bodies of targets' responses, which count as whole only if their framing says so.

use std::io;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use reqwest::Response;
use reqwest::header::TRANSFER_ENCODING;
use thiserror::Error;

use bergamotlane_wire::body_end::BodyEnd;

/// Why a body is not known to be whole.
#[derive(Debug, Error)]
pub(super) enum BodyCut {
    /// The body broke off before the end that its framing states.
    #[error("the target's answer was cut off")]
    Broken(#[from] reqwest::Error),
    /// The connection was closed, and the framing states no end.
    #[error("the target's answer ended with its connection")]
    Closed,
}

/// Returns what will end the body of a response if nothing goes wrong.
pub(super) fn expected_end(response: &Response) -> BodyEnd {
    let encodings = response.headers().get_all(TRANSFER_ENCODING);
    let encodings = encodings.iter().map(|it| it.as_bytes());
    BodyEnd::expected(response.content_length(), encodings)
}

/// Reads the whole body of a response.
///
/// # Errors
///
/// Returns why the body may be cut.
pub(super) async fn read_whole(response: Response) -> Result<Bytes, BodyCut> {
    let end = expected_end(&response);
    let body = response.bytes().await?;
    match end {
        BodyEnd::Length | BodyEnd::LastChunk => Ok(body),
        BodyEnd::Close => Err(BodyCut::Closed),
    }
}

/// Returns the parts of a response's body. The last item is an error unless the body is whole, so
/// that whoever forwards the parts breaks off there.
pub(super) fn whole_parts(
    response: Response,
) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
    let closed = match expected_end(&response) {
        BodyEnd::Length | BodyEnd::LastChunk => None,
        BodyEnd::Close => Some(Err(io::Error::other(BodyCut::Closed))),
    };
    let parts = response.bytes_stream();
    parts
        .map(|part| part.map_err(io::Error::other))
        .chain(stream::iter(closed))
}

#[cfg(test)]
mod tests;
