//! The codec of the line protocol between the gateway and engines.
//!
//! A response starts with a line of four words, `REQUEST-ID KIND FIELDS LENGTH`, that ends in CR
//! LF. A body of `LENGTH` bytes and another CR LF follow. `FIELDS` is a list of `name=value` pairs
//! separated by commas.

use std::str::FromStr;

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// The maximum length of a response line in bytes, including its CR LF. Engines have no reason to
/// send a longer line.
const MAX_HEAD_BYTES: usize = 1024;

/// The maximum length of a response body in bytes. Engines have no reason to send a longer body.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// The terminator of a line and of a body.
const TERMINATOR: &[u8] = b"\r\n";

/// The maximum length of a response in bytes, which a read buffer must be able to hold.
pub const MAX_RESPONSE_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + 2 * TERMINATOR.len();

/// An estimate of the bytes of an attempt request beyond its text, so that most requests need only
/// one allocation.
const ATTEMPT_HEAD_ESTIMATE_BYTES: usize = 192;

/// The client's id of a statement: 16 hexadecimal digits, passed on unchanged.
pub type RequestId = [u8; 16];

/// The kind of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The statement completed; the body is the first page of its result.
    Completed,
    /// The engine has no capacity for the statement and did not run it.
    Rejected,
    /// The statement ended with an error.
    Failed,
    /// The statement's timeout passed before the engine ran it.
    Expired,
    /// The statement is still in flight; the fields describe its progress.
    Status,
    /// The body is a further page of the result, as requested.
    Page,
    /// The reply to a ping. The gateway sends no pings and ignores such replies.
    Pong,
}

impl ResponseKind {
    /// Returns the kind for its word on the wire; `None` for an unknown word.
    fn from_wire(word: &[u8]) -> Option<ResponseKind> {
        match word {
            b"DONE" => Some(ResponseKind::Completed),
            b"WAIT" => Some(ResponseKind::Rejected),
            b"BROKE" => Some(ResponseKind::Failed),
            b"PAST" => Some(ResponseKind::Expired),
            b"TELL" => Some(ResponseKind::Status),
            b"MORE" => Some(ResponseKind::Page),
            b"FIT" => Some(ResponseKind::Pong),
            _ => None,
        }
    }
}

/// One complete response.
#[derive(Debug, PartialEq)]
pub struct Response {
    /// The id of the request that the response names, which need not be a request of this gateway.
    pub request_id: Bytes,
    /// The kind of the response.
    pub kind: ResponseKind,
    fields: Bytes,
    /// The body without its terminator.
    pub body: Bytes,
}

/// Why bytes are not a valid response. Everything that follows them on the connection is unusable
/// too.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The line, with its CR LF, is longer than 1024 bytes.
    #[error("a line of over {MAX_HEAD_BYTES} bytes")]
    LineTooLong,
    /// The line does not have four words, or has an empty request id or empty fields.
    #[error("not ID WORD FIELDS LENGTH")]
    MalformedLine,
    /// The second word does not name a [`ResponseKind`].
    #[error("unknown word")]
    UnknownKind,
    /// The last word is not a number or exceeds [`MAX_BODY_BYTES`].
    #[error("a length that is none, or over {MAX_BODY_BYTES}")]
    InvalidLength,
    /// The body is not followed by CR LF.
    #[error("a body that does not end where it should")]
    MissingTerminator,
}

/// The kind of a response and the lengths of its parts, parsed from its line.
struct ResponseLayout {
    kind: ResponseKind,
    /// The length of the line without its terminator.
    line_bytes: usize,
    request_id_bytes: usize,
    /// The offset of the fields in the line.
    fields_start: usize,
    fields_bytes: usize,
    body_bytes: usize,
}

impl ResponseLayout {
    /// Parses the line of a response, given without its terminator.
    fn parse(line: &[u8]) -> Result<ResponseLayout, DecodeError> {
        let words: Vec<&[u8]> = line.split(|byte| *byte == b' ').collect();
        let [request_id, kind_word, fields, length] = words[..] else {
            return Err(DecodeError::MalformedLine);
        };
        if request_id.is_empty() || fields.is_empty() {
            return Err(DecodeError::MalformedLine);
        }
        let kind = ResponseKind::from_wire(kind_word).ok_or(DecodeError::UnknownKind)?;
        let body_bytes: usize = parse_number(length).ok_or(DecodeError::InvalidLength)?;
        if body_bytes > MAX_BODY_BYTES {
            return Err(DecodeError::InvalidLength);
        }
        Ok(ResponseLayout {
            kind,
            line_bytes: line.len(),
            request_id_bytes: request_id.len(),
            // A space follows each of the two words before the fields.
            fields_start: request_id.len() + 1 + kind_word.len() + 1,
            fields_bytes: fields.len(),
            body_bytes,
        })
    }

    /// Returns the number of bytes from the start of the line to the end of the body's terminator.
    fn total_bytes(&self) -> usize {
        self.line_bytes + TERMINATOR.len() + self.body_bytes + TERMINATOR.len()
    }
}

impl Response {
    /// Removes one response from the front of a read buffer; `None` if the response is not complete
    /// yet.
    ///
    /// # Errors
    ///
    /// The buffer does not start with a valid response, whatever bytes follow.
    pub fn decode(read_buffer: &mut BytesMut) -> Result<Option<Response>, DecodeError> {
        let head = &read_buffer[..read_buffer.len().min(MAX_HEAD_BYTES)];
        let line_end = head
            .windows(TERMINATOR.len())
            .position(|window| window == TERMINATOR);
        let Some(line_end) = line_end else {
            if head.len() == MAX_HEAD_BYTES {
                return Err(DecodeError::LineTooLong);
            }
            return Ok(None);
        };
        let layout = ResponseLayout::parse(&head[..line_end])?;
        if read_buffer.len() < layout.total_bytes() {
            return Ok(None);
        }
        let line = read_buffer
            .split_to(layout.line_bytes + TERMINATOR.len())
            .freeze();
        let body = read_buffer.split_to(layout.body_bytes).freeze();
        if !read_buffer.starts_with(TERMINATOR) {
            return Err(DecodeError::MissingTerminator);
        }
        read_buffer.advance(TERMINATOR.len());
        let fields_end = layout.fields_start + layout.fields_bytes;
        Ok(Some(Response {
            request_id: line.slice(..layout.request_id_bytes),
            kind: layout.kind,
            fields: line.slice(layout.fields_start..fields_end),
            body,
        }))
    }

    /// Returns the value of the first field with this name.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        self.fields
            .split(|byte| *byte == b',')
            .filter_map(|pair| pair.strip_prefix(name.as_bytes()))
            .find_map(|rest| rest.strip_prefix(b"="))
    }

    /// Returns the value of the first field with this name; `None` if it does not parse as a number
    /// of type `T`.
    pub fn number<T: FromStr>(&self, name: &str) -> Option<T> {
        parse_number(self.field(name)?)
    }

    /// Returns the value of the first field with this name; `None` unless it is a finite number
    /// above zero.
    pub fn quantity(&self, name: &str) -> Option<f64> {
        self.number::<f64>(name)
            .filter(|value| value.is_finite() && *value > 0.0)
    }
}

/// Parses a number of the protocol, which never starts with a plus sign. The parsers of the
/// standard library accept one, so that a spoilt first digit would give another number.
fn parse_number<T: FromStr>(text: &[u8]) -> Option<T> {
    if text.starts_with(b"+") {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// The keys of a statement that the gateway passes on to the engine unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementKeys {
    /// The key by which an engine recognises a repetition of the statement.
    pub idempotency_key: Option<Box<str>>,
    /// Statements with the same ordering key run in order.
    pub ordering_key: Option<Box<str>>,
}

/// The request that sends an attempt to its engine.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRequest<'a> {
    /// The client's id of the statement.
    pub request_id: RequestId,
    /// The name of the statement's query class.
    pub class: &'a str,
    /// The time in milliseconds after which the engine need not run the statement any more.
    pub timeout_ms: u64,
    /// The priority, 0 to 3; `None` if engines do not use priorities.
    pub priority: Option<u8>,
    /// The keys that the statement carries.
    pub keys: &'a StatementKeys,
    /// The text of the statement.
    pub text: &'a [u8],
}

impl AttemptRequest<'_> {
    /// Encodes the request for the wire.
    pub fn encode(&self) -> Vec<u8> {
        let mut line = Vec::with_capacity(self.text.len() + ATTEMPT_HEAD_ESTIMATE_BYTES);
        line.extend(b"do ");
        line.extend(self.request_id);
        line.extend(format!(" profile={},max={}", self.class, self.timeout_ms).as_bytes());
        if let Some(priority) = self.priority {
            line.extend(format!(",band={priority}").as_bytes());
        }
        if let Some(key) = &self.keys.idempotency_key {
            line.extend(format!(",replay={key}").as_bytes());
        }
        if let Some(key) = &self.keys.ordering_key {
            line.extend(format!(",thing={key}").as_bytes());
        }
        line.extend(format!(" {}", self.text.len()).as_bytes());
        line.extend(TERMINATOR);
        line.extend(self.text);
        line.extend(TERMINATOR);
        line
    }
}

/// Encodes a request to cancel a statement that the engine runs.
pub fn encode_cancel(request_id: &RequestId) -> Vec<u8> {
    [b"undo ", &request_id[..], TERMINATOR].concat()
}

/// Encodes a request for a further page of a result. Page 0 arrives with
/// [`ResponseKind::Completed`].
pub fn encode_page_request(request_id: &RequestId, page: usize) -> Vec<u8> {
    let page = format!(" {page}");
    [b"page ", &request_id[..], page.as_bytes(), TERMINATOR].concat()
}

/// Encodes a message that the rest of a result will not be requested.
pub fn encode_release(request_id: &RequestId) -> Vec<u8> {
    [b"forget ", &request_id[..], TERMINATOR].concat()
}
