//! Reads batches of events.

use std::io::Read;

use super::FrameError;

/// The size of a batch's header, in bytes.
const HEADER: usize = 20;
/// The size of the record count, in bytes. It is the last field of the header, and the length in
/// the header includes it.
const COUNT_FIELD: usize = 4;
/// The size of an event record, in bytes.
const EVENT: usize = 48;
/// The size of an engine's entry in a list, in bytes.
const ENTRY: usize = 23;

/// One batch of events. Its records are decoded in place.
#[derive(Debug)]
pub struct Batch {
    /// The number of the batch, which the reply repeats.
    pub number: u32,
    /// The time of all its events, in seconds.
    pub clock: f64,
    body: Vec<u8>,
    count: usize,
}

/// Reads the next batch. Returns `None` if the input has ended.
///
/// # Errors
///
/// The input fails or ends inside the batch, or the batch's length is too small for its records.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, FrameError> {
    let mut header = Vec::with_capacity(HEADER);
    input.take(HEADER as u64).read_to_end(&mut header)?;
    if header.is_empty() {
        return Ok(None);
    }
    let batch = if header.len() >= 4 {
        Fields(&header).u32(0)
    } else {
        0
    };
    if header.len() < HEADER {
        return Err(FrameError::CutOff {
            batch,
            part: "header",
            got: header.len(),
            want: HEADER,
        });
    }
    let header = Fields(&header);
    let length = header.u32(12);
    let count = header.u32(16);
    let min_length = COUNT_FIELD as u64 + u64::from(count) * EVENT as u64;
    if u64::from(length) < min_length {
        return Err(FrameError::Length {
            batch,
            length,
            count,
        });
    }
    let want = length as usize - COUNT_FIELD;
    // The buffer grows with the bytes that arrive, so a wrong length in the header allocates
    // nothing.
    let mut body = Vec::new();
    input.take(want as u64).read_to_end(&mut body)?;
    if body.len() < want {
        return Err(FrameError::CutOff {
            batch,
            part: "body",
            got: body.len(),
            want,
        });
    }
    Ok(Some(Batch {
        number: batch,
        clock: header.f64(4),
        body,
        count: count as usize,
    }))
}

impl Batch {
    /// The event records, each with its index in the batch.
    pub fn records(&self) -> impl Iterator<Item = (usize, Fields<'_>)> {
        self.body[..self.count * EVENT]
            .chunks_exact(EVENT)
            .map(Fields)
            .enumerate()
    }

    /// The data of variable size after the records.
    fn tail(&self) -> &[u8] {
        &self.body[self.count * EVENT..]
    }

    /// The bytes of a range of the tail, whose entries have `entry_size` bytes each.
    fn within(
        &self,
        record: usize,
        what: &'static str,
        range: TailRange,
        entry_size: usize,
    ) -> Result<&[u8], FrameError> {
        let TailRange { offset, count } = range;
        let tail = self.tail();
        let end = (count as usize)
            .checked_mul(entry_size)
            .and_then(|length| length.checked_add(offset as usize));
        end.and_then(|end| tail.get(offset as usize..end))
            .ok_or(FrameError::Outside {
                batch: self.number,
                record,
                what,
                offset,
                count,
                tail: tail.len(),
            })
    }

    /// A text in the tail. Invalid UTF-8 is replaced.
    ///
    /// # Errors
    ///
    /// The range lies outside the tail.
    pub fn text(&self, record: usize, range: TailRange) -> Result<String, FrameError> {
        let bytes = self.within(record, "text", range, 1)?;
        Ok(String::from_utf8_lossy(bytes).into_owned())
    }

    /// The entries of a list in the tail.
    ///
    /// # Errors
    ///
    /// The range lies outside the tail.
    pub fn entries(
        &self,
        record: usize,
        range: TailRange,
    ) -> Result<impl Iterator<Item = Fields<'_>>, FrameError> {
        let bytes = self.within(record, "list", range, ENTRY)?;
        Ok(bytes.chunks_exact(ENTRY).map(Fields))
    }

    /// The error for a code in this batch that the protocol does not define.
    #[must_use]
    pub fn unknown(&self, record: usize, what: &'static str, code: u64) -> FrameError {
        FrameError::Unknown {
            batch: self.number,
            record,
            what,
            code,
        }
    }
}

/// The position of data of variable size in a batch's tail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TailRange {
    /// The offset in bytes from the start of the tail.
    pub offset: u32,
    /// The number of bytes of a text, or of entries of a list.
    pub count: u32,
}

/// The bytes of one record or entry. Positions are those of the protocol's specification, and
/// numbers are little-endian. The methods panic if the position is beyond the end of the record.
#[derive(Clone, Copy)]
pub struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(self, position: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[position..position + N]);
        bytes
    }

    /// The unsigned integer of one byte at `position`.
    #[must_use]
    pub fn u8(self, position: usize) -> u8 {
        self.0[position]
    }

    /// The unsigned integer of two bytes at `position`.
    #[must_use]
    pub fn u16(self, position: usize) -> u16 {
        u16::from_le_bytes(self.bytes(position))
    }

    /// The unsigned integer of four bytes at `position`.
    #[must_use]
    pub fn u32(self, position: usize) -> u32 {
        u32::from_le_bytes(self.bytes(position))
    }

    /// The unsigned integer of eight bytes at `position`.
    #[must_use]
    pub fn u64(self, position: usize) -> u64 {
        u64::from_le_bytes(self.bytes(position))
    }

    /// The single-precision number at `position`.
    #[must_use]
    pub fn f32(self, position: usize) -> f64 {
        f32::from_le_bytes(self.bytes(position)).into()
    }

    /// The double-precision number at `position`.
    #[must_use]
    pub fn f64(self, position: usize) -> f64 {
        f64::from_le_bytes(self.bytes(position))
    }

    /// The range of the tail that is stored at `position`.
    #[must_use]
    pub fn range(self, position: usize) -> TailRange {
        TailRange {
            offset: self.u32(position),
            count: self.u32(position + 4),
        }
    }
}
