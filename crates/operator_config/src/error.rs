//! The errors of reading an operator file.

use std::path::PathBuf;

use thiserror::Error;

/// An operator file cannot be used. Line numbers start at one.
#[derive(Debug, Error)]
pub enum OperatorConfigError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// A field is unknown, invalid or in conflict with another one.
    #[error("{file}:{line}: {field}: {why}", file = .file.display())]
    Field {
        /// The file.
        file: PathBuf,
        /// The line of the field.
        line: usize,
        /// The path of the field from the top of the file, joined by dots.
        field: String,
        /// The reason why the field is rejected.
        why: String,
    },
    /// The file is not valid HCL.
    #[error("{file}:{line}: {why}", file = .file.display())]
    Form {
        /// The file.
        file: PathBuf,
        /// The line where parsing failed.
        line: usize,
        /// The parser's message.
        why: String,
        /// Whether parsing failed at the end of the file, so that the file may be incomplete.
        is_at_end: bool,
    },
}

/// A field is unknown, invalid or in conflict with another one.
#[derive(Debug, PartialEq)]
pub struct FieldError {
    /// The names and labels of the enclosing blocks from the top of the file, then the field.
    pub path: Vec<String>,
    /// The reason why the field is rejected.
    pub why: String,
}

impl FieldError {
    pub(crate) fn new(path: &[&str], why: impl Into<String>) -> Self {
        FieldError {
            path: path.iter().map(ToString::to_string).collect(),
            why: why.into(),
        }
    }
}
