//! What is wrong with frames.

use std::io;

use thiserror::Error;

/// A batch that cannot be read.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The input failed.
    #[error("input: {0}")]
    Io(#[from] io::Error),
    /// The input ended inside a batch.
    #[error("batch {batch}: cut off: {got} of {want} bytes of the {part}")]
    CutOff {
        /// The batch's number.
        batch: u32,
        /// The part that is not whole.
        part: &'static str,
        /// Bytes that came.
        got: usize,
        /// Bytes of the whole part.
        want: usize,
    },
    /// The length does not hold as many records as the header counts.
    #[error("batch {batch}: length {length} does not hold {count} records")]
    Length {
        /// The batch's number.
        batch: u32,
        /// The header's length.
        length: u32,
        /// The header's number of records.
        count: u32,
    },
    /// A code that the wire does not have.
    #[error("batch {batch}, record {record}: unknown {what} {code}")]
    Unknown {
        /// The batch's number.
        batch: u32,
        /// The record's place in the batch.
        record: usize,
        /// What the code is of.
        what: &'static str,
        /// The code.
        code: u64,
    },
    /// A range that the tail does not have.
    #[error(
        "batch {batch}, record {record}: {what} at {offset}, {count} long, outside a tail of {tail} bytes"
    )]
    Outside {
        /// The batch's number.
        batch: u32,
        /// The record's place in the batch.
        record: usize,
        /// What the range holds.
        what: &'static str,
        /// Where the range begins.
        offset: u32,
        /// How many bytes or entries it has.
        count: u32,
        /// Bytes of the tail.
        tail: usize,
    },
}
