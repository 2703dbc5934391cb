//! Reads batches of events.

use std::io::Read;

use super::FrameError;

/// Bytes of a batch's header.
const HEADER: usize = 20;
/// Bytes of the header's last field, which the length counts.
const COUNT_FIELD: usize = 4;
/// Bytes of an event record.
const EVENT: usize = 48;
/// Bytes of an engine's entry in a list.
const ENTRY: usize = 23;

/// One batch as it came: its records are read in place.
#[derive(Debug)]
pub struct Batch {
    /// Its number, which the reply repeats.
    pub number: u32,
    /// The time of all its events, in seconds.
    pub clock: f64,
    body: Vec<u8>,
    count: usize,
}

/// Reads the next batch; none where the input ended before it.
///
/// # Errors
///
/// Where the input fails or ends inside the batch, or its length does not hold its records.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, FrameError> {
    let mut head = Vec::with_capacity(HEADER);
    input.take(HEADER as u64).read_to_end(&mut head)?;
    if head.is_empty() {
        return Ok(None);
    }
    let batch = if head.len() >= 4 {
        Fields(&head).u32(0)
    } else {
        0
    };
    if head.len() < HEADER {
        return Err(FrameError::CutOff {
            batch,
            part: "header",
            got: head.len(),
            want: HEADER,
        });
    }
    let head = Fields(&head);
    let length = head.u32(12);
    let count = head.u32(16);
    let least = COUNT_FIELD as u64 + u64::from(count) * EVENT as u64;
    if u64::from(length) < least {
        return Err(FrameError::Length {
            batch,
            length,
            count,
        });
    }
    let want = length as usize - COUNT_FIELD;
    // The buffer grows with what arrives, never with what the header claims.
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
        clock: head.f64(4),
        body,
        count: count as usize,
    }))
}

impl Batch {
    /// The event records, each with its place in the batch.
    pub fn records(&self) -> impl Iterator<Item = (usize, Fields<'_>)> {
        self.body[..self.count * EVENT]
            .chunks_exact(EVENT)
            .map(Fields)
            .enumerate()
    }

    fn tail(&self) -> &[u8] {
        &self.body[self.count * EVENT..]
    }

    /// The bytes of so many entries of the tail.
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

    /// A text of the tail.
    ///
    /// # Errors
    ///
    /// Where the range lies outside the tail.
    pub fn text(&self, record: usize, range: TailRange) -> Result<String, FrameError> {
        let bytes = self.within(record, "text", range, 1)?;
        Ok(String::from_utf8_lossy(bytes).into_owned())
    }

    /// The entries of a list in the tail.
    ///
    /// # Errors
    ///
    /// Where the range lies outside the tail.
    pub fn entries(
        &self,
        record: usize,
        range: TailRange,
    ) -> Result<impl Iterator<Item = Fields<'_>>, FrameError> {
        let bytes = self.within(record, "list", range, ENTRY)?;
        Ok(bytes.chunks_exact(ENTRY).map(Fields))
    }

    /// The error of a code in this batch that the wire does not have.
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

/// Where data of no fixed size stands in a batch's tail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TailRange {
    /// Bytes from the start of the tail.
    pub offset: u32,
    /// Bytes of a text, entries of a list.
    pub count: u32,
}

/// The bytes of one record or entry; positions are the wire page's. Each panics past the end of the record.
#[derive(Clone, Copy)]
pub struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(self, position: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[position..position + N]);
        bytes
    }

    /// One byte.
    #[must_use]
    pub fn u8(self, position: usize) -> u8 {
        self.0[position]
    }

    /// Two bytes.
    #[must_use]
    pub fn u16(self, position: usize) -> u16 {
        u16::from_le_bytes(self.bytes(position))
    }

    /// Four bytes.
    #[must_use]
    pub fn u32(self, position: usize) -> u32 {
        u32::from_le_bytes(self.bytes(position))
    }

    /// Eight bytes.
    #[must_use]
    pub fn u64(self, position: usize) -> u64 {
        u64::from_le_bytes(self.bytes(position))
    }

    /// A fraction of four bytes.
    #[must_use]
    pub fn f32(self, position: usize) -> f64 {
        f32::from_le_bytes(self.bytes(position)).into()
    }

    /// A fraction of eight bytes.
    #[must_use]
    pub fn f64(self, position: usize) -> f64 {
        f64::from_le_bytes(self.bytes(position))
    }

    /// A range of the tail.
    #[must_use]
    pub fn range(self, position: usize) -> TailRange {
        TailRange {
            offset: self.u32(position),
            count: self.u32(position + 4),
        }
    }
}
