//! The errors of reading frames.

use std::io;

use thiserror::Error;

/// A batch that cannot be read.
#[derive(Debug, Error)]
pub enum FrameError {
    /// Reading the input failed.
    #[error("input: {0}")]
    Io(#[from] io::Error),
    /// The input ended inside a batch.
    #[error("batch {batch}: cut off: {got} of {want} bytes of the {part}")]
    CutOff {
        /// The number of the batch.
        batch: u32,
        /// The part that is incomplete.
        part: &'static str,
        /// The number of bytes that were read.
        got: usize,
        /// The number of bytes that the part should have.
        want: usize,
    },
    /// The length in the header is too small for the number of records in the header.
    #[error("batch {batch}: length {length} does not hold {count} records")]
    Length {
        /// The number of the batch.
        batch: u32,
        /// The length in the header, in bytes.
        length: u32,
        /// The number of records in the header.
        count: u32,
    },
    /// A code is not defined by the protocol.
    #[error("batch {batch}, record {record}: unknown {what} {code}")]
    Unknown {
        /// The number of the batch.
        batch: u32,
        /// The index of the record in the batch.
        record: usize,
        /// The kind of the code.
        what: &'static str,
        /// The code.
        code: u64,
    },
    /// A range lies outside the batch's tail.
    #[error(
        "batch {batch}, record {record}: {what} at {offset}, {count} long, outside a tail of {tail} bytes"
    )]
    Outside {
        /// The number of the batch.
        batch: u32,
        /// The index of the record in the batch.
        record: usize,
        /// The kind of data in the range.
        what: &'static str,
        /// The start of the range, in bytes from the start of the tail.
        offset: u32,
        /// The number of bytes or entries in the range.
        count: u32,
        /// The length of the tail, in bytes.
        tail: usize,
    },
}
