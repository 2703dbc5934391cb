//! The wire's binary frames: batches of events in, replies of actions out.

use std::io::{self, Read};

use thiserror::Error;

const EVENT: usize = 48;
const ACTION: usize = 24;
const ENTRY: usize = 23;

#[derive(Debug, Error)]
pub enum FrameError {
    #[error("input: {0}")]
    Io(#[from] io::Error),
    #[error("batch {batch}: cut off: {got} of {want} bytes of the {part}")]
    CutOff {
        batch: u32,
        part: &'static str,
        got: usize,
        want: usize,
    },
    #[error("batch {batch}: length {length} does not hold {count} records")]
    Length { batch: u32, length: u32, count: u32 },
    #[error("batch {batch}, record {record}: unknown {what} {code}")]
    Unknown {
        batch: u32,
        record: usize,
        what: &'static str,
        code: u64,
    },
    #[error(
        "batch {batch}, record {record}: {what} at {offset}, {count} long, outside a tail of {tail} bytes"
    )]
    Outside {
        batch: u32,
        record: usize,
        what: &'static str,
        offset: u32,
        count: u32,
        tail: usize,
    },
}

/// One batch as it came: its records are read in place.
#[derive(Debug)]
pub struct Batch {
    pub number: u32,
    pub clock: f64,
    body: Vec<u8>,
    count: usize,
}

pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, FrameError> {
    let mut head = Vec::with_capacity(20);
    input.take(20).read_to_end(&mut head)?;
    if head.is_empty() {
        return Ok(None);
    }
    let batch = if head.len() >= 4 {
        Fields(&head).u32(0)
    } else {
        0
    };
    if head.len() < 20 {
        return Err(FrameError::CutOff {
            batch,
            part: "header",
            got: head.len(),
            want: 20,
        });
    }
    let head = Fields(&head);
    let (length, count) = (head.u32(12), head.u32(16));
    if u64::from(length) < 4 + u64::from(count) * EVENT as u64 {
        return Err(FrameError::Length {
            batch,
            length,
            count,
        });
    }
    let want = length as usize - 4;
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
    pub fn records(&self) -> impl Iterator<Item = (usize, Fields<'_>)> {
        self.body[..self.count * EVENT]
            .chunks_exact(EVENT)
            .map(Fields)
            .enumerate()
    }

    fn tail(&self) -> &[u8] {
        &self.body[self.count * EVENT..]
    }

    fn within(
        &self,
        record: usize,
        what: &'static str,
        at: (u32, u32),
        size: usize,
    ) -> Result<&[u8], FrameError> {
        let (offset, count) = at;
        let tail = self.tail();
        let end = (count as usize)
            .checked_mul(size)
            .and_then(|len| len.checked_add(offset as usize));
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

    pub fn text(&self, record: usize, at: (u32, u32)) -> Result<String, FrameError> {
        Ok(String::from_utf8_lossy(self.within(record, "text", at, 1)?).into_owned())
    }

    pub fn entries(
        &self,
        record: usize,
        at: (u32, u32),
    ) -> Result<impl Iterator<Item = Fields<'_>>, FrameError> {
        Ok(self
            .within(record, "list", at, ENTRY)?
            .chunks_exact(ENTRY)
            .map(Fields))
    }

    pub fn unknown(&self, record: usize, what: &'static str, code: u64) -> FrameError {
        FrameError::Unknown {
            batch: self.number,
            record,
            what,
            code,
        }
    }
}

/// The bytes of one record or entry; positions are the wire page's.
#[derive(Clone, Copy)]
pub struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(self, at: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[at..at + N]);
        bytes
    }

    pub fn u8(self, at: usize) -> u8 {
        self.0[at]
    }

    pub fn u16(self, at: usize) -> u16 {
        u16::from_le_bytes(self.bytes(at))
    }

    pub fn u32(self, at: usize) -> u32 {
        u32::from_le_bytes(self.bytes(at))
    }

    pub fn u64(self, at: usize) -> u64 {
        u64::from_le_bytes(self.bytes(at))
    }

    pub fn f32(self, at: usize) -> f64 {
        f32::from_le_bytes(self.bytes(at)).into()
    }

    pub fn f64(self, at: usize) -> f64 {
        f64::from_le_bytes(self.bytes(at))
    }

    pub fn range(self, at: usize) -> (u32, u32) {
        (self.u32(at), self.u32(at + 4))
    }
}

/// The actions of one reply, in the order they are written.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u8, gateway: u16) -> &mut Vec<u8> {
        let whole = self.records.len().next_multiple_of(ACTION);
        self.records.resize(whole, 0);
        self.records.push(code);
        self.records.extend(gateway.to_le_bytes());
        &mut self.records
    }

    fn put(&mut self, code: u8, gateway: u16, fields: &[&[u8]]) {
        let record = self.record(code, gateway);
        fields.iter().for_each(|field| record.extend(*field));
    }

    fn with_text(&mut self, code: u8, gateway: u16, text: &str) {
        let (offset, length) = (self.tail.len() as u32, text.len() as u32);
        self.put(
            code,
            gateway,
            &[&offset.to_le_bytes(), &length.to_le_bytes()],
        );
        self.tail.extend(text.as_bytes());
    }

    pub fn attempt(&mut self, gateway: u16, id: u64, engine: u32, allow_s: f64) {
        self.put(
            10,
            gateway,
            &[
                &id.to_le_bytes(),
                &engine.to_le_bytes(),
                &allow_s.to_le_bytes(),
            ],
        );
    }

    pub fn push_back(&mut self, gateway: u16, id: u64, come_back_s: f64) {
        self.put(
            20,
            gateway,
            &[&id.to_le_bytes(), &come_back_s.to_le_bytes()],
        );
    }

    pub fn surrender(&mut self, gateway: u16, id: u64) {
        self.put(30, gateway, &[&id.to_le_bytes()]);
    }

    pub fn stop_attempt(&mut self, gateway: u16, id: u64, number: u16) {
        self.put(40, gateway, &[&id.to_le_bytes(), &number.to_le_bytes()]);
    }

    pub fn remind(&mut self, gateway: u16, delay_s: f64, tag: u64) {
        self.put(50, gateway, &[&delay_s.to_le_bytes(), &tag.to_le_bytes()]);
    }

    pub fn test(&mut self, gateway: u16, engine: u32) {
        self.put(60, gateway, &[&engine.to_le_bytes()]);
    }

    pub fn remark(&mut self, gateway: u16, text: &str) {
        self.with_text(90, gateway, text);
    }

    pub fn panic(&mut self, gateway: u16, text: &str) {
        self.with_text(100, gateway, text);
    }

    pub fn watch(&mut self, gateway: u16) {
        self.put(110, gateway, &[&[1]]);
    }

    pub fn snapshot(&mut self, gateway: u16) {
        self.put(120, gateway, &[]);
    }

    pub fn tune(&mut self, gateway: u16, id: u64, memory_mb: f32, priority: u8) {
        self.put(
            130,
            gateway,
            &[&id.to_le_bytes(), &memory_mb.to_le_bytes(), &[priority]],
        );
    }
}

pub fn encode_reply(number: u32, reply: &Reply) -> Vec<u8> {
    let records = reply.records.len().next_multiple_of(ACTION);
    let mut frame = Vec::with_capacity(12 + records + reply.tail.len());
    frame.extend(number.to_le_bytes());
    frame.extend(((4 + records + reply.tail.len()) as u32).to_le_bytes());
    frame.extend(((records / ACTION) as u32).to_le_bytes());
    frame.extend(&reply.records);
    frame.resize(12 + records, 0);
    frame.extend(&reply.tail);
    frame
}
