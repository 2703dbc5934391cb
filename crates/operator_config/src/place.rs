//! The line of a field in the text, for errors: the readers that check values no longer know it.

use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};

/// The line, from one, of the deepest part of `path` that the text has.
pub fn line(text: &str, path: &[String]) -> usize {
    let at = hcl_edit::parser::parse_body(text)
        .ok()
        .and_then(|body| offset(&body, path))
        .unwrap_or(0);
    1 + text.as_bytes()[..at.min(text.len())]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
}

fn offset(body: &Body, path: &[String]) -> Option<usize> {
    let (first, rest) = path.split_first()?;
    for structure in body.iter() {
        match structure {
            Structure::Attribute(attribute) if attribute.key.as_str() == first => {
                return attribute.key.span().map(|span| span.start);
            }
            Structure::Block(block) if block.ident.as_str() == first => {
                let labels = block.labels.iter().zip(rest);
                let same = labels.clone().all(|(label, step)| label.as_str() == step);
                if same {
                    let below = rest.get(block.labels.len()..).unwrap_or(&[]);
                    return offset(&block.body, below)
                        .or_else(|| block.ident.span().map(|span| span.start));
                }
            }
            _ => {}
        }
    }
    None
}
