//! Why an operator's file cannot be used.

use std::path::PathBuf;

use thiserror::Error;

/// Why a file cannot be used. Lines count from one.
#[derive(Debug, Error)]
pub enum OperatorConfigError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    /// A field is unknown, cannot be used or contradicts another.
    #[error("{file}:{line}: {field}: {why}", file = .file.display())]
    Field {
        /// The file.
        file: PathBuf,
        /// The line of the field.
        line: usize,
        /// Its path from the top, joined by dots.
        field: String,
        /// What is wrong with it.
        why: String,
    },
    /// The file is no HCL.
    #[error("{file}:{line}: {why}", file = .file.display())]
    Form {
        /// The file.
        file: PathBuf,
        /// The line where reading ended.
        line: usize,
        /// What is wrong there.
        why: String,
    },
}

/// A field that cannot be used, by its path from the top.
#[derive(Debug, PartialEq)]
pub struct FieldError {
    /// Blocks, their labels, and the field.
    pub path: Vec<String>,
    /// What is wrong with it.
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
