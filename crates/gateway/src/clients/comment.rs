//! The comment ahead of a statement, and the group of tables that the statement names.

use std::str::FromStr;

use thiserror::Error;

/// Longer budgets are no client's: above all a slip of units.
const LONGEST_BUDGET_MS: f64 = 3_600_000.0;

/// Marks are 32 digits and keys 16; longer ones only cost memory.
const LONGEST_WORD: usize = 128;

#[derive(Debug, Error, PartialEq, Eq)]
pub enum CommentError {
    #[error("no comment with fields ahead of the statement")]
    None,
    #[error("the comment has no {0}")]
    Missing(&'static str),
    #[error("the comment's {0} cannot be used")]
    Unusable(&'static str),
    #[error("no statement behind the comment")]
    Empty,
}

/// A statement with its fields; names and text as they came.
#[derive(Debug, PartialEq)]
pub struct Commented<'a> {
    pub class: &'a str,
    pub rid: [u8; 16],
    pub budget_ms: f64,
    pub tenant: Option<&'a str>,
    pub desk: Option<&'a str>,
    pub estimate_ms: Option<f64>,
    pub memory_mb: Option<f64>,
    /// By which engines know a repeat, and what it keeps its order by; both go on as they came.
    pub mark: Option<&'a str>,
    pub key: Option<&'a str>,
    pub statement: &'a [u8],
}

pub fn read(text: &[u8]) -> Result<Commented<'_>, CommentError> {
    let text = text.trim_ascii_start();
    let inner = text.strip_prefix(b"/*").ok_or(CommentError::None)?;
    let end = inner
        .windows(2)
        .position(|pair| pair == b"*/")
        .ok_or(CommentError::None)?;
    let fields = std::str::from_utf8(&inner[..end]).map_err(|_| CommentError::None)?;
    let statement = inner[end + 2..].trim_ascii_start();
    let field = |name: &'static str| {
        let mut values = fields.split(',').filter_map(|field| {
            let (key, value) = field.split_once('=')?;
            (key.trim() == name).then(|| value.trim())
        });
        match (values.next(), values.next()) {
            (None, _) => Ok(None),
            (Some(value), None) if !value.is_empty() => Ok(Some(value)),
            _ => Err(CommentError::Unusable(name)),
        }
    };
    let number = |name| match field(name)?.map(f64::from_str) {
        None => Ok(None),
        Some(Ok(value)) if value.is_finite() && value >= 0.0 => Ok(Some(value)),
        Some(_) => Err(CommentError::Unusable(name)),
    };
    // Neither may end a field or a line on its way on.
    let plain = |name| match field(name)? {
        Some(value)
            if value.len() > LONGEST_WORD
                || !value.bytes().all(|byte| byte.is_ascii_alphanumeric()) =>
        {
            Err(CommentError::Unusable(name))
        }
        value => Ok(value),
    };
    let rid = field("rid")?.ok_or(CommentError::Missing("rid"))?;
    let rid = <[u8; 16]>::try_from(rid.as_bytes()).map_err(|_| CommentError::Unusable("rid"))?;
    if !rid.iter().all(u8::is_ascii_hexdigit) {
        return Err(CommentError::Unusable("rid"));
    }
    let budget_ms = number("budget")?.ok_or(CommentError::Missing("budget"))?;
    if !(1.0..=LONGEST_BUDGET_MS).contains(&budget_ms) {
        return Err(CommentError::Unusable("budget"));
    }
    if statement.is_empty() {
        return Err(CommentError::Empty);
    }
    Ok(Commented {
        class: field("method")?.ok_or(CommentError::Missing("method"))?,
        rid,
        budget_ms,
        tenant: field("acct")?,
        desk: field("desk")?,
        estimate_ms: number("est")?,
        memory_mb: number("mem")?,
        mark: plain("token")?,
        key: plain("obj")?,
        statement,
    })
}

/// The number behind the underscore in the name of the schema that is read or written. Names in strings and
/// comments do not count, nor does `staging`; what follows a keyword for tables comes before other names.
pub fn table_group(statement: &[u8]) -> Option<u32> {
    let mut words = Words(statement).peekable();
    let (mut first, mut after_keyword) = (None, false);
    while let Some(word) = words.next() {
        let Word::Name(name) = word else {
            // A further table of the same list.
            after_keyword &= matches!(word, Word::Other(b'('));
            continue;
        };
        let tables = [&b"from"[..], b"join", b"into", b"update", b"table"];
        if tables
            .iter()
            .any(|keyword| name.eq_ignore_ascii_case(keyword))
        {
            after_keyword = true;
            continue;
        }
        if words.peek() == Some(&Word::Other(b'.')) && !name.eq_ignore_ascii_case(b"staging") {
            match group(name) {
                Some(group) if after_keyword => return Some(group),
                group => first = first.or(group),
            }
        }
        after_keyword = false;
    }
    first
}

fn group(schema: &[u8]) -> Option<u32> {
    let at = schema.iter().rposition(|byte| *byte == b'_')?;
    std::str::from_utf8(&schema[at + 1..]).ok()?.parse().ok()
}

#[derive(Debug, PartialEq)]
enum Word<'a> {
    Name(&'a [u8]),
    Other(u8),
}

/// The names and signs of a statement, without strings and comments.
struct Words<'a>(&'a [u8]);

impl<'a> Words<'a> {
    fn until(&mut self, from: usize, end: &[u8]) -> &'a [u8] {
        let text = self.0;
        let rest = text.get(from..).unwrap_or(&[]);
        let at = rest.windows(end.len()).position(|window| window == end);
        self.0 = at.map_or(&[], |at| &rest[at + end.len()..]);
        at.map_or(rest, |at| &rest[..at])
    }

    fn string(&mut self, quote: u8) {
        let mut at = 1;
        while at < self.0.len() {
            match self.0[at] {
                b'\\' => at += 2,
                // A doubled quote reads as two strings side by side, which is the same here.
                byte if byte == quote => break,
                _ => at += 1,
            }
        }
        self.0 = self.0.get(at + 1..).unwrap_or(&[]);
    }
}

impl<'a> Iterator for Words<'a> {
    type Item = Word<'a>;

    fn next(&mut self) -> Option<Word<'a>> {
        loop {
            self.0 = self.0.trim_ascii_start();
            match *self.0 {
                [] => return None,
                [quote @ (b'\'' | b'"'), ..] => self.string(quote),
                [b'/', b'*', ..] => drop(self.until(2, b"*/")),
                [b'#', ..] | [b'-', b'-', ..] => drop(self.until(1, b"\n")),
                [b'`', ..] => return Some(Word::Name(self.until(1, b"`"))),
                [byte, ..] => {
                    let named = |byte: &u8| {
                        byte.is_ascii_alphanumeric() || b"_$".contains(byte) || *byte > 127
                    };
                    let end = self
                        .0
                        .iter()
                        .position(|byte| !named(byte))
                        .unwrap_or(self.0.len());
                    if end == 0 {
                        self.0 = &self.0[1..];
                        return Some(Word::Other(byte));
                    }
                    let (name, rest) = self.0.split_at(end);
                    self.0 = rest;
                    return Some(Word::Name(name));
                }
            }
        }
    }
}
