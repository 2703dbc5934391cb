//! The group of tables that a statement reads or writes, as its schemas' names tell it.

use std::iter::Peekable;

/// Keywords that the name of a table follows.
const TABLE_KEYWORDS: [&[u8]; 5] = [b"from", b"join", b"into", b"update", b"table"];

/// The schema of batches on their way in, which belongs to no group.
const STAGING: &[u8] = b"staging";

/// The number behind the last underscore in the name of the schema that is read or written.
///
/// Names in strings and comments do not count, nor does `staging`; a schema that follows a keyword for tables comes
/// before all others. None: the statement names no schema with a number.
#[must_use]
pub fn table_group(statement: &[u8]) -> Option<u32> {
    let mut tokens = Tokens(statement).peekable();
    let mut first_group = None;
    let mut after_keyword = false;
    while let Some(token) = tokens.next() {
        let Token::Name(name) = token else {
            // A parenthesis may open a list of tables.
            after_keyword &= token == Token::Sign(b'(');
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

/// Whether the name stands ahead of a dot, and is not that of the staging schema.
fn is_schema(name: &[u8], rest: &mut Peekable<Tokens<'_>>) -> bool {
    rest.peek() == Some(&Token::Sign(b'.')) && !name.eq_ignore_ascii_case(STAGING)
}

fn schema_group(schema: &[u8]) -> Option<u32> {
    let underscore = schema.iter().rposition(|byte| *byte == b'_')?;
    std::str::from_utf8(&schema[underscore + 1..])
        .ok()?
        .parse()
        .ok()
}

#[derive(Debug, PartialEq, Eq)]
enum Token<'a> {
    /// A keyword or a name, without its backquotes.
    Name(&'a [u8]),
    /// Any other byte.
    Sign(u8),
}

/// The names and signs of the rest of a statement, without strings and comments.
struct Tokens<'a>(&'a [u8]);

impl<'a> Tokens<'a> {
    /// Takes what stands from `start` to `end`, and drops `end` too; all that is left where there is no end.
    fn take_until(&mut self, start: usize, end: &[u8]) -> &'a [u8] {
        let rest = self.0.get(start..).unwrap_or(&[]);
        let Some(position) = rest.windows(end.len()).position(|window| window == end) else {
            self.0 = &[];
            return rest;
        };
        self.0 = &rest[position + end.len()..];
        &rest[..position]
    }

    /// Drops the string that begins here.
    fn skip_string(&mut self, quote: u8) {
        let mut position = 1;
        while position < self.0.len() {
            match self.0[position] {
                b'\\' => position += 2,
                // A doubled quote reads as two strings side by side, which is the same here.
                byte if byte == quote => break,
                _ => position += 1,
            }
        }
        self.0 = self.0.get(position + 1..).unwrap_or(&[]);
    }

    /// Takes the name that begins here, or else one sign.
    fn take_name_or_sign(&mut self, first: u8) -> Token<'a> {
        let name_end = self.0.iter().position(|byte| !is_name_byte(*byte));
        let name_bytes = name_end.unwrap_or(self.0.len());
        if name_bytes == 0 {
            self.0 = &self.0[1..];
            return Token::Sign(first);
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
                [first, ..] => return Some(self.take_name_or_sign(first)),
            }
        }
    }
}
