//! Finds the line of a field for error messages. The deserialized values that are validated carry
//! no position.

use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};

/// The line of a field, counted from one. If the text does not have the whole path, this is the
/// line of the innermost block of the path that it has, or else the first line.
pub(crate) fn line_of_field(text: &str, path: &[String]) -> usize {
    let found = hcl_edit::parser::parse_body(text)
        .ok()
        .and_then(|body| offset_of_field(&body, path));
    let offset = found.unwrap_or(0).min(text.len());
    let before = &text.as_bytes()[..offset];
    1 + before.iter().filter(|byte| **byte == b'\n').count()
}

/// The byte offset of the deepest part of the path that `body` has, or `None` if it has no part.
fn offset_of_field(body: &Body, path: &[String]) -> Option<usize> {
    let (first, rest) = path.split_first()?;
    for structure in body {
        match structure {
            Structure::Attribute(attribute) if attribute.key.as_str() == first => {
                return attribute.key.span().map(|span| span.start);
            }
            Structure::Block(block) if block.ident.as_str() == first => {
                let mut labels = block.labels.iter().zip(rest);
                if !labels.all(|(label, step)| label.as_str() == step) {
                    continue;
                }
                let remaining = rest.get(block.labels.len()..).unwrap_or(&[]);
                let inner_offset = offset_of_field(&block.body, remaining);
                return inner_offset.or_else(|| block.ident.span().map(|span| span.start));
            }
            Structure::Attribute(_) | Structure::Block(_) => {}
        }
    }
    None
}
