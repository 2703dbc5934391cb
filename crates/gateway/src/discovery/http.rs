//! The HTTP/1.1 codec of polls of the discovery service: encodes requests, and decodes responses
//! from a connection's read buffer.

use std::net::SocketAddr;

use bytes::BytesMut;
use thiserror::Error;

use super::endpoints::{EndpointListError, EventBatch};

/// The maximum size of a response's head and of its body, in bytes each. No list of engines needs a
/// larger response.
pub const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// The maximum memory of a decoded body in bytes, twice that of the largest list of engines in
/// [`MAX_RESPONSE_BYTES`]. Other bodies of that size may take a hundred times as much.
const MAX_DECODED_BYTES: usize = 16 << 20;

/// The memory of a decoded JSON object: one node of a tree, with space for eleven fields.
const OBJECT_BYTES: usize = 640;

/// The memory of a decoded JSON value, in an array whose allocation has just doubled.
const VALUE_BYTES: usize = 64;

/// The maximum number of header lines in a response.
const MAX_HEADERS: usize = 32;

const STATUS_OK: u16 = 200;

/// The bytes that end the data of each chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// Whether more input may arrive on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputState {
    /// The peer may send more.
    Open,
    /// The peer has closed its sending side.
    Ended,
}

/// Whether another request may be sent on the connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// The connection stays open for another request.
    KeepAlive,
    /// The service closes the connection.
    Close,
}

/// The outcome of decoding a response from the read buffer.
#[derive(Debug, PartialEq)]
pub enum PollResponse {
    /// The response has not arrived completely.
    Incomplete,
    /// A complete response, which was removed from the read buffer.
    Complete {
        /// The events of the response.
        batch: EventBatch,
        /// Whether another request may be sent on the connection.
        reuse: ConnectionReuse,
    },
}

/// Why a response is invalid.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The head does not end within [`MAX_RESPONSE_BYTES`].
    #[error("the head of the HTTP response does not end within the size limit")]
    UnendedHead,
    /// The head is not valid HTTP.
    #[error(transparent)]
    Head(#[from] httparse::Error),
    /// The status is not 200.
    #[error("status {0:?}")]
    Status(Option<u16>),
    /// A chunk is malformed or too large, or the input ends or exceeds [`MAX_RESPONSE_BYTES`]
    /// before the last chunk.
    #[error("a chunk of the HTTP response is malformed, incomplete or too large")]
    Chunk,
    /// The header with this name has a value that is not text or that is not supported.
    #[error("the HTTP header {0} cannot be used")]
    Header(&'static str),
    /// The length of the body is not a number or exceeds [`MAX_RESPONSE_BYTES`].
    #[error("the body length of the HTTP response is invalid or too large")]
    Length,
    /// The body would take too much memory once it is decoded.
    #[error("the body of the HTTP response has too many values")]
    TooManyValues,
    /// The body is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The body is not a valid batch of events.
    #[error(transparent)]
    Events(#[from] EndpointListError),
}

/// Encodes a long poll for the events after `since_revision`. The service may hold it open for
/// `linger_ms` milliseconds until there is an event.
#[must_use]
pub fn poll_request(since_revision: u64, linger_ms: u64, host: SocketAddr) -> String {
    format!(
        "GET /board/poll?watch={since_revision}&linger={linger_ms} HTTP/1.1\r\nHost: {host}\r\n\r\n"
    )
}

/// Removes a complete response from the front of the read buffer. The buffer is unchanged while the
/// response is incomplete.
///
/// # Errors
///
/// The buffer holds no valid response, the status is not 200, the body is not a valid batch of
/// events, or the response exceeds [`MAX_RESPONSE_BYTES`]. The connection cannot be used further
/// then.
pub fn take_response(
    read_buffer: &mut BytesMut,
    input: InputState,
) -> Result<PollResponse, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let head_bytes = match head.parse(read_buffer)? {
        httparse::Status::Complete(head_bytes) => head_bytes,
        httparse::Status::Partial if read_buffer.len() >= MAX_RESPONSE_BYTES => {
            return Err(ResponseError::UnendedHead);
        }
        httparse::Status::Partial => return Ok(PollResponse::Incomplete),
    };
    if head.code != Some(STATUS_OK) {
        return Err(ResponseError::Status(head.code));
    }
    let reuse = connection_reuse(&head);
    let framing = Framing::from_head(&head)?;
    let Some(body) = framing.take_body(&read_buffer[head_bytes..], read_buffer.len(), input)?
    else {
        return Ok(PollResponse::Incomplete);
    };
    let _ = read_buffer.split_to(head_bytes + body.encoded_bytes);
    if decoded_bytes_at_most(&body.content) > MAX_DECODED_BYTES {
        return Err(ResponseError::TooManyValues);
    }
    let json = serde_json::from_slice(&body.content)?;
    let batch = EventBatch::from_json(&json)?;
    Ok(PollResponse::Complete { batch, reuse })
}

/// The most memory that a JSON text takes once it is decoded, in bytes. Delimiters within strings
/// count too.
fn decoded_bytes_at_most(json: &[u8]) -> usize {
    let delimiter_bytes = |delimiter: &u8| match delimiter {
        b'{' => OBJECT_BYTES,
        b',' | b'[' => VALUE_BYTES,
        _ => 0,
    };
    json.len() + json.iter().map(delimiter_bytes).sum::<usize>()
}

/// Returns the trimmed value of the first header with this name; `None` if it is absent.
///
/// # Errors
///
/// The value is not UTF-8 text.
fn header<'h>(
    head: &httparse::Response<'_, 'h>,
    name: &'static str,
) -> Result<Option<&'h str>, ResponseError> {
    let header = head
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name));
    let Some(header) = header else {
        return Ok(None);
    };
    match std::str::from_utf8(header.value) {
        Ok(value) => Ok(Some(value.trim())),
        Err(_) => Err(ResponseError::Header(name)),
    }
}

/// Returns whether the connection may be used again. It may not if the header that says so is not
/// text, but the events of the response count.
fn connection_reuse(head: &httparse::Response<'_, '_>) -> ConnectionReuse {
    match header(head, "connection") {
        Ok(Some(value)) if value.eq_ignore_ascii_case("close") => ConnectionReuse::Close,
        Ok(_) => ConnectionReuse::KeepAlive,
        Err(_) => ConnectionReuse::Close,
    }
}

/// Parses a decimal number without a sign. The parser of the standard library accepts a plus sign.
fn parse_length(text: &str) -> Option<usize> {
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit());
    if is_decimal { text.parse().ok() } else { None }
}

/// How the end of the body is marked.
enum Framing {
    /// By a last chunk of size zero.
    Chunked,
    /// By a length in bytes.
    ContentLength(usize),
    /// By the end of the connection.
    UntilClose,
}

/// A complete body.
struct Body {
    content: Vec<u8>,
    /// The size of the body on the wire in bytes, including the framing of chunks.
    encoded_bytes: usize,
}

impl Framing {
    fn from_head(head: &httparse::Response<'_, '_>) -> Result<Self, ResponseError> {
        match header(head, "transfer-encoding")? {
            Some(value) if value.eq_ignore_ascii_case("chunked") => return Ok(Framing::Chunked),
            Some(_) => return Err(ResponseError::Header("transfer-encoding")),
            None => {}
        }
        let Some(length) = header(head, "content-length")? else {
            return Ok(Framing::UntilClose);
        };
        match parse_length(length) {
            Some(length) if length <= MAX_RESPONSE_BYTES => Ok(Framing::ContentLength(length)),
            _ => Err(ResponseError::Length),
        }
    }

    /// Decodes the body at the front of `rest`, the bytes after the head; `None` while it is
    /// incomplete.
    ///
    /// `buffered_bytes` is the length of the whole read buffer, head included. A body without a
    /// length may grow only while this is below [`MAX_RESPONSE_BYTES`].
    fn take_body(
        &self,
        rest: &[u8],
        buffered_bytes: usize,
        input: InputState,
    ) -> Result<Option<Body>, ResponseError> {
        let may_grow = buffered_bytes < MAX_RESPONSE_BYTES;
        match *self {
            Framing::Chunked => match join_chunks(rest) {
                Ok(Some(body)) => Ok(Some(body)),
                Ok(None) if may_grow && input == InputState::Open => Ok(None),
                Ok(None) | Err(_) => Err(ResponseError::Chunk),
            },
            Framing::ContentLength(length) => Ok(rest.get(..length).map(|content| Body {
                content: content.to_vec(),
                encoded_bytes: length,
            })),
            Framing::UntilClose if input == InputState::Ended => Ok(Some(Body {
                content: rest.to_vec(),
                encoded_bytes: rest.len(),
            })),
            Framing::UntilClose if may_grow => Ok(None),
            Framing::UntilClose => Err(ResponseError::Length),
        }
    }
}

/// Joins the chunks of a body; `None` while the last chunk has not arrived.
fn join_chunks(encoded: &[u8]) -> Result<Option<Body>, httparse::InvalidChunkSize> {
    let mut content = Vec::new();
    let mut position = 0;
    loop {
        let size_line = httparse::parse_chunk_size(&encoded[position..])?;
        let httparse::Status::Complete((size_line_bytes, size)) = size_line else {
            return Ok(None);
        };
        let size = usize::try_from(size).map_err(|_| httparse::InvalidChunkSize)?;
        let start = position + size_line_bytes;
        let end = start
            .checked_add(size)
            .and_then(|end| end.checked_add(CHUNK_END.len()));
        let Some(chunk) = end.and_then(|end| encoded.get(start..end)) else {
            return if size > MAX_RESPONSE_BYTES {
                Err(httparse::InvalidChunkSize)
            } else {
                Ok(None)
            };
        };
        position = start + chunk.len();
        if size == 0 {
            return Ok(Some(Body {
                content,
                encoded_bytes: position,
            }));
        }
        if !chunk.ends_with(CHUNK_END) {
            return Err(httparse::InvalidChunkSize);
        }
        content.extend_from_slice(&chunk[..size]);
    }
}
