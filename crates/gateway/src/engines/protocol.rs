//! The codec of the engines' line protocol.
//!
//! A response is one line of four words, `REQUEST-ID KIND FIELDS LENGTH`, that ends in CR LF. A body of `LENGTH` bytes
//! and another CR LF follow. `FIELDS` are `name=value` pairs between commas.

use std::str::FromStr;

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// The longest response line, in bytes with its CR LF: an engine has no reason to send a longer one.
const MAX_HEAD_BYTES: usize = 1024;

/// The longest body of a response, in bytes: an engine has no reason to send a longer one.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// What ends a line and a body.
const TERMINATOR: &[u8] = b"\r\n";

/// What a read buffer must be able to hold, in bytes, so that every permitted response becomes complete in it.
pub const MAX_RESPONSE_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + 2 * TERMINATOR.len();

/// Bytes of an attempt's line beyond its statement: an estimate that spares most lines a second allocation.
const ATTEMPT_HEAD_ESTIMATE_BYTES: usize = 192;

/// The client's id of a statement: 16 hex digits, passed on as they came.
pub type RequestId = [u8; 16];

/// What a response tells of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The statement completed; the body is the first page of its result.
    Completed,
    /// The engine has no capacity for it, and did not run it.
    Rejected,
    /// It ended with an error.
    Failed,
    /// Its time was over before the engine ran it.
    Expired,
    /// It is still in flight; the fields tell how it gets on.
    Status,
    /// A further page of its result, as requested.
    Page,
    /// The reply to a ping. This gateway sends none, and ignores what comes.
    Pong,
}

impl ResponseKind {
    /// The kind by its word on the wire.
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
    /// The id of the request that it answers; not always one of ours.
    pub request_id: Bytes,
    /// What it tells.
    pub kind: ResponseKind,
    fields: Bytes,
    /// Its body, without the terminator.
    pub body: Bytes,
}

/// Why bytes are no response. The rest of what the connection brings cannot be used either.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The line does not end within the permitted length.
    #[error("a line of over {MAX_HEAD_BYTES} bytes")]
    LineTooLong,
    /// The line does not have its four words.
    #[error("not ID WORD FIELDS LENGTH")]
    MalformedLine,
    /// Its second word is the name of no [`ResponseKind`].
    #[error("unknown word")]
    UnknownKind,
    /// Its last word is no number, or more than a body may have.
    #[error("a length that is none, or over {MAX_BODY_BYTES}")]
    InvalidLength,
    /// No CR LF stands behind the body.
    #[error("a body that does not end where it should")]
    MissingTerminator,
}

/// Where the parts of a response stand in a read buffer, as its line tells.
struct ResponseLayout {
    kind: ResponseKind,
    /// Bytes of the line, without its terminator.
    line_bytes: usize,
    request_id_bytes: usize,
    /// Where the fields begin in the line.
    fields_start: usize,
    fields_bytes: usize,
    body_bytes: usize,
}

impl ResponseLayout {
    /// Reads a response's line, without its terminator.
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

    /// Bytes from the start of the line to the end of the body's terminator.
    fn total_bytes(&self) -> usize {
        self.line_bytes + TERMINATOR.len() + self.body_bytes + TERMINATOR.len()
    }
}

impl Response {
    /// Takes one response off the front of a read buffer; none where it is not complete yet.
    ///
    /// # Errors
    ///
    /// The bytes at the front are no response, and become none by what follows them.
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

    /// The value of the first field of that name.
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        self.fields
            .split(|byte| *byte == b',')
            .filter_map(|pair| pair.strip_prefix(name.as_bytes()))
            .find_map(|rest| rest.strip_prefix(b"="))
    }

    /// The value of the first field of that name, where it is a number of that type.
    pub fn number<T: FromStr>(&self, name: &str) -> Option<T> {
        parse_number(self.field(name)?)
    }

    /// The value of the first field of that name, where it is a measured quantity: finite and above zero.
    pub fn quantity(&self, name: &str) -> Option<f64> {
        self.number::<f64>(name)
            .filter(|value| value.is_finite() && *value > 0.0)
    }
}

fn parse_number<T: FromStr>(text: &[u8]) -> Option<T> {
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// The keys that a statement carries through to its engine unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementKeys {
    /// By which engines recognise a repeat of the statement.
    pub idempotency_key: Option<Box<str>>,
    /// Statements of one such key keep their order.
    pub ordering_key: Option<Box<str>>,
}

/// An attempt as its engine reads it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRequest<'a> {
    /// The client's id of the statement.
    pub request_id: RequestId,
    /// The name of its query class.
    pub class: &'a str,
    /// The engine has no use for the statement after this time, in milliseconds.
    pub timeout_ms: u64,
    /// 0 to 3; none where engines heed none.
    pub priority: Option<u8>,
    /// The keys that the statement carries.
    pub keys: &'a StatementKeys,
    /// The text of the statement.
    pub text: &'a [u8],
}

impl AttemptRequest<'_> {
    /// The attempt's bytes on the wire.
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

/// Asks the engine to cancel a statement that it runs.
pub fn encode_cancel(request_id: &RequestId) -> Vec<u8> {
    [b"undo ", &request_id[..], TERMINATOR].concat()
}

/// Requests a further page of a result; the first one, number 0, comes with [`ResponseKind::Completed`].
pub fn encode_page_request(request_id: &RequestId, page: usize) -> Vec<u8> {
    let page = format!(" {page}");
    [b"page ", &request_id[..], page.as_bytes(), TERMINATOR].concat()
}

/// Tells the engine that the rest of a result is not requested any more.
pub fn encode_release(request_id: &RequestId) -> Vec<u8> {
    [b"forget ", &request_id[..], TERMINATOR].concat()
}
