//! Derives the table group that a statement reads or writes from the schema names in its text.

use std::iter::Peekable;

/// Keywords that are followed by a table name.
const TABLE_KEYWORDS: [&[u8]; 5] = [b"from", b"join", b"into", b"update", b"table"];

/// The schema in which incoming batches are staged. It belongs to no table group.
const STAGING: &[u8] = b"staging";

/// Returns the table group of a statement: the number after the last underscore in a schema name.
///
/// The first schema with a number that follows a keyword such as `FROM` decides; without one, the
/// first schema with a number anywhere does. Names in strings and comments are ignored, and so is
/// the schema `staging`. Returns `None` if no schema name ends in a number.
#[must_use]
pub fn table_group(statement: &[u8]) -> Option<u32> {
    let mut tokens = Tokens(statement).peekable();
    let mut first_group = None;
    let mut after_keyword = false;
    while let Some(token) = tokens.next() {
        let Token::Name(name) = token else {
            // An opening parenthesis may start a list of tables, so the keyword still applies.
            after_keyword &= token == Token::Punctuation(b'(');
            continue;
        };
        if is_table_keyword(name) {
            after_keyword = true;
            continue;
        }
        if is_schema(name, &mut tokens) {
            let group = schema_group(name);
            if after_keyword && group.is_some() {
                return group;
            }
            first_group = first_group.or(group);
        }
        after_keyword = false;
    }
    first_group
}

fn is_table_keyword(name: &[u8]) -> bool {
    let is_name = |keyword: &&[u8]| name.eq_ignore_ascii_case(keyword);
    TABLE_KEYWORDS.iter().any(is_name)
}

/// Whether `name` is a schema other than the staging schema, that is, whether a dot follows it.
fn is_schema(name: &[u8], rest: &mut Peekable<Tokens<'_>>) -> bool {
    rest.peek() == Some(&Token::Punctuation(b'.')) && !name.eq_ignore_ascii_case(STAGING)
}

fn schema_group(schema: &[u8]) -> Option<u32> {
    let underscore = schema.iter().rposition(|byte| *byte == b'_')?;
    std::str::from_utf8(&schema[underscore + 1..])
        .ok()?
        .parse()
        .ok()
}

/// A token of a statement's text, as far as finding schema names needs it.
#[derive(Debug, PartialEq, Eq)]
enum Token<'a> {
    /// A keyword or an identifier, without backquotes.
    Name(&'a [u8]),
    /// Any other byte that is not whitespace.
    Punctuation(u8),
}

/// Iterates over the tokens of the rest of a statement, skipping strings and comments.
struct Tokens<'a>(&'a [u8]);

impl<'a> Tokens<'a> {
    /// Takes the bytes from `start` up to `end` and skips `end` itself. Takes the whole rest if
    /// `end` does not occur.
    fn take_until(&mut self, start: usize, end: &[u8]) -> &'a [u8] {
        let rest = self.0.get(start..).unwrap_or(&[]);
        let Some(position) = rest.windows(end.len()).position(|window| window == end) else {
            self.0 = &[];
            return rest;
        };
        self.0 = &rest[position + end.len()..];
        &rest[..position]
    }

    /// Skips the quoted string that starts here.
    fn skip_string(&mut self, quote: u8) {
        let mut position = 1;
        while position < self.0.len() {
            match self.0[position] {
                b'\\' => position += 2,
                // A doubled quote is seen as two adjacent strings, which are skipped alike.
                byte if byte == quote => break,
                _ => position += 1,
            }
        }
        self.0 = self.0.get(position + 1..).unwrap_or(&[]);
    }

    /// Takes the name that starts here, or a single byte of punctuation if none does.
    fn take_name_or_punctuation(&mut self, first: u8) -> Token<'a> {
        let name_end = self.0.iter().position(|byte| !is_name_byte(*byte));
        let name_bytes = name_end.unwrap_or(self.0.len());
        if name_bytes == 0 {
            self.0 = &self.0[1..];
            return Token::Punctuation(first);
        }
        let (name, rest) = self.0.split_at(name_bytes);
        self.0 = rest;
        Token::Name(name)
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"_$".contains(&byte) || !byte.is_ascii()
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            self.0 = self.0.trim_ascii_start();
            match *self.0 {
                [] => return None,
                [quote @ (b'\'' | b'"'), ..] => self.skip_string(quote),
                [b'/', b'*', ..] => {
                    self.take_until(2, b"*/");
                }
                [b'#', ..] | [b'-', b'-', ..] => {
                    self.take_until(1, b"\n");
                }
                [b'`', ..] => return Some(Token::Name(self.take_until(1, b"`"))),
                [first, ..] => return Some(self.take_name_or_punctuation(first)),
            }
        }
    }
}
