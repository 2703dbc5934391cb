//! The line of a field in the text, for errors: the readers that check values no longer know it.

use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};

/// The line, from one, of the deepest part of a field's path that the text has.
pub(crate) fn line_of_field(text: &str, path: &[String]) -> usize {
    let found = hcl_edit::parser::parse_body(text)
        .ok()
        .and_then(|body| offset_of_field(&body, path));
    let offset = found.unwrap_or(0).min(text.len());
    let before = &text.as_bytes()[..offset];
    1 + before.iter().filter(|byte| **byte == b'\n').count()
}

/// The offset in bytes of the deepest part of the path.
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
                let below = rest.get(block.labels.len()..).unwrap_or(&[]);
                let deeper = offset_of_field(&block.body, below);
                return deeper.or_else(|| block.ident.span().map(|span| span.start));
            }
            Structure::Attribute(_) | Structure::Block(_) => {}
        }
    }
    None
}
