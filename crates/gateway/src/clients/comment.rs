//! The comment ahead of a statement, whose fields tell what the statement is and how long its client waits.

use std::str::FromStr;

use thiserror::Error;

/// Longer budgets are no client's: above all a slip of units.
const MAX_BUDGET_MS: f64 = 3_600_000.0;

const MIN_BUDGET_MS: f64 = 1.0;

/// Idempotency keys are 32 digits and order keys 16; longer ones only cost memory.
const MAX_KEY_BYTES: usize = 128;

/// Digits of a request id.
const REQUEST_ID_BYTES: usize = 16;

/// Why a statement's comment cannot be used.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum CommentError {
    /// The text does not begin with a comment, or it does not end, or is not UTF-8.
    #[error("no comment with fields ahead of the statement")]
    NoComment,
    /// A field that every statement needs.
    #[error("the comment has no {0}")]
    MissingField(&'static str),
    /// A field without a value of use, or that stands twice.
    #[error("the comment's {0} cannot be used")]
    InvalidField(&'static str),
    /// Nothing follows the comment.
    #[error("no statement behind the comment")]
    NoStatement,
}

/// A statement with the fields of its comment; names and text are as they came.
#[derive(Debug, PartialEq)]
pub struct CommentedStatement<'a> {
    /// The name of its query class (`method`).
    pub class: &'a str,
    /// The client's own id of it, in hexadecimal digits (`rid`).
    pub request_id: [u8; REQUEST_ID_BYTES],
    /// How long the client waits from when it sent the statement, in milliseconds (`budget`).
    pub budget_ms: f64,
    /// Whose it is (`acct`).
    pub tenant: Option<&'a str>,
    /// The sub-queue of its tenant that it waits in (`desk`).
    pub sub_queue: Option<&'a str>,
    /// Its CPU as the client estimates it, in milliseconds (`est`).
    pub estimate_ms: Option<f64>,
    /// Its memory as the client estimates it, in MB (`mem`).
    pub memory_mb: Option<f64>,
    /// By which engines recognise its repeats (`token`); goes on to them as it came.
    pub idempotency_key: Option<&'a str>,
    /// Statements of one such key run one at a time (`obj`); goes on to engines as it came.
    pub order_key: Option<&'a str>,
    /// What follows the comment.
    pub text: &'a [u8],
}

impl<'a> CommentedStatement<'a> {
    /// Reads a query's text.
    ///
    /// # Errors
    ///
    /// There is no comment, no statement behind it, or the first field that is missing or cannot be used.
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

/// The comment's fields, and what follows it.
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

/// Fields of the form `name=value`, between commas.
#[derive(Clone, Copy)]
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    /// A field's value; none where there is no such field.
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

    /// A finite number from zero on.
    fn number(self, name: &'static str) -> Result<Option<f64>, CommentError> {
        match self.text(name)?.map(f64::from_str) {
            None => Ok(None),
            Some(Ok(value)) if value.is_finite() && value >= 0.0 => Ok(Some(value)),
            Some(_) => Err(CommentError::InvalidField(name)),
        }
    }

    /// Letters and digits only, so that it ends no field and no line on its way to an engine.
    fn key(self, name: &'static str) -> Result<Option<&'a str>, CommentError> {
        let Some(value) = self.text(name)? else {
            return Ok(None);
        };
        let is_plain = value.bytes().all(|byte| byte.is_ascii_alphanumeric());
        if value.len() > MAX_KEY_BYTES || !is_plain {
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
