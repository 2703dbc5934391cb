//! Parses the comment that precedes a statement. Its fields carry the statement's query class, its
//! time budget and its other properties.

use std::str::FromStr;

use thiserror::Error;

/// The longest time budget that is accepted. A longer one is most likely given in the wrong unit.
const MAX_BUDGET_MS: f64 = 3_600_000.0;

const MIN_BUDGET_MS: f64 = 1.0;

/// The longest key that is accepted. Idempotency keys have 32 digits and order keys 16, so longer
/// keys would only use memory.
const MAX_KEY_BYTES: usize = 128;

/// The number of hexadecimal digits in a request id.
const REQUEST_ID_BYTES: usize = 16;

/// Why a statement and its comment are invalid.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum CommentError {
    /// The text does not start with a comment, or the comment is unterminated or not UTF-8.
    #[error("no comment with fields ahead of the statement")]
    NoComment,
    /// A required field is missing.
    #[error("the comment has no {0}")]
    MissingField(&'static str),
    /// A field has an invalid value or occurs twice.
    #[error("the comment's {0} cannot be used")]
    InvalidField(&'static str),
    /// Nothing follows the comment.
    #[error("no statement behind the comment")]
    NoStatement,
}

/// A statement with the fields of its comment. Text fields hold what the client sent, unchanged.
#[derive(Debug, PartialEq)]
pub struct CommentedStatement<'a> {
    /// The name of the query class (`method`).
    pub class: &'a str,
    /// The id that the client chose for the statement, as hexadecimal digits (`rid`).
    pub request_id: [u8; REQUEST_ID_BYTES],
    /// How long the client waits for the response after sending the statement, in milliseconds
    /// (`budget`).
    pub budget_ms: f64,
    /// The tenant that the statement belongs to (`acct`). `None` if the field is absent.
    pub tenant: Option<&'a str>,
    /// The sub-queue of the tenant in which the statement waits (`desk`). `None` if the field is
    /// absent.
    pub sub_queue: Option<&'a str>,
    /// The client's estimate of the CPU time, in milliseconds (`est`). `None` if the field is
    /// absent.
    pub estimate_ms: Option<f64>,
    /// The client's estimate of the memory, in MB (`mem`). `None` if the field is absent.
    pub memory_mb: Option<f64>,
    /// The key by which engines recognise repeats of the statement (`token`), passed on to them
    /// unchanged. `None` if the field is absent.
    pub idempotency_key: Option<&'a str>,
    /// The order key (`obj`), passed on to engines unchanged. Statements with the same key run one
    /// at a time. `None` if the field is absent.
    pub order_key: Option<&'a str>,
    /// The text after the comment.
    pub text: &'a [u8],
}

impl<'a> CommentedStatement<'a> {
    /// Parses a query's text.
    ///
    /// # Errors
    ///
    /// Fails if there is no comment, if no statement follows it, or if a required field is missing
    /// or any field is invalid. The error names the first such field.
    pub fn parse(query: &'a [u8]) -> Result<Self, CommentError> {
        let (fields, text) = split_comment(query)?;
        let request_id = fields.request_id()?;
        let budget_ms = fields.budget_ms()?;
        if text.is_empty() {
            return Err(CommentError::NoStatement);
        }
        Ok(CommentedStatement {
            class: fields.required("method")?,
            request_id,
            budget_ms,
            tenant: fields.text("acct")?,
            sub_queue: fields.text("desk")?,
            estimate_ms: fields.number("est")?,
            memory_mb: fields.number("mem")?,
            idempotency_key: fields.key("token")?,
            order_key: fields.key("obj")?,
            text,
        })
    }
}

/// Splits a query into the fields of its comment and the statement after it.
fn split_comment(query: &[u8]) -> Result<(Fields<'_>, &[u8]), CommentError> {
    let query = query.trim_ascii_start();
    let inner = query.strip_prefix(b"/*").ok_or(CommentError::NoComment)?;
    let end = inner
        .windows(2)
        .position(|pair| pair == b"*/")
        .ok_or(CommentError::NoComment)?;
    let fields = std::str::from_utf8(&inner[..end]).map_err(|_| CommentError::NoComment)?;
    let statement = inner[end + 2..].trim_ascii_start();
    Ok((Fields(fields), statement))
}

/// The comma-separated `name=value` fields of a comment.
#[derive(Clone, Copy)]
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    /// The value of a field, or `None` if the field is absent. Fails if the value is empty or the
    /// field occurs twice.
    fn text(self, name: &'static str) -> Result<Option<&'a str>, CommentError> {
        let mut values = self.0.split(',').filter_map(|field| {
            let (key, value) = field.split_once('=')?;
            (key.trim() == name).then(|| value.trim())
        });
        match (values.next(), values.next()) {
            (None, _) => Ok(None),
            (Some(value), None) if !value.is_empty() => Ok(Some(value)),
            _ => Err(CommentError::InvalidField(name)),
        }
    }

    fn required(self, name: &'static str) -> Result<&'a str, CommentError> {
        self.text(name)?.ok_or(CommentError::MissingField(name))
    }

    /// A field with a finite number that is not negative, or `None` if the field is absent.
    fn number(self, name: &'static str) -> Result<Option<f64>, CommentError> {
        match self.text(name)?.map(f64::from_str) {
            None => Ok(None),
            Some(Ok(value)) if value.is_finite() && value >= 0.0 => Ok(Some(value)),
            Some(_) => Err(CommentError::InvalidField(name)),
        }
    }

    /// A field that holds a key, or `None` if the field is absent. Only ASCII letters and digits
    /// are valid, so that a key cannot end a field or a line of the request to an engine.
    fn key(self, name: &'static str) -> Result<Option<&'a str>, CommentError> {
        let Some(value) = self.text(name)? else {
            return Ok(None);
        };
        let is_alphanumeric = value.bytes().all(|byte| byte.is_ascii_alphanumeric());
        if value.len() > MAX_KEY_BYTES || !is_alphanumeric {
            return Err(CommentError::InvalidField(name));
        }
        Ok(Some(value))
    }

    fn request_id(self) -> Result<[u8; REQUEST_ID_BYTES], CommentError> {
        let text = self.required("rid")?;
        let digits = <[u8; REQUEST_ID_BYTES]>::try_from(text.as_bytes())
            .map_err(|_| CommentError::InvalidField("rid"))?;
        if !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(CommentError::InvalidField("rid"));
        }
        Ok(digits)
    }

    fn budget_ms(self) -> Result<f64, CommentError> {
        let budget_ms = self
            .number("budget")?
            .ok_or(CommentError::MissingField("budget"))?;
        if !(MIN_BUDGET_MS..=MAX_BUDGET_MS).contains(&budget_ms) {
            return Err(CommentError::InvalidField("budget"));
        }
        Ok(budget_ms)
    }
}
